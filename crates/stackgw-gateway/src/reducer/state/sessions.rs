//! Coordination of sessions across instances: the state of `stackgw-sessions` in this instance, and its status reports.

use super::static_config::select_differing;
use crate::config::SessionSharingConfig;
use crate::reducer::timers::TimerKey;
use serde_json::{json, Value};
use stackgw_cluster::{Cluster, DatagramCounters, InstanceStatus};
use stackgw_router::api::{Span, Time, MS, SECOND};
use stackgw_sessions::{
    NodeId, Output, Peer, PeerStatus, Recovered, SessionKey, Sessions, Settings, UncertaintyReason,
    UNKNOWN_POSITION,
};
use std::collections::BTreeMap;

/// Minimum interval between log lines about the certainty of session reads.
const CERTAINTY_LOG_INTERVAL: Span = 5 * SECOND;

/// One incarnation of this instance, with the content of its store at the start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incarnation {
    /// Higher than the number of every earlier incarnation.
    pub number: u64,
    /// The recovered content of the store; `None` without a store.
    pub recovered: Option<Recovered>,
}

impl Incarnation {
    /// Returns the peer with this name in this incarnation.
    pub fn peer(&self, name: &str) -> Peer {
        Peer {
            node: NodeId::of(name),
            incarnation: self.number,
        }
    }
}

/// The certainty of session reads that was last logged. An instance is certain if it knows the positions that session reads
/// must see; otherwise it is uncertain and serves them as strong reads.
#[derive(Debug, Clone, Copy)]
struct LoggedCertainty {
    uncertainty: Option<UncertaintyReason>,
    at: Time,
}

/// The sessions of this instance, with the counters and names for status reports.
pub(crate) struct SessionCoordination {
    sessions: Sessions,
    /// An empty vector whose allocation is reused.
    spare_outputs: Vec<Output>,
    names: BTreeMap<NodeId, String>,
    /// The options at the start; most cannot be changed without a restart.
    options: stackgw_config::Sessions,
    timer: Option<TimerKey>,
    store_failed: bool,
    /// Reads that had to be strong, by reason.
    strong_reads: BTreeMap<UncertaintyReason, u64>,
    logged: Option<LoggedCertainty>,
    /// Served writes that could not be recorded or were not confirmed in time.
    unconfirmed_writes: u64,
}

impl SessionCoordination {
    /// Creates the state at the start. Returns it with the first outputs to apply.
    pub(crate) fn new(
        now: Time,
        config: &SessionSharingConfig,
        local_name: &str,
        incarnation: Incarnation,
    ) -> (Self, Vec<Output>) {
        let options = &config.options;
        let settings = Settings {
            local: incarnation.peer(local_name),
            replicas: node_ids(&options.keepers),
            owners_per_session: options.homes,
            lease: options.lease.as_nanos(),
            retention: options.horizon.as_nanos(),
            resend_interval: options.resend.as_nanos(),
            lookup_timeout: options.lookup.as_nanos(),
            max_positions: options.marks,
            max_local_writes: options.own_marks,
            max_pending: options.waits,
            recovered: incarnation.recovered,
        };
        let mut outputs = Vec::new();
        let coordination = SessionCoordination {
            sessions: Sessions::new(now, settings, &mut outputs),
            spare_outputs: Vec::new(),
            names: instance_names(&options.keepers, local_name),
            options: options.clone(),
            timer: None,
            store_failed: false,
            strong_reads: BTreeMap::new(),
            logged: None,
            unconfirmed_writes: 0,
        };
        (coordination, outputs)
    }

    pub(crate) fn sessions(&self) -> &Sessions {
        &self.sessions
    }

