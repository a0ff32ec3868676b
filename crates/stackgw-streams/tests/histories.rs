//! Whole and random histories of streams and connections, held against what is promised.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stackgw_router::api::{Time, MS};
use stackgw_streams::{
    ChannelPool, EndReason, FlowControl, StreamId, StreamLimits, TooManyStreams,
};
use std::collections::BTreeMap;

const LIMITS: StreamLimits = StreamLimits {
    max_streams: 8,
    bytes_per_stream: 100,
    bytes_total: 300,
    reader_timeout: 50 * MS,
    member_timeout: 20 * MS,
};
const MESSAGE: usize = 60;

#[derive(Default)]
struct Seen {
    held: Vec<usize>,
    reading: bool,
    over: bool,
}

#[test]
fn buffers_stay_within_limits_and_no_reader_waits_for_another() {
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let (mut flow, mut now) = (FlowControl::new(LIMITS), 0);
        let mut seen: BTreeMap<StreamId, Seen> = BTreeMap::new();
        let mut waits: BTreeMap<StreamId, ()> = BTreeMap::new();
        for step in 0..400 {
            now += random.random_range(0..3 * MS);
            for (id, _) in flow.expire(now) {
                assert!(
                    seen.remove(&id).is_some(),
                    "ended twice, seed {seed}, step {step}"
                );
                waits.remove(&id);
            }
            let ids: Vec<_> = seen.keys().copied().collect();
            let pick = |random: &mut SmallRng| ids[random.random_range(0..ids.len())];
            match random.random_range(0..10) {
                0 => match flow.open() {
                    Ok(id) => drop(seen.insert(id, Seen::default())),
                    Err(TooManyStreams) => assert_eq!(seen.len(), LIMITS.max_streams),
                },
                _ if ids.is_empty() => {}
                1 if random.random_bool(0.2) => {
                    let id = pick(&mut random);
                    flow.close(id);
                    seen.remove(&id);
                    waits.remove(&id);
                }
                2 => {
                    let id = pick(&mut random);
                    flow.finish_receiving(id);
                    let stream = seen.get_mut(&id).expect("it is there");
                    (stream.over, stream.reading) = (true, false);
                    waits.remove(&id);
                }
                3..=6 => {
                    let id = pick(&mut random);
                    let stream = seen.get_mut(&id).expect("it is there");
                    if !stream.over && !stream.reading && !waits.contains_key(&id) {
                        stream.reading = flow.try_read(now, id);
                        let empty = stream.held.is_empty();
                        assert!(
                            stream.reading || !empty,
                            "an empty one waits, seed {seed}, step {step}"
                        );
                        if !stream.reading {
                            waits.insert(id, ());
                        }
                    }
                    if stream.reading {
                        let bytes = random.random_range(1..=MESSAGE);
                        flow.record_received(now, id, bytes);
                        stream.held.push(bytes);
                        stream.reading = false;
                    }
                }
                _ => {
                    let id = pick(&mut random);
                    let stream = seen.get_mut(&id).expect("it is there");
                    if let Some(bytes) = stream.held.pop() {
                        flow.record_consumed(now, id, bytes);
                    }
                }
            }
            for id in flow.take_resumed() {
                waits.remove(&id);
            }
            let sums = seen.values().map(|s| s.held.iter().sum::<usize>());
            assert!(
                sums.clone()
                    .all(|sum| sum < LIMITS.bytes_per_stream + MESSAGE),
                "seed {seed}, step {step}"
            );
            assert_eq!(
                flow.buffered_bytes(),
                sums.sum::<usize>(),
                "seed {seed}, step {step}"
            );
            assert!(
                flow.buffered_bytes() < LIMITS.bytes_total + LIMITS.max_streams * MESSAGE,
                "seed {seed}, step {step}"
            );
            // Nobody is left waiting whom room or an empty hand would let go on.
            for id in waits.keys() {
                let stream = &seen[id];
                let held: usize = stream.held.iter().sum();
                let stuck =
                    held == 0 || (held < LIMITS.bytes_per_stream && flow.buffered_bytes() == held);
                assert!(
                    !stuck || flow.buffered_bytes() >= LIMITS.bytes_total,
                    "forgotten, seed {seed}, step {step}"
                );
            }
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
    let [a, b, c] = [0; 3].map(|_| flow.open().expect("room"));
    for id in [a, b, c] {
        assert!(flow.try_read(0, id));
        flow.record_received(0, id, 40);
    }
    assert!(!flow.try_read(0, b) && !flow.try_read(0, c) && !flow.try_read(0, a));
    flow.record_consumed(0, a, 40);
    assert_eq!(
        flow.take_resumed(),
        [a, b],
        "it has taken all it had; then the first in line"
    );
}

#[test]
fn each_timeout_ends_a_stream_once_with_its_own_reason() {
    let run = |until: Option<Time>, does: &dyn Fn(&mut FlowControl, StreamId)| {
        let mut flow = FlowControl::new(LIMITS);
        let id = flow.open().expect("room");
        until
            .into_iter()
            .for_each(|until| flow.set_deadline(id, until));
        does(&mut flow, id);
        let due = flow.next_timeout().expect("a time");
        assert_eq!(flow.expire(due - 1), []);
        let ended = flow.expire(due);
        assert_eq!(
            (flow.expire(due + MS), flow.len(), flow.buffered_bytes()),
            (vec![], 0, 0)
        );
        (due, ended[0].1)
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
fn slow_progress_and_an_unread_member_are_no_timeouts() {
    let mut flow = FlowControl::new(LIMITS);
    let id = flow.open().expect("room");
    let mut now = 0;
    for _ in 0..10 {
        while flow.try_read(now, id) {
            flow.record_received(now, id, MESSAGE);
        }
        now += LIMITS.reader_timeout - 1;
        assert_eq!(flow.expire(now), []);
        flow.record_consumed(now, id, MESSAGE);
    }
}

#[test]
fn requests_share_few_connections_and_empty_ones_are_closed() {
    for seed in 0..100 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut pool = ChannelPool::new(4);
        let mut carried: BTreeMap<_, (u8, usize, bool)> = BTreeMap::new();
        for _ in 0..500 {
            let member = random.random_range(0..3u8);
            if random.random_bool(0.55) {
                let placed = pool.assign(&member);
                let with_room = carried
                    .values()
                    .any(|(m, n, broken)| *m == member && *n < 4 && !broken);
                assert_eq!(!carried.contains_key(&placed), !with_room, "seed {seed}");
                let channel = carried.entry(placed).or_insert((member, 0, false));
                channel.1 += 1;
                assert!(
                    channel.0 == member && channel.1 <= 4 && !channel.2,
                    "seed {seed}"
                );
            } else if !carried.is_empty() {
                let at = random.random_range(0..carried.len());
                let (id, channel) = carried.iter_mut().nth(at).expect("it is there");
                let id = *id;
                if random.random_bool(0.1) {
                    pool.mark_broken(id);
                    channel.2 = true;
                    continue;
                }
                channel.1 -= 1;
                let empty = channel.1 == 0;
                assert_eq!(pool.release(id), empty, "seed {seed}");
                if empty {
                    carried.remove(&id);
                }
            }
            assert_eq!(pool.len(), carried.len(), "seed {seed}");
        }
    }
}
