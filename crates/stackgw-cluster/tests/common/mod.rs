//! Instances on a network in simulated time.

#![allow(dead_code, reason = "each test program uses some of these helpers")]

use stackgw_cluster::*;
use stackgw_router::api::{Time, MS};
use stackgw_sessions::{Message, NodeId, Peer};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const SECRET: &str = "an old secret of some length";
pub const OTHER_SECRET: &str = "a new secret of some length";
const FIRST_PORT: u16 = 7_000;
const STEP: Time = 10 * MS;

pub fn keyring(secrets: &[&str]) -> Keyring {
    let key =
        |secret: &&str| Key::new("depots", secret.as_bytes()).expect("the secret is long enough");
    Keyring::new(secrets.iter().map(key).collect()).expect("there is a key")
}

pub fn peer(node: u64, incarnation: u64) -> Peer {
    let node = NodeId(node);
    Peer { node, incarnation }
}

pub fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_PORT + n).into()
}

pub fn identity(n: u16, incarnation: u64) -> Identity {
    Identity {
        peer: peer(n.into(), incarnation),
        address: address(n),
        rejoin_count: 0,
    }
}

pub fn settings(n: u16, incarnation: u64, keyring: Keyring) -> ClusterSettings {
    ClusterSettings {
        identity: identity(n, incarnation),
        seeds: vec![address(1), address(2)],
        keyring,
        rng_seed: n.into(),
        expected_instances: 3,
    }
}

/// Instances by number, and the datagrams in flight between them. A datagram that a timer sends is
/// delivered in the same step of simulated time, and one that answers another in the next step.
#[derive(Default)]
pub struct Network {
    pub now: Time,
    pub instances: BTreeMap<u16, Cluster>,
    in_flight: Vec<Datagram>,
    /// All datagrams sent so far, each with its time.
    pub sent: Vec<(Time, Datagram)>,
    /// All events so far, each with the instance that output it.
    pub events: Vec<(u16, Event)>,
    pub errors: Vec<ReceiveError>,
}

impl Network {
    pub fn start(&mut self, n: u16, incarnation: u64, keyring: Keyring) {
        self.start_with(n, settings(n, incarnation, keyring));
    }

    pub fn start_with(&mut self, n: u16, settings: ClusterSettings) {
        self.instances.insert(n, Cluster::new(self.now, settings));
    }

    pub fn instance(&mut self, n: u16) -> &mut Cluster {
        self.instances.get_mut(&n).expect("the instance runs")
    }

    pub fn advance(&mut self, span: Time) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for n in self.instances.keys().copied().collect::<Vec<_>>() {
                self.fire_timers(n);
            }
            for datagram in std::mem::take(&mut self.in_flight) {
                self.deliver(&datagram);
            }
        }
    }

    fn fire_timers(&mut self, n: u16) {
        let (mut datagrams, mut events) = (Vec::new(), Vec::new());
        let now = self.now;
        self.instance(n)
            .handle_timeout(now, &mut datagrams, &mut events);
        self.collect(n, datagrams, events);
    }

    fn deliver(&mut self, datagram: &Datagram) {
        assert!(datagram.bytes.len() <= MAX_DATAGRAM_BYTES);
        let n = datagram.to.port() - FIRST_PORT;
        let Some(receiver) = self.instances.get_mut(&n) else {
            return;
        };
        let (mut datagrams, mut events) = (Vec::new(), Vec::new());
        let result =
            receiver.handle_datagram(self.now, &datagram.bytes, &mut datagrams, &mut events);
        self.errors.extend(result.err());
        self.collect(n, datagrams, events);
    }

    fn collect(&mut self, n: u16, datagrams: Vec<Datagram>, events: Vec<Event>) {
        let sent_at = self.now;
        self.sent
            .extend(datagrams.iter().cloned().map(|sent| (sent_at, sent)));
        self.in_flight.extend(datagrams);
        self.events
            .extend(events.into_iter().map(|event| (n, event)));
    }

    /// Sends a message between sessions to the incarnation that runs, whichever it is.
    pub fn send(&mut self, from: u16, to: u16, message: &Message) {
        let mut datagrams = Vec::new();
        let receiver = peer(to.into(), 0);
        self.instance(from).send(receiver, message, &mut datagrams);
        self.collect(from, datagrams, Vec::new());
    }

    /// Node and incarnation of the instances that are up, as instance `n` sees them.
    pub fn up(&self, n: u16) -> Vec<(u64, u64)> {
        let up = self.instances[&n].instances().filter(|status| status.up);
        let peers = up.map(|status| status.identity.peer);
        peers.map(|peer| (peer.node.0, peer.incarnation)).collect()
    }
}
