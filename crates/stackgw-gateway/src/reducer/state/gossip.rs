//! Gossip about members between the gateways of the tier.

use stackgw_router::api::{GossipUpdate, MemberId, Time};
use stackgw_settings::{GossipCodec, GossipMessage};
use std::net::SocketAddr;

/// The other gateways' addresses, and the codec, which knows the members that are in the directory.
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

    /// The address of one gateway, or of all of them; `None` where there is none.
    pub(crate) fn address(&self, to: Option<u32>) -> Option<SocketAddr> {
        match to {
            Some(index) => self.peers.get(index as usize).copied(),
            None => self.broadcast,
        }
    }

    /// The datagrams that carry these updates; one to a single gateway is to be passed on by it.
    pub(crate) fn encode(
        &self,
        now: Time,
        to: Option<u32>,
        updates: &[GossipUpdate],
    ) -> Vec<Vec<u8>> {
        self.codec.encode(now, to.is_some(), updates)
    }

    /// `None`: the sender is no other gateway of the tier, or the bytes are no gossip.
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
