//! A faulty network between gateways: a relay in front of each gateway's cluster address, which can block and drop datagrams.

use crate::sync::lock;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often a relay without datagrams checks whether it has to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

const MAX_DATAGRAM_BYTES: usize = 2048;

/// The direction from one gateway to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    from: usize,
    to: usize,
}

/// The relays of all gateways.
#[derive(Debug, Default)]
pub struct FaultyNetwork {
    blocked: Mutex<BTreeSet<Route>>,
    /// The number of datagrams that are dropped, per thousand.
    pub loss_per_thousand: AtomicU32,
    is_stop_requested: AtomicBool,
}

/// The relay in front of one gateway.
struct Relay {
    network: Arc<FaultyNetwork>,
    socket: UdpSocket,
    gateway: usize,
    gateway_address: SocketAddr,
    /// The gateways by the address from which they send.
    senders: HashMap<SocketAddr, usize>,
}

impl FaultyNetwork {
    /// Starts a relay for each gateway address; returns the network and the relays' addresses, in the same order.
    pub(crate) fn start(gateways: &[SocketAddr]) -> io::Result<(Arc<Self>, Vec<SocketAddr>)> {
        let network = Arc::new(FaultyNetwork::default());
        let senders: HashMap<_, _> = gateways
            .iter()
            .enumerate()
            .map(|(index, address)| (*address, index))
            .collect();
        let mut relay_addresses = Vec::new();
        for (gateway, gateway_address) in gateways.iter().copied().enumerate() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
            relay_addresses.push(socket.local_addr()?);
            let relay = Relay {
                network: network.clone(),
                socket,
                gateway,
                gateway_address,
                senders: senders.clone(),
            };
            std::thread::spawn(move || relay.run());
        }
        Ok((network, relay_addresses))
    }

    /// Blocks all datagrams from one gateway to another; the opposite direction is not affected.
    pub fn block(&self, from: usize, to: usize) {
        lock(&self.blocked).insert(Route { from, to });
    }

    /// Removes all blocks.
    pub fn heal(&self) {
        lock(&self.blocked).clear();
    }

    /// Makes each relay stop after its next datagram, or within `STOP_CHECK_INTERVAL` if it receives none.
    pub(crate) fn request_stop(&self) {
        self.is_stop_requested.store(true, Ordering::Relaxed);
    }
}

impl Relay {
    fn run(&self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut random = self.gateway as u32 + 1;
        while !self.network.is_stop_requested.load(Ordering::Relaxed) {
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            random = next_random(random);
            let is_lost =
                (random >> 8) % 1_000 < self.network.loss_per_thousand.load(Ordering::Relaxed);
            if !is_lost && !self.is_blocked(sender) {
                let _ = self.socket.send_to(&buffer[..length], self.gateway_address);
            }
        }
    }

    /// Whether datagrams from this sender are blocked; those from unknown senders always are.
    fn is_blocked(&self, sender: SocketAddr) -> bool {
        let to = self.gateway;
        self.senders.get(&sender).is_none_or(|from| {
            let route = Route { from: *from, to };
            lock(&self.network.blocked).contains(&route)
        })
    }
}

/// The next state of a linear congruential generator.
fn next_random(state: u32) -> u32 {
    state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223)
}
