//! A soak: gateways as real processes, members, a list service and clients, with faults that one seed draws.
//!
//! [`SoakPlan::draw`] draws the schedule, [`run_soak`] plays it, and [`judge`] reads what clients, members and the list service
//! wrote down; the gateways' own word counts for nothing but what they hold at the end.

mod clients;
mod judge;
mod plan;
mod records;
mod run;

pub use judge::{judge, Violation};
pub use plan::{PlannedFault, SoakFault, SoakPlan};
pub use records::{
    Announcement, Arrival, ClientMisuse, GatewayRest, GatewayStart, Interval, RequestEnd,
    RequestKind, RequestRecord, SoakRecord,
};
pub use run::run_soak;
