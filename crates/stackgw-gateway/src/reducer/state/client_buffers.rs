//! What clients have sent that is not delivered, and what is written to them that is not flushed: who may go on, and who pays
//! where all together hold too much.

use super::client::PipelineSlot;
use super::clients::Clients;
use crate::limits::Limits;
use crate::reducer::ids::ClientId;
use stackgw_router::api::Time;
use std::cmp::Reverse;

impl Clients {
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
}
