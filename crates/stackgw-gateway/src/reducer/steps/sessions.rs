//! Sessions across instances: passes reads and writes between the router, the clients and `stackgw-sessions`, which decides
//! what a read must see and when a write's response may be sent. The router decides which member serves.

use crate::config::{ClusterConfig, SessionSharingConfig};
use crate::pg::Statement;
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::response::FinalResponse;
use crate::reducer::state::sessions::{node_ids, Incarnation, SessionCoordination};
use crate::reducer::state::Gateway;
use crate::reducer::timers::Timer;
use stackgw_cluster::InstanceStatus;
use stackgw_router::api::{Event, Request, RequestId, Span, Time, MS, SECOND};
use stackgw_sessions::{
    Output, ReadRequirement, SessionKey, Sessions, StoreFailure, WriteAdmission,
};
use stackgw_store::CommitOutcome;

/// An unconfirmed write fails this many ticks before its client's deadline, so that the response still arrives in time.
const CONFIRMATION_MARGIN_TICKS: Span = 4;

/// Bound on how far a member's clock may be ahead of this instance's; a position beyond it is implausible.
const MAX_CLOCK_SKEW: Span = 10 * SECOND;

fn session_key(statement: &Statement) -> SessionKey {
    SessionKey::of(statement.cluster, statement.key())
}

impl Gateway {
    pub(crate) fn enable_session_sharing(
        &mut self,
        cx: &mut Context<'_>,
        config: &SessionSharingConfig,
        incarnation: Incarnation,
    ) {
        let name = self.static_config.name.clone();
        let local = incarnation.peer(&name);
        self.join_cluster(cx, &ClusterConfig::from(config), local);
        let (sessions, outputs) = SessionCoordination::new(cx.now, config, &name, incarnation);
        self.sessions = Some(Box::new(sessions));
        self.apply_session_outputs(cx, outputs);
        self.schedule_sessions(cx);
    }

    /// Runs an action on the sessions and applies its outputs.
    pub(super) fn run_sessions(
        &mut self,
        cx: &mut Context<'_>,
        action: impl FnOnce(&mut Sessions, &mut Vec<Output>),
    ) {
        if let Some(sessions) = self.sessions.as_mut() {
            let outputs = sessions.apply(action);
            self.apply_session_outputs(cx, outputs);
        }
    }

    fn apply_session_outputs(&mut self, cx: &mut Context<'_>, mut outputs: Vec<Output>) {
        for output in outputs.drain(..) {
            match output {
                Output::Send(to, message) => self.send_to_cluster(cx, |cluster, effects| {
                    cluster.send(to, &message, effects);
                }),
                Output::Store(record) => cx.emit(Effect::StoreRecord(record)),
                Output::Release(ticket) => self.release_write(cx, RequestId(ticket)),
                Output::ReadRequirement(ticket, requirement) => {
                    self.submit_session_read(cx, RequestId(ticket), requirement);
                }
            }
        }
        if let Some(sessions) = self.sessions.as_mut() {
            sessions.recycle(outputs);
        }
    }

    /// Handles a commit or a failure of the session store.
    pub(super) fn handle_store_event(&mut self, cx: &mut Context<'_>, outcome: CommitOutcome) {
        let now = cx.now;
        let (error, quarantined) = match outcome {
            CommitOutcome::Stored(records) => {
                return self.run_sessions(cx, |sessions, outputs| {
                    sessions.handle_records_stored(now, records, outputs);
                });
            }
            CommitOutcome::Failed { error, quarantined } => (error, quarantined),
        };
        let (failure, consequence) = if quarantined {
            let consequence =
                "the store file was quarantined; after a restart session reads are strong at first";
            (StoreFailure::SetAside, consequence)
        } else {
            (StoreFailure::LeftInPlace, "writes are rejected")
        };
        cx.log(format!("{error}; {consequence}"));
        if let Some(sessions) = self.sessions.as_mut() {
            sessions.mark_store_failed();
        }
        self.run_sessions(cx, |sessions, outputs| {
            sessions.handle_store_failure(now, failure, outputs);
        });
    }

