//! The list service of a simulated fleet: its versions, its faults, and the watches that it serves.

use super::{Event, Simulation, WatchTarget};
use stackgw_bootstrap::{Endpoint, EndpointUpdate};
use stackgw_router::api::{Lifecycle, Span, Time, MS, SECOND};

/// Delay from the opening of a watch to its first answer.
const WATCH_OPENING_TIME: Span = 2 * MS;
/// Delay from a change of the list to its arrival on the watches; longer than [`WATCH_OPENING_TIME`], so that a change never
/// arrives before the first answer of a watch.
const CHANGE_DELAY: Span = 3 * MS;
/// Interval of heartbeats on a watch.
pub(super) const HEARTBEAT_INTERVAL: Span = 2 * SECOND;

/// How the list service behaves towards an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    Up,
    /// It ends open watches and rejects new ones.
    Down,
    /// It sends nothing, neither on open watches nor on new ones.
    Silent,
    /// It rejects watches and requests not to be polled for this long.
    Overloaded(Span),
    /// It answers with the list at this version, which may be an older one.
    Behind(usize),
}

impl Simulation {
    /// Changes how the list service behaves towards these instances.
    pub fn set_service_state(&mut self, which: impl Iterator<Item = usize>, state: ServiceState) {
        for n in which {
            self.service_states[n] = state;
            if state == ServiceState::Down && self.instances[n].is_watching {
                self.instances[n].is_watching = false;
                self.schedule(self.now, Event::WatchLost(self.watch_target(n), None));
            }
            self.serve_watch(n);
        }
    }

    /// Creates a new version of the list and sends its changes on the open watches.
    pub fn change_list(&mut self, change: impl FnOnce(&mut Vec<Endpoint>)) {
        let mut list = self.versions.last().cloned().unwrap_or_default();
        change(&mut list);
        self.versions.push(list);
        (0..self.instances.len()).for_each(|n| self.serve_watch(n));
    }

    pub fn drain(&mut self, member: usize) {
        self.change_list(|list| list[member].phase = Lifecycle::Draining);
    }

    /// The entries of a version that differ from those of any version since `after`, including entries that have changed and
    /// changed back.
    fn changes_between(&self, after: u64, version: usize) -> Vec<Endpoint> {
        let versions = &self.versions[after as usize - 1..version];
        let has_changed =
            |endpoint: &&Endpoint| versions.iter().any(|list| !list.contains(endpoint));
        self.versions[version - 1]
            .iter()
            .filter(has_changed)
            .cloned()
            .collect()
    }

    /// Sends the changes on an instance's watch that it has not received yet.
    pub(super) fn serve_watch(&mut self, n: usize) {
        let (version, watched) = (self.versions.len(), self.instances[n].watched_revision);
        let is_open = self.instances[n].is_watching && self.service_states[n] == ServiceState::Up;
        if !is_open || watched >= version as u64 {
            return;
        }
        let members = self.changes_between(watched, version);
        let update = EndpointUpdate {
            revision: version as u64,
            complete: false,
            members,
        };
        self.instances[n].watched_revision = version as u64;
        self.schedule(
            self.now + CHANGE_DELAY,
            Event::WatchUpdate(self.watch_target(n), update),
        );
    }

    pub(super) fn open_watch(&mut self, n: usize, after: Option<u64>) {
        self.instances[n].watch += 1;
        let (watch, at) = (self.watch_target(n), self.now + WATCH_OPENING_TIME);
        if self.service_states[n] != ServiceState::Down {
            self.polls.push(self.now);
        }
        match self.service_states[n] {
            ServiceState::Down => self.schedule(at, Event::WatchLost(watch, None)),
            ServiceState::Silent => {}
            ServiceState::Overloaded(wait) => {
                self.schedule(at, Event::WatchLost(watch, Some(wait)))
            }
            ServiceState::Up => self.answer_watch(watch, at, after, self.versions.len()),
            ServiceState::Behind(version) => self.answer_watch(watch, at, after, version),
        }
    }

    /// Answers a watch with the changes after a version, or with the complete list.
    fn answer_watch(&mut self, watch: WatchTarget, at: Time, after: Option<u64>, version: usize) {
        let revision = version as u64;
        let base = after.filter(|after| (1..=revision).contains(after));
        let members = match base {
            Some(base) => self.changes_between(base, version),
            None => self.versions[version - 1].clone(),
        };
        let instance = &mut self.instances[watch.target.instance];
        (instance.is_watching, instance.watched_revision) = (true, revision);
        let update = EndpointUpdate {
            revision,
            complete: base.is_none(),
            members,
        };
        self.schedule(at, Event::WatchUpdate(watch, update));
        self.schedule(at + HEARTBEAT_INTERVAL, Event::WatchHeartbeat(watch));
    }
}
