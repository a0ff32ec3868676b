//! The entries of the endpoint list, in the format in which the list service sends them and instances store them.

use serde::{Deserialize, Serialize};
use stackgw_router::api::{Lifecycle, Time, MS};
use std::net::SocketAddr;

/// The `up_since_ms` of a process that started long ago.
const UP_FOR_LONG: i64 = 0;
/// Exclusive upper bound of Unix times in milliseconds (the year 2223); leaves room for adding spans to them in nanoseconds.
pub const MAX_UNIX_MS: i64 = 8_000_000_000_000;
/// The `up_since_ms` of a process whose start is not known. All values below 0, and from [`MAX_UNIX_MS`] on, mean the same.
pub(crate) const UP_SINCE_UNKNOWN: i64 = -1;

/// One entry of the endpoint list: a member and where to reach it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The member's name, the same at every gateway.
    pub id: String,
    /// The address at which this gateway reaches the member.
    pub address: SocketAddr,
    /// The name of the member's zone.
    pub locality: String,
    /// The number of the member's replication group.
    pub cell: u32,
    /// The lifecycle phase of the member's process, according to the list.
    #[serde(with = "phase")]
    pub phase: Lifecycle,
    /// The member's weight.
    pub size: f64,
    /// When the member's process last started, in Unix milliseconds; see [`Endpoint::start_time`] for 0 and negative values.
    pub up_since_ms: i64,
    /// Whether the list names the member as the primary of its group.
    pub leader: bool,
}

/// When a member's process last started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartTime {
    /// Long enough ago that the member is warm.
    LongAgo,
    /// At this time.
    At(Time),
    /// The start time is not known.
    Unknown,
}

impl Endpoint {
    /// Returns when the member's process last started.
    pub fn start_time(&self) -> StartTime {
        match self.up_since_ms {
            UP_FOR_LONG => StartTime::LongAgo,
            ms if (0..MAX_UNIX_MS).contains(&ms) => StartTime::At(ms * MS),
            _ => StartTime::Unknown,
        }
    }
}

/// The endpoint list, or those of its entries that have changed.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The list's version.
    pub revision: u64,
    /// Whether the update has all entries, not only those that have changed.
    pub complete: bool,
    /// The entries.
    pub members: Vec<Endpoint>,
}

/// The format of [`Lifecycle`] in stored lists and messages: a number.
mod phase {
    use serde::{de::Error, Deserialize, Deserializer, Serializer};
    use stackgw_router::api::Lifecycle;

    const SERVING: u8 = 0;
    const DRAINING: u8 = 1;
    const REMOVED: u8 = 2;

    pub(super) fn serialize<S: Serializer>(
        phase: &Lifecycle,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(match phase {
            Lifecycle::Serving => SERVING,
            Lifecycle::Draining => DRAINING,
            Lifecycle::Removed => REMOVED,
        })
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Lifecycle, D::Error> {
        match u8::deserialize(deserializer)? {
            SERVING => Ok(Lifecycle::Serving),
            DRAINING => Ok(Lifecycle::Draining),
            REMOVED => Ok(Lifecycle::Removed),
            other => Err(D::Error::custom(format!("{other} is not a valid phase"))),
        }
    }
}
