//! Room and time of bulk streams.

use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// A stream, numbered here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(u64);

/// What streams may take. Sizes in bytes, times in nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamLimits {
    /// Streams open together.
    pub max_streams: usize,
    /// One stream that holds so much is read no further.
    pub bytes_per_stream: usize,
    /// Where all of them hold so much, only those are read on that hold nothing.
    pub bytes_total: usize,
    /// A reader that takes nothing for this long, while something is there for it, is ended.
    pub reader_timeout: Span,
    /// A member that sends nothing for this long, while it is read, is given up.
    pub member_timeout: Span,
}

/// Why a stream is ended from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// Its reader stood still.
    SlowReader,
    /// Its member fell silent.
    UnresponsiveMember,
    /// Its client's time is over.
    DeadlineExceeded,
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EndReason::SlowReader => "the stream was not read for too long",
            EndReason::UnresponsiveMember => {
                "the member stopped sending in the middle of the stream"
            }
            EndReason::DeadlineExceeded => "the time is over",
        })
    }
}

/// As many streams are open as may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooManyStreams;

impl fmt::Display for TooManyStreams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("too many streams are open")
    }
}

impl std::error::Error for TooManyStreams {}

/// One stream.
#[derive(Debug)]
struct StreamState {
    /// Bytes that came and that its reader has not taken.
    buffered_bytes: usize,
    /// Since when its reader has taken nothing of them.
    unread_since: Option<Time>,
    /// Since when its member has been read without a word.
    reading_since: Option<Time>,
    /// It waits for room of all.
    queued: bool,
    /// Nothing more comes from its member.
    receive_finished: bool,
    deadline: Option<Time>,
    /// Where it stands in the order of times.
    next_timeout: Option<Time>,
}

/// All bulk streams of a gateway.
#[derive(Debug)]
pub struct FlowControl {
    limits: StreamLimits,
    streams: BTreeMap<StreamId, StreamState>,
    next_id: u64,
    buffered_bytes: usize,
    /// Those that wait for room of all, longest first. One that has gone or may read stands here no longer than its turn.
    queue: VecDeque<StreamId>,
    /// Those that may be read on again since the last look.
    resumed: Vec<StreamId>,
    timeouts: BTreeSet<(Time, StreamId)>,
}

impl FlowControl {
    /// No stream yet.
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

    /// A stream has begun.
    pub fn open(&mut self) -> Result<StreamId, TooManyStreams> {
        if self.streams.len() >= self.limits.max_streams {
            return Err(TooManyStreams);
        }
        let id = StreamId(self.next_id);
        self.next_id += 1;
        let stream = StreamState {
            buffered_bytes: 0,
            unread_since: None,
            reading_since: None,
            queued: false,
            receive_finished: false,
            deadline: None,
            next_timeout: None,
        };
        self.streams.insert(id, stream);
        Ok(id)
    }

