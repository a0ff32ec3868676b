//! Sessions across instances: carries what the router and the clients' side have to do with `stackgw-sessions` to and fro.
//! What a read must see and when a write's answer may leave is decided there; which member then serves is the router's.

use super::*;
use crate::config::{ClusterConfig, SessionSharingConfig};
use serde_json::{json, Value};
use stackgw_cluster::Cluster;
use stackgw_sessions::{
    NodeId, Output, Peer, PeerStatus, ReadRequirement, Recovered, SessionKey, Sessions, Settings,
    StoreFailure, UncertaintyReason, WriteAdmission,
};
use stackgw_store::CommitOutcome;
use std::collections::BTreeMap as Map;

/// A held write is given up this many ticks before its client's time is over, so that the word still arrives.
const HELD_TICKS: Span = 4;
/// A change in whether reads can be sure is logged once in this long.
const SAID_EVERY: Span = 5 * SECOND;

/// Members' clocks are never so far ahead of this one.
const FUTURE_MOST: Span = 10 * SECOND;

/// One life of an instance: what its disk gave it at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incarnation {
    /// Higher than that of any life before.
    pub number: u64,
    /// What the disk had; `None`: there is no disk.
    pub recovered: Option<Recovered>,
}

impl Incarnation {
    /// The instance of this name in this life.
    pub fn peer(&self, name: &str) -> Peer {
        Peer {
            node: NodeId::of(name),
            incarnation: self.number,
        }
    }
}

/// Everything of it.
pub(super) struct Shared {
    sessions: Sessions,
    outputs: Vec<Output>,
    names: Map<NodeId, String>,
    /// What holds until a restart, as it was at start.
    file: stackgw_config::Sessions,
    due: Option<TimerKey>,
    disk_failed: bool,
    /// Reads that had to be cautious, by reason.
    cautious: Map<UncertaintyReason, u64>,
    /// What was last said of whether reads can be sure, and when.
    said: Option<(Option<UncertaintyReason>, Time)>,
    in_doubt: u64,
}

fn key_of(statement: &Statement) -> SessionKey {
    SessionKey::of(statement.cluster, &statement.key)
}

impl Shared {
    fn new(
        now: Time,
        config: &SessionSharingConfig,
        name: &str,
        life: Incarnation,
        outputs: &mut Vec<Output>,
    ) -> Self {
        let file = &config.options;
        let me = life.peer(name);
        let settings = Settings {
            local: me,
            replicas: file.keepers.iter().map(|name| NodeId::of(name)).collect(),
            owners_per_session: file.homes,
            lease: file.lease.as_nanos(),
            retention: file.horizon.as_nanos(),
            resend_interval: file.resend.as_nanos(),
            lookup_timeout: file.lookup.as_nanos(),
            max_positions: file.marks,
            max_local_writes: file.own_marks,
            max_pending: file.waits,
            recovered: life.recovered,
        };
        Shared {
            sessions: Sessions::new(now, settings, outputs),
            outputs: Vec::new(),
            names: names_of(&file.keepers, name),
            file: file.clone(),
            due: None,
            disk_failed: false,
            cautious: Map::new(),
            said: None,
            in_doubt: 0,
        }
    }

    /// The name that the operator knows an instance by, if it is a keeper.
    pub(super) fn name(&self, node: &NodeId) -> String {
        self.names
            .get(node)
            .cloned()
            .unwrap_or_else(|| format!("{node:?}"))
    }

    /// A reason, in the operator's names.
    fn why(&self, why: UncertaintyReason) -> String {
        why.describe(|node| self.name(node))
    }

    /// One line for the log.
    pub(super) fn line(&self, now: Time, met: stackgw_cluster::DatagramCounters) -> String {
        let status = self.sessions.status(now);
        let counts = status.counters;
        let sure = status
            .uncertainty
            .map_or("sure".to_owned(), |why| self.why(why));
        format!(
            "sessions {sure}: marks={} own={} waiting={} pushed_out={} sure_here={} sure_there={} cautious={} released={} \
             released_owed={} in_doubt={} sent={} disregarded={} unknown_key={} forged={} malformed={}",
            status.positions, status.local_writes, status.pending, status.evicted, counts.answered_locally, counts.answered_by_owner,
            counts.strong_reads, counts.writes_released, counts.released_unacknowledged, self.in_doubt, met.sent, counts.messages_ignored,
            met.unknown_key, met.forged, met.malformed
        )
    }

