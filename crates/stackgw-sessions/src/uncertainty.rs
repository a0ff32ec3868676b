//! The reasons for which a read must see every commit.

use crate::identity::NodeId;

/// Why a read must see every commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UncertaintyReason {
    /// No lease granted by this replica is in effect: it is down, partitioned or slow, its store
    /// failed, or it waits for this instance to acknowledge writes.
    NoLease(NodeId),
    /// The configuration of this replica has a different replica set or different durations.
    ReplicaSetMismatch(NodeId),
    /// This replica grants leases, but some of its writes within the retention may be missing.
    IncompleteHistory(NodeId),
    /// This instance started without its earlier positions, joined the replica set, or had its
    /// store reset less than one retention ago. Positions of its own writes may be missing. The
    /// same holds after a change of the replica set if its write log is incomplete.
    RecentlyStarted,
    /// The store of this instance failed, and its file stayed in place.
    StoreFailed,
    /// The owner that was queried last did not reply in time.
    OwnersUnresponsive,
    /// The owner that was queried last is uncertain itself, or this instance is not an owner and
    /// skipped all owners because they gave no useful reply a short time ago.
    OwnersUncertain,
    /// The session has written, but the position of the write is not known.
    UnknownPosition,
    /// Too many reads are pending.
    TooManyReads,
}

impl UncertaintyReason {
    /// Describes the reason to operators; `name` returns the name of a replica. The log, the
    /// control socket and `docs/operate/sessions.md` contain these texts.
    pub fn describe(&self, name: impl Fn(&NodeId) -> String) -> String {
        match self {
            Self::NoLease(node) => format!("no pledge from {}", name(node)),
            Self::ReplicaSetMismatch(node) => {
                format!("{} has other keepers or times in its file", name(node))
            }
            Self::IncompleteHistory(node) => format!("less than a horizon known of {}", name(node)),
            Self::RecentlyStarted => {
                "started less than a horizon ago without what it held".to_owned()
            }
            Self::StoreFailed => "the disk failed".to_owned(),
            Self::OwnersUnresponsive => "no home answered in time".to_owned(),
            Self::OwnersUncertain => "the homes are not sure".to_owned(),
            Self::UnknownPosition => "the session's write has no known position".to_owned(),
            Self::TooManyReads => "too many reads wait for their homes".to_owned(),
        }
    }
}
