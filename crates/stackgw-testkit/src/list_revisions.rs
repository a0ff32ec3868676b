//! The endpoint list with all its revisions, and its JSON form. It is independent of time and connections.

use crate::statements::GROUP;
use std::net::SocketAddr;

/// A member's phase in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedPhase {
    /// The member serves requests.
    Ready,
    /// The member gets no new requests and finishes those in flight.
    Draining,
    /// The member no longer exists.
    Gone,
}

impl ListedPhase {
    fn name(self) -> &'static str {
        match self {
            ListedPhase::Ready => "ready",
            ListedPhase::Draining => "draining",
            ListedPhase::Gone => "gone",
        }
    }
}

/// A member in one revision of the list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ListedMember {
    pub(crate) phase: ListedPhase,
    /// When the member's process started, in Unix milliseconds; 0: long ago.
    pub(crate) started_ms: u64,
    pub(crate) is_primary: bool,
}

/// The complete list, or only its changes, in JSON.
pub(crate) struct ListAnswer {
    pub(crate) revision: u64,
    pub(crate) json: String,
}

/// All revisions so far, numbered from 1.
pub(crate) struct ListRevisions {
    addresses: Vec<SocketAddr>,
    revisions: Vec<Vec<ListedMember>>,
}

impl ListRevisions {
    /// Creates revision 1, which lists members at these addresses, the first one as the primary.
    pub(crate) fn new(addresses: &[SocketAddr]) -> Self {
        let member = |index| ListedMember {
            phase: ListedPhase::Ready,
            started_ms: 0,
            is_primary: index == 0,
        };
        ListRevisions {
            addresses: addresses.to_vec(),
            revisions: vec![(0..addresses.len()).map(member).collect()],
        }
    }

    pub(crate) fn newest(&self) -> u64 {
        self.revisions.len() as u64
    }

    /// Adds a revision: the newest one with this change.
    pub(crate) fn add(&mut self, change: impl FnOnce(&mut [ListedMember])) {
        let mut members = self.revisions.last().cloned().unwrap_or_default();
        change(&mut members);
        self.revisions.push(members);
    }

    fn members(&self, revision: u64) -> Option<&[ListedMember]> {
        let index = usize::try_from(revision.checked_sub(1)?).ok()?;
        self.revisions.get(index).map(Vec::as_slice)
    }

    /// The list at revision `newest`: the changes since `after`, or the complete list if `after` is 0 or newer than `newest`.
    pub(crate) fn answer(&self, newest: u64, after: u64) -> ListAnswer {
        let is_complete = after > newest || self.members(after).is_none();
        let listed = self.members(newest).into_iter().flatten().enumerate();
        let members: Vec<_> = listed
            .filter(|(index, member)| {
                is_complete || self.has_changed(*index, member, after, newest)
            })
            .map(|(index, member)| self.member_json(index, member))
            .collect();
        let members = members.join(",");
        ListAnswer {
            revision: newest,
            json: format!(
                r#"{{"revision":{newest},"complete":{is_complete},"members":[{members}]}}"#
            ),
        }
    }

    /// Whether a member differed from its state in `newest` in any revision since `after`, even if it has changed back since.
    fn has_changed(&self, index: usize, member: &ListedMember, after: u64, newest: u64) -> bool {
        let mut revisions = (after..=newest).filter_map(|revision| self.members(revision));
        revisions.any(|members| members.get(index) != Some(member))
    }

    fn member_json(&self, index: usize, member: &ListedMember) -> String {
        let address = self.addresses[index];
        let phase = member.phase.name();
        let started_ms = member.started_ms;
        let role = if member.is_primary {
            "leader"
        } else {
            "follower"
        };
        format!(
            r#"{{"id":"m{index}","host_port":"{address}","locality":"room","flavor":"f","cell":{GROUP},"phase":"{phase}","size":1.0,"up_since_ms":{started_ms},"role":"{role}"}}"#
        )
    }
}
