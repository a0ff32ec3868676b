//! The connected clients and their pipelines. Their buffers are in [`super::client_buffers`].

use super::client::{Client, EvictionRank, PipelineSlot, QueuedFrame};
use super::requests::Requests;
use crate::limits::Limits;
use crate::pg::{Frame, Statement};
use crate::reducer::context::Context;
use crate::reducer::ids::ClientId;
use crate::reducer::timers::TimerKey;
use stackgw_router::api::{RequestId, Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// All clients.
///
/// Invariants: the eviction order holds exactly the ranks of all clients that have one; the totals are those of all clients.
pub(crate) struct Clients {
    pub(super) connected: BTreeMap<ClientId, Client>,
    pub(super) eviction_order: BTreeSet<EvictionRank>,
    /// Clients whose connections end after an error.
    pub(super) closing: usize,
    pub(super) read_ahead_bytes: usize,
    pub(super) pending_write_bytes: usize,
    /// Bytes reserved for responses that are still open.
    pub(super) reserved_reply_bytes: usize,
    /// The timer for the next eviction.
    pub(super) admission_timer: Option<TimerKey>,
    pub(super) is_accepting: bool,
    /// The client that was last chosen for eviction.
    pub(super) evicting: Option<ClientId>,
    /// State of the generator of cancel keys.
    cancel_key_seed: u64,
}

/// What a client's new request needs in its pipeline.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenedRequest {
    pub(crate) statement_bytes: usize,
    /// Bytes to reserve for its response if that has to wait for earlier ones.
    pub(crate) reply_bytes: usize,
    pub(crate) is_idempotent: bool,
}

/// Returns whether a time is further in the past than a span; false without a time.
fn has_elapsed(now: Time, since: Option<Time>, span: Span) -> bool {
    since.is_some_and(|since| now - since > span)
}

