//! UDP ports that are reserved for gateways which are started later.

use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Below the ports that the system assigns: one of those could be assigned to another socket between its release and the
/// gateway's bind, or while the gateway restarts.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 18_000;
/// Separates the ports of processes that run at the same time; prime, so that it shares no factor with `PORTS`.
const PORTS_PER_PROCESS: u32 = 1_009;

static RESERVED: AtomicU32 = AtomicU32::new(0);

/// Reserves a port by a socket; each call of a process takes another one.
///
/// # Errors
/// If no port is free, or a socket can't be bound for another reason.
pub(crate) fn reserve() -> Result<UdpSocket> {
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS) % PORTS;
    for _ in 0..PORTS {
        let offset = (first + RESERVED.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let port = u16::try_from(FIRST_PORT + offset).map_err(Error::other)?;
        match UdpSocket::bind((Ipv4Addr::LOCALHOST, port)) {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            bound => return bound,
        }
    }
    Err(ErrorKind::AddrInUse.into())
}

#[cfg(test)]
#[path = "../tests/unit/udp_ports.rs"]
mod tests;
