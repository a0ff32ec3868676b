//! One instance of a simulated fleet, with its disk and its router.

use stackgw_bootstrap::{Bootstrap, CachedEndpoints, Observation};
use stackgw_router::api::{Lifecycle, Time};
use std::collections::BTreeMap;

/// One instance of the fleet.
pub struct Instance {
    /// `None`: it does not run.
    pub bootstrap: Option<Bootstrap>,
    pub(super) stopped_at: Time,
    /// What its disk has.
    pub cached: Option<CachedEndpoints>,
    pub(super) incarnation: u32,
    /// Rises with each watch.
    pub(super) watch: u32,
    pub(super) is_watching: bool,
    /// The version up to which its watch has been served.
    pub(super) watched_revision: u64,
    pub(super) next_timeout: Time,
    /// When it first was ready in this life.
    pub ready_at: Option<Time>,
    /// The phase of each member, by name, as its router knows it.
    pub routed_phases: BTreeMap<String, Lifecycle>,
    pub(super) highest_revision: u64,
    /// What it learned of members from peers.
    pub observations: Vec<Observation>,
}

impl Instance {
    pub(super) fn stopped() -> Self {
        Instance {
            bootstrap: None,
            stopped_at: 0,
            cached: None,
            incarnation: 0,
            watch: 0,
            is_watching: false,
            watched_revision: 0,
            next_timeout: Time::MAX,
            ready_at: None,
            routed_phases: BTreeMap::new(),
            highest_revision: 0,
            observations: Vec::new(),
        }
    }
}
