//! The list's entries, under the list's own names.

use serde::{Deserialize, Serialize};
use stackgw_router::api::Lifecycle;
use std::net::SocketAddr;

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The member's name, the same at every gateway.
    pub id: String,
    /// Where this gateway reaches it.
    pub address: SocketAddr,
    /// Its zone's name.
    pub locality: String,
    /// Its group.
    pub cell: u32,
    /// What the list says of its process.
    #[serde(with = "phase")]
    pub phase: Lifecycle,
    /// Its weight.
    pub size: f64,
    /// When it last started, in Unix milliseconds; 0 means long ago, and below 0 that nobody knows.
    pub up_since_ms: i64,
    /// The list holds it for the primary.
    pub leader: bool,
}

/// A list, or the entries of one that changed.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The list's version.
    pub revision: u64,
    /// All entries, not just those that changed.
    pub complete: bool,
    /// The entries.
    pub members: Vec<Endpoint>,
}

mod phase {
    use serde::{de::Error, Deserialize, Deserializer, Serializer};
    use stackgw_router::api::Lifecycle;

    pub(super) fn serialize<S: Serializer>(phase: &Lifecycle, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u8(match phase {
            Lifecycle::Serving => 0,
            Lifecycle::Draining => 1,
            Lifecycle::Removed => 2,
        })
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Lifecycle, D::Error> {
        match u8::deserialize(from)? {
            0 => Ok(Lifecycle::Serving),
            1 => Ok(Lifecycle::Draining),
            2 => Ok(Lifecycle::Removed),
            other => Err(D::Error::custom(format!("{other} is no phase"))),
        }
    }
}
