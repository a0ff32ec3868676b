//! The source of an update of the endpoint list, and when the list service confirmed it.

use stackgw_router::api::Time;

/// Where an update of the endpoint list comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Origin {
    /// The disk, the platform, or a peer that has lost contact with the service: the list may be out of date.
    Cached,
    /// A peer in contact with the service.
    Peer,
    /// The list service itself.
    Service,
}

/// The source of one update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// A cached list.
    Cached {
        /// When the service last confirmed it, as far as is known.
        confirmed_at: Time,
    },
    /// A peer in contact with the service.
    Peer {
        /// When the service last confirmed the update.
        confirmed_at: Time,
        /// An incomplete update has all changes since this version.
        base: Option<u64>,
    },
    /// The list service itself.
    Service,
}

impl UpdateSource {
    /// Where the update comes from.
    pub fn origin(self) -> Origin {
        match self {
            UpdateSource::Cached { .. } => Origin::Cached,
            UpdateSource::Peer { .. } => Origin::Peer,
            UpdateSource::Service => Origin::Service,
        }
    }

    /// Returns when the service last confirmed the update, as far as is known; `now` if the service itself sent it.
    pub fn confirmed_at(self, now: Time) -> Time {
        match self {
            UpdateSource::Cached { confirmed_at } | UpdateSource::Peer { confirmed_at, .. } => {
                confirmed_at
            }
            UpdateSource::Service => now,
        }
    }
}