    /// Returns why writes are rejected now, or `None` if they are accepted. A write is rejected if its response could not be
    /// sent.
    pub(super) fn write_rejection_reason(&self) -> Option<&'static str> {
        let sessions = self.sessions.as_ref()?.sessions();
        let cluster = self.cluster.as_ref()?.cluster();
        if !sessions.can_release() {
            return Some("this gateway's disk failed, another one takes writes");
        }
        let replicas = sessions.replica_set();
        let is_live_replica = |instance: &InstanceStatus| {
            instance.up && replicas.contains(instance.identity.peer.node)
        };
        let is_cut_off = !sessions.is_replica() && !cluster.instances().any(is_live_replica);
        is_cut_off.then_some("no keeper of sessions is known here, another gateway takes writes")
    }

    /// Reschedules the sessions' timer if its time has changed.
    pub(super) fn schedule_sessions(&mut self, cx: &mut Context<'_>) {
        if let Some(sessions) = self.sessions.as_mut() {
            let at = sessions.sessions().next_deadline();
            let timer = cx.timers.reschedule(sessions.timer(), at, Timer::Sessions);
            sessions.set_timer(Some(timer));
        }
    }

    pub(super) fn handle_sessions_timeout(&mut self, cx: &mut Context<'_>) {
        let Some(sessions) = self.sessions.as_mut() else {
            return;
        };
        sessions.set_timer(None);
        let now = cx.now;
        self.run_sessions(cx, |sessions, outputs| {
            sessions.handle_timeout(now, outputs);
        });
        self.schedule_sessions(cx);
    }

    /// Logs whether session reads are certain (this instance knows the position that each must see) or why they are served as
    /// strong reads, if that has changed.
    pub(super) fn log_session_certainty(&mut self, cx: &mut Context<'_>) {
        let sessions = self.sessions.as_mut();
        if let Some(line) = sessions.and_then(|sessions| sessions.certainty_change(cx.now)) {
            cx.log(line);
        }
    }

    pub(super) fn reload_sessions(
        &mut self,
        cx: &mut Context<'_>,
        config: Option<&SessionSharingConfig>,
    ) {
        let (sessions, config) = match (self.sessions.as_mut(), config) {
            (Some(sessions), Some(config)) => (sessions, config),
            (None, None) => return,
            _ => return cx.log("session sharing can be enabled or disabled only by a restart"),
        };
        let unchanged = sessions.reload(config, &self.static_config.name);
        if !unchanged.is_empty() {
            let names = unchanged.join(", ");
            cx.log(format!("sessions: not applied until a restart: {names}"));
        }
        let now = cx.now;
        let replicas = node_ids(&config.options.keepers);
        self.run_sessions(cx, |sessions, outputs| {
            sessions.set_replicas(now, replicas, outputs);
        });
    }

    // Reads.

    /// Looks up what a session read must see; the read is submitted to the router once that is known.
    pub(super) fn begin_session_read(&mut self, cx: &mut Context<'_>, request: Request) {
        let Some(open) = self.requests.get_mut(request.id) else {
            return;
        };
        let ticket = request.id.0;
        let key = session_key(&open.statement);
        open.awaiting_session = Some(Box::new(request));
        let now = cx.now;
        self.run_sessions(cx, |sessions, outputs| {
            sessions.begin_read(now, ticket, key, outputs);
        });
    }

    fn submit_session_read(
        &mut self,
        cx: &mut Context<'_>,
        id: RequestId,
        requirement: ReadRequirement,
    ) {
        let open = self.requests.get_mut(id);
        let Some(mut request) = open.and_then(|open| open.awaiting_session.take()) else {
            return;
        };
        let is_possible = |position: Time| (0..cx.now + MAX_CLOCK_SKEW).contains(&position);
        match requirement {
            // An impossible position, from a peer or an old file, would overflow or would never be reached by a replica.
            ReadRequirement::Position(Some(position)) if !is_possible(position) => {
                request.requires_strong_read = true;
            }
            // The client's statement may itself carry a position.
            ReadRequirement::Position(position) => {
                request.last_write = request.last_write.max(position);
            }
            ReadRequirement::Strong(reason) => {
                request.requires_strong_read = true;
                if let Some(sessions) = self.sessions.as_mut() {
                    sessions.count_strong_read(reason);
                }
            }
        }
        self.router.enqueue(Event::Request(*request));
    }

    // Writes.

    /// Holds a served write's response until the owners of its session have confirmed the write. Returns the row if the
    /// response needs no confirmation and can be sent at once. If the write cannot be recorded, its request fails at once.
    pub(super) fn await_write_confirmation(
        &mut self,
        cx: &mut Context<'_>,
        id: RequestId,
        position: Option<Time>,
        row: Vec<u8>,
    ) -> Option<Vec<u8>> {
        let open = self.requests.get(id);
        let open = open.filter(|open| open.statement.write && open.requester.is_some());
        let Some(open) = open.filter(|_| self.sessions.is_some()) else {
            return Some(row);
        };
        let key = session_key(&open.statement);
        let deadline = open.deadline;
        self.requests.hold_response(cx, id, row);
        let now = cx.now;
        let mut admission = WriteAdmission::Accepted;
        self.run_sessions(cx, |sessions, outputs| {
            admission = sessions.record_write(now, id.0, key, position, outputs);
        });
        let open = self.requests.get(id);
        let is_held = open.is_some_and(|open| open.has_unconfirmed_write());
        if admission == WriteAdmission::Rejected {
            self.fail_unconfirmed_write(cx, id);
        } else if is_held {
            let tick = self.static_config.settings.router.tick.max(MS);
            let at = (deadline - tick * CONFIRMATION_MARGIN_TICKS).max(cx.now);
            let timeout = cx.timers.set(at, Timer::WriteConfirmation(id));
            self.requests.set_confirmation_timeout(id, timeout);
        }
        None
    }

    /// Sends the response of a confirmed write.
    fn release_write(&mut self, cx: &mut Context<'_>, id: RequestId) {
        if let Some(row) = self.requests.take_held_response(cx, id) {
            let answered = self.answer(cx, id, FinalResponse::Served(row));
            cx.counters.answered_served += u64::from(answered);
        }
    }

    /// Handles a write that has run but could not be recorded or was not confirmed in time. If its response reported
    /// success, the session's next read could miss the write, so the response leaves open whether it ran.
    pub(super) fn fail_unconfirmed_write(&mut self, cx: &mut Context<'_>, id: RequestId) {
        let open = self.requests.get(id);
        if !open.is_some_and(|open| open.has_unconfirmed_write()) {
            return;
        }
        self.cancel_session_ticket(id);
        if let Some(sessions) = self.sessions.as_mut() {
            let count = sessions.count_unconfirmed_write();
            cx.log_rarely(
                count,
                "writes served but not recorded, or not confirmed by their session owners in time:",
            );
        }
        let text = "the write was sent and may have run, its answer could not be confirmed";
        let answered = self.answer(cx, id, FinalResponse::Failed(text));
        cx.counters.answered_failed += u64::from(answered);
    }

    /// Cancels a request's pending read or write of its session.
    pub(super) fn cancel_session_ticket(&mut self, id: RequestId) {
        if let Some(sessions) = self.sessions.as_mut() {
            sessions.cancel(id.0);
        }
    }
}
