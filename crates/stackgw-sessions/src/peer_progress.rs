//! The state that a session replica keeps of another replica as a writer: the lease that the writer
//! granted, and the time since which its writes are known here.

use crate::identity::{Freshness, ANY_INCARNATION};
use crate::message::LeaseGrant;
use stackgw_router::api::{Span, Time};
use std::collections::VecDeque;

/// Maximum number of outstanding lease requests that are tracked for each peer.
const MAX_OUTSTANDING_REQUESTS: usize = 8;
/// The value of [`PeerProgress::complete_since`] if no write of a replica is missing.
pub(crate) const COMPLETE_HISTORY: Time = Time::MIN / 2;

/// A lease request that the peer has not answered.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OutstandingRequest {
    nonce: u64,
    sent_at: Time,
}

/// Another replica as a writer: the lease that it granted, and the time since which its writes are
/// known here.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct PeerProgress {
    /// The incarnation that granted the last lease or, after a restart, the one that the store
    /// records as complete; [`ANY_INCARNATION`] if there is neither.
    pub(crate) incarnation: u64,
    pub(crate) lease_until: Time,
    /// This instance has acknowledged every write whose response the peer has released since this
    /// time.
    pub(crate) complete_since: Time,
    /// Whether a [`Record::CompletePeer`](crate::record::Record::CompletePeer) for this incarnation
    /// of the peer was requested or recovered.
    pub(crate) is_recorded_complete: bool,
    /// Whether the peer has reported a replica set that differs from the local one.
    pub(crate) replica_set_differs: bool,
    outstanding: VecDeque<OutstandingRequest>,
}

impl PeerProgress {
    pub(crate) fn new(now: Time) -> Self {
        PeerProgress {
            incarnation: ANY_INCARNATION,
            lease_until: now,
            complete_since: now,
            is_recorded_complete: false,
            replica_set_differs: false,
            outstanding: VecDeque::new(),
        }
    }

    /// Discards the lease and the history: the peer's writes are known from `now` on only.
    pub(crate) fn reset(&mut self, now: Time) {
        self.lease_until = now;
        self.complete_since = now;
        self.is_recorded_complete = false;
        self.outstanding.clear();
    }

    pub(crate) fn record_request(&mut self, now: Time, nonce: u64) {
        if self.outstanding.len() >= MAX_OUTSTANDING_REQUESTS {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(OutstandingRequest {
            nonce,
            sent_at: now,
        });
    }

    /// Removes the outstanding request with this nonce and returns when it was sent.
    fn take_request(&mut self, nonce: u64) -> Option<Time> {
        let index = self
            .outstanding
            .iter()
            .position(|request| request.nonce == nonce)?;
        self.outstanding
            .remove(index)
            .map(|request| request.sent_at)
    }

    /// Applies a lease grant. The lease starts when it was requested, so that it ends here before
    /// it ends at the grantor, which starts it later. Ignores a grant that does not belong to an
    /// outstanding request, comes from an earlier incarnation or has already ended.
    pub(crate) fn apply_grant(
        &mut self,
        now: Time,
        incarnation: u64,
        lease: Span,
        grant: &LeaseGrant,
    ) {
        let Some(requested_at) = self.take_request(grant.nonce) else {
            return;
        };
        let lease_until = requested_at + lease;
        if incarnation < self.incarnation || lease_until <= now {
            return;
        }
        // Writes that earlier incarnations of the peer released are known only if the grant says
        // that the history since then is unbroken.
        let is_unbroken =
            self.incarnation != ANY_INCARNATION && self.incarnation >= grant.unbroken_since;
        let granted_complete_since = now.saturating_sub(grant.complete_for.max(0));
        if !is_unbroken {
            self.complete_since = granted_complete_since;
            self.is_recorded_complete = false;
        }
        self.complete_since = self.complete_since.min(granted_complete_since);
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.is_recorded_complete = false;
        }
        self.lease_until = self.lease_until.max(lease_until);
        self.replica_set_differs = false;
    }

    /// Compares the incarnation of a message's sender with the one that granted the last lease. A
    /// later incarnation ends the lease.
    pub(crate) fn observe_incarnation(&mut self, now: Time, incarnation: u64) -> Freshness {
        if incarnation < self.incarnation {
            return Freshness::Outdated;
        }
        if incarnation > self.incarnation && self.lease_until > now {
            self.lease_until = now;
        }
        Freshness::Current
    }
}
