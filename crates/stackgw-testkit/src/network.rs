//! A faulty network between gateways: a relay before each gateway's datagrams, which can block and lose them.

use crate::sync::lock;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often a relay looks whether it has to end.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);

const MAX_DATAGRAM_BYTES: usize = 2048;

/// The way of datagrams from one gateway to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    from: usize,
    to: usize,
}

/// The relays of all gateways.
#[derive(Debug, Default)]
pub struct FaultyNetwork {
    blocked: Mutex<BTreeSet<Route>>,
    /// Of a thousand datagrams so many are lost.
    pub loss_per_thousand: AtomicU32,
    has_ended: AtomicBool,
}

/// The relay before one gateway.
struct Relay {
    network: Arc<FaultyNetwork>,
    socket: UdpSocket,
    gateway: usize,
    gateway_address: SocketAddr,
    /// The gateways by the addresses that they send from.
    senders: HashMap<SocketAddr, usize>,
}

impl FaultyNetwork {
    /// Starts a relay before each gateway that listens at one of these addresses; gives the relays' addresses too.
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
            socket.set_read_timeout(Some(END_CHECK_INTERVAL))?;
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

    /// Lets nothing through from one gateway to another any more; the other direction is not touched.
    pub fn block(&self, from: usize, to: usize) {
        lock(&self.blocked).insert(Route { from, to });
    }

    /// Lets everything through again that was blocked.
    pub fn heal(&self) {
        lock(&self.blocked).clear();
    }

    /// Ends the relays.
    pub(crate) fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }
}

impl Relay {
    fn run(&self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut random = self.gateway as u32 + 1;
        while !self.network.has_ended.load(Ordering::Relaxed) {
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

    /// Whether nothing gets through from this sender; from strangers nothing does.
    fn is_blocked(&self, sender: SocketAddr) -> bool {
        let to = self.gateway;
        self.senders.get(&sender).is_none_or(|from| {
            let route = Route { from: *from, to };
            lock(&self.network.blocked).contains(&route)
        })
    }
}

/// A linear congruential generator's next state.
fn next_random(state: u32) -> u32 {
    state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223)
}
