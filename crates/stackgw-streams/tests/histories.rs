//! Scripted and random histories of streams and connections, checked against the invariants of the
//! crate.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stackgw_router::api::{Time, MS};
use stackgw_streams::{
    ChannelId, ChannelPool, EndReason, ExpiredStream, FlowControl, StreamId, StreamLimits,
    TooManyStreams,
};
use std::collections::BTreeMap;

const LIMITS: StreamLimits = StreamLimits {
    max_streams: 8,
    bytes_per_stream: 100,
    bytes_total: 300,
    reader_timeout: 50 * MS,
    member_timeout: 20 * MS,
};
const MAX_MESSAGE_BYTES: usize = 60;

/// Expected state of a stream.
#[derive(Default)]
struct StreamModel {
    /// Sizes of the buffered messages.
    buffered: Vec<usize>,
    reading: bool,
    receive_finished: bool,
    /// The stream was denied a read and has not been resumed since.
    waiting: bool,
}

impl StreamModel {
    fn buffered_bytes(&self) -> usize {
        self.buffered.iter().sum()
    }
}

/// A random history of flow control, with a model of its streams.
struct History {
    flow: FlowControl,
    streams: BTreeMap<StreamId, StreamModel>,
    random: SmallRng,
    now: Time,
    /// Seed and step, for the messages of failed assertions.
    context: String,
}

impl History {
    fn new(seed: u64) -> Self {
        History {
            flow: FlowControl::new(LIMITS),
            streams: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
            now: 0,
            context: String::new(),
        }
    }

    fn step(&mut self) {
        self.now += self.random.random_range(0..3 * MS);
        self.expire();
        match self.random.random_range(0..10) {
            0 => self.open(),
            _ if self.streams.is_empty() => {}
            1 if self.random.random_bool(0.2) => self.close(),
            2 => self.finish_receiving(),
            3..=6 => self.read(),
            _ => self.consume(),
        }
        for id in self.flow.take_resumed() {
            if let Some(stream) = self.streams.get_mut(&id) {
                stream.waiting = false;
            }
        }
        self.check_limits();
        self.check_waiting_streams();
    }

    fn pick(&mut self) -> StreamId {
        let ids: Vec<_> = self.streams.keys().copied().collect();
        ids[self.random.random_range(0..ids.len())]
    }

    fn expire(&mut self) {
        for ExpiredStream { id, .. } in self.flow.expire(self.now) {
            let ended = self.streams.remove(&id);
            assert!(ended.is_some(), "stream ended twice, {}", self.context);
        }
    }

    fn open(&mut self) {
        match self.flow.open() {
            Ok(id) => drop(self.streams.insert(id, StreamModel::default())),
            Err(TooManyStreams) => assert_eq!(
                self.streams.len(),
                LIMITS.max_streams,
                "a stream was rejected below the limit, {}",
                self.context
            ),
        }
    }

    fn close(&mut self) {
        let id = self.pick();
        self.flow.close(id);
        self.streams.remove(&id);
    }

    fn finish_receiving(&mut self) {
        let id = self.pick();
        self.flow.finish_receiving(id);
        let stream = self.streams.get_mut(&id).expect("the model has the stream");
        stream.receive_finished = true;
        stream.reading = false;
        stream.waiting = false;
    }

    fn read(&mut self) {
        let id = self.pick();
        let stream = self.streams.get_mut(&id).expect("the model has the stream");
        if !stream.receive_finished && !stream.reading && !stream.waiting {
            stream.reading = self.flow.try_read(self.now, id);
            let may_wait = !stream.buffered.is_empty();
            assert!(
                stream.reading || may_wait,
                "a stream that buffers nothing was denied a read, {}",
                self.context
            );
            stream.waiting = !stream.reading;
        }
        if stream.reading {
            let bytes = self.random.random_range(1..=MAX_MESSAGE_BYTES);
            self.flow.record_received(self.now, id, bytes);
            stream.buffered.push(bytes);
            stream.reading = false;
        }
    }

    fn consume(&mut self) {
        let id = self.pick();
        let stream = self.streams.get_mut(&id).expect("the model has the stream");
        if let Some(bytes) = stream.buffered.pop() {
            self.flow.record_consumed(self.now, id, bytes);
        }
    }

    fn check_limits(&self) {
        let context = &self.context;
        let sums = self.streams.values().map(StreamModel::buffered_bytes);
        let stream_limit = LIMITS.bytes_per_stream + MAX_MESSAGE_BYTES;
        assert!(
            sums.clone().all(|sum| sum < stream_limit),
            "a stream buffers too much, {context}"
        );
        assert_eq!(
            self.flow.buffered_bytes(),
            sums.sum::<usize>(),
            "the buffered bytes differ from the model, {context}"
        );
        let total_limit = LIMITS.bytes_total + LIMITS.max_streams * MAX_MESSAGE_BYTES;
        assert!(
            self.flow.buffered_bytes() < total_limit,
            "all streams together buffer too much, {context}"
        );
    }

    /// Checks that no stream is left waiting while space is free in total and the stream either
    /// buffers nothing, or is below its own limit and the only one that buffers anything.
    fn check_waiting_streams(&self) {
        let total = self.flow.buffered_bytes();
        for stream in self.streams.values().filter(|stream| stream.waiting) {
            let buffered = stream.buffered_bytes();
            let could_read =
                buffered == 0 || (buffered < LIMITS.bytes_per_stream && total == buffered);
            assert!(
                !could_read || total >= LIMITS.bytes_total,
                "a stream that could read was not resumed, {}",
                self.context
            );
        }
    }
}

