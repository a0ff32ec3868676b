//! One instance of a simulated fleet, with its disk and its router.

use stackgw_bootstrap::{Bootstrap, CachedEndpoints, Observation};
use stackgw_router::api::{Lifecycle, Time};
use std::collections::BTreeMap;

/// One instance of the fleet.
pub struct Instance {
    /// `None` if the instance does not run.
    pub bootstrap: Option<Bootstrap>,
    pub(super) stopped_at: Time,
    /// The list stored on the instance's disk.
    pub cached: Option<CachedEndpoints>,
    pub(super) incarnation: u32,
    /// Number of the current watch; increases whenever one is opened or closed.
    pub(super) watch: u32,
    pub(super) is_watching: bool,
    /// The latest version sent on the watch.
    pub(super) watched_revision: u64,
    pub(super) next_timeout: Time,
    /// When the instance was first ready in this incarnation.
    pub ready_at: Option<Time>,
    /// The phase of each member, by name, as the instance's router knows it.
    pub routed_phases: BTreeMap<String, Lifecycle>,
    pub(super) highest_revision: u64,
    /// Observations received from peers.
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
