//! Helpers shared by the tests and the benchmark: a fleet in simulated time, and its addresses and endpoints.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod simulation;

#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use simulation::{Instance, ServiceState, Simulation, DRAIN_GRACE};

use stackgw_bootstrap::Endpoint;
use stackgw_router::api::Lifecycle;
use std::net::SocketAddr;

/// Number of instances, or members, per block of addresses.
const ADDRESSES_PER_BLOCK: usize = 250;

fn block_and_host(number: usize) -> (u8, u8) {
    (
        (number / ADDRESSES_PER_BLOCK) as u8,
        (number % ADDRESSES_PER_BLOCK) as u8 + 1,
    )
}

/// The address of an instance.
pub fn address(instance: usize) -> SocketAddr {
    let (block, host) = block_and_host(instance);
    SocketAddr::from(([10, 0, block, host], 7_000))
}

/// The instance at an address.
fn instance_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        return usize::MAX;
    };
    let [_, _, block, host] = address.ip().octets();
    usize::from(block) * ADDRESSES_PER_BLOCK + usize::from(host) - 1
}

/// The name of a member.
pub fn member_name(member: usize) -> String {
    format!("m{member}")
}

/// The entry of a member in the list.
pub fn endpoint(member: usize, phase: Lifecycle, leader: bool) -> Endpoint {
    let (block, host) = block_and_host(member);
    Endpoint {
        id: member_name(member),
        address: SocketAddr::from(([10, 1, block, host], 6_543)),
        locality: "room".to_owned(),
        cell: 2,
        phase,
        size: 1.0,
        up_since_ms: 0,
        leader,
    }
}
