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
    pub streams: usize,
    /// One stream that holds so much is read no further.
    pub each: usize,
    /// Where all of them hold so much, only those are read on that hold nothing.
    pub all: usize,
    /// A reader that takes nothing for this long, while something is there for it, is ended.
    pub stall: Span,
    /// A member that sends nothing for this long, while it is read, is given up.
    pub silence: Span,
}

/// Why a stream is ended from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Its reader stood still.
    SlowReader,
    /// Its member fell silent.
    SilentMember,
    /// Its client's time is over.
    Late,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            End::SlowReader => "the stream was not read for too long",
            End::SilentMember => "the member stopped sending in the middle of the stream",
            End::Late => "the time is over",
        })
    }
}

/// As many streams are open as may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("too many streams are open")
    }
}

impl std::error::Error for Full {}

/// One stream.
#[derive(Debug)]
struct Stream {
    /// Bytes that came and that its reader has not taken.
    held: usize,
    /// Since when its reader has taken nothing of them.
    unread: Option<Time>,
    /// Since when its member has been read without a word.
    asked: Option<Time>,
    /// It waits for room of all.
    queued: bool,
    /// Nothing more comes from its member.
    over: bool,
    until: Option<Time>,
    /// Where it stands in the order of times.
    due: Option<Time>,
}

/// All bulk streams of a gateway.
#[derive(Debug)]
pub struct Flow {
    rules: StreamLimits,
    streams: BTreeMap<StreamId, Stream>,
    next: u64,
    held: usize,
    /// Those that wait for room of all, longest first. One that has gone or may read stands here no longer than its turn.
    queue: VecDeque<StreamId>,
    /// Those that may be read on again since the last look.
    woken: Vec<StreamId>,
    order: BTreeSet<(Time, StreamId)>,
}

impl Flow {
    /// No stream yet.
    pub fn new(rules: StreamLimits) -> Self {
        Flow {
            rules,
            streams: BTreeMap::new(),
            next: 0,
            held: 0,
            queue: VecDeque::new(),
            woken: Vec::new(),
            order: BTreeSet::new(),
        }
    }

    /// A stream has begun.
    pub fn open(&mut self) -> Result<StreamId, Full> {
        if self.streams.len() >= self.rules.streams {
            return Err(Full);
        }
        let id = StreamId(self.next);
        self.next += 1;
        let stream = Stream {
            held: 0,
            unread: None,
            asked: None,
            queued: false,
            over: false,
            until: None,
            due: None,
        };
        self.streams.insert(id, stream);
        Ok(id)
    }

    /// Its client waits until this time at most.
    pub fn limit(&mut self, id: StreamId, until: Time) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.until = Some(until);
            self.reorder(id);
        }
    }

    /// Whether its member is to be read on now. If so, its time to send something begins; if not, [`Flow::woken`] names it
    /// once it is.
    pub fn asks(&mut self, now: Time, id: StreamId) -> bool {
        let crowded = self.held >= self.rules.all;
        let Some(stream) = self.streams.get_mut(&id).filter(|stream| !stream.over) else {
            return false;
        };
        if stream.held >= self.rules.each {
            return false;
        }
        // Danger: where streams that nobody reads hold all the room, the others would stand still behind them.
        if crowded && stream.held > 0 {
            if !std::mem::replace(&mut stream.queued, true) {
                self.queue.push_back(id);
            }
            return false;
        }
        stream.asked.get_or_insert(now);
        self.reorder(id);
        true
    }

    /// A message came from its member.
    pub fn came(&mut self, now: Time, id: StreamId, bytes: usize) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.held += bytes;
        self.held += bytes;
        stream.asked = None;
        stream.unread.get_or_insert(now);
        self.reorder(id);
    }

    /// Its reader took a message.
    pub fn taken(&mut self, now: Time, id: StreamId, bytes: usize) {
        let each = self.rules.each;
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(stream.held);
        let before = stream.held;
        stream.held -= bytes;
        self.held -= bytes;
        stream.unread = (stream.held > 0).then_some(now);
        let freed = (before >= each && stream.held < each) || stream.held == 0;
        if freed && !stream.over {
            self.woken.push(id);
        }
        self.reorder(id);
        self.admit();
    }

    /// Its member has sent all; what is held is still its reader's.
    pub fn over(&mut self, id: StreamId) {
        if let Some(stream) = self.streams.get_mut(&id) {
            (stream.over, stream.asked) = (true, None);
            self.reorder(id);
        }
    }

    /// A stream is gone, and what it held with it.
    pub fn close(&mut self, id: StreamId) {
        let Some(stream) = self.streams.remove(&id) else {
            return;
        };
        self.held -= stream.held;
        if let Some(due) = stream.due {
            self.order.remove(&(due, id));
        }
        self.admit();
    }

    /// Streams that may be asked for again since the last look.
    pub fn woken(&mut self) -> Vec<StreamId> {
        std::mem::take(&mut self.woken)
    }

    /// When [`Flow::due`] is wanted next.
    pub fn next_due(&self) -> Option<Time> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Streams whose time is over; they are closed by this, and each is named once.
    pub fn due(&mut self, now: Time) -> Vec<(StreamId, End)> {
        let mut ended = Vec::new();
        while let Some((_, id)) = self.order.first().copied().filter(|(at, _)| *at <= now) {
            let end = self
                .streams
                .get(&id)
                .and_then(|stream| self.times(stream).find(|(at, _)| *at <= now));
            ended.extend(end.map(|(_, end)| (id, end)));
            self.close(id);
        }
        ended
    }

    /// Bytes that all streams hold.
    pub fn held(&self) -> usize {
        self.held
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
    fn times(&self, stream: &Stream) -> impl Iterator<Item = (Time, End)> {
        let late = stream.until.map(|at| (at, End::Late));
        let slow = stream
            .unread
            .map(|since| (since + self.rules.stall, End::SlowReader));
        let silent = stream
            .asked
            .map(|since| (since + self.rules.silence, End::SilentMember));
        [late, slow, silent].into_iter().flatten()
    }

    fn reorder(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        let (old, due) = (stream.due, self.times(stream).map(|(at, _)| at).min());
        if old == due {
            return;
        }
        if let Some(old) = old {
            self.order.remove(&(old, id));
        }
        if let Some(due) = due {
            self.order.insert((due, id));
        }
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.due = due;
        }
    }

    /// Gives free room to those that wait for it: to as many as could each fill up to what one may hold.
    fn admit(&mut self) {
        let mut room = self.rules.all.saturating_sub(self.held);
        while room > 0 {
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            let Some(stream) = self.streams.get_mut(&id) else {
                continue;
            };
            if std::mem::replace(&mut stream.queued, false) && !stream.over {
                room = room.saturating_sub(self.rules.each.saturating_sub(stream.held).max(1));
                self.woken.push(id);
            }
        }
    }
}
