//! What a session replica knows of another one as a writer: the lease that it granted, and from
//! when on its writes are known here.

use crate::identity::{Freshness, ANY_INCARNATION};
use crate::message::LeaseGrant;
use stackgw_router::api::{Span, Time};
use std::collections::VecDeque;

/// Outstanding lease requests that are remembered for each peer.
const MAX_OUTSTANDING_REQUESTS: usize = 8;
/// From when on a replica's writes are known, if none of them is missing.
pub(crate) const COMPLETE_HISTORY: Time = Time::MIN / 2;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OutstandingRequest {
    nonce: u64,
    sent_at: Time,
}

/// Another replica as a writer: its lease, and from when on its writes are known here.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct PeerProgress {
    /// The incarnation that granted its last lease.
    pub(crate) incarnation: u64,
    pub(crate) lease_until: Time,
    /// Every write whose response it has released since then was acknowledged here.
    pub(crate) complete_since: Time,
    /// The store has a record that no write of it is missing.
    pub(crate) is_recorded_complete: bool,
    /// Its replica set is another one.
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

    /// What is known of it holds from now on only.
    pub(crate) fn reset(&mut self, now: Time) {
        self.lease_until = now;
        self.complete_since = now;
        self.is_recorded_complete = false;
        self.outstanding.clear();
    }

    pub(crate) fn note_request(&mut self, now: Time, nonce: u64) {
        if self.outstanding.len() >= MAX_OUTSTANDING_REQUESTS {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(OutstandingRequest {
            nonce,
            sent_at: now,
        });
    }

    /// When the request of this nonce was sent. It is answered once.
    fn take_request(&mut self, nonce: u64) -> Option<Time> {
        let index = self
            .outstanding
            .iter()
            .position(|request| request.nonce == nonce)?;
        self.outstanding
            .remove(index)
            .map(|request| request.sent_at)
    }

    /// Takes a lease. It counts from when it was requested, as its grantor counts from later.
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
        // What earlier incarnations of it released is known only if this one vouches for them.
        let is_unbroken =
            self.incarnation != ANY_INCARNATION && self.incarnation >= grant.unbroken_since;
        let vouched_since = now.saturating_sub(grant.complete_for.max(0));
        if !is_unbroken {
            self.complete_since = vouched_since;
            self.is_recorded_complete = false;
        }
        self.complete_since = self.complete_since.min(vouched_since);
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.is_recorded_complete = false;
        }
        self.lease_until = self.lease_until.max(lease_until);
        self.replica_set_differs = false;
    }

    /// Notes the incarnation of a message. Leases of earlier ones hold no longer.
    pub(crate) fn note_incarnation(&mut self, now: Time, incarnation: u64) -> Freshness {
        if incarnation < self.incarnation {
            return Freshness::Outdated;
        }
        if incarnation > self.incarnation && self.lease_until > now {
            self.lease_until = now;
        }
        Freshness::Current
    }
}
