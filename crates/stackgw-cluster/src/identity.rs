//! One instance as its peers know it.

use serde::{Deserialize, Serialize};
use stackgw_sessions::{NodeId, Peer};
use std::net::SocketAddr;

/// One incarnation of an instance and its address. Order and types of the fields are the wire
/// format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Which instance, and in which incarnation.
    pub peer: Peer,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Increases when others have taken it for down and it rejoins in the same incarnation.
    pub rejoin_count: u16,
}

impl Identity {
    /// The node of an instance of which only the address is known.
    pub(crate) const UNKNOWN_NODE: NodeId = NodeId(0);

    /// Whichever instance is at this address, to be asked for the others.
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
