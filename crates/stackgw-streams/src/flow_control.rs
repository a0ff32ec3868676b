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
    /// Which one.
    pub id: StreamId,
    /// Why it was ended.
    pub reason: EndReason,
}

/// One stream.
#[derive(Debug, Default)]
struct StreamState {
    /// Bytes that arrived and that the reader has not consumed.
    buffered_bytes: usize,
    /// Since when the reader has consumed nothing, while something is buffered.
    unread_since: Option<Time>,
    /// Since when the member has been read without sending anything.
    reading_since: Option<Time>,
    /// The stream is in [`FlowControl::queue`] and waits for space within
    /// [`StreamLimits::bytes_total`].
    queued: bool,
    /// The member has sent all.
    receive_finished: bool,
    /// The client's deadline.
    deadline: Option<Time>,
    /// The time by which the stream is listed in [`FlowControl::timeouts`].
    next_timeout: Option<Time>,
}

impl StreamState {
    /// When the stream is to be ended, and why: the client's deadline first, as it counts whatever
    /// else is late.
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

    /// The first reason whose time has come.
    fn expired(&self, limits: &StreamLimits, now: Time) -> Option<EndReason> {
        let mut timeouts = self.timeouts(limits);
        timeouts
            .find(|(at, _)| *at <= now)
            .map(|(_, reason)| reason)
    }
}

/// Flow control over all bulk streams of a gateway.
///
/// Calls that name a closed stream do nothing.
#[derive(Debug)]
pub struct FlowControl {
    limits: StreamLimits,
    streams: BTreeMap<StreamId, StreamState>,
    next_id: u64,
    /// The sum over all streams.
    buffered_bytes: usize,
    /// Streams that wait for space within [`StreamLimits::bytes_total`], the longest waiting first.
    /// May still name streams that have been closed or no longer wait; they are dropped when they
    /// reach the front.
    queue: VecDeque<StreamId>,
    /// Streams that may be read on again since the last [`FlowControl::take_resumed`].
    resumed: Vec<StreamId>,
    /// The next timeout of each stream that has one.
    timeouts: BTreeSet<(Time, StreamId)>,
}

impl FlowControl {
    /// Flow control without any stream.
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
    /// [`TooManyStreams`] where [`StreamLimits::max_streams`] are open.
    pub fn open(&mut self) -> Result<StreamId, TooManyStreams> {
        if self.streams.len() >= self.limits.max_streams {
            return Err(TooManyStreams);
        }
        let id = StreamId(self.next_id);
        self.next_id += 1;
        self.streams.insert(id, StreamState::default());
        Ok(id)
    }

    /// Sets the client's deadline.
    pub fn set_deadline(&mut self, id: StreamId, deadline: Time) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.deadline = Some(deadline);
            self.update_timeout(id);
        }
    }

    /// Asks to read one message from the stream's member. If granted,
    /// [`StreamLimits::member_timeout`] begins; if not, [`FlowControl::take_resumed`] names the
    /// stream once it may ask again.
    pub fn try_read(&mut self, now: Time, id: StreamId) -> bool {
        let total_exhausted = self.buffered_bytes >= self.limits.bytes_total;
        let Some(stream) = self.streams.get_mut(&id) else {
            return false;
        };
        if stream.receive_finished || stream.buffered_bytes >= self.limits.bytes_per_stream {
            return false;
        }
        // Danger: a stream that buffers nothing must be read on even so. Otherwise streams that
        // nobody reads would take the whole buffer, and all others would stall behind them.
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

    /// Records that a message arrived from the stream's member and is buffered.
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

    /// Records that the reader consumed a message, which frees its buffer space.
    pub fn record_consumed(&mut self, now: Time, id: StreamId, bytes: usize) {
        let limit = self.limits.bytes_per_stream;
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let before = stream.buffered_bytes;
        let freed = bytes.min(before);
        stream.buffered_bytes -= freed;
        self.buffered_bytes -= freed;
        let is_empty = stream.buffered_bytes == 0;
        stream.unread_since = (!is_empty).then_some(now);
        let fell_below_limit = before >= limit && stream.buffered_bytes < limit;
        if (fell_below_limit || is_empty) && !stream.receive_finished {
            self.resumed.push(id);
        }
        self.update_timeout(id);
        self.resume_queued();
    }

    /// Notes that the member has sent all. What is buffered stays for the reader.
    pub fn finish_receiving(&mut self, id: StreamId) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.receive_finished = true;
            stream.reading_since = None;
            self.update_timeout(id);
        }
    }

    /// Closes a stream and drops what it buffers.
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

    /// Takes the streams for which [`FlowControl::try_read`] may be asked again since the last
    /// call.
    pub fn take_resumed(&mut self) -> Vec<StreamId> {
        std::mem::take(&mut self.resumed)
    }

    /// When [`FlowControl::expire`] is to be called next.
    pub fn next_timeout(&self) -> Option<Time> {
        self.timeouts.first().map(|(at, _)| *at)
    }

    /// Ends and closes the streams whose time has come.
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

    /// Bytes that all streams buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Number of open streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is open.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Brings `timeouts` up to date with a stream's state.
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

    /// Gives free space to the streams that wait for it: to as many as could each fill up to their
    /// own limit.
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
            let waited = std::mem::replace(&mut stream.queued, false);
            if waited && !stream.receive_finished {
                let could_fill = limits
                    .bytes_per_stream
                    .saturating_sub(stream.buffered_bytes);
                free_bytes = free_bytes.saturating_sub(could_fill.max(1));
                self.resumed.push(id);
            }
        }
    }
}
