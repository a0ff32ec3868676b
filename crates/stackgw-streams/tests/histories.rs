//! Whole and random histories of streams and connections, held against what is promised.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stackgw_router::api::{Time, MS};
use stackgw_streams::{Channels, End, Flow, Full, StreamId, StreamLimits};
use std::collections::BTreeMap;

const RULES: StreamLimits = StreamLimits {
    streams: 8,
    each: 100,
    all: 300,
    stall: 50 * MS,
    silence: 20 * MS,
};
const MESSAGE: usize = 60;

#[derive(Default)]
struct Seen {
    held: Vec<usize>,
    reading: bool,
    over: bool,
}

#[test]
fn random_histories_keep_room_and_no_reader_waits_for_another() {
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let (mut flow, mut now) = (Flow::new(RULES), 0);
        let mut seen: BTreeMap<StreamId, Seen> = BTreeMap::new();
        let mut waits: BTreeMap<StreamId, ()> = BTreeMap::new();
        for step in 0..400 {
            now += random.random_range(0..3 * MS);
            for (id, _) in flow.due(now) {
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
                    Err(Full) => assert_eq!(seen.len(), RULES.streams),
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
                    flow.over(id);
                    let stream = seen.get_mut(&id).expect("it is there");
                    (stream.over, stream.reading) = (true, false);
                    waits.remove(&id);
                }
                3..=6 => {
                    let id = pick(&mut random);
                    let stream = seen.get_mut(&id).expect("it is there");
                    if !stream.over && !stream.reading && !waits.contains_key(&id) {
                        stream.reading = flow.asks(now, id);
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
                        flow.came(now, id, bytes);
                        stream.held.push(bytes);
                        stream.reading = false;
                    }
                }
                _ => {
                    let id = pick(&mut random);
                    let stream = seen.get_mut(&id).expect("it is there");
                    if let Some(bytes) = stream.held.pop() {
                        flow.taken(now, id, bytes);
                    }
                }
            }
            for id in flow.woken() {
                waits.remove(&id);
            }
            let sums = seen.values().map(|s| s.held.iter().sum::<usize>());
            assert!(
                sums.clone().all(|sum| sum < RULES.each + MESSAGE),
                "seed {seed}, step {step}"
            );
            assert_eq!(flow.held(), sums.sum::<usize>(), "seed {seed}, step {step}");
            assert!(
                flow.held() < RULES.all + RULES.streams * MESSAGE,
                "seed {seed}, step {step}"
            );
            // Nobody is left waiting whom room or an empty hand would let go on.
            for id in waits.keys() {
                let stream = &seen[id];
                let held: usize = stream.held.iter().sum();
                let stuck = held == 0 || (held < RULES.each && flow.held() == held);
                assert!(
                    !stuck || flow.held() >= RULES.all,
                    "forgotten, seed {seed}, step {step}"
                );
            }
        }
    }
}

#[test]
fn room_goes_to_whoever_waited_longest() {
    let mut flow = Flow::new(StreamLimits {
        all: 100,
        each: 80,
        ..RULES
    });
    let [a, b, c] = [0; 3].map(|_| flow.open().expect("room"));
    for id in [a, b, c] {
        assert!(flow.asks(0, id));
        flow.came(0, id, 40);
    }
    assert!(!flow.asks(0, b) && !flow.asks(0, c) && !flow.asks(0, a));
    flow.taken(0, a, 40);
    assert_eq!(
        flow.woken(),
        [a, b],
        "it has taken all it had; then the first in line"
    );
}

#[test]
fn each_time_ends_a_stream_by_its_name_and_once() {
    let run = |until: Option<Time>, does: &dyn Fn(&mut Flow, StreamId)| {
        let mut flow = Flow::new(RULES);
        let id = flow.open().expect("room");
        until.into_iter().for_each(|until| flow.limit(id, until));
        does(&mut flow, id);
        let due = flow.next_due().expect("a time");
        assert_eq!(flow.due(due - 1), []);
        let ended = flow.due(due);
        assert_eq!(
            (flow.due(due + MS), flow.len(), flow.held()),
            (vec![], 0, 0)
        );
        (due, ended[0].1)
    };
    let silent = run(None, &|flow, id| assert!(flow.asks(5, id)));
    assert_eq!(silent, (5 + RULES.silence, End::SilentMember));
    let slow = run(None, &|flow, id| {
        assert!(flow.asks(0, id));
        flow.came(3, id, 60);
        flow.over(id);
    });
    assert_eq!(slow, (3 + RULES.stall, End::SlowReader));
    let late = run(Some(7), &|flow, id| assert!(flow.asks(5, id)));
    assert_eq!(late, (7, End::Late));
}

#[test]
fn a_reader_that_takes_a_little_is_no_slow_one_and_a_member_not_read_is_not_silent() {
    let mut flow = Flow::new(RULES);
    let id = flow.open().expect("room");
    let mut now = 0;
    for _ in 0..10 {
        while flow.asks(now, id) {
            flow.came(now, id, MESSAGE);
        }
        now += RULES.stall - 1;
        assert_eq!(flow.due(now), []);
        flow.taken(now, id, MESSAGE);
    }
}

#[test]
fn requests_fill_few_connections_and_empty_ones_close() {
    for seed in 0..100 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut channels = Channels::new(4);
        let mut carried: BTreeMap<_, (u8, usize, bool)> = BTreeMap::new();
        for _ in 0..500 {
            let member = random.random_range(0..3u8);
            if random.random_bool(0.55) {
                let placed = channels.place(&member);
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
                    channels.broke(id);
                    channel.2 = true;
                    continue;
                }
                channel.1 -= 1;
                let empty = channel.1 == 0;
                assert_eq!(channels.freed(id), empty, "seed {seed}");
                if empty {
                    carried.remove(&id);
                }
            }
            assert_eq!(channels.len(), carried.len(), "seed {seed}");
        }
    }
}
