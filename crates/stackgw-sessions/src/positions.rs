//! The session positions that a replica records: bounded in number, dropped after the retention.
//!
//! Invariant: until the retention ends, a session for which a position was added is never reported
//! without a position, and never with an older one.

use crate::identity::SessionKey;
use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// The position of a write whose position is not known: later than any other, so that the reads of
/// its session must see every commit.
pub const UNKNOWN_POSITION: Time = Time::MAX;

/// Evicted positions share so many buckets. A session must see the position of its bucket.
const BUCKETS: usize = 4096;
/// The high bits of a session's key select its bucket.
const BUCKET_SHIFT: u32 = 48;
/// The buckets are searched for expired ones so many times in a retention, as that is too much work
/// for each position.
const BUCKET_EXPIRIES_PER_RETENTION: Span = 16;
/// The order of insertion may hold so many times as many entries as there may be positions.
const ORDER_FACTOR: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    position: Time,
    added_at: Time,
}

impl Entry {
    fn merge(self, other: Entry) -> Entry {
        Entry {
            position: self.position.max(other.position),
            added_at: self.added_at.max(other.added_at),
        }
    }
}

/// What is recorded of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RecordedPosition {
    /// Its reads must see this; [`UNKNOWN_POSITION`]: every commit.
    pub position: Time,
    /// When the position was added, or for an evicted one when its bucket last changed.
    pub at: Time,
    /// It was evicted and shares a bucket with others: the session may see later data than it must.
    pub evicted: bool,
}

/// Positions by session.
///
/// A position is dropped after the retention, when every member of the group has applied its write.
/// One that there is no room for is merged into a bucket: until then the reads of its session see
/// later data than they must.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SessionPositions {
    max_positions: usize,
    retention: Span,
    entries: BTreeMap<SessionKey, Entry>,
    /// In the order of insertion. A session that was added again stands here more than once.
    order: VecDeque<(Time, SessionKey)>,
    buckets: BTreeMap<u16, Entry>,
    buckets_expired_at: Time,
    evicted: u64,
}

impl SessionPositions {
    /// At most so many, each for this long.
    pub fn new(max_positions: usize, retention: Span) -> Self {
        SessionPositions {
            max_positions: max_positions.max(1),
            retention,
            entries: BTreeMap::new(),
            order: VecDeque::new(),
            buckets: BTreeMap::new(),
            buckets_expired_at: 0,
            evicted: 0,
        }
    }

    /// Adds a position. The position of a session never goes back.
    pub fn add(&mut self, now: Time, key: SessionKey, position: Time) {
        self.expire(now);
        let known = self
            .entries
            .get(&key)
            .map_or(position, |entry| entry.position);
        let entry = Entry {
            position: known.max(position),
            added_at: now,
        };
        self.entries.insert(key, entry);
        self.order.push_back((now, key));
        self.evict_oldest();
        // Danger: a session that writes all the time would make the order grow without limit.
        if self.order.len() > self.max_positions.saturating_mul(ORDER_FACTOR) {
            self.compact_order();
        }
    }

    /// Drops what is older than the retention.
    pub fn expire(&mut self, now: Time) {
        let oldest = now.saturating_sub(self.retention);
        while let Some((added_at, key)) = self.order.pop_front_if(|(at, _)| *at < oldest) {
            if self.is_current(added_at, key) {
                self.entries.remove(&key);
            }
        }
        let expiry_interval = self.retention / BUCKET_EXPIRIES_PER_RETENTION;
        if !self.buckets.is_empty() && now - self.buckets_expired_at > expiry_interval {
            self.buckets_expired_at = now;
            self.buckets.retain(|_, bucket| bucket.added_at >= oldest);
        }
    }

    /// What is recorded of a session.
    pub fn get(&self, now: Time, key: SessionKey) -> Option<RecordedPosition> {
        let oldest = now.saturating_sub(self.retention);
        let is_live = |entry: &&Entry| entry.added_at >= oldest;
        let own = self.entries.get(&key).filter(is_live).copied();
        let bucket = self.buckets.get(&bucket_of(key)).filter(is_live).copied();
        let merged = match (own, bucket) {
            (Some(own), Some(bucket)) => own.merge(bucket),
            (own, bucket) => own.or(bucket)?,
        };
        Some(RecordedPosition {
            position: merged.position,
            at: merged.added_at,
            evicted: own.is_none_or(|own| own.position < merged.position),
        })
    }

    /// How many positions are recorded.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no position is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.buckets.is_empty()
    }

    /// How many positions there was no room for.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Whether a place in the order is that of the session's last insertion.
    fn is_current(&self, added_at: Time, key: SessionKey) -> bool {
        self.entries
            .get(&key)
            .is_some_and(|entry| entry.added_at == added_at)
    }

    fn evict_oldest(&mut self) {
        while self.entries.len() > self.max_positions {
            let Some((added_at, key)) = self.order.pop_front() else {
                break;
            };
            if self.is_current(added_at, key) {
                self.evict(key);
            }
        }
    }

    fn evict(&mut self, key: SessionKey) {
        let Some(entry) = self.entries.remove(&key) else {
            return;
        };
        self.evicted += 1;
        let bucket = self.buckets.entry(bucket_of(key)).or_insert(entry);
        *bucket = bucket.merge(entry);
    }

    /// Leaves one place in the order for each entry.
    fn compact_order(&mut self) {
        let entries = &self.entries;
        let mut previous = None;
        self.order.retain(|place| {
            let (added_at, key) = *place;
            let is_current = entries
                .get(&key)
                .is_some_and(|entry| entry.added_at == added_at);
            let is_repeated = previous == Some(*place);
            previous = Some(*place);
            is_current && !is_repeated
        });
    }
}

fn bucket_of(key: SessionKey) -> u16 {
    (key.0 >> BUCKET_SHIFT) as u16 % BUCKETS as u16
}
