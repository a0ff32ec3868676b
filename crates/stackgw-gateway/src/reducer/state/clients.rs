//! The clients that are connected, their pipelines and their buffers.

use super::client::{Client, EvictionRank, PipelineSlot, QueuedFrame};
use super::requests::Requests;
use crate::limits::Limits;
use crate::pg::{Frame, Statement};
use crate::reducer::context::Context;
use crate::reducer::ids::ClientId;
use stackgw_router::api::{RequestId, Span, Time};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// All clients.
///
/// Invariants: the eviction order holds exactly the idle clients; the byte totals are the sums over all clients.
pub(crate) struct Clients {
    pub(super) connected: BTreeMap<ClientId, Client>,
    pub(super) eviction_order: BTreeSet<EvictionRank>,
    read_ahead_bytes: usize,
    pending_write_bytes: usize,
    /// A timer for the next eviction is pending.
    pub(super) admission_timer_pending: bool,
    pub(super) is_accepting: bool,
    /// The client that was last asked to make room.
    pub(super) evicting: Option<ClientId>,
    /// State of the generator of cancel keys.
    cancel_key_seed: u64,
}

/// Whether a time lies further back than a span.
fn has_passed(now: Time, since: Option<Time>, span: Span) -> bool {
    since.is_some_and(|since| now - since > span)
}

