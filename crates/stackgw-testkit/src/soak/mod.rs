//! A soak test: gateways as real processes, members, a list service and clients, with faults drawn from one seed.
//!
//! [`SoakPlan::draw`] draws the schedule, [`run_soak`] runs it, and [`judge`] checks the record of clients, members and the
//! list service. Of the gateways' own reports, only those about the resources that they hold after their clients have
//! disconnected are used.

mod clients;
mod judge;
mod plan;
mod records;
mod run;

pub use judge::{judge, Violation};
pub use plan::{PlannedFault, SoakFault, SoakPlan};
pub use records::{
    Announcement, Arrival, GatewayResources, GatewayStart, Interval, Promotion, RequestEnd,
    RequestKind, RequestRecord, SoakRecord, StalledClient,
};
pub use run::run_soak;
