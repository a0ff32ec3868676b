//! One instance as its peers know it.

use serde::{Deserialize, Serialize};
use stackgw_sessions::{NodeId, Peer};
use std::net::SocketAddr;

/// An instance in one of its lives, and where it is to be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Which, and in which life.
    pub peer: Peer,
    /// Where its datagrams arrive.
    pub address: SocketAddr,
    /// Rises when others have taken it for gone and it comes back in the same life.
    pub rejoin_count: u16,
}

impl Identity {
    /// Whoever is at an address, to be asked for the others.
    pub(crate) fn at(address: SocketAddr) -> Self {
        Identity {
            peer: Peer {
                node: NodeId(0),
                incarnation: 0,
            },
            address,
            rejoin_count: 0,
        }
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Identity {
            rejoin_count: self.rejoin_count.checked_add(1)?,
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
