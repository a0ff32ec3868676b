//! 64-bit FNV-1a over the values of actions and member snapshots. Variants are hashed as fixed numbers, not by name.

use stackgw_router::api::*;

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Number of kinds of actions; they are numbered from 1.
const ACTION_KINDS: usize = 12;

pub struct Digest {
    state: u64,
    counts: [u64; ACTION_KINDS + 1],
}

impl Digest {
    pub fn new() -> Self {
        Digest { state: OFFSET_BASIS, counts: [0; ACTION_KINDS + 1] }
    }

    pub fn value(&self) -> u64 {
        self.state
    }

    /// Number of hashed actions of each kind, indexed by the kind's number.
    pub fn counts(&self) -> &[u64] {
        &self.counts
    }

    pub fn number(&mut self, value: u64) {
        for byte in value.to_le_bytes() {
            self.state = (self.state ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }

    pub fn signed(&mut self, value: i64) {
        self.number(value as u64);
    }

    pub fn float(&mut self, value: f64) {
        self.number(value.to_bits());
    }

    pub fn flag(&mut self, value: bool) {
        self.number(u64::from(value));
    }

    fn optional(&mut self, value: Option<i64>) {
        self.flag(value.is_some());
        self.signed(value.unwrap_or(0));
    }

    fn kind(&mut self, kind: usize) {
        self.counts[kind] += 1;
        self.number(kind as u64);
    }

    /// Adds an action to the digest. What is only for the log is left out.
    pub fn action(&mut self, now: Time, action: &Action) {
        if matches!(action, Action::PrimaryChanged { .. }) {
            return;
        }
        self.signed(now);
        match action {
            Action::Send { request, member, timeout, .. } => {
                self.kind(1);
                self.number(request.0);
                self.number(u64::from(member.0));
                self.optional(*timeout);
            }
            Action::Cancel { request, attempt } => {
                self.kind(2);
                self.number(request.0);
                self.number(u64::from(*attempt));
            }
            Action::Reject { request, retry_after } => {
                self.kind(3);
                self.number(request.0);
                self.optional(*retry_after);
            }
            Action::Fail(request) => {
                self.kind(4);
                self.number(request.0);
            }
            Action::SetTimer { after, token } => {
                self.kind(5);
                self.signed(*after);
                self.number(*token);
            }
            Action::HealthCheck(member) => {
                self.kind(6);
                self.number(u64::from(member.0));
            }
            Action::CloseIdleConnections(member) => {
                self.kind(7);
                self.number(u64::from(member.0));
            }
            Action::ForgetMember(member) => {
                self.kind(8);
                self.number(u64::from(member.0));
            }
            Action::SendGossip { to, updates } => {
                self.kind(9);
                self.optional(to.map(i64::from));
                self.gossip(updates);
            }
            Action::Subscribe(wanted) => {
                self.kind(10);
                self.flag(*wanted);
            }
            Action::FetchEndpointList => self.kind(11),
            Action::PrimaryChanged { .. } | Action::Log(_) => self.kind(12),
        }
    }

    pub fn gossip(&mut self, updates: &[GossipUpdate]) {
        self.number(updates.len() as u64);
        for update in updates {
            self.number(u64::from(update.member.0));
            self.optional(update.position);
            self.optional(update.is_primary.map(i64::from));
            self.float(update.latency_ratio);
            self.number(u64::from(update.samples));
        }
    }

    pub fn member_snapshot(&mut self, member: MemberId, snapshot: &MemberSnapshot) {
        self.number(u64::from(member.0));
        self.number(u64::from(snapshot.in_flight));
        self.flag(snapshot.ejected);
        self.float(snapshot.latency_ratio);
        self.float(snapshot.concurrency_limit);
        self.optional(snapshot.position);
    }
}