#[test]
fn buffers_stay_within_limits_and_no_reader_waits_for_another() {
    for seed in 0..300 {
        let mut history = History::new(seed);
        for step in 0..400 {
            history.context = format!("seed {seed}, step {step}");
            history.step();
        }
    }
}

#[test]
fn freed_space_goes_to_the_longest_waiting_stream() {
    let mut flow = FlowControl::new(StreamLimits {
        bytes_total: 100,
        bytes_per_stream: 80,
        ..LIMITS
    });
    let [a, b, c] = [0; 3].map(|_| flow.open().expect("fewer streams than the limit are open"));
    for id in [a, b, c] {
        assert!(flow.try_read(0, id));
        flow.record_received(0, id, 40);
    }
    assert!(
        !flow.try_read(0, b) && !flow.try_read(0, c) && !flow.try_read(0, a),
        "120 of 100 bytes are buffered, so no stream may read"
    );
    flow.record_consumed(0, a, 40);
    assert_eq!(
        flow.take_resumed(),
        [a, b],
        "expected stream a, which buffers nothing, then stream b, which has waited longest"
    );
}

#[test]
fn each_timeout_ends_a_stream_once_with_its_own_reason() {
    let run = |deadline: Option<Time>, action: &dyn Fn(&mut FlowControl, StreamId)| {
        let mut flow = FlowControl::new(LIMITS);
        let id = flow.open().expect("fewer streams than the limit are open");
        deadline
            .into_iter()
            .for_each(|deadline| flow.set_deadline(id, deadline));
        action(&mut flow, id);
        let due = flow.next_timeout().expect("a timeout is set");
        assert_eq!(flow.expire(due - 1), []);
        let ended = flow.expire(due);
        assert_eq!(
            (flow.expire(due + MS), flow.len(), flow.buffered_bytes()),
            (vec![], 0, 0)
        );
        (due, ended[0].reason)
    };
    let silent = run(None, &|flow, id| assert!(flow.try_read(5, id)));
    assert_eq!(
        silent,
        (5 + LIMITS.member_timeout, EndReason::UnresponsiveMember)
    );
    let slow = run(None, &|flow, id| {
        assert!(flow.try_read(0, id));
        flow.record_received(3, id, 60);
        flow.finish_receiving(id);
    });
    assert_eq!(slow, (3 + LIMITS.reader_timeout, EndReason::SlowReader));
    let late = run(Some(7), &|flow, id| assert!(flow.try_read(5, id)));
    assert_eq!(late, (7, EndReason::DeadlineExceeded));
}

#[test]
fn slow_progress_and_an_unread_member_do_not_time_out() {
    let mut flow = FlowControl::new(LIMITS);
    let id = flow.open().expect("fewer streams than the limit are open");
    let mut now = 0;
    for _ in 0..10 {
        while flow.try_read(now, id) {
            flow.record_received(now, id, MAX_MESSAGE_BYTES);
        }
        now += LIMITS.reader_timeout - 1;
        assert_eq!(flow.expire(now), []);
        flow.record_consumed(now, id, MAX_MESSAGE_BYTES);
    }
}

/// Expected state of a connection.
struct ChannelModel {
    member: u8,
    requests: usize,
    broken: bool,
}

impl ChannelModel {
    fn has_capacity(&self) -> bool {
        self.requests < REQUESTS_PER_CHANNEL && !self.broken
    }
}

const REQUESTS_PER_CHANNEL: usize = 4;

fn assign(
    pool: &mut ChannelPool<u8>,
    channels: &mut BTreeMap<ChannelId, ChannelModel>,
    member: u8,
    seed: u64,
) {
    let id = pool.assign(&member);
    let mut existing = channels.values();
    let any_has_capacity =
        existing.any(|channel| channel.member == member && channel.has_capacity());
    let is_new = !channels.contains_key(&id);
    assert_eq!(
        is_new, !any_has_capacity,
        "a connection is added only if none has capacity, seed {seed}"
    );
    let channel = channels.entry(id).or_insert(ChannelModel {
        member,
        requests: 0,
        broken: false,
    });
    channel.requests += 1;
    let is_allowed = channel.requests <= REQUESTS_PER_CHANNEL && !channel.broken;
    assert!(
        channel.member == member && is_allowed,
        "the assigned connection is to another member, overfull or broken, seed {seed}"
    );
}

#[test]
fn requests_share_few_connections_and_empty_ones_are_closed() {
    for seed in 0..100 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut pool = ChannelPool::new(REQUESTS_PER_CHANNEL);
        let mut channels: BTreeMap<ChannelId, ChannelModel> = BTreeMap::new();
        for _ in 0..500 {
            let member = random.random_range(0..3u8);
            if random.random_bool(0.55) {
                assign(&mut pool, &mut channels, member, seed);
            } else if !channels.is_empty() {
                let at = random.random_range(0..channels.len());
                let (id, channel) = channels.iter_mut().nth(at).expect("index is in range");
                let id = *id;
                if random.random_bool(0.1) {
                    pool.mark_broken(id);
                    channel.broken = true;
                    continue;
                }
                channel.requests -= 1;
                let is_empty = channel.requests == 0;
                assert_eq!(
                    pool.release(id),
                    is_empty,
                    "a connection is closed with its last request, seed {seed}"
                );
                if is_empty {
                    channels.remove(&id);
                }
            }
            assert_eq!(
                pool.len(),
                channels.len(),
                "the number of connections differs from the model, seed {seed}"
            );
        }
    }
}
