//! `stackgw measure`: the cost of a subsystem, comparing runs with and without it. The testkit implements the measurements.

#[cfg(feature = "flight")]
mod flight;
mod sessions;
mod start;
mod table;

use crate::error::CommandResult;
use clap::{Args, Subcommand};

/// Measure the cost of a subsystem.
#[derive(Args)]
pub struct Measure {
    #[command(subcommand)]
    subject: Measurement,
}

#[derive(Subcommand)]
enum Measurement {
    /// Sessions that are not shared, shared but always cautious (reads see every commit), shared without disks, shared with
    /// disks.
    Sessions(sessions::SessionsCost),
    /// Flight SQL: bulk streams compared with a direct connection, cancellation, slow readers, small statements.
    #[cfg(feature = "flight")]
    Flight(flight::FlightCost),
    /// Fleets that start all at once: the load on the list service and members, and the time until clients are served.
    Start(start::StartCost),
}

impl Measure {
    /// Runs the measurement and prints its figures.
    pub fn run(self) -> CommandResult {
        match self.subject {
            Measurement::Sessions(cost) => cost.run(),
            #[cfg(feature = "flight")]
            Measurement::Flight(cost) => cost.run(),
            Measurement::Start(cost) => cost.run(),
        }
    }
}
