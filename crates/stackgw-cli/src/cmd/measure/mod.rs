//! `stackgw measure`: what a subsystem costs, on against off in one run. The measurements themselves are the testkit's.

#[cfg(feature = "flight")]
mod flight;
mod sessions;
mod start;
mod table;

use crate::error::CommandResult;
use clap::{Args, Subcommand};

/// Measure what a subsystem costs.
#[derive(Args)]
pub struct Measure {
    #[command(subcommand)]
    subject: Subject,
}

#[derive(Subcommand)]
enum Subject {
    /// Sessions across instances: off, always cautious, on without disks, on with disks.
    Sessions(sessions::SessionsCost),
    /// Flight SQL: bulk streams against a direct connection, cancels, slow readers, small statements.
    #[cfg(feature = "flight")]
    Flight(flight::FlightCost),
    /// Fleets that start at once: what list service and members bear, how soon clients are served.
    Start(start::StartCost),
}

impl Measure {
    /// Runs the measurement and prints its figures.
    pub fn run(self) -> CommandResult {
        match self.subject {
            Subject::Sessions(cost) => cost.run(),
            #[cfg(feature = "flight")]
            Subject::Flight(cost) => cost.run(),
            Subject::Start(cost) => cost.run(),
        }
    }
}
