//! The reader role: determines which position a session read must see, from the instance's own
//! positions or by querying an owner of the session.

use crate::context::Context;
use crate::identity::{NodeId, Peer, RequestNumber, SessionKey};
use crate::message::Message;
use crate::output::ReadRequirement;
use crate::positions::UNKNOWN_POSITION;
use crate::session_replica::{SessionReplica, REQUESTS_PER_LEASE};
use crate::uncertainty::UncertaintyReason;
use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// A read whose required position is not known yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingRead {
    request: RequestNumber,
    key: SessionKey,
    /// Owners that have not been queried yet.
    remaining: VecDeque<NodeId>,
}

/// An outstanding query.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lookup {
    read: PendingRead,
    owner: NodeId,
    deadline: Time,
}

/// The reader's state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct Reader {
    /// Outstanding queries by nonce. All have the same timeout, so their deadlines ascend with
    /// their nonces.
    lookups: BTreeMap<u64, Lookup>,
    /// Owners that gave no useful reply, with the time until which they are not queried, so that
    /// not every read waits for them.
    avoided_until: BTreeMap<NodeId, Time>,
}

impl Reader {
    /// Starts a read. Outputs its requirement at once, or after querying owners.
    pub(crate) fn begin_read(
        &mut self,
        context: &mut Context<'_>,
        replica: &SessionReplica,
        request: RequestNumber,
        key: SessionKey,
    ) {
        let reason = match replica.required_position(context.now, context.instance, key) {
            Ok(position) => {
                context.instance.counters.answered_locally += 1;
                return require_position(context, request, position);
            }
            Err(reason) => reason,
        };
        if self.lookups.len() >= context.instance.settings.max_pending {
            context.instance.counters.rejected += 1;
            return require_strong(context, request, UncertaintyReason::TooManyReads);
        }
        let local = context.instance.local().node;
        let owners = context
            .instance
            .replica_set
            .owners(key)
            .filter(|owner| *owner != local);
        let remaining = owners
            .filter(|owner| !self.is_avoided(context.now, *owner))
            .collect();
        let read = PendingRead {
            request,
            key,
            remaining,
        };
        self.query_next_owner(context, read, reason);
    }

    /// Cancels a read whose requirement is no longer needed.
    pub(crate) fn cancel_read(&mut self, request: RequestNumber) {
        self.lookups
            .retain(|_, lookup| lookup.read.request != request);
    }

    /// Handles the reply of an owner that knows the position.
    pub(crate) fn handle_position_reply(
        &mut self,
        context: &mut Context<'_>,
        from: NodeId,
        nonce: u64,
        position: Option<Time>,
    ) {
        if let Some(read) = self.take_lookup(nonce, from) {
            context.instance.counters.answered_by_owner += 1;
            self.avoided_until.remove(&from);
            require_position(context, read.request, position);
        }
    }

    /// Handles the reply of an owner that is uncertain itself: queries the next owner.
    pub(crate) fn handle_uncertain_reply(
        &mut self,
        context: &mut Context<'_>,
        from: NodeId,
        nonce: u64,
    ) {
        if let Some(read) = self.take_lookup(nonce, from) {
            let resend_interval = context.instance.settings.resend_interval;
            self.avoid(context.now, from, resend_interval);
            self.query_next_owner(context, read, UncertaintyReason::OwnersUncertain);
        }
    }

    /// Abandons queries that have timed out, and queries the next owner for each.
    pub(crate) fn handle_timeout(&mut self, context: &mut Context<'_>) {
        let overdue = self
            .lookups
            .iter()
            .filter(|(_, lookup)| lookup.deadline <= context.now);
        for nonce in overdue.map(|(nonce, _)| *nonce).collect::<Vec<_>>() {
            let Some(lookup) = self.lookups.remove(&nonce) else {
                continue;
            };
            let backoff = context.instance.settings.lease / REQUESTS_PER_LEASE;
            self.avoid(context.now, lookup.owner, backoff);
            let reason = UncertaintyReason::OwnersUnresponsive;
            self.query_next_owner(context, lookup.read, reason);
        }
    }

    /// When the next query times out.
    pub(crate) fn next_deadline(&self) -> Time {
        let oldest = self.lookups.values().next();
        oldest.map_or(Time::MAX, |lookup| lookup.deadline)
    }

    fn query_next_owner(
        &mut self,
        context: &mut Context<'_>,
        mut read: PendingRead,
        reason: UncertaintyReason,
    ) {
        let Some(owner) = read.remaining.pop_front() else {
            return require_strong(context, read.request, reason);
        };
        let nonce = context.next_nonce();
        let query = Message::PositionQuery {
            nonce,
            key: read.key,
        };
        let lookup = Lookup {
            read,
            owner,
            deadline: context.now + context.instance.settings.lookup_timeout,
        };
        self.lookups.insert(nonce, lookup);
        context.send(Peer::any_incarnation(owner), query);
    }

    /// Removes the query with this nonce if it was sent to this owner, and returns its read.
    ///
    /// Without the check of the owner, a reply of another instance would remove the query, and the
    /// read would never be answered.
    fn take_lookup(&mut self, nonce: u64, from: NodeId) -> Option<PendingRead> {
        self.lookups
            .get(&nonce)
            .filter(|lookup| lookup.owner == from)?;
        self.lookups.remove(&nonce).map(|lookup| lookup.read)
    }

    fn avoid(&mut self, now: Time, owner: NodeId, backoff: Span) {
        self.avoided_until.insert(owner, now + backoff);
    }

    fn is_avoided(&self, now: Time, owner: NodeId) -> bool {
        self.avoided_until
            .get(&owner)
            .is_some_and(|until| *until > now)
    }
}

fn require_position(context: &mut Context<'_>, request: RequestNumber, position: Option<Time>) {
    if position == Some(UNKNOWN_POSITION) {
        return require_strong(context, request, UncertaintyReason::UnknownPosition);
    }
    context.require(request, ReadRequirement::Position(position));
}

fn require_strong(context: &mut Context<'_>, request: RequestNumber, reason: UncertaintyReason) {
    context.instance.counters.strong_reads += 1;
    context.require(request, ReadRequirement::Strong(reason));
}
