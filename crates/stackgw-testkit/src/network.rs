//! A broken network between gateways: a relay before each one's datagrams, which cuts and loses.

use crate::replica_group::lock;
use std::collections::{BTreeSet, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The relays of all gateways.
#[derive(Debug, Default)]
pub struct FaultyNetwork {
    cut: Mutex<BTreeSet<(usize, usize)>>,
    /// Of a thousand datagrams so many are lost.
    pub loss: AtomicU32,
    over: AtomicBool,
}

impl FaultyNetwork {
    /// Relays before gateways that listen at these addresses; gives the relays'.
    pub fn start(listen: &[SocketAddr]) -> std::io::Result<(Arc<FaultyNetwork>, Vec<SocketAddr>)> {
        let net = Arc::new(FaultyNetwork::default());
        let from: HashMap<_, _> = listen
            .iter()
            .copied()
            .enumerate()
            .map(|(n, at)| (at, n))
            .collect();
        let mut relays = Vec::new();
        for (to, at) in listen.iter().copied().enumerate() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(Duration::from_millis(100)))?;
            relays.push(socket.local_addr()?);
            let (net, from) = (net.clone(), from.clone());
            std::thread::spawn(move || net.relay(&socket, at, to, &from));
        }
        Ok((net, relays))
    }

    /// Nothing gets from one gateway to another any more.
    pub fn cut(&self, from: usize, to: usize) {
        lock(&self.cut).insert((from, to));
    }

    /// All cuts are mended.
    pub fn mend(&self) {
        lock(&self.cut).clear();
    }

    fn relay(
        &self,
        socket: &UdpSocket,
        at: SocketAddr,
        to: usize,
        from: &HashMap<SocketAddr, usize>,
    ) {
        let (mut buffer, mut state) = ([0; 2048], to as u32 + 1);
        while !self.over.load(Ordering::Relaxed) {
            let Ok((length, sender)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let cut = from
                .get(&sender)
                .is_none_or(|from| lock(&self.cut).contains(&(*from, to)));
            state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let lost = (state >> 8) % 1_000 < self.loss.load(Ordering::Relaxed);
            if !cut && !lost {
                let _ = socket.send_to(&buffer[..length], at);
            }
        }
    }
}

impl FaultyNetwork {
    /// The relays end.
    pub(crate) fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }
}
