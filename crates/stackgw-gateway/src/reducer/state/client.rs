//! One client's connection: its pipeline, its buffered bytes and its rank in the eviction order.

use crate::limits::Limits;
use crate::pg::Frame;
use crate::reducer::ids::ClientId;
use stackgw_router::api::{RequestId, Span, Time, MS};
use std::collections::VecDeque;

/// The slot of one response in a client's pipeline.
#[derive(Debug, Default)]
pub(crate) struct PipelineSlot {
    /// The request whose response is awaited; `None` once the response is complete.
    pub(super) request: Option<RequestId>,
    /// Size of that request's statement.
    pub(super) statement_bytes: usize,
    /// Bytes reserved for its response.
    pub(super) reserved_bytes: usize,
    /// The request is idempotent, so that its response may be replaced by a rejection.
    pub(super) is_idempotent: bool,
    pub(crate) reply: Vec<u8>,
    /// The connection is closed after this response.
    pub(crate) is_last: bool,
}

/// A message that waits until the messages before it are answered.
#[derive(Debug)]
pub(crate) struct QueuedFrame {
    /// Start of the statement's deadline.
    pub(crate) received_at: Time,
    pub(crate) frame: Frame,
}

/// A message of which only a part has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PartialMessage {
    /// When its first bytes were read.
    pub(super) started_at: Time,
    /// When its last bytes were read, or when it was last found that the gateway is behind with reading it.
    pub(super) progressed_at: Time,
    /// Start of the time in which it must be complete; `None` while the message would not be accepted.
    pub(super) timeout_from: Option<Time>,
}

/// Why a client may lose its place, in the order in which places are taken. A client with a complete request that is not answered
/// has no such reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionReason {
    /// It has got the error that ends its connection.
    Closing,
    /// It is idle and has sent no request.
    NoRequest,
    /// It is idle after its last request.
    Idle,
    /// It has nothing open and has stopped, or is slow, in the middle of a message.
    StalledMessage,
    /// It does not read its last response.
    UnreadResponse,
}

/// A client's rank in the eviction order: by reason, then the client that has been in that state longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub(super) reason: EvictionReason,
    pub(super) since: Time,
    pub(super) client: ClientId,
}

/// A message that is not complete this long after its start counts as stalled even if bytes of it keep arriving.
const SLOW_MESSAGE: Span = 200 * MS;