impl Clients {
    pub(crate) fn new(seed: u64) -> Self {
        Clients {
            connected: BTreeMap::new(),
            eviction_order: BTreeSet::new(),
            closing: 0,
            read_ahead_bytes: 0,
            pending_write_bytes: 0,
            reserved_reply_bytes: 0,
            admission_timer: None,
            is_accepting: false,
            evicting: None,
            cancel_key_seed: seed,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.connected.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.connected.is_empty()
    }

    pub(crate) fn contains(&self, id: ClientId) -> bool {
        self.connected.contains_key(&id)
    }

    pub(crate) fn is_idle(&self, id: ClientId) -> bool {
        self.connected.get(&id).is_some_and(Client::is_idle)
    }

    fn select(&self, condition: impl Fn(&Client) -> bool) -> Vec<ClientId> {
        let selected = self
            .connected
            .iter()
            .filter(|(_, client)| condition(client));
        selected.map(|(id, _)| *id).collect()
    }

    // Connecting and closing.

    pub(crate) fn connect(&mut self, cx: &mut Context<'_>, id: ClientId) {
        cx.counters.clients_opened += 1;
        cx.counters.clients_open += 1;
        let client = Client::new(cx.now, self.connected.len() >= cx.limits.clients);
        self.connected.insert(id, client);
        self.refresh_rank(id);
    }

    /// Removes a client. Returns its open requests, or `None` if it was not connected.
    pub(crate) fn remove(&mut self, cx: &mut Context<'_>, id: ClientId) -> Option<Vec<RequestId>> {
        let client = self.connected.remove(&id)?;
        if let Some(rank) = &client.rank {
            self.eviction_order.remove(rank);
        }
        self.closing -= usize::from(client.closing_since.is_some());
        self.read_ahead_bytes -= client.read_ahead_bytes;
        self.pending_write_bytes -= client.pending_write_bytes;
        let reserved = client.pipeline.iter().map(|slot| slot.reserved_bytes);
        self.reserved_reply_bytes -= reserved.sum::<usize>();
        cx.counters.clients_open -= 1;
        if self.evicting == Some(id) {
            cx.counters.clients_evicted += 1;
            self.evicting = None;
        }
        let queued = client.queued.iter();
        let queued_bytes = queued.map(|queued| queued.frame.bytes.len() as u64);
        cx.counters.buffered_bytes -= queued_bytes.sum::<u64>();
        let slots = client.pipeline.into_iter();
        Some(slots.filter_map(|slot| slot.request).collect())
    }

    /// Updates the eviction order after a client may have become idle or busy. The idle time of an idle client starts now.
    pub(crate) fn refresh_idle(&mut self, now: Time, id: ClientId) {
        if let Some(client) = self
            .connected
            .get_mut(&id)
            .filter(|client| client.is_idle())
        {
            client.idle_since = now;
        }
        self.refresh_rank(id);
    }

    /// Updates a client's rank in the eviction order after its state has changed.
    pub(super) fn refresh_rank(&mut self, id: ClientId) {
        let Some(client) = self.connected.get_mut(&id) else {
            return;
        };
        let rank = client.eviction_rank(id);
        let before = std::mem::replace(&mut client.rank, rank);
        if before == rank {
            return;
        }
        if let Some(before) = before {
            self.eviction_order.remove(&before);
        }
        self.eviction_order.extend(rank);
    }

    /// Marks that a client has sent a request.
    pub(crate) fn mark_request_sent(&mut self, id: ClientId) {
        if let Some(client) = self.connected.get_mut(&id) {
            client.has_sent_request = true;
        }
        self.refresh_rank(id);
    }

    // Messages.

    pub(crate) fn enqueue_frame(
        &mut self,
        cx: &mut Context<'_>,
        id: ClientId,
        queued: QueuedFrame,
    ) {
        if let Some(client) = self.connected.get_mut(&id) {
            cx.counters.buffered_bytes += queued.frame.bytes.len() as u64;
            client.queued.push_back(queued);
        }
        self.refresh_rank(id);
    }

    /// Takes a client's next message if it may run now: everything before it is answered, or the open statements concern other
    /// keys, or it and they only read.
    ///
    /// If pipelined statements ran strictly one after another, each would wait for the slowest before it, possibly until its
    /// deadline; the longest wait is behind a write that waits for a primary.
    pub(crate) fn dequeue_runnable(
        &mut self,
        cx: &mut Context<'_>,
        id: ClientId,
        requests: &Requests,
    ) -> Option<QueuedFrame> {
        let client = self.connected.get_mut(&id)?;
        if client.closing_since.is_some() || client.awaits_ready {
            return None;
        }
        let pipeline = &client.pipeline;
        let may_run_concurrently = |frame: &Frame| {
            let target = Statement::target(frame).filter(|_| frame.kind == b'Q');
            let mut open = pipeline.iter().filter_map(|slot| slot.request);
            target
                .is_some_and(|target| open.all(|request| requests.is_independent(request, &target)))
        };
        let is_runnable =
            |queued: &mut QueuedFrame| pipeline.is_empty() || may_run_concurrently(&queued.frame);
        let queued = client.queued.pop_front_if(is_runnable)?;
        cx.counters.buffered_bytes -= queued.frame.bytes.len() as u64;
        self.refresh_rank(id);
        Some(queued)
    }

    /// Forgets that a client's message is incomplete. Returns whether one was.
    pub(crate) fn take_partial(&mut self, id: ClientId) -> bool {
        let client = self.connected.get_mut(&id);
        let was_partial = client.is_some_and(|client| client.partial.take().is_some());
        self.refresh_rank(id);
        was_partial
    }

    /// Starts the times of a client's incomplete message anew: it waits for the gateway, or is about to be checked.
    pub(crate) fn restart_partial(&mut self, now: Time, id: ClientId) {
        let client = self.connected.get_mut(&id);
        if let Some(partial) = client.and_then(|client| client.partial.as_mut()) {
            partial.started_at = now;
            partial.progressed_at = now;
            partial.timeout_from = partial.timeout_from.map(|_| now);
        }
        self.refresh_rank(id);
    }

    pub(crate) fn is_skipping(&self, id: ClientId) -> bool {
        let client = self.connected.get(&id);
        client.is_some_and(|client| client.skips_to_sync)
    }

    pub(crate) fn set_skipping(&mut self, id: ClientId, skips_to_sync: bool) {
        if let Some(client) = self.connected.get_mut(&id) {
            client.skips_to_sync = skips_to_sync;
        }
    }

    /// Counts a malformed statement. Returns how many came in a row, or `None` if the client is not connected.
    pub(crate) fn count_malformed(&mut self, id: ClientId) -> Option<u32> {
        let client = self.connected.get_mut(&id)?;
        client.consecutive_malformed += 1;
        Some(client.consecutive_malformed)
    }

    // Startup, cancel keys and readiness.

    /// Finishes a client's startup. Returns the secret of its cancel key.
    pub(crate) fn issue_cancel_key(&mut self, id: ClientId) -> u32 {
        self.cancel_key_seed = self
            .cancel_key_seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(id.0 | 1);
        let secret = (self.cancel_key_seed >> 32) as u32;
        if let Some(client) = self.connected.get_mut(&id) {
            client.cancel_key = Some(secret);
        }
        secret
    }

    /// Returns the client's first open request if the secret is that of its cancel key.
    pub(crate) fn cancellable_request(&self, id: ClientId, secret: u32) -> Option<RequestId> {
        let client = self.connected.get(&id)?;
        if client.cancel_key != Some(secret) {
            return None;
        }
        client.pipeline.iter().find_map(|slot| slot.request)
    }

    pub(crate) fn await_ready(&mut self, id: ClientId) {
        if let Some(client) = self.connected.get_mut(&id) {
            client.awaits_ready = true;
        }
        self.refresh_rank(id);
    }

    pub(crate) fn awaiting_ready(&self) -> Vec<ClientId> {
        self.select(|client| client.awaits_ready)
    }

    pub(crate) fn stop_awaiting_ready(&mut self, id: ClientId) {
        if let Some(client) = self.connected.get_mut(&id) {
            client.awaits_ready = false;
        }
        self.refresh_rank(id);
    }

    // The pipeline.

    /// Adds the next slot to a client's pipeline, for a request's response.
    pub(crate) fn push_request(&mut self, id: ClientId, request: RequestId, opened: OpenedRequest) {
        let Some(client) = self.connected.get_mut(&id) else {
            return;
        };
        // The first response of a pipeline waits for no other.
        let waits = !client.pipeline.is_empty();
        let reserved_bytes = if waits { opened.reply_bytes } else { 0 };
        self.reserved_reply_bytes += reserved_bytes;
        client.pipeline.push_back(PipelineSlot {
            request: Some(request),
            statement_bytes: opened.statement_bytes,
            reserved_bytes,
            is_idempotent: opened.is_idempotent,
            ..PipelineSlot::default()
        });
        client.consecutive_malformed = 0;
        self.refresh_rank(id);
    }

    /// Puts a request's response into its slot. Returns false if the client does not wait for it.
    pub(crate) fn fill_slot(
        &mut self,
        now: Time,
        id: ClientId,
        request: RequestId,
        mut reply: Vec<u8>,
    ) -> bool {
        let Some(client) = self.connected.get_mut(&id) else {
            return false;
        };
        let mut slots = client.pipeline.iter_mut().enumerate();
        let Some((index, slot)) = slots.find(|(_, slot)| slot.request == Some(request)) else {
            return false;
        };
        if index > 0 {
            // It is kept for a while, and only its length counts.
            reply.shrink_to_fit();
        }
        client.pending_write_bytes += reply.len();
        self.pending_write_bytes += reply.len();
        self.reserved_reply_bytes -= std::mem::take(&mut slot.reserved_bytes);
        slot.request = None;
        slot.statement_bytes = 0;
        slot.reply = reply;
        // The time of a message behind this response begins now.
        client.waiting_since = client.waiting_since.map(|_| now);
        true
    }

    /// Takes the first slot of a client's pipeline if its response is complete.
    pub(crate) fn pop_completed(&mut self, id: ClientId) -> Option<PipelineSlot> {
        let client = self.connected.get_mut(&id)?;
        let is_completed = |slot: &mut PipelineSlot| slot.request.is_none();
        let slot = client.pipeline.pop_front_if(is_completed);
        self.refresh_rank(id);
        slot
    }

    // Clients to close.

    pub(crate) fn is_closing(&self, id: ClientId) -> bool {
        let client = self.connected.get(&id);
        client.is_some_and(|client| client.closing_since.is_some())
    }

    /// Clients that have not read, or have not closed after an error, in time.
    pub(crate) fn stalled(&self, now: Time, limits: &Limits) -> Vec<ClientId> {
        self.select(|client| {
            has_elapsed(now, client.unflushed_since, limits.client_write_timeout)
                || has_elapsed(now, client.closing_since, limits.linger_timeout)
        })
    }

    /// Clients that have not finished a message in time.
    pub(crate) fn unfinished(&self, now: Time, limits: &Limits) -> Vec<ClientId> {
        self.select(|client| {
            let timeout_from = client.partial.and_then(|partial| partial.timeout_from);
            client.closing_since.is_none()
                && has_elapsed(now, timeout_from, limits.partial_message_timeout)
        })
    }

    /// Returns the first time at which [`unfinished`](Self::unfinished) returns a client if none finishes its message.
    pub(crate) fn next_unfinished_at(&self, limits: &Limits) -> Option<Time> {
        let clients = self.connected.values();
        let open = clients.filter(|client| client.closing_since.is_none());
        let timeouts = open.filter_map(|client| client.partial?.timeout_from);
        let first = timeouts.min()?;
        Some(first + limits.partial_message_timeout + 1)
    }

    /// Clients that have sent no request in time.
    pub(crate) fn unused(&self, now: Time, limits: &Limits) -> Vec<ClientId> {
        self.select(|client| {
            // A client whose complete messages wait for capacity has sent something.
            !client.has_sent_request
                && client.is_idle()
                && client.read_ahead_bytes == 0
                && now - client.connected_at > limits.first_request_timeout
        })
    }

    /// Clients that a shutdown may close: without a request, or waiting for the gateway to be ready.
    pub(crate) fn drainable(&self) -> Vec<ClientId> {
        self.select(|client| client.is_idle() || client.awaits_ready)
    }
}
