//! A client's connection.

use crate::limits::Limits;
use crate::pg::Frame;
use crate::reducer::ids::ClientId;
use stackgw_router::api::{RequestId, Time};
use std::collections::VecDeque;

/// One response's place in a client's pipeline.
#[derive(Debug, Default)]
pub(crate) struct PipelineSlot {
    /// The request that it waits for.
    pub(super) request: Option<RequestId>,
    /// What that request's statement takes.
    pub(super) statement_bytes: usize,
    pub(crate) reply: Vec<u8>,
    /// The connection closes after it.
    pub(crate) is_last: bool,
}

/// A message that waits until what precedes it is answered.
#[derive(Debug)]
pub(crate) struct QueuedFrame {
    /// The deadline of its statement counts from here.
    pub(crate) received_at: Time,
    pub(crate) frame: Frame,
}

/// A client's place among those that may be closed for others: whoever has sent no request goes first, then whoever has been
/// idle longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub(super) has_sent_request: bool,
    pub(super) idle_since: Time,
    pub(super) client: ClientId,
}

/// A client's connection.
#[derive(Debug)]
pub(super) struct Client {
    pub(super) connected_at: Time,
    /// The key that cancels its query; set once its startup is done.
    pub(super) cancel_key: Option<u32>,
    /// Its open requests and the responses that wait behind them, in its order.
    pub(super) pipeline: VecDeque<PipelineSlot>,
    pub(super) queued: VecDeque<QueuedFrame>,
    /// Since when something written to it has not been flushed.
    pub(super) unflushed_since: Option<Time>,
    /// Bytes that are written to it or wait in its pipeline, and are not flushed.
    pub(super) pending_write_bytes: usize,
    /// Since when a message has been incomplete.
    pub(super) partial_since: Option<Time>,
    /// Bytes that it has sent and that are not delivered yet.
    pub(super) read_ahead_bytes: usize,
    /// Malformed statements since its last valid one.
    pub(super) consecutive_malformed: u32,
    /// It came when all places were taken: rejected with its first statement unless there is a place by then.
    pub(super) is_over_capacity: bool,
    /// It sent an empty query before the gateway was ready.
    pub(super) awaits_ready: bool,
    /// It used the extended protocol, which is not supported: its messages are skipped up to its Sync.
    pub(super) skips_to_sync: bool,
    /// Since when nothing more is accepted from it, as its connection ends with an error.
    pub(super) closing_since: Option<Time>,
    pub(super) has_sent_request: bool,
    pub(super) idle_since: Time,
}

impl Client {
    pub(super) fn new(now: Time, is_over_capacity: bool) -> Self {
        Client {
            connected_at: now,
            cancel_key: None,
            pipeline: VecDeque::new(),
            queued: VecDeque::new(),
            unflushed_since: None,
            pending_write_bytes: 0,
            partial_since: None,
            read_ahead_bytes: 0,
            consecutive_malformed: 0,
            is_over_capacity,
            awaits_ready: false,
            skips_to_sync: false,
            closing_since: None,
            has_sent_request: false,
            idle_since: now,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pipeline.is_empty() && self.queued.is_empty() && self.is_receptive()
    }

    /// Whether another message may be delivered, with at most so many statements in its pipeline.
    pub(super) fn accepts_frame(&self, max_pipelined: usize) -> bool {
        self.is_receptive()
            && self.pipeline.len() + self.queued.len() < max_pipelined
            && !self.pipeline.iter().any(|slot| slot.is_last)
    }

    /// Whether another message of this size may be buffered beside what this client and all others have buffered.
    ///
    /// A message within the client's reserve always may. Half of what all clients share is for those that have nothing
    /// buffered; of the other half each may hold as much as it leaves free (a dynamic threshold). So clients that send without
    /// end leave capacity to others.
    pub(super) fn has_capacity(
        &self,
        bytes: usize,
        buffered_bytes: usize,
        limits: &Limits,
    ) -> bool {
        let held_bytes = self.statement_bytes();
        let free_bytes = limits.shared_client_bytes().saturating_sub(buffered_bytes);
        let is_within_reserve = held_bytes.saturating_add(bytes) <= limits.reserved_client_bytes();
        let free_for_more = free_bytes.saturating_sub(limits.shared_client_bytes() / 2);
        is_within_reserve || (held_bytes == 0 && free_bytes > 0) || held_bytes < free_for_more
    }

    /// What its statements take that are queued or open.
    fn statement_bytes(&self) -> usize {
        let queued = self.queued.iter().map(|queued| queued.frame.bytes.len());
        let open = self.pipeline.iter().map(|slot| slot.statement_bytes);
        queued.chain(open).sum()
    }

    fn is_receptive(&self) -> bool {
        self.unflushed_since.is_none() && !self.awaits_ready && self.closing_since.is_none()
    }

    pub(super) fn eviction_rank(&self, client: ClientId) -> EvictionRank {
        EvictionRank {
            has_sent_request: self.has_sent_request,
            idle_since: self.idle_since,
            client,
        }
    }
}
