//! Dispatches inputs and timers to their handlers.

use crate::counters::Counters;
use crate::limits::Limits;
use crate::reducer::context::Context;
use crate::reducer::ids::ClientId;
use crate::reducer::input::{CloseReason, Input};
use crate::reducer::state::Gateway;
use crate::reducer::timers::Timer;
use stackgw_router::api::{Event, ListScope, MS};

impl Gateway {
    /// Handles one input, then delivers the events that it queued to the router and updates timers and admission.
    pub(crate) fn handle(&mut self, cx: &mut Context<'_>, input: Input) {
        self.detect_stall(cx);
        self.handle_input(cx, input);
        self.run_router(cx);
        self.reject_queued(cx);
        self.schedule_sessions(cx);
        self.schedule_cluster(cx);
        self.schedule_bootstrap(cx);
        let is_listening = !self.shutdown.listener_closed();
        if let Some(eviction) = self.clients.admit(cx, is_listening) {
            self.evict(cx, eviction);
        }
        cx.counters.read_ahead_bytes = self.clients.read_ahead_bytes() as u64;
        cx.counters.raise_peaks();
        if !is_listening && self.clients.is_empty() && !self.requests.has_calls() {
            self.exit(cx);
        }
    }

    fn detect_stall(&mut self, cx: &mut Context<'_>) {
        let next_due = cx.timers.next_due();
        let Some(length) = self.stalls.record_input(cx.now, next_due, cx.limits) else {
            return;
        };
        let length_ms = (length / MS) as u64;
        cx.counters.stalls += 1;
        cx.counters.longest_stall_ms = cx.counters.longest_stall_ms.max(length_ms);
        cx.log_rarely(cx.counters.stalls, "pauses of this process:");
        cx.set_timer_after(cx.limits.stall_hold, Timer::StallHold);
    }

    fn handle_input(&mut self, cx: &mut Context<'_>, input: Input) {
        match input {
            Input::ClientConnected(id) => self.clients.connect(cx, id),
            Input::ClientFrame(id, frame) => self.handle_client_frame(cx, id, frame),
            Input::ClientFrames(id, frames) => {
                for frame in frames {
                    self.handle_client_frame(cx, id, frame);
                }
            }
            Input::ClientFrameOverdue(id, frame) => self.handle_overdue_frame(cx, id, frame),
            Input::ClientReadAhead(id, read_ahead) => self.handle_read_ahead(cx, id, read_ahead),
            Input::ReadAheadExhausted => self.free_read_ahead(cx),
            Input::ClientStalled(id, reason) => self.handle_client_stalled(cx, id, reason),
            Input::ClientFlushed(id) => self.handle_client_flushed(cx, id),
            Input::ClientClosed(id, CloseReason::ProtocolError) => {
                self.handle_client_protocol_error(cx, id)
            }
            Input::ClientClosed(id, _) => self.remove_client(cx, id),
            Input::MemberConnected(id) => self.handle_member_connected(cx, id),
            Input::MemberFlushed(id) => self.handle_member_flushed(cx, id),
            Input::MemberFrame(id, frame) => self.handle_member_frame(cx, id, &frame),
            Input::MemberPartialFrame(id) => self.handle_member_partial_frame(cx, id),
            Input::MemberClosed(id, reason) => self.handle_member_closed(cx, id, reason),
            Input::StreamStarted(id, header) => self.handle_stream_started(cx, id, header),
            Input::StreamPaused(id) => self.handle_stream_paused(id),
            Input::StreamEnded(id, outcome) => self.handle_stream_ended(cx, id, outcome),
            Input::Call(call, frame, may_stream) => self.handle_call(cx, call, frame, may_stream),
            Input::CallCancelled(call) => self.handle_call_cancelled(cx, call),
            Input::Start => self.start(cx),
            Input::EndpointList(list) => self.handle_endpoint_list(cx, list),
            Input::WatchConnected => self.handle_watch_connected(cx),
            Input::WatchKeepalive => self.handle_watch_keepalive(cx),
            Input::WatchLost(error) => self.handle_watch_lost(cx, &error),
            Input::FetchFailed => self.handle_fetch_failed(),
            Input::GossipDatagram(from, bytes) => self.handle_gossip(cx, from, &bytes),
            Input::ClusterDatagram(bytes) => self.handle_cluster_datagram(cx, &bytes),
            Input::StoreEvent(outcome) => self.handle_store_event(cx, outcome),
            Input::StatusQuery(id, query) => self.handle_status_query(cx, id, query),
            Input::TimerDue => self.handle_due_timers(cx),
            Input::Reload(config) => self.reload(cx, config),
            Input::Terminate => self.begin_shutdown(cx),
            Input::ListenerClosed => self.handle_listener_closed(cx),
            Input::Report => self.report(cx),
        }
    }

    fn start(&mut self, cx: &mut Context<'_>) {
        let initial = self.watch.take_initial();
        // A router that polls the list does so at a list that may be outdated, and at one that could not be had.
        let scope = match initial {
            Some(_) => ListScope::Cached,
            None => ListScope::Failed,
        };
        let mut members = Vec::new();
        if let Some(list) = initial {
            self.watch.set_revision(list.revision);
            let entries = list.members.iter();
            members = entries
                .filter_map(|entry| self.apply_list_entry(cx, entry))
                .collect();
        }
        self.router.enqueue(Event::EndpointList { scope, members });
        cx.set_timer_after(cx.limits.sweep_interval, Timer::Sweep);
        if self.watch.is_subscribed() && self.bootstrap.is_none() {
            self.watch.open(cx);
        }
        cx.log(format!("started with {} known members", self.members.len()));
    }

    /// Handles the due timers. The events that each one queues are delivered to the router before the next one.
    fn handle_due_timers(&mut self, cx: &mut Context<'_>) {
        while let Some(timer) = cx.timers.pop_due(cx.now) {
            self.handle_timer(cx, timer);
            self.run_router(cx);
        }
    }

    fn handle_timer(&mut self, cx: &mut Context<'_>, timer: Timer) {
        match timer {
            Timer::Router(token) => self.router.enqueue(Event::Timer(token)),
            Timer::Connection(id) => self.handle_connection_timeout(cx, id),
            Timer::Sweep => self.sweep(cx),
            Timer::WatchReconnect => {
                if self.watch.is_subscribed() && !self.watch.is_open() {
                    self.watch.open(cx);
                }
            }
            Timer::WatchTimeout => self.handle_watch_timeout(cx),
            // The router's events are delivered after each timer.
            Timer::StallHold => {}
            Timer::Admission => self.clients.clear_admission_timer(),
            Timer::Sessions => self.handle_sessions_timeout(cx),
            Timer::Cluster => self.handle_cluster_timeout(cx),
            Timer::Bootstrap => self.handle_bootstrap_timeout(cx),
            Timer::WriteConfirmation(request) => self.fail_unconfirmed_write(cx, request),
            Timer::StopListening => self.stop_listening(cx),
            Timer::DrainClients => self.drain_clients(cx),
            Timer::StopQueueing => self.stop_queueing(),
            Timer::RejectRemaining => self.reject_remaining(cx),
            Timer::ShutdownDeadline => self.exit(cx),
        }
    }

    /// Returns whether a client's next message, of this size in bytes, may be delivered.
    pub(crate) fn accepts_frame(
        &self,
        id: ClientId,
        bytes: usize,
        counters: &Counters,
        limits: &Limits,
    ) -> bool {
        let buffered = usize::try_from(counters.buffered_bytes).unwrap_or(usize::MAX);
        self.clients.accepts_frame(id, bytes, buffered, limits)
    }
}