    /// Runs an action on the sessions and returns its outputs. Return the emptied vector by [`recycle`](Self::recycle).
    pub(crate) fn apply(
        &mut self,
        action: impl FnOnce(&mut Sessions, &mut Vec<Output>),
    ) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.spare_outputs);
        action(&mut self.sessions, &mut outputs);
        outputs
    }

    /// Keeps an empty vector of outputs for reuse.
    pub(crate) fn recycle(&mut self, outputs: Vec<Output>) {
        self.spare_outputs = outputs;
    }

    /// Cancels a request's pending read or write of its session. The ticket is the number of the request's id.
    pub(crate) fn cancel(&mut self, ticket: u64) {
        self.sessions.cancel_read(ticket);
        self.sessions.cancel_write(ticket);
    }

    pub(crate) fn timer(&self) -> Option<TimerKey> {
        self.timer
    }

    pub(crate) fn set_timer(&mut self, timer: Option<TimerKey>) {
        self.timer = timer;
    }

    pub(crate) fn mark_store_failed(&mut self) {
        self.store_failed = true;
    }

    pub(crate) fn count_strong_read(&mut self, reason: UncertaintyReason) {
        *self.strong_reads.entry(reason).or_default() += 1;
    }

    /// Counts a served write that could not be recorded or was not confirmed in time. Returns the count.
    pub(crate) fn count_unconfirmed_write(&mut self) -> u64 {
        self.unconfirmed_writes += 1;
        self.unconfirmed_writes
    }

    /// Updates the instance names from a new configuration. Returns the names of the options that differ and need a restart.
    pub(crate) fn reload(
        &mut self,
        config: &SessionSharingConfig,
        local_name: &str,
    ) -> Vec<&'static str> {
        self.names = instance_names(&config.options.keepers, local_name);
        differing_options(&self.options, &config.options)
    }

    /// Returns an instance's configured name, or the debug form of its id if it is neither a replica nor this instance.
    pub(crate) fn name(&self, node: &NodeId) -> String {
        self.names
            .get(node)
            .cloned()
            .unwrap_or_else(|| format!("{node:?}"))
    }

    /// Describes a reason with the configured names of instances.
    fn describe(&self, reason: UncertaintyReason) -> String {
        reason.describe(|node| self.name(node))
    }

    /// Returns a log line if the certainty of session reads, or the reason why they are uncertain, has changed since the last
    /// line and that line is older than [`CERTAINTY_LOG_INTERVAL`]. Only session replicas log it.
    pub(crate) fn certainty_change(&mut self, now: Time) -> Option<String> {
        let status = self.sessions.status(now);
        let needs_no_line = |logged: LoggedCertainty| {
            logged.uncertainty == status.uncertainty || now - logged.at < CERTAINTY_LOG_INTERVAL
        };
        if !status.is_replica || self.logged.is_some_and(needs_no_line) {
            return None;
        }
        self.logged = Some(LoggedCertainty {
            uncertainty: status.uncertainty,
            at: now,
        });
        Some(match status.uncertainty {
            None => "session reads are certain".to_owned(),
            Some(reason) => format!("session reads are strong: {}", self.describe(reason)),
        })
    }

    /// Returns the log line of a report.
    pub(crate) fn log_line(&self, now: Time, datagrams: DatagramCounters) -> String {
        let status = self.sessions.status(now);
        let counts = status.counters;
        let certainty = status
            .uncertainty
            .map_or("certain".to_owned(), |reason| self.describe(reason));
        format!(
            "sessions {certainty}: marks={} own={} waiting={} pushed_out={} sure_here={} sure_there={} cautious={} released={} \
             released_owed={} in_doubt={} sent={} disregarded={} unknown_key={} forged={} malformed={}",
            status.positions, status.local_writes, status.pending, status.evicted, counts.answered_locally, counts.answered_by_owner,
            counts.strong_reads, counts.writes_released, counts.released_unacknowledged, self.unconfirmed_writes, datagrams.sent, counts.messages_ignored,
            datagrams.unknown_key, datagrams.forged, datagrams.malformed
        )
    }

    /// Returns the reply to a status query for all sessions.
    pub(crate) fn status(&self, now: Time, cluster: &Cluster) -> Value {
        let status = self.sessions.status(now);
        let name = |node: &NodeId| self.name(node);
        let peer = |peer: &PeerStatus| {
            json!({"name": name(&peer.node), "incarnation": peer.incarnation,
                "pledged_for_ms": peer.lease_held_for / MS, "bound_for_ms": peer.lease_granted_for / MS, "owed": peer.unacknowledged})
        };
        let instance = |instance: &InstanceStatus| {
            json!({"name": name(&instance.identity.peer.node), "incarnation": instance.identity.peer.incarnation,
                "address": instance.identity.address.to_string(), "up": instance.up})
        };
        let (counts, datagrams) = (status.counters, cluster.counters());
        let strong_reads: serde_json::Map<String, Value> = self
            .strong_reads
            .iter()
            .map(|(reason, count)| (self.describe(*reason), json!(count)))
            .collect();
        json!({
            "name": name(&status.local.node), "incarnation": status.local.incarnation, "keeper": status.is_replica,
            "sure": status.uncertainty.is_none(),
            "unsure_because": status.uncertainty.map(|reason| self.describe(reason)),
            "keepers": status.peers.iter().map(peer).collect::<Vec<_>>(),
            "instances": cluster.instances().map(instance).collect::<Vec<_>>(), "epoch": cluster.epoch(),
            "marks": status.positions, "marks_pushed_out": status.evicted, "own_marks": status.local_writes,
            "waiting": status.pending, "cautious_because": strong_reads,
            "counts": {"sure_here": counts.answered_locally, "sure_there": counts.answered_by_owner, "cautious": counts.strong_reads,
                "released": counts.writes_released, "released_owed": counts.released_unacknowledged, "in_doubt": self.unconfirmed_writes,
                "messages": counts.messages_sent, "disregarded": counts.messages_ignored, "full": counts.rejected,
                "own_pushed_out": counts.local_writes_evicted, "disks_old": counts.outdated_stores,
                "datagrams_sent": datagrams.sent, "datagrams_taken": datagrams.received, "foreign": datagrams.foreign,
                "unknown_key": datagrams.unknown_key, "forged": datagrams.forged, "malformed": datagrams.malformed,
                "unreachable": datagrams.unreachable},
            "disk_failed": self.store_failed,
        })
    }

    /// Returns the reply to a status query for one session.
    pub(crate) fn session_status(&self, now: Time, group: u32, session: &str) -> Value {
        let key = SessionKey::of(group, session);
        let owners = self.sessions.replica_set().owners(key);
        let owners: Vec<_> = owners.map(|node| self.name(&node)).collect();
        let inspection = self.sessions.inspect_session(now, key);
        let uncertainty = inspection.certainty.err();
        let position_ms = |at: Time| match at {
            UNKNOWN_POSITION => json!("unknown"),
            known => json!(known / MS),
        };
        json!({
            "group": group, "homes": owners,
            "sure_here": uncertainty.is_none(),
            "unsure_because": uncertainty.map(|reason| self.describe(reason)),
            "mark": inspection.position.map(|mark| json!({"position_ms": position_ms(mark.position),
                "age_ms": (now - mark.at) / MS, "pushed_out": mark.evicted})),
        })
    }
}

pub(crate) fn node_ids(names: &[String]) -> Vec<NodeId> {
    names.iter().map(|name| NodeId::of(name)).collect()
}

fn instance_names(replicas: &[String], local_name: &str) -> BTreeMap<NodeId, String> {
    let names = replicas.iter().map(String::as_str).chain([local_name]);
    names
        .map(|name| (NodeId::of(name), name.to_owned()))
        .collect()
}

/// Returns the names of the options that differ and that a running gateway cannot change.
fn differing_options(
    old: &stackgw_config::Sessions,
    new: &stackgw_config::Sessions,
) -> Vec<&'static str> {
    select_differing([
        ("homes", old.homes != new.homes),
        ("lease", old.lease != new.lease),
        ("horizon", old.horizon != new.horizon),
        ("resend", old.resend != new.resend),
        ("lookup", old.lookup != new.lookup),
        ("marks", old.marks != new.marks),
        ("own_marks", old.own_marks != new.own_marks),
        ("waits", old.waits != new.waits),
        ("store", old.store != new.store),
    ])
}