    fn tell(&self, now: Time, cluster: &Cluster) -> Value {
        let status = self.sessions.status(now);
        let name = |node: &NodeId| self.name(node);
        let other = |other: &PeerStatus| {
            json!({"name": name(&other.node), "incarnation": other.incarnation,
                "pledged_for_ms": other.lease_held_for / MS, "bound_for_ms": other.lease_granted_for / MS, "owed": other.unacknowledged})
        };
        let seen = |seen: &stackgw_cluster::InstanceStatus| {
            json!({"name": name(&seen.identity.peer.node), "incarnation": seen.identity.peer.incarnation,
                "address": seen.identity.address.to_string(), "up": seen.up})
        };
        let (counts, met) = (status.counters, cluster.counters());
        let cautious: serde_json::Map<String, Value> = self
            .cautious
            .iter()
            .map(|(why, n)| (self.why(*why), json!(n)))
            .collect();
        json!({
            "name": name(&status.local.node), "incarnation": status.local.incarnation, "keeper": status.is_replica,
            "sure": status.uncertainty.is_none(),
            "unsure_because": status.uncertainty.map(|why| self.why(why)),
            "keepers": status.peers.iter().map(other).collect::<Vec<_>>(),
            "instances": cluster.instances().map(seen).collect::<Vec<_>>(), "epoch": cluster.epoch(),
            "marks": status.positions, "marks_pushed_out": status.evicted, "own_marks": status.local_writes,
            "waiting": status.pending, "cautious_because": cautious,
            "counts": {"sure_here": counts.answered_locally, "sure_there": counts.answered_by_owner, "cautious": counts.strong_reads,
                "released": counts.writes_released, "released_owed": counts.released_unacknowledged, "in_doubt": self.in_doubt,
                "messages": counts.messages_sent, "disregarded": counts.messages_ignored, "full": counts.rejected,
                "own_pushed_out": counts.local_writes_evicted, "disks_old": counts.outdated_stores,
                "datagrams_sent": met.sent, "datagrams_taken": met.received, "foreign": met.foreign,
                "unknown_key": met.unknown_key, "forged": met.forged, "malformed": met.malformed,
                "unreachable": met.unreachable},
            "disk_failed": self.disk_failed,
        })
    }
}

fn names_of(keepers: &[String], me: &str) -> Map<NodeId, String> {
    keepers
        .iter()
        .map(String::as_str)
        .chain([me])
        .map(|name| (NodeId::of(name), name.to_owned()))
        .collect()
}

/// The names of those fields that a running gateway cannot change and in which another file differs.
fn differs(old: &stackgw_config::Sessions, new: &stackgw_config::Sessions) -> Vec<&'static str> {
    let parts = [
        ("homes", old.homes != new.homes),
        ("lease", old.lease != new.lease),
        ("horizon", old.horizon != new.horizon),
        ("resend", old.resend != new.resend),
        ("lookup", old.lookup != new.lookup),
        ("marks", old.marks != new.marks),
        ("own_marks", old.own_marks != new.own_marks),
        ("waits", old.waits != new.waits),
        ("store", old.store != new.store),
    ];
    parts
        .into_iter()
        .filter(|(_, differs)| *differs)
        .map(|(name, _)| name)
        .collect()
}

impl Reducer {
    /// Turns sessions across instances on, before [`Input::Start`].
    pub fn enable_session_sharing(
        &mut self,
        now: Time,
        config: &SessionSharingConfig,
        life: Incarnation,
        out: &mut Vec<Effect>,
    ) {
        let mut outputs = Vec::new();
        self.join_cluster(
            now,
            &ClusterConfig::from(config),
            life.peer(&self.fixed.name),
        );
        let shared = Shared::new(now, config, &self.fixed.name, life, &mut outputs);
        self.shared = Some(Box::new(shared));
        self.shared_outputs(now, outputs, out);
        self.shared_due_set();
    }

