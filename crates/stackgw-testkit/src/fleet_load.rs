//! The load on all members of a group. Field names in JSON are those of the command's output and must not change.

use crate::replica_group::ReplicaGroup;
use crate::slow_start_model::ObservedLoad;
use crate::statistics::{peak_in_window, PEAK_WINDOW};
use serde::Serialize;
use std::time::Duration;

/// The load on one member. Serialized as a list, in this order.
#[derive(Debug, Clone, Copy, Default, Serialize)]
#[serde(into = "[u64; 3]")]
pub struct MemberCounts {
    /// New connections.
    pub handshakes: u64,
    /// Requests accepted.
    pub accepted: u64,
    /// Requests rejected.
    pub rejected: u64,
}

impl From<MemberCounts> for [u64; 3] {
    fn from(counts: MemberCounts) -> Self {
        [counts.handshakes, counts.accepted, counts.rejected]
    }
}

/// The load on all members of a group.
#[derive(Debug, Clone, Default, Serialize)]
pub struct FleetLoad {
    /// New connections at all members.
    pub handshakes: usize,
    /// The most new connections at one member within 100 ms.
    #[serde(rename = "worst_handshakes")]
    pub peak_handshakes: usize,
    /// The peak work at a cold member, relative to the work at which it collapses.
    #[serde(rename = "cold")]
    pub peak_overload: f64,
    /// Collapses of members.
    #[serde(rename = "fell")]
    pub collapses: u64,
    /// Requests rejected by members.
    #[serde(rename = "shed")]
    pub rejected: u64,
    /// Health checks.
    #[serde(rename = "probes")]
    pub health_checks: u64,
    /// The load on each member; the first one is the primary.
    pub members: Vec<MemberCounts>,
}

impl FleetLoad {
    /// Sums up the load on members since their capacities were set. Of connections, only those at or after `since`, relative to
    /// the group's start, are counted.
    pub fn of(group: &ReplicaGroup, since: Duration) -> Self {
        let mut total = FleetLoad::default();
        for member in 0..group.members.len() {
            total.add(group.observed_load(member), since);
        }
        total
    }

    fn add(&mut self, load: ObservedLoad, since: Duration) {
        let handshakes: Vec<_> = load
            .handshakes
            .into_iter()
            .filter(|at| *at >= since)
            .collect();
        self.handshakes += handshakes.len();
        self.members.push(MemberCounts {
            handshakes: handshakes.len() as u64,
            accepted: load.accepted,
            rejected: load.rejected,
        });
        let peak = peak_in_window(handshakes, PEAK_WINDOW);
        self.peak_handshakes = self.peak_handshakes.max(peak);
        self.peak_overload = self.peak_overload.max(load.peak_overload);
        self.collapses += load.collapses;
        self.rejected += load.rejected;
        self.health_checks += load.health_checks;
    }
}
