//! Buffer space and timeouts of bulk streams.

use crate::limits::{EndReason, StreamLimits, TooManyStreams};
use stackgw_router::api::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Identifies a stream within its [`FlowControl`]. Never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(u64);

/// A stream that [`FlowControl::expire`] has ended and closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiredStream {
    /// Identifies the stream.
    pub id: StreamId,
    /// Why it was ended.
    pub reason: EndReason,
}

/// One stream.
#[derive(Debug, Default)]
struct StreamState {
    /// Bytes received from the member and not yet consumed by the reader.
    buffered_bytes: usize,
    /// When the reader last consumed a message, or the first message was buffered; `None` while
    /// nothing is buffered.
    unread_since: Option<Time>,
    /// When the read in progress began; `None` while the member is not being read.
    reading_since: Option<Time>,
    /// Whether the stream is in [`FlowControl::queue`], waiting for space within
    /// [`StreamLimits::bytes_total`].
    queued: bool,
    /// Whether the member has sent its last message.
    receive_finished: bool,
    /// The client's deadline.
    deadline: Option<Time>,
    /// The stream's entry in [`FlowControl::timeouts`].
    next_timeout: Option<Time>,
}

impl StreamState {
    /// The times at which the stream is to be ended, with their reasons. The client's deadline is
    /// first because it takes precedence over the other timeouts.
    fn timeouts(&self, limits: &StreamLimits) -> impl Iterator<Item = (Time, EndReason)> {
        let deadline = self.deadline.map(|at| (at, EndReason::DeadlineExceeded));
        let reader = self
            .unread_since
            .map(|since| (since + limits.reader_timeout, EndReason::SlowReader));
        let member = self
            .reading_since
            .map(|since| (since + limits.member_timeout, EndReason::UnresponsiveMember));
        [deadline, reader, member].into_iter().flatten()
    }

    /// The first reason in the order of [`StreamState::timeouts`] whose time has passed.
    fn expired(&self, limits: &StreamLimits, now: Time) -> Option<EndReason> {
        let mut timeouts = self.timeouts(limits);
        timeouts
            .find(|(at, _)| *at <= now)
            .map(|(_, reason)| reason)
    }
}

/// Flow control over all bulk streams of a gateway.
///
/// Calls with the ID of a closed stream have no effect.
#[derive(Debug)]
pub struct FlowControl {
    limits: StreamLimits,
    streams: BTreeMap<StreamId, StreamState>,
    next_id: u64,
    /// Bytes buffered by all streams.
    buffered_bytes: usize,
    /// Streams that wait for space within [`StreamLimits::bytes_total`], longest waiting first. May
    /// contain streams that are closed or no longer waiting; these are skipped when they reach the
    /// front.
    queue: VecDeque<StreamId>,
    /// Streams that may read again and have not been returned by [`FlowControl::take_resumed`] yet.
    resumed: Vec<StreamId>,
    /// The next timeout of each stream that has one.
    timeouts: BTreeSet<(Time, StreamId)>,
}

impl FlowControl {
    /// Creates flow control without streams.
    pub fn new(limits: StreamLimits) -> Self {
        FlowControl {
            limits,
            streams: BTreeMap::new(),
            next_id: 0,
            buffered_bytes: 0,
            queue: VecDeque::new(),
            resumed: Vec::new(),
            timeouts: BTreeSet::new(),
        }
    }

    /// Opens a stream.
    ///
    /// # Errors
    ///
    /// Returns [`TooManyStreams`] if [`StreamLimits::max_streams`] are open.
    pub fn open(&mut self) -> Result<StreamId, TooManyStreams> {
        if self.streams.len() >= self.limits.max_streams {
            return Err(TooManyStreams);
        }
        let id = StreamId(self.next_id);
        self.next_id += 1;
        self.streams.insert(id, StreamState::default());
        Ok(id)
    }