    /// Its client waits until this time at most.
    pub fn set_deadline(&mut self, id: StreamId, until: Time) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.deadline = Some(until);
            self.update_timeout(id);
        }
    }

    /// Whether its member is to be read on now. If so, its time to send something begins; if not, [`FlowControl::take_resumed`] names it
    /// once it is.
    pub fn try_read(&mut self, now: Time, id: StreamId) -> bool {
        let crowded = self.buffered_bytes >= self.limits.bytes_total;
        let Some(stream) = self
            .streams
            .get_mut(&id)
            .filter(|stream| !stream.receive_finished)
        else {
            return false;
        };
        if stream.buffered_bytes >= self.limits.bytes_per_stream {
            return false;
        }
        // Danger: where streams that nobody reads hold all the room, the others would stand still behind them.
        if crowded && stream.buffered_bytes > 0 {
            if !std::mem::replace(&mut stream.queued, true) {
                self.queue.push_back(id);
            }
            return false;
        }
        stream.reading_since.get_or_insert(now);
        self.update_timeout(id);
        true
    }

    /// A message came from its member.
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

    /// Its reader took a message.
    pub fn record_consumed(&mut self, now: Time, id: StreamId, bytes: usize) {
        let each = self.limits.bytes_per_stream;
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(stream.buffered_bytes);
        let before = stream.buffered_bytes;
        stream.buffered_bytes -= bytes;
        self.buffered_bytes -= bytes;
        stream.unread_since = (stream.buffered_bytes > 0).then_some(now);
        let freed = (before >= each && stream.buffered_bytes < each) || stream.buffered_bytes == 0;
        if freed && !stream.receive_finished {
            self.resumed.push(id);
        }
        self.update_timeout(id);
        self.resume_queued();
    }

    /// Its member has sent all; what is held is still its reader's.
    pub fn finish_receiving(&mut self, id: StreamId) {
        if let Some(stream) = self.streams.get_mut(&id) {
            (stream.receive_finished, stream.reading_since) = (true, None);
            self.update_timeout(id);
        }
    }

    /// A stream is gone, and what it held with it.
    pub fn close(&mut self, id: StreamId) {
        let Some(stream) = self.streams.remove(&id) else {
            return;
        };
        self.buffered_bytes -= stream.buffered_bytes;
        if let Some(due) = stream.next_timeout {
            self.timeouts.remove(&(due, id));
        }
        self.resume_queued();
    }

    /// Streams that may be asked for again since the last look.
    pub fn take_resumed(&mut self) -> Vec<StreamId> {
        std::mem::take(&mut self.resumed)
    }

    /// When [`FlowControl::expire`] is wanted next.
    pub fn next_timeout(&self) -> Option<Time> {
        self.timeouts.first().map(|(at, _)| *at)
    }

    /// Streams whose time is over; they are closed by this, and each is named once.
    pub fn expire(&mut self, now: Time) -> Vec<(StreamId, EndReason)> {
        let mut ended = Vec::new();
        while let Some((_, id)) = self.timeouts.first().copied().filter(|(at, _)| *at <= now) {
            let end = self
                .streams
                .get(&id)
                .and_then(|stream| self.timeouts(stream).find(|(at, _)| *at <= now));
            ended.extend(end.map(|(_, end)| (id, end)));
            self.close(id);
        }
        ended
    }

    /// Bytes that all streams hold.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Streams that are open.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// What may end a stream, and when. A client whose time is over hears that, whatever else is late.
    fn timeouts(&self, stream: &StreamState) -> impl Iterator<Item = (Time, EndReason)> {
        let late = stream.deadline.map(|at| (at, EndReason::DeadlineExceeded));
        let slow = stream
            .unread_since
            .map(|since| (since + self.limits.reader_timeout, EndReason::SlowReader));
        let silent = stream.reading_since.map(|since| {
            (
                since + self.limits.member_timeout,
                EndReason::UnresponsiveMember,
            )
        });
        [late, slow, silent].into_iter().flatten()
    }

    fn update_timeout(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        let (old, due) = (
            stream.next_timeout,
            self.timeouts(stream).map(|(at, _)| at).min(),
        );
        if old == due {
            return;
        }
        if let Some(old) = old {
            self.timeouts.remove(&(old, id));
        }
        if let Some(due) = due {
            self.timeouts.insert((due, id));
        }
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.next_timeout = due;
        }
    }

    /// Gives free room to those that wait for it: to as many as could each fill up to what one may hold.
    fn resume_queued(&mut self) {
        let mut room = self.limits.bytes_total.saturating_sub(self.buffered_bytes);
        while room > 0 {
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            let Some(stream) = self.streams.get_mut(&id) else {
                continue;
            };
            if std::mem::replace(&mut stream.queued, false) && !stream.receive_finished {
                room = room.saturating_sub(
                    self.limits
                        .bytes_per_stream
                        .saturating_sub(stream.buffered_bytes)
                        .max(1),
                );
                self.resumed.push(id);
            }
        }
    }
}