    pub(super) fn with_shared(
        &mut self,
        now: Time,
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut Sessions, &mut Vec<Output>),
    ) {
        let Some(shared) = self.shared.as_mut() else {
            return;
        };
        let mut outputs = std::mem::take(&mut shared.outputs);
        act(&mut shared.sessions, &mut outputs);
        self.shared_outputs(now, outputs, out);
    }

    fn shared_outputs(&mut self, now: Time, mut outputs: Vec<Output>, out: &mut Vec<Effect>) {
        for output in outputs.drain(..) {
            match output {
                Output::Send(to, message) => {
                    self.cluster_send(out, |cluster, effects| cluster.send(to, &message, effects));
                }
                Output::Store(record) => out.push(Effect::StoreRecord(record)),
                Output::Release(ticket) => self.release(now, RequestId(ticket), out),
                Output::ReadRequirement(ticket, knowledge) => {
                    self.session_known(now, RequestId(ticket), knowledge)
                }
            }
        }
        if let Some(shared) = self.shared.as_mut() {
            shared.outputs = outputs;
        }
    }

    pub(super) fn disk(&mut self, now: Time, done: CommitOutcome, out: &mut Vec<Effect>) {
        match done {
            CommitOutcome::Stored(records) => self.with_shared(now, out, |s, outputs| {
                s.handle_records_stored(now, records, outputs)
            }),
            CommitOutcome::Failed { error, quarantined } => {
                let what = if quarantined {
                    "it was set aside; a restart will be cautious"
                } else {
                    "writes are turned away"
                };
                out.push(Effect::Log(format!("{error}; {what}")));
                if let Some(shared) = self.shared.as_mut() {
                    shared.disk_failed = true;
                }
                let failure = if quarantined {
                    StoreFailure::SetAside
                } else {
                    StoreFailure::LeftInPlace
                };
                self.with_shared(now, out, |s, outputs| {
                    s.handle_store_failure(now, failure, outputs)
                });
            }
        }
    }

    /// Why no write is taken now, if none is: its answer could not leave.
    pub(super) fn shut(&self) -> Option<&'static str> {
        let (shared, member) = (self.shared.as_ref()?, self.cluster.as_ref()?);
        let roster = shared.sessions.replica_set();
        let keeper = |seen: &stackgw_cluster::InstanceStatus| {
            seen.up && roster.contains(seen.identity.peer.node)
        };
        if !shared.sessions.can_release() {
            return Some("this gateway's disk failed, another one takes writes");
        }
        let cut = !shared.sessions.is_replica() && !member.cluster.instances().any(keeper);
        cut.then_some("no keeper of sessions is known here, another gateway takes writes")
    }

    /// Sets their timer anew where its moment has changed.
    pub(super) fn shared_due_set(&mut self) {
        let Some(shared) = self.shared.as_ref() else {
            return;
        };
        let key = self.moved(shared.due, shared.sessions.next_deadline(), Due::Shared);
        if let Some(shared) = self.shared.as_mut() {
            shared.due = Some(key);
        }
    }

    pub(super) fn shared_due(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(shared) = self.shared.as_mut() else {
            return;
        };
        shared.due = None;
        self.with_shared(now, out, |sessions, outputs| {
            sessions.handle_timeout(now, outputs)
        });
        self.shared_due_set();
    }

    /// Says when reads became sure, or why they no longer are.
    pub(super) fn shared_look(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(shared) = self.shared.as_mut() else {
            return;
        };
        let status = shared.sessions.status(now);
        if !status.is_replica
            || shared
                .said
                .is_some_and(|(said, at)| said == status.uncertainty || now - at < SAID_EVERY)
        {
            return;
        }
        shared.said = Some((status.uncertainty, now));
        out.push(Effect::Log(match status.uncertainty {
            None => "session reads are sure".to_owned(),
            Some(why) => format!("session reads are cautious: {}", shared.why(why)),
        }));
    }

    pub(super) fn shared_reload(
        &mut self,
        now: Time,
        config: Option<SessionSharingConfig>,
        out: &mut Vec<Effect>,
    ) {
        let (shared, config) = match (self.shared.as_mut(), config) {
            (Some(shared), Some(config)) => (shared, config),
            (None, None) => return,
            _ => {
                return out.push(Effect::Log(
                    "sessions are turned on or off by a restart alone".to_owned(),
                ))
            }
        };
        let fixed = differs(&shared.file, &config.options);
        if !fixed.is_empty() {
            out.push(Effect::Log(format!(
                "sessions: unchanged until a restart: {}",
                fixed.join(", ")
            )));
        }
        shared.names = names_of(&config.options.keepers, &self.fixed.name);
        let keepers = config
            .options
            .keepers
            .iter()
            .map(|name| NodeId::of(name))
            .collect();
        self.with_shared(now, out, |sessions, outputs| {
            sessions.set_replicas(now, keepers, outputs)
        });
    }

    // Reads and writes.

    /// A session read waits for what its session must see; then the router hears of it.
    pub(super) fn ask_session(&mut self, now: Time, request: Request, out: &mut Vec<Effect>) {
        let Some(open) = self.requests.get_mut(&request.id) else {
            return;
        };
        let (ticket, key) = (request.id.0, key_of(&open.statement));
        open.asks = Some(Box::new(request));
        self.with_shared(now, out, |sessions, outputs| {
            sessions.begin_read(now, ticket, key, outputs)
        });
    }

    fn session_known(&mut self, now: Time, id: RequestId, knowledge: ReadRequirement) {
        let Some(mut request) = self.requests.get_mut(&id).and_then(|open| open.asks.take()) else {
            return;
        };
        match knowledge {
            // Danger: a position that cannot be, from a peer or an old file, would overflow or be waited for in vain.
            ReadRequirement::Position(Some(position))
                if !(0..now + FUTURE_MOST).contains(&position) =>
            {
                request.requires_strong_read = true;
            }
            // The client's own word counts too, where it carries one.
            ReadRequirement::Position(position) => {
                request.last_write = request.last_write.max(position)
            }
            ReadRequirement::Strong(why) => {
                request.requires_strong_read = true;
                if let Some(shared) = self.shared.as_mut() {
                    *shared.cautious.entry(why).or_default() += 1;
                }
            }
        }
        self.events.push_back(Event::Request(*request));
    }

    /// Holds a served write's answer until its session's homes know of it; gives it back where it may leave as it is.
    pub(super) fn hold_write(
        &mut self,
        now: Time,
        request: RequestId,
        position: Option<Time>,
        row: Vec<u8>,
        out: &mut Vec<Effect>,
    ) -> Option<Vec<u8>> {
        let open = self
            .requests
            .get_mut(&request)
            .filter(|open| open.statement.write && open.asker.is_some());
        let Some(open) = open.filter(|_| self.shared.is_some()) else {
            return Some(row);
        };
        let (key, deadline) = (key_of(&open.statement), open.deadline);
        (open.ended, open.held) = (true, Some(row));
        self.counters.held_bytes += open.held.as_ref().map_or(0, |row| row.len() as u64);
        let mut admission = WriteAdmission::Accepted;
        self.with_shared(now, out, |sessions, outputs| {
            admission = sessions.record_write(now, request.0, key, position, outputs);
        });
        let held = self
            .requests
            .get(&request)
            .is_some_and(|open| open.held.is_some());
        if admission == WriteAdmission::Rejected {
            self.held_too_long(now, request, out);
        } else if held {
            let tick = self.fixed.settings.router.tick.max(MS);
            let until = self.set_timer((deadline - tick * HELD_TICKS).max(now), Due::Held(request));
            if let Some(open) = self.requests.get_mut(&request) {
                open.held_until = Some(until);
            }
        }
        None
    }

    /// Takes a held answer away, with its room and its timer.
    pub(super) fn take_held(&mut self, request: RequestId) -> Option<Vec<u8>> {
        let open = self.requests.get_mut(&request)?;
        let row = open.held.take()?;
        self.counters.held_bytes -= row.len() as u64;
        if let Some(until) = open.held_until.take() {
            self.timers.remove(&until);
        }
        Some(row)
    }

    fn release(&mut self, now: Time, request: RequestId, out: &mut Vec<Effect>) {
        let Some(row) = self.take_held(request) else {
            return;
        };
        let answered = self.answer(now, request, FinalResponse::Served(row), out);
        self.counters.answered_served += u64::from(answered);
    }

    /// Its write has run, but an answer that says so would let the session's next read miss it. Failed promises nothing.
    pub(super) fn held_too_long(&mut self, now: Time, request: RequestId, out: &mut Vec<Effect>) {
        if self
            .requests
            .get(&request)
            .is_none_or(|open| open.held.is_none())
        {
            return;
        }
        self.unshared(request);
        if let Some(shared) = self.shared.as_mut() {
            shared.in_doubt += 1;
            log_rarely(
                shared.in_doubt,
                "writes served whose session could not be told in time:",
                out,
            );
        }
        let text = "the write was sent and may have run, its answer could not be confirmed";
        let answered = self.answer(now, request, FinalResponse::Failed(text), out);
        self.counters.answered_failed += u64::from(answered);
    }

    /// Nobody waits for this request's session any more.
    pub(super) fn unshared(&mut self, request: RequestId) {
        if let Some(shared) = self.shared.as_mut() {
            shared.sessions.cancel_read(request.0);
            shared.sessions.cancel_write(request.0);
        }
    }

    /// Answers somebody at the local socket.
    pub(super) fn tell(&self, now: Time, question: StatusQuery) -> Value {
        match (question, self.shared.as_ref().zip(self.cluster.as_ref())) {
            (StatusQuery::EndpointList, _) => self.tell_list(now),
            (_, None) => json!({"error": "sessions across instances are off"}),
            (StatusQuery::Sessions, Some((shared, member))) => shared.tell(now, &member.cluster),
            (StatusQuery::Session(group, session), Some((shared, _))) => {
                let key = SessionKey::of(group, &session);
                let name = |node| shared.name(&node);
                let inspection = shared.sessions.inspect_session(now, key);
                let (seen, sure) = (inspection.position, inspection.certainty);
                let position = |at: Time| {
                    if at == stackgw_sessions::UNKNOWN_POSITION {
                        json!("unknown")
                    } else {
                        json!(at / MS)
                    }
                };
                json!({
                    "group": group, "homes": shared.sessions.replica_set().owners(key).map(name).collect::<Vec<_>>(),
                    "sure_here": sure.is_ok(),
                    "unsure_because": sure.err().map(|why| shared.why(why)),
                    "mark": seen.map(|seen| json!({"position_ms": position(seen.position),
                        "age_ms": (now - seen.at) / MS, "pushed_out": seen.evicted})),
                })
            }
        }
    }
}