impl Clients {
    pub(crate) fn new(seed: u64) -> Self {
        Clients {
            connected: BTreeMap::new(),
            eviction_order: BTreeSet::new(),
            read_ahead_bytes: 0,
            pending_write_bytes: 0,
            admission_timer_pending: false,
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
        self.eviction_order.insert(client.eviction_rank(id));
        self.connected.insert(id, client);
    }

    /// Removes a client; its open requests. `None`: it was not connected.
    pub(crate) fn remove(&mut self, cx: &mut Context<'_>, id: ClientId) -> Option<Vec<RequestId>> {
        let client = self.connected.remove(&id)?;
        self.eviction_order.remove(&client.eviction_rank(id));
        self.read_ahead_bytes -= client.read_ahead_bytes;
        self.pending_write_bytes -= client.pending_write_bytes;
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

    /// Takes note that a client's state has changed: it may have become idle, or busy.
    pub(crate) fn refresh_idle(&mut self, now: Time, id: ClientId) {
        let Some(client) = self.connected.get_mut(&id) else {
            return;
        };
        self.eviction_order.remove(&client.eviction_rank(id));
        if client.is_idle() {
            client.idle_since = now;
            self.eviction_order.insert(client.eviction_rank(id));
        }
    }

    /// A client has sent its first request, or another one.
    pub(crate) fn mark_request_sent(&mut self, id: ClientId) {
        let Some(client) = self.connected.get_mut(&id) else {
            return;
        };
        self.eviction_order.remove(&client.eviction_rank(id));
        client.has_sent_request = true;
        if client.is_idle() {
            self.eviction_order.insert(client.eviction_rank(id));
        }
    }

    // What clients send.

    /// Whether a client's next message, of this size, may be delivered while so many bytes of statements are buffered.
    ///
    /// Danger: a cancel request that waited for the memory that its own query takes would come too late, so a client that
    /// has not finished its startup needs none.
    pub(crate) fn accepts_frame(
        &self,
        id: ClientId,
        bytes: usize,
        buffered_bytes: usize,
        limits: &Limits,
    ) -> bool {
        self.connected.get(&id).is_some_and(|client| {
            client.accepts_frame(limits.max_pipelined_statements)
                && (client.cancel_key.is_none()
                    || client.has_capacity(bytes, buffered_bytes, limits))
        })
    }

    /// Sets what a client has sent that is not delivered. A message that is incomplete counts from now if `is_partial`.
    pub(crate) fn set_read_ahead(
        &mut self,
        now: Time,
        id: ClientId,
        bytes: usize,
        is_partial: bool,
    ) {
        let Some(client) = self.connected.get_mut(&id) else {
            return;
        };
        self.read_ahead_bytes = self.read_ahead_bytes - client.read_ahead_bytes + bytes;
        client.read_ahead_bytes = bytes;
        client.partial_since = is_partial.then(|| client.partial_since.unwrap_or(now));
    }

    /// What all clients have sent that is not delivered.
    pub(crate) fn read_ahead_bytes(&self) -> usize {
        self.read_ahead_bytes
    }

    /// The client that is closed for what all have sent ahead: of the idle ones that do not finish a message and have sent
    /// more than an equal part of the total, and more than `tolerated_bytes`, the one with the most bytes; one that has sent
    /// no request before all others.
    ///
    /// Danger: without the lower bounds a newcomer with a few bytes would be closed for what others have sent.
    pub(crate) fn largest_partial_read_ahead(&self, tolerated_bytes: usize) -> Option<ClientId> {
        let senders = self.connected.iter();
        let senders = senders.filter(|(_, client)| client.read_ahead_bytes > 0);
        let equal_part = self.read_ahead_bytes / senders.clone().count().max(1);
        let lower_bound = equal_part.max(tolerated_bytes);
        let candidates = senders.filter(|(_, client)| {
            client.read_ahead_bytes > lower_bound
                && client.partial_since.is_some()
                && client.is_idle()
        });
        let largest = candidates
            .max_by_key(|(_, client)| (!client.has_sent_request, client.read_ahead_bytes));
        largest.map(|(id, _)| *id)
    }

    /// A client's message is delivered: nothing is incomplete or undelivered any more. Whether its startup is done; `None`: it
    /// is not connected.
    pub(crate) fn receive_frame(&mut self, id: ClientId) -> Option<bool> {
        let client = self.connected.get_mut(&id)?;
        client.partial_since = None;
        self.read_ahead_bytes -= std::mem::take(&mut client.read_ahead_bytes);
        Some(client.cancel_key.is_some())
    }

    pub(crate) fn enqueue_frame(&mut self, cx: &mut Context<'_>, id: ClientId, frame: Frame) {
        if let Some(client) = self.connected.get_mut(&id) {
            cx.counters.buffered_bytes += frame.bytes.len() as u64;
            client.queued.push_back(QueuedFrame {
                received_at: cx.now,
                frame,
            });
        }
    }

    /// Takes a client's next message if it may run now: once everything before it is answered, or beside statements of other
    /// keys, or as a read beside reads.
    ///
    /// Danger: one after another, pipelined statements would wait for the slowest before them until their deadline, above all
    /// behind a write that waits for a primary.
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
        let runs_beside = |frame: &Frame| {
            let target = Statement::target(frame).filter(|_| frame.kind == b'Q');
            let mut open = pipeline.iter().filter_map(|slot| slot.request);
            target
                .is_some_and(|target| open.all(|request| requests.is_independent(request, &target)))
        };
        let is_runnable =
            |queued: &mut QueuedFrame| pipeline.is_empty() || runs_beside(&queued.frame);
        let queued = client.queued.pop_front_if(is_runnable)?;
        cx.counters.buffered_bytes -= queued.frame.bytes.len() as u64;
        Some(queued)
    }

    /// Ends the wait for the rest of a message; whether there was one.
    pub(crate) fn take_partial(&mut self, id: ClientId) -> bool {
        let client = self.connected.get_mut(&id);
        client.is_some_and(|client| client.partial_since.take().is_some())
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

    /// Counts a malformed statement; how many came in a row. `None`: the client is not connected.
    pub(crate) fn count_malformed(&mut self, id: ClientId) -> Option<u32> {
        let client = self.connected.get_mut(&id)?;
        client.consecutive_malformed += 1;
        Some(client.consecutive_malformed)
    }

    // Startup, cancel keys and readiness.

    /// Finishes a client's startup; the secret of its cancel key.
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

    /// The first open request of the client that has this cancel key.
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
    }

    pub(crate) fn awaiting_ready(&self) -> Vec<ClientId> {
        self.select(|client| client.awaits_ready)
    }

    pub(crate) fn stop_awaiting_ready(&mut self, id: ClientId) {
        if let Some(client) = self.connected.get_mut(&id) {
            client.awaits_ready = false;
        }
    }

    // The pipeline.

    /// Reserves the next place in a client's pipeline for a request's response.
    pub(crate) fn push_request(
        &mut self,
        id: ClientId,
        request: RequestId,
        statement_bytes: usize,
    ) {
        if let Some(client) = self.connected.get_mut(&id) {
            client.pipeline.push_back(PipelineSlot {
                request: Some(request),
                statement_bytes,
                ..PipelineSlot::default()
            });
            client.consecutive_malformed = 0;
        }
    }

    /// Puts a request's response into its place; false if the client does not wait for it.
    pub(crate) fn fill_slot(&mut self, id: ClientId, request: RequestId, reply: Vec<u8>) -> bool {
        let Some(client) = self.connected.get_mut(&id) else {
            return false;
        };
        let mut slots = client.pipeline.iter_mut();
        let Some(slot) = slots.find(|slot| slot.request == Some(request)) else {
            return false;
        };
        client.pending_write_bytes += reply.len();
        self.pending_write_bytes += reply.len();
        slot.request = None;
        slot.statement_bytes = 0;
        slot.reply = reply;
        true
    }

    /// Takes the first response of a client's pipeline, if nothing before it is open.
    pub(crate) fn pop_completed(&mut self, id: ClientId) -> Option<PipelineSlot> {
        let client = self.connected.get_mut(&id)?;
        let is_completed = |slot: &mut PipelineSlot| slot.request.is_none();
        client.pipeline.pop_front_if(is_completed)
    }

    // What is written to clients.

    /// Counts bytes as pending. They are returned if they may be written at once, else kept behind the pipeline.
    pub(crate) fn prepare_write(
        &mut self,
        id: ClientId,
        bytes: Vec<u8>,
        close: bool,
    ) -> Option<Vec<u8>> {
        let client = self.connected.get_mut(&id)?;
        client.pending_write_bytes += bytes.len();
        self.pending_write_bytes += bytes.len();
        if client.pipeline.is_empty() {
            return Some(bytes);
        }
        client.pipeline.push_back(PipelineSlot {
            reply: bytes,
            is_last: close,
            ..PipelineSlot::default()
        });
        None
    }

    /// A write begins; false if the client is not connected. What a client that is closed has sent is dropped.
    pub(crate) fn begin_write(&mut self, now: Time, id: ClientId, close: bool) -> bool {
        let Some(client) = self.connected.get_mut(&id) else {
            return false;
        };
        client.unflushed_since = client.unflushed_since.or(Some(now));
        if close {
            client.closing_since.get_or_insert(now);
            self.read_ahead_bytes -= std::mem::take(&mut client.read_ahead_bytes);
        }
        self.refresh_idle(now, id);
        true
    }

    /// Everything that was written to a client is flushed; false if it is not connected.
    pub(crate) fn finish_write(&mut self, now: Time, id: ClientId) -> bool {
        let Some(client) = self.connected.get_mut(&id) else {
            return false;
        };
        client.unflushed_since = None;
        let waiting = client.pipeline.iter().map(|slot| slot.reply.len()).sum();
        let before = std::mem::replace(&mut client.pending_write_bytes, waiting);
        self.pending_write_bytes -= before - waiting;
        self.refresh_idle(now, id);
        true
    }

    /// Bytes of all clients that are not flushed.
    pub(crate) fn pending_write_bytes(&self) -> usize {
        self.pending_write_bytes
    }

    /// The client that is closed for what all have left unread: of those that do not read, the one with the most bytes, then
    /// the one that has not read for longest. A client that something is being written to counts where it has not read what
    /// came before. Where all read, it is the one with the most bytes behind a response that is not there yet.
    pub(crate) fn largest_unread(&self, now: Time, writing_to: ClientId) -> Option<ClientId> {
        let candidates = self.connected.iter().filter(|(id, client)| {
            let was_unflushed = client.unflushed_since.is_some_and(|since| since < now);
            client.pending_write_bytes > 0 && (**id != writing_to || was_unflushed)
        });
        let largest = candidates.max_by_key(|(id, client)| {
            let since = client.unflushed_since;
            (
                since.is_some(),
                client.pending_write_bytes,
                Reverse((since, **id)),
            )
        });
        largest.map(|(id, _)| *id)
    }

    // Clients whose time is up.

    pub(crate) fn is_closing(&self, id: ClientId) -> bool {
        let client = self.connected.get(&id);
        client.is_some_and(|client| client.closing_since.is_some())
    }

    /// Clients that do not read, or do not close after an error.
    pub(crate) fn stalled(&self, now: Time, limits: &Limits) -> Vec<ClientId> {
        self.select(|client| {
            has_passed(now, client.unflushed_since, limits.client_write_timeout)
                || has_passed(now, client.closing_since, limits.linger_timeout)
        })
    }

    /// Clients that do not finish a message, or have sent no request in time.
    pub(crate) fn inactive(&self, now: Time, limits: &Limits) -> Vec<ClientId> {
        self.select(|client| {
            let is_partial = has_passed(now, client.partial_since, limits.partial_message_timeout);
            // One whose complete messages wait for capacity has sent something.
            let is_unused = !client.has_sent_request
                && client.is_idle()
                && client.read_ahead_bytes == 0
                && now - client.connected_at > limits.first_request_timeout;
            client.closing_since.is_none() && (is_partial || is_unused)
        })
    }

    /// Clients that a shutdown may close: without a request, or waiting for the gateway to be ready.
    pub(crate) fn drainable(&self) -> Vec<ClientId> {
        self.select(|client| client.is_idle() || client.awaits_ready)
    }
}
