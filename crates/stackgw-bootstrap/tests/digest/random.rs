//! Random values for histories.

use crate::common::{address, endpoint, member_name, Simulation};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use stackgw_bootstrap::{
    service_id, Endpoint, EndpointSnapshot, Fragment, Message, Observation, Origin, Poll,
    UpdateSource,
};
use stackgw_router::api::{Lifecycle, Time, MS};

pub fn chance(rng: &mut Pcg64Mcg, share: f64) -> bool {
    rng.random::<f64>() < share
}

/// A number below `end`.
pub fn below(rng: &mut Pcg64Mcg, end: usize) -> usize {
    (rng.random::<f64>() * end as f64) as usize
}

/// The source of an update with this origin. Time and base are ignored for origins without them.
pub fn source_of(origin: Origin, confirmed_at: Time, base: Option<u64>) -> UpdateSource {
    match origin {
        Origin::Cached => UpdateSource::Cached { confirmed_at },
        Origin::Peer => UpdateSource::Peer { confirmed_at, base },
        Origin::Service => UpdateSource::Service,
    }
}

pub fn any_phase(rng: &mut Pcg64Mcg) -> Lifecycle {
    [
        Lifecycle::Serving,
        Lifecycle::Serving,
        Lifecycle::Draining,
        Lifecycle::Removed,
    ][below(rng, 4)]
}

pub fn any_endpoint(rng: &mut Pcg64Mcg, now: Time, members: usize) -> Endpoint {
    let up_since_ms = [0, 0, -1, now / MS - below(rng, 20_000) as i64][below(rng, 4)];
    let (phase, leader) = (any_phase(rng), chance(rng, 0.3));
    Endpoint {
        up_since_ms,
        ..endpoint(below(rng, members), phase, leader)
    }
}

pub fn any_observation(rng: &mut Pcg64Mcg, now: Time, members: usize) -> Observation {
    Observation {
        member_hash: Observation::hash_name(&member_name(below(rng, members))),
        position_ms: (now / MS) as u64 - below(rng, 8_000) as u64,
        is_primary: [None, Some(false), Some(true)][below(rng, 3)],
        observed_at_ms: (now / MS) as u64 + 1_000 - below(rng, 8_000) as u64,
    }
}

/// A snapshot sent by `from`: complete or a fragment, solicited or not, valid or not.
pub fn any_answer(rng: &mut Pcg64Mcg, sim: &Simulation, from: usize) -> Message {
    let members = sim.versions[0].len();
    let fragments = [0, 1, 1, 2, 3][below(rng, 5)];
    let entries = if fragments == 0 { 0 } else { below(rng, 4) };
    let version = sim.revision() + below(rng, 20) as u64 / 18;
    Message::Snapshot(EndpointSnapshot {
        sender: address(from),
        nonce: if chance(rng, 0.7) { 0 } else { rng.random() },
        service_id: service_id(if chance(rng, 0.9) { "s" } else { "other" }),
        revision: chance(rng, 0.9).then_some(version.saturating_sub(below(rng, 4) as u64)),
        confirmed_ago_ms: below(rng, 9_000) as u64,
        is_live: chance(rng, 0.5),
        is_cached: chance(rng, 0.3),
        retry_after_ms: if chance(rng, 0.1) {
            below(rng, 5_000) as u64
        } else {
            0
        },
        warm_throughput_millis: below(rng, 3) as u64 * 150_000,
        base: chance(rng, 0.5).then_some(version.saturating_sub(below(rng, 3) as u64)),
        fragment: Fragment {
            index: below(rng, fragments.max(1) as usize) as u16,
            count: fragments,
        },
        endpoints: (0..entries)
            .map(|_| any_endpoint(rng, sim.now, members))
            .collect(),
        observations: (0..below(rng, 3))
            .map(|_| any_observation(rng, sim.now, members))
            .collect(),
    })
}

/// A poll by a peer that has this version, the previous one, or none.
pub fn any_poll(rng: &mut Pcg64Mcg, revision: u64, sender: usize) -> Message {
    Message::Poll(Poll {
        sender: address(sender),
        nonce: rng.random(),
        service_id: service_id("s"),
        known_revision: [None, None, Some(revision), Some(revision.saturating_sub(1))]
            [below(rng, 4)],
        observations: Vec::new(),
    })
}

/// One of two unsolicited fragments of this version or the next, with the complete list or the changes since some version.
pub fn any_fragment(rng: &mut Pcg64Mcg, now: Time, revision: u64, sender: usize) -> Message {
    let first = below(rng, 60);
    Message::Snapshot(EndpointSnapshot {
        sender: address(sender),
        nonce: 0,
        service_id: service_id("s"),
        revision: Some(revision + below(rng, 2) as u64),
        confirmed_ago_ms: below(rng, 100) as u64,
        is_live: true,
        is_cached: false,
        retry_after_ms: 0,
        warm_throughput_millis: 0,
        base: [None, Some(1), Some(revision)][below(rng, 3)],
        fragment: Fragment {
            index: below(rng, 2) as u16,
            count: 2,
        },
        endpoints: (first..first + 2)
            .map(|_| any_endpoint(rng, now, 62))
            .collect(),
        observations: Vec::new(),
    })
}
