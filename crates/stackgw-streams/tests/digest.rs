//! Digests of all results of [`FlowControl`] and [`ChannelPool`] over random histories, which a
//! refactoring must not change. They are printed for manual comparison, not checked:
//! `cargo test -p stackgw-streams --test digest -- --ignored --nocapture`.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stackgw_router::api::{Time, MS};
use stackgw_streams::{
    ChannelId, ChannelPool, EndReason, ExpiredStream, FlowControl, StreamId, StreamLimits,
};
use std::collections::BTreeMap;

const HISTORIES: u64 = 600;
const STEPS: usize = 500;

/// FNV-1a, 64 bits.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn add_number(&mut self, number: i64) {
        self.add_bytes(&number.to_le_bytes());
    }

    fn add_size(&mut self, size: usize) {
        self.add_number(i64::try_from(size).expect("size fits into an i64"));
    }
}

/// Numbers IDs in the order of their first appearance, because the IDs do not expose their values.
struct IdNumbering<I>(BTreeMap<I, usize>);

impl<I: Ord + Copy> IdNumbering<I> {
    fn number_of(&mut self, id: I) -> usize {
        let next = self.0.len();
        *self.0.entry(id).or_insert(next)
    }
}

fn reason_number(reason: EndReason) -> i64 {
    match reason {
        EndReason::SlowReader => 1,
        EndReason::UnresponsiveMember => 2,
        EndReason::DeadlineExceeded => 3,
    }
}

fn random_limits(random: &mut SmallRng) -> StreamLimits {
    StreamLimits {
        max_streams: random.random_range(1..12),
        bytes_per_stream: random.random_range(0..200),
        bytes_total: random.random_range(0..600),
        reader_timeout: random.random_range(1..60 * MS),
        member_timeout: random.random_range(1..30 * MS),
    }
}

/// Adds the results of a random history of flow control. Some calls use IDs of closed streams, as
/// late calls do.
fn flow_history(seed: u64, digest: &mut Digest) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut flow = FlowControl::new(random_limits(&mut random));
    let mut now: Time = 0;
    let mut ids: Vec<StreamId> = Vec::new();
    let mut numbers = IdNumbering(BTreeMap::new());
    for _ in 0..STEPS {
        now += random.random_range(0..4 * MS);
        let action = random.random_range(0..14);
        let recent = ids.len().saturating_sub(14);
        let id = (!ids.is_empty()).then(|| ids[random.random_range(recent..ids.len())]);
        match (action, id) {
            (0 | 1, _) | (_, None) => match flow.open() {
                Ok(id) => {
                    ids.push(id);
                    digest.add_size(numbers.number_of(id));
                }
                Err(error) => digest.add_bytes(error.to_string().as_bytes()),
            },
            (2, Some(id)) => flow.close(id),
            (3, Some(id)) => flow.finish_receiving(id),
            (4, Some(id)) => flow.set_deadline(id, now + random.random_range(0..40 * MS)),
            (5..=7, Some(id)) => digest.add_number(i64::from(flow.try_read(now, id))),
            (8..=10, Some(id)) => flow.record_received(now, id, random.random_range(0..90)),
            (11 | 12, Some(id)) => flow.record_consumed(now, id, random.random_range(0..90)),
            (_, Some(_)) => {
                for ExpiredStream { id, reason } in flow.expire(now) {
                    digest.add_size(numbers.number_of(id));
                    digest.add_number(reason_number(reason));
                    digest.add_bytes(reason.to_string().as_bytes());
                }
            }
        }
        if random.random_bool(0.7) {
            let resumed = flow.take_resumed();
            digest.add_size(resumed.len());
            for id in resumed {
                digest.add_size(numbers.number_of(id));
            }
        }
        digest.add_number(flow.next_timeout().unwrap_or(-1));
        digest.add_size(flow.buffered_bytes());
        digest.add_size(flow.len());
        digest.add_number(i64::from(flow.is_empty()));
    }
}

/// Adds the results of a random history of a channel pool. Some calls use IDs of closed
/// connections, as late calls do.
fn channels_history(seed: u64, digest: &mut Digest) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut pool = ChannelPool::new(random.random_range(0..6));
    let mut ids: Vec<ChannelId> = Vec::new();
    let mut numbers = IdNumbering(BTreeMap::new());
    for _ in 0..STEPS {
        let action = random.random_range(0..20);
        let recent = ids.len().saturating_sub(30);
        let id = (!ids.is_empty()).then(|| ids[random.random_range(recent..ids.len())]);
        match (action, id) {
            (0..=9, _) | (_, None) => {
                let id = pool.assign(&random.random_range(0..4u8));
                ids.push(id);
                digest.add_size(numbers.number_of(id));
            }
            (10 | 11, Some(id)) => pool.mark_broken(id),
            (_, Some(id)) => digest.add_number(i64::from(pool.release(id))),
        }
        digest.add_size(pool.len());
        digest.add_number(i64::from(pool.is_empty()));
    }
}

fn print_digest(name: &str, history: impl Fn(u64, &mut Digest)) {
    let mut digest = Digest::new();
    (0..HISTORIES).for_each(|seed| history(seed, &mut digest));
    println!("digest {name} = {:016x}", digest.0);
}

#[test]
#[ignore = "prints a digest for manual comparison"]
fn digest_of_flow_histories() {
    print_digest("streams-flow", flow_history);
}

#[test]
#[ignore = "prints a digest for manual comparison"]
fn digest_of_channel_histories() {
    print_digest("streams-channels", channels_history);
}
