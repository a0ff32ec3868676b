//! The entries of the endpoint list, in the form in which the list service sends them and instances store them.

use serde::{Deserialize, Serialize};
use stackgw_router::api::{Lifecycle, Time, MS};
use std::net::SocketAddr;

/// The `up_since_ms` of a process that has been up for long.
const UP_FOR_LONG: i64 = 0;
/// Unix times in milliseconds are below this (the year 2223), which leaves room for sums of them in nanoseconds.
pub const MAX_UNIX_MS: i64 = 8_000_000_000_000;
/// The `up_since_ms` of a process whose start is not known. All numbers below 0 and beyond all times are read as this.
pub(crate) const UP_SINCE_UNKNOWN: i64 = -1;

/// One entry of the endpoint list: a member and where to reach it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The member's name, the same at every gateway.
    pub id: String,
    /// Where this gateway reaches it.
    pub address: SocketAddr,
    /// Its zone's name.
    pub locality: String,
    /// The number of its replication group.
    pub cell: u32,
    /// The state of its process, as the list has it.
    #[serde(with = "phase")]
    pub phase: Lifecycle,
    /// Its weight.
    pub size: f64,
    /// When its process last started, in Unix milliseconds; see [`Endpoint::start_time`] for 0 and numbers below 0.
    pub up_since_ms: i64,
    /// The list names it as the primary of its group.
    pub leader: bool,
}

/// When a member's process last started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartTime {
    /// So long ago that it has warmed up.
    LongAgo,
    /// At this moment.
    At(Time),
    /// Nobody knows.
    Unknown,
}

impl Endpoint {
    /// When the member's process last started.
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
    /// Whether these are all entries, not just those that have changed.
    pub complete: bool,
    /// The entries.
    pub members: Vec<Endpoint>,
}

/// The stored and sent form of [`Lifecycle`]: a number.
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
            other => Err(D::Error::custom(format!("{other} is no phase"))),
        }
    }
}