/// A client's connection.
#[derive(Debug)]
pub(super) struct Client {
    pub(super) connected_at: Time,
    /// The secret of the key that cancels its query; set once its startup is done.
    pub(super) cancel_key: Option<u32>,
    /// Its open requests and the responses queued behind them, in the order of its messages.
    pub(super) pipeline: VecDeque<PipelineSlot>,
    pub(super) queued: VecDeque<QueuedFrame>,
    /// Since when a write to it has not been flushed.
    pub(super) unflushed_since: Option<Time>,
    /// Bytes that are written to it or queued in its pipeline, and are not flushed.
    pub(super) pending_write_bytes: usize,
    /// The incomplete message that its last bytes belong to, if nothing complete waits before that.
    pub(super) partial: Option<PartialMessage>,
    /// Since when a complete message has waited to be accepted while nothing before it was open.
    pub(super) waiting_since: Option<Time>,
    /// Bytes that it has sent and that are not delivered yet.
    pub(super) read_ahead_bytes: usize,
    /// Malformed statements since its last valid one.
    pub(super) consecutive_malformed: u32,
    /// It connected when the client limit was reached: its first request is rejected unless there is capacity at that time.
    pub(super) is_over_capacity: bool,
    /// It sent an empty query before the gateway was ready.
    pub(super) awaits_ready: bool,
    /// It used the extended protocol, which is not supported: its messages are skipped up to its Sync.
    pub(super) skips_to_sync: bool,
    /// Since when no more messages are accepted from it, as its connection ends with an error.
    pub(super) closing_since: Option<Time>,
    pub(super) has_sent_request: bool,
    pub(super) idle_since: Time,
    /// Its current rank in the eviction order.
    pub(super) rank: Option<EvictionRank>,
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
            partial: None,
            waiting_since: None,
            read_ahead_bytes: 0,
            consecutive_malformed: 0,
            is_over_capacity,
            awaits_ready: false,
            skips_to_sync: false,
            closing_since: None,
            has_sent_request: false,
            idle_since: now,
            rank: None,
        }
    }

    /// Bytes of responses that wait for the responses before them.
    pub(super) fn held_reply_bytes(&self) -> usize {
        self.pipeline.iter().map(|slot| slot.reply.len()).sum()
    }

    /// Bytes written to it that are not flushed.
    pub(super) fn unread_bytes(&self) -> usize {
        self.pending_write_bytes
            .saturating_sub(self.held_reply_bytes())
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pipeline.is_empty() && self.queued.is_empty() && self.is_receptive()
    }

    /// Returns whether another message may be delivered, with at most `max_pipelined` statements in its pipeline and queue.
    pub(super) fn accepts_frame(&self, max_pipelined: usize) -> bool {
        self.is_receptive()
            && self.pipeline.len() + self.queued.len() < max_pipelined
            && !self.pipeline.iter().any(|slot| slot.is_last)
    }

    /// Returns whether another message of this size may be buffered, given the bytes that this client and all others have
    /// buffered.
    ///
    /// A message within the client's reserve is always accepted. Half of the shared bytes is reserved for clients that have
    /// nothing buffered. Of the other half, each client may hold as much as is still free (a dynamic threshold). Clients that
    /// send continuously thus leave capacity to others.
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

    /// Bytes of its queued and open statements.
    fn statement_bytes(&self) -> usize {
        let queued = self.queued.iter().map(|queued| queued.frame.bytes.len());
        let open = self.pipeline.iter().map(|slot| slot.statement_bytes);
        queued.chain(open).sum()
    }

    fn is_receptive(&self) -> bool {
        self.unflushed_since.is_none() && !self.awaits_ready && self.closing_since.is_none()
    }

    /// Returns the client's rank in the eviction order; `None` if it keeps its place.
    pub(super) fn eviction_rank(&self, client: ClientId) -> Option<EvictionRank> {
        let (reason, since) = self.eviction_reason()?;
        Some(EvictionRank {
            reason,
            since,
            client,
        })
    }

    /// Returns since when its incomplete message has stalled, or has been too slow.
    pub(super) fn stalled_since(&self) -> Option<Time> {
        let partial = self.partial?;
        Some(partial.progressed_at.min(partial.started_at + SLOW_MESSAGE))
    }

    /// Returns whether it holds more than its reserve for an incomplete message that has stalled.
    pub(super) fn holds_stalled_message(&self, now: Time, limits: &Limits) -> bool {
        let has_stalled =
            |since: Time| now >= since + limits.eviction_idle && self.closing_since.is_none();
        self.read_ahead_bytes >= limits.reserved_client_bytes()
            && self.stalled_since().is_some_and(has_stalled)
    }

    /// Returns why the client may lose its place, and since when.
    fn eviction_reason(&self) -> Option<(EvictionReason, Time)> {
        if !self.pipeline.is_empty() || !self.queued.is_empty() || self.awaits_ready {
            return None;
        }
        if let Some(since) = self.closing_since {
            let is_flushed = self.unflushed_since.is_none();
            return is_flushed.then_some((EvictionReason::Closing, since));
        }
        if let Some(since) = self.unflushed_since {
            return Some((EvictionReason::UnreadResponse, since));
        }
        if let Some(since) = self.stalled_since() {
            return Some((EvictionReason::StalledMessage, since));
        }
        if self.read_ahead_bytes > 0 {
            return None;
        }
        let reason = match self.has_sent_request {
            true => EvictionReason::Idle,
            false => EvictionReason::NoRequest,
        };
        Some((reason, self.idle_since))
    }
}