    /// Sets the client's deadline, which replaces an earlier one.
    pub fn set_deadline(&mut self, id: StreamId, deadline: Time) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.deadline = Some(deadline);
            self.update_timeout(id);
        }
    }

    /// Requests permission to read one message from the stream's member. Returns whether it is
    /// granted.
    ///
    /// If it is granted, [`StreamLimits::member_timeout`] starts. Otherwise,
    /// [`FlowControl::take_resumed`] returns the stream once the call can be repeated, unless the
    /// stream is closed or its member has sent its last message.
    pub fn try_read(&mut self, now: Time, id: StreamId) -> bool {
        let total_exhausted = self.buffered_bytes >= self.limits.bytes_total;
        let Some(stream) = self.streams.get_mut(&id) else {
            return false;
        };
        if stream.receive_finished || stream.buffered_bytes >= self.limits.bytes_per_stream {
            return false;
        }
        // A stream that buffers nothing may read even if the total is exhausted. Otherwise, streams
        // whose clients do not read could occupy the whole buffer and stall all other streams.
        if total_exhausted && stream.buffered_bytes > 0 {
            if !stream.queued {
                stream.queued = true;
                self.queue.push_back(id);
            }
            return false;
        }
        stream.reading_since.get_or_insert(now);
        self.update_timeout(id);
        true
    }

    /// Records that a message from the stream's member was received and buffered.
    pub fn record_received(&mut self, now: Time, id: StreamId, bytes: usize) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.buffered_bytes += bytes;
        self.buffered_bytes += bytes;
        stream.reading_since = None;
        stream.unread_since.get_or_insert(now);
        self.update_timeout(id);
    }

    /// Records that the reader consumed a message, which frees its buffer space and restarts
    /// [`StreamLimits::reader_timeout`].
    pub fn record_consumed(&mut self, now: Time, id: StreamId, bytes: usize) {
        let limit = self.limits.bytes_per_stream;
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let bytes_before = stream.buffered_bytes;
        let freed_bytes = bytes.min(bytes_before);
        stream.buffered_bytes -= freed_bytes;
        self.buffered_bytes -= freed_bytes;
        let is_empty = stream.buffered_bytes == 0;
        stream.unread_since = (!is_empty).then_some(now);
        let fell_below_limit = bytes_before >= limit && stream.buffered_bytes < limit;
        if (fell_below_limit || is_empty) && !stream.receive_finished {
            self.resumed.push(id);
        }
        self.update_timeout(id);
        self.resume_queued();
    }

    /// Records that the member has sent its last message. Buffered messages can still be consumed.
    pub fn finish_receiving(&mut self, id: StreamId) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.receive_finished = true;
            stream.reading_since = None;
            self.update_timeout(id);
        }
    }

    /// Closes a stream and releases its buffer space.
    pub fn close(&mut self, id: StreamId) {
        let Some(stream) = self.streams.remove(&id) else {
            return;
        };
        self.buffered_bytes -= stream.buffered_bytes;
        if let Some(at) = stream.next_timeout {
            self.timeouts.remove(&(at, id));
        }
        self.resume_queued();
    }

    /// Returns the streams for which [`FlowControl::try_read`] can be called again, and clears the
    /// list of them. Streams on the list may not have been denied a read, and may have been closed.
    pub fn take_resumed(&mut self) -> Vec<StreamId> {
        std::mem::take(&mut self.resumed)
    }

    /// Returns when [`FlowControl::expire`] has to be called next; `None` if no stream has a
    /// timeout.
    pub fn next_timeout(&self) -> Option<Time> {
        self.timeouts.first().map(|(at, _)| *at)
    }

    /// Ends and closes the streams whose deadline or timeout has passed. Returns them with the
    /// reasons.
    pub fn expire(&mut self, now: Time) -> Vec<ExpiredStream> {
        let mut expired = Vec::new();
        while let Some((at, id)) = self.timeouts.first().copied() {
            if at > now {
                break;
            }
            let stream = self.streams.get(&id);
            if let Some(reason) = stream.and_then(|stream| stream.expired(&self.limits, now)) {
                expired.push(ExpiredStream { id, reason });
            }
            self.close(id);
        }
        expired
    }

    /// Returns the number of bytes buffered by all streams.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Returns the number of open streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is open.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Updates `timeouts` after a change of the stream's state.
    fn update_timeout(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let next_timeout = stream.timeouts(&self.limits).map(|(at, _)| at).min();
        let previous = std::mem::replace(&mut stream.next_timeout, next_timeout);
        if previous == next_timeout {
            return;
        }
        if let Some(at) = previous {
            self.timeouts.remove(&(at, id));
        }
        if let Some(at) = next_timeout {
            self.timeouts.insert((at, id));
        }
    }

    /// Resumes queued streams, as many as fit into the free space if each fills its buffer up to
    /// [`StreamLimits::bytes_per_stream`].
    fn resume_queued(&mut self) {
        let limits = &self.limits;
        let mut free_bytes = limits.bytes_total.saturating_sub(self.buffered_bytes);
        while free_bytes > 0 {
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            let Some(stream) = self.streams.get_mut(&id) else {
                continue;
            };
            let was_queued = std::mem::replace(&mut stream.queued, false);
            if was_queued && !stream.receive_finished {
                let could_fill = limits
                    .bytes_per_stream
                    .saturating_sub(stream.buffered_bytes);
                free_bytes = free_bytes.saturating_sub(could_fill.max(1));
                self.resumed.push(id);
            }
        }
    }
}
