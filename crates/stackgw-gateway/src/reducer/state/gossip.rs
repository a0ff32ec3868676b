//! Gossip about members between the gateways of the tier.

use stackgw_router::api::{GossipUpdate, MemberId, Time};
use stackgw_settings::{GossipCodec, GossipMessage};
use std::net::SocketAddr;

/// The addresses of the tier's gateways, and the codec, which knows the members of the directory.
pub(crate) struct Gossip {
    peers: Vec<SocketAddr>,
    broadcast: Option<SocketAddr>,
    local_index: usize,
    codec: GossipCodec,
}

impl Gossip {
    pub(crate) fn new(
        peers: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
        local_index: usize,
    ) -> Self {
        Gossip {
            peers,
            broadcast,
            local_index,
            codec: GossipCodec::default(),
        }
    }

    /// This gateway's index in the tier.
    pub(crate) fn local_index(&self) -> usize {
        self.local_index
    }

    pub(crate) fn set_peers(&mut self, peers: Vec<SocketAddr>, broadcast: Option<SocketAddr>) {
        self.peers = peers;
        self.broadcast = broadcast;
    }

    pub(crate) fn add_member(&mut self, member: MemberId, name: &str) {
        self.codec.add(member, name);
    }

    pub(crate) fn remove_member(&mut self, member: MemberId) {
        self.codec.remove(member);
    }

    /// Returns the address of one gateway, or the broadcast address of all; `None` if none is configured.
    pub(crate) fn address(&self, to: Option<u32>) -> Option<SocketAddr> {
        match to {
            Some(index) => self.peers.get(index as usize).copied(),
            None => self.broadcast,
        }
    }

    /// Encodes updates as datagrams. A datagram to a single gateway is relayed by it.
    pub(crate) fn encode(
        &self,
        now: Time,
        to: Option<u32>,
        updates: &[GossipUpdate],
    ) -> Vec<Vec<u8>> {
        self.codec.encode(now, to.is_some(), updates)
    }

    /// Decodes a datagram. Returns `None` if the sender is not another gateway of the tier, or the bytes are not valid gossip
    /// or more than `max_bytes`.
    pub(crate) fn decode(
        &self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        max_bytes: usize,
    ) -> Option<GossipMessage> {
        let sender = self.peers.iter().position(|peer| *peer == from);
        let is_peer = sender.is_some_and(|index| index != self.local_index);
        if !is_peer || bytes.len() > max_bytes {
            return None;
        }
        self.codec.decode(now, bytes)
    }
}
