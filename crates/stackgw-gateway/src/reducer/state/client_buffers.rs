//! Client buffers: bytes that clients have sent and that are not delivered, and bytes written to clients that are not flushed.
//! Decides whose next message is accepted, which responses are kept until earlier ones are complete, and which client is closed
//! if the buffers of all clients exceed a limit.

use super::client::{Client, PartialMessage, PipelineSlot};
use super::clients::{Clients, OpenedRequest};
use crate::limits::Limits;
use crate::reducer::ids::ClientId;
use crate::reducer::input::ReadAhead;
use stackgw_router::api::{RequestId, Span, Time};
use std::cmp::Reverse;

/// A message that was delivered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReceivedFrame {
    /// The client's startup is done.
    pub(crate) is_started: bool,
    /// Since when it was complete and nothing before it was open.
    pub(crate) received_at: Time,
}

impl Clients {
    // Data from clients.

    /// Returns whether a client's next message, of this size, may be delivered while `buffered_bytes` of statements are
    /// buffered.
    ///
    /// The buffer limit does not apply before a client has finished its startup. Otherwise a cancel request could wait for the
    /// memory that its own query uses and would come too late.
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

    /// Sets what a client has sent that is not delivered. The times of an incomplete message, or of a complete one that waits,
    /// start now unless they are running already. The timeout of an incomplete message runs only while `accepts` says that a
    /// message of this client would be accepted.
    pub(crate) fn set_read_ahead(
        &mut self,
        now: Time,
        id: ClientId,
        read_ahead: ReadAhead,
        accepts: bool,
    ) {
        let Some(client) = self.connected.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut client.read_ahead_bytes, read_ahead.bytes);
        self.read_ahead_bytes = self.read_ahead_bytes - before + read_ahead.bytes;
        client.partial = read_ahead.is_partial.then(|| {
            let mut partial = client.partial.unwrap_or(PartialMessage {
                started_at: now,
                progressed_at: now,
                timeout_from: None,
            });
            if read_ahead.bytes != before {
                partial.progressed_at = now;
            }
            partial.timeout_from = accepts.then(|| partial.timeout_from.unwrap_or(now));
            partial
        });
        let is_waiting = read_ahead.bytes > 0 && !read_ahead.is_partial;
        client.waiting_since = is_waiting.then(|| client.waiting_since.unwrap_or(now));
        self.refresh_rank(id);
    }

    /// Bytes that all clients have sent and that are not delivered.
    pub(crate) fn read_ahead_bytes(&self) -> usize {
        self.read_ahead_bytes
    }

    /// Returns the client to close when the read-ahead of all clients exceeds its limit. Candidates are idle clients with an
    /// incomplete message that have sent more than an equal share of the total and more than `tolerated_bytes`. Clients that
    /// have sent no request are chosen first, then the one with the most bytes.
    ///
    /// Without the lower bounds, a new client with a few bytes would be closed because of the bytes of others.
    pub(crate) fn largest_partial_read_ahead(&self, tolerated_bytes: usize) -> Option<ClientId> {
        let senders = self.connected.iter();
        let senders = senders.filter(|(_, client)| client.read_ahead_bytes > 0);
        let equal_share = self.read_ahead_bytes / senders.clone().count().max(1);
        let lower_bound = equal_share.max(tolerated_bytes);
        let candidates = senders.filter(|(_, client)| {
            client.read_ahead_bytes > lower_bound && client.partial.is_some() && client.is_idle()
        });
        let largest = candidates
            .max_by_key(|(_, client)| (!client.has_sent_request, client.read_ahead_bytes));
        largest.map(|(id, _)| *id)
    }

    /// Returns the clients that may lose the memory of what they have sent while others wait for it: the largest of those that
    /// have stalled within a message, as many as it takes to free half of the limit.
    pub(crate) fn stalled_holders(&self, now: Time, limits: &Limits) -> Vec<ClientId> {
        let mut stalled: Vec<_> = self
            .connected
            .iter()
            .filter(|(_, client)| client.holds_stalled_message(now, limits))
            .map(|(id, client)| (Reverse(client.read_ahead_bytes), *id))
            .collect();
        stalled.sort_unstable();
        let mut freed_bytes = 0;
        let holders = stalled.into_iter().map_while(|(Reverse(bytes), id)| {
            let is_enough = freed_bytes >= limits.shared_client_bytes() / 2;
            freed_bytes += bytes;
            (!is_enough).then_some(id)
        });
        holders.collect()
    }

    /// Forgets what a client has sent ahead, which is dropped.
    pub(crate) fn drop_read_ahead(&mut self, id: ClientId) {
        if let Some(client) = self.connected.get_mut(&id) {
            self.read_ahead_bytes -= std::mem::take(&mut client.read_ahead_bytes);
        }
        self.refresh_rank(id);
    }

    /// Clears a client's read-ahead after the delivery of a message. Returns `None` if the client is not connected.
    pub(crate) fn receive_frame(&mut self, now: Time, id: ClientId) -> Option<ReceivedFrame> {
        let client = self.connected.get_mut(&id)?;
        client.partial = None;
        self.read_ahead_bytes -= std::mem::take(&mut client.read_ahead_bytes);
        let received = ReceivedFrame {
            is_started: client.cancel_key.is_some(),
            received_at: client.waiting_since.take().unwrap_or(now),
        };
        self.refresh_rank(id);
        Some(received)
    }

    // Writes to clients.

    /// Counts bytes as pending. Returns them if they may be written at once; otherwise they are queued at the pipeline's end.
    /// Does nothing if the client is not connected.
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
        self.refresh_rank(id);
        None
    }

    /// Begins a write. Returns false if the client is not connected. If the client is to be closed, its read-ahead is dropped.
    pub(crate) fn begin_write(&mut self, now: Time, id: ClientId, close: bool) -> bool {
        let Some(client) = self.connected.get_mut(&id) else {
            return false;
        };
        client.unflushed_since = client.unflushed_since.or(Some(now));
        if close {
            self.closing += usize::from(client.closing_since.is_none());
            client.closing_since.get_or_insert(now);
            self.read_ahead_bytes -= std::mem::take(&mut client.read_ahead_bytes);
        }
        self.refresh_idle(now, id);
        true
    }

    /// Handles the flush of everything written to a client. Returns false if it is not connected.
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

    /// Bytes written or queued for all clients that are not flushed.
    pub(crate) fn pending_write_bytes(&self) -> usize {
        self.pending_write_bytes
    }

    /// Returns the client to close when the unread bytes of all clients exceed their limit: of the clients that have not read
    /// for at least `min_unread_time` the one with the most unread bytes, and at equal bytes the one that has not read for
    /// longest. The client that is being written to is a candidate only if an earlier write is not flushed. A client without
    /// unread bytes is none: responses that wait for an earlier one are held by the gateway, not by their client.
    pub(crate) fn largest_unread(
        &self,
        now: Time,
        writing_to: ClientId,
        min_unread_time: Span,
    ) -> Option<ClientId> {
        let candidates = self.connected.iter().filter(|(id, client)| {
            let unread_since = client.unflushed_since;
            unread_since.is_some_and(|since| {
                let is_unread = **id != writing_to || since < now;
                is_unread && now - since >= min_unread_time && client.unread_bytes() > 0
            })
        });
        let largest = candidates.max_by_key(|(id, client)| {
            let since = client.unflushed_since;
            (client.unread_bytes(), Reverse((since, **id)))
        });
        largest.map(|(id, _)| *id)
    }

    // Responses that wait for earlier ones.

    /// Returns whether a response of this size may be kept for a client until the responses before it are complete. One that
    /// waits for none needs no capacity.
    pub(crate) fn may_hold_reply(
        &self,
        id: ClientId,
        request: RequestId,
        bytes: usize,
        limits: &Limits,
    ) -> bool {
        let client = self.connected.get(&id);
        let first = client.and_then(|client| client.pipeline.front());
        let waits = first.is_some_and(|slot| slot.request != Some(request));
        !waits || self.has_held_capacity(bytes, limits)
    }

    /// Returns whether a client's next statement may be accepted as far as its response is concerned: the response waits for no
    /// other, or can be kept.
    pub(crate) fn may_open_request(
        &self,
        id: ClientId,
        opened: &OpenedRequest,
        limits: &Limits,
    ) -> bool {
        let client = self.connected.get(&id);
        let waits = client.is_some_and(|client| !client.pipeline.is_empty());
        !waits || self.has_held_capacity(opened.reply_bytes, limits)
    }

    fn has_held_capacity(&self, bytes: usize, limits: &Limits) -> bool {
        let used = self.pending_write_bytes + self.reserved_reply_bytes;
        used.saturating_add(bytes) <= limits.held_reply_bytes()
    }

    /// Replaces the last response that may be replaced of the client with the most bytes of such responses. Returns false if
    /// there is none that is larger than the replacement.
    pub(crate) fn replace_held_reply(&mut self, replacement: &[u8]) -> bool {
        let is_replaceable =
            |slot: &PipelineSlot| slot.is_idempotent && slot.reply.len() > replacement.len();
        let replaceable_bytes = |client: &Client| -> usize {
            let slots = client.pipeline.iter().filter(|slot| is_replaceable(slot));
            slots.map(|slot| slot.reply.len()).sum()
        };
        let largest = self
            .connected
            .values_mut()
            .max_by_key(|client| replaceable_bytes(client));
        let Some(client) = largest else {
            return false;
        };
        let mut slots = client.pipeline.iter_mut().rev();
        let Some(slot) = slots.find(|slot| is_replaceable(slot)) else {
            return false;
        };
        let freed = slot.reply.len() - replacement.len();
        slot.reply = replacement.to_vec();
        client.pending_write_bytes -= freed;
        self.pending_write_bytes -= freed;
        true
    }
}
