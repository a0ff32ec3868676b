//! Random histories of a fleet.

use crate::common::{address, ServiceState, Simulation};
use crate::hasher::Digest;
use crate::random::{any_answer, any_observation, below, chance};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use stackgw_bootstrap::{service_id, Reload};
use stackgw_router::api::{Lifecycle, Span, MS};
use std::collections::BTreeSet;

fn change_list(rng: &mut Pcg64Mcg, sim: &mut Simulation) {
    let (now, member) = (sim.now, below(rng, sim.versions[0].len()));
    match below(rng, 6) {
        0 | 1 => sim.drain(member),
        2 => sim.change_list(|list| list[member].phase = Lifecycle::Serving),
        3 => sim.change_list(|list| list[member].phase = Lifecycle::Removed),
        4 => sim.change_list(|list| {
            (list[member].up_since_ms, list[member].phase) = (now / MS, Lifecycle::Serving);
        }),
        _ => sim.change_list(|list| {
            list.iter_mut()
                .enumerate()
                .for_each(|(n, entry)| entry.leader = n == member);
        }),
    }
}

fn change_service(rng: &mut Pcg64Mcg, sim: &mut Simulation) {
    let behind = sim.versions.len().saturating_sub(2).max(1);
    let wait = below(rng, 4_000) as Span * MS;
    let states = [
        ServiceState::Up,
        ServiceState::Up,
        ServiceState::Down,
        ServiceState::Silent,
        ServiceState::Overloaded(wait),
        ServiceState::Behind(behind),
    ];
    let state = states[below(rng, states.len())];
    let fleet = sim.instances.len();
    let first = below(rng, fleet);
    let which = if chance(rng, 0.5) {
        0..fleet
    } else {
        first..first + 1
    };
    sim.set_service_state(which, state);
}

fn change_network(rng: &mut Pcg64Mcg, sim: &mut Simulation) {
    match below(rng, 3) {
        0 => sim.loss = rng.random::<f64>() * 0.6,
        1 => {
            sim.far_side = (0..sim.instances.len())
                .filter(|_| chance(rng, 0.5))
                .collect();
            sim.cut_links.extend([(true, false), (false, true)]);
        }
        _ => sim.cut_links.clear(),
    }
}

/// Kills all instances with a live watch or a random instance, or starts one or all instances with the lists on their disks.
fn change_fleet(rng: &mut Pcg64Mcg, sim: &mut Simulation) {
    let fleet = sim.instances.len();
    match below(rng, 5) {
        0 => {
            let is_watching = |n: &usize| {
                sim.instances[*n]
                    .bootstrap
                    .as_ref()
                    .is_some_and(|bootstrap| bootstrap.is_watch_live())
            };
            let watching: Vec<_> = (0..fleet).filter(is_watching).collect();
            watching.into_iter().for_each(|n| sim.kill(n));
        }
        1 => sim.kill(below(rng, fleet)),
        2 => sim.start_all(0..fleet),
        _ => sim.start(below(rng, fleet)),
    }
}

fn call_instance(rng: &mut Pcg64Mcg, sim: &mut Simulation) {
    let n = below(rng, sim.instances.len());
    let (now, members) = (sim.now, sim.versions[0].len());
    match below(rng, 5) {
        0 => {
            let observations: Vec<_> = (0..below(rng, 20))
                .map(|_| any_observation(rng, now, members))
                .collect();
            sim.call(n, |bootstrap, now, _| {
                bootstrap.record_observations(now, observations)
            });
        }
        1 => {
            let throughput = rng.random::<f64>() * 400.0;
            sim.call(n, |bootstrap, _, _| {
                bootstrap.set_warm_throughput(throughput)
            });
        }
        2 => {
            let (name, moved) = (
                if chance(rng, 0.8) { "s" } else { "other" },
                chance(rng, 0.3),
            );
            let seeds: Vec<_> = (0..below(rng, 4)).map(address).collect();
            sim.call(n, |bootstrap, now, out| {
                bootstrap.reload(
                    now,
                    Reload {
                        seeds: &seeds,
                        service_id: service_id(name),
                        has_service_moved: moved,
                    },
                    out,
                )
            });
        }
        3 => {
            let from = below(rng, sim.instances.len());
            let answer = any_answer(rng, sim, from);
            sim.call(n, |bootstrap, now, out| {
                bootstrap.handle_message(now, answer, out)
            });
        }
        _ => {
            let live_peers: BTreeSet<_> = (0..sim.instances.len())
                .filter(|_| chance(rng, 0.7))
                .map(address)
                .collect();
            sim.call(n, |bootstrap, now, out| {
                bootstrap.update_membership(now, live_peers, out)
            });
        }
    }
}

pub fn play(
    digest: &mut Digest,
    rng: &mut Pcg64Mcg,
    sim: &mut Simulation,
    steps: usize,
    longest_ms: usize,
) {
    sim.recorded = Some(Vec::new());
    let fleet = sim.instances.len();
    sim.start_all(0..fleet);
    for _ in 0..steps {
        match below(rng, 12) {
            0..=4 => sim.advance(below(rng, longest_ms) as Span * MS),
            5 | 6 => change_list(rng, sim),
            7 => change_service(rng, sim),
            8 => change_network(rng, sim),
            9 => change_fleet(rng, sim),
            _ => call_instance(rng, sim),
        }
        digest.fleet(sim);
    }
}
