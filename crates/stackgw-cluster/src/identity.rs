//! The identity by which peers know an instance.

use serde::{Deserialize, Serialize};
use stackgw_sessions::{NodeId, Peer};
use std::net::SocketAddr;

/// One incarnation of an instance and its address. The order and types of the fields are the wire
/// format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The instance and its incarnation.
    pub peer: Peer,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// Increases when peers have declared the instance down and it rejoins in the same incarnation.
    pub rejoin_count: u16,
}

impl Identity {
    /// The node of an instance of which only the address is known.
    pub(crate) const UNKNOWN_NODE: NodeId = NodeId(0);

    /// A placeholder for the instance at this address, used to contact a seed.
    pub(crate) fn at(address: SocketAddr) -> Self {
        let peer = Peer {
            node: Self::UNKNOWN_NODE,
            incarnation: 0,
        };
        Identity {
            peer,
            address,
            rejoin_count: 0,
        }
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        let rejoin_count = self.rejoin_count.checked_add(1)?;
        Some(Identity {
            rejoin_count,
            ..*self
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.peer.incarnation, self.rejoin_count) > (other.peer.incarnation, other.rejoin_count)
    }
}
