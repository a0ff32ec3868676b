//! The session positions that a replica records, limited in number and dropped after the retention.
//!
//! Invariant: after a position has been added for a session and until the retention ends,
//! [`SessionPositions::get`] returns that position or a later one.

use crate::identity::SessionKey;
use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Stands for the position of a write whose position is not known. It is later than any other
/// position, so the reads of its session must see every commit.
pub const UNKNOWN_POSITION: Time = Time::MAX;

/// Number of buckets into which evicted positions are merged. A session must see the position of
/// its bucket.
const BUCKETS: usize = 4096;
/// A session's key shifted right by this number of bits, modulo [`BUCKETS`], selects its bucket.
const BUCKET_SHIFT: u32 = 48;
/// How often within one retention expired buckets are removed. Scanning all buckets for each added
/// position would cost too much.
const BUCKET_EXPIRIES_PER_RETENTION: Span = 16;
/// Maximum length of the insertion order, as a multiple of the maximum number of positions.
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

/// The recorded position of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RecordedPosition {
    /// The position that reads of the session must see; [`UNKNOWN_POSITION`]: every commit.
    pub position: Time,
    /// When a position of the session or a position in its bucket was last added.
    pub at: Time,
    /// Whether the position is that of a bucket of evicted positions, which is shared with other
    /// sessions. Reads may then be required to see later data than necessary.
    pub evicted: bool,
}

/// Positions by session.
///
/// A position is dropped after the retention, when every member of the group has applied its write.
/// The oldest positions beyond the maximum number are merged into buckets. Until its bucket
/// expires, reads of a session may be required to see later data than necessary.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SessionPositions {
    max_positions: usize,
    retention: Span,
    entries: BTreeMap<SessionKey, Entry>,
    /// Insertion times in ascending order. A session whose position was added more than once has
    /// several entries.
    order: VecDeque<(Time, SessionKey)>,
    buckets: BTreeMap<u16, Entry>,
    buckets_expired_at: Time,
    evicted: u64,
}

impl SessionPositions {
    /// Creates an empty collection that retains at most `max_positions` positions (0 is treated as
    /// 1), each for `retention`.
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

    /// Adds a position. An earlier position than the recorded one does not replace it, but the
    /// retention of the recorded one starts again.
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
        // Without this, a session that writes continuously would make the insertion order grow
        // without limit.
        if self.order.len() > self.max_positions.saturating_mul(ORDER_FACTOR) {
            self.compact_order();
        }
    }

    /// Drops positions that are older than the retention. Buckets of evicted positions are checked
    /// only if more than 1/16 of the retention has passed since they were last checked.
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

    /// Returns the recorded position of a session, if it is within the retention.
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

    /// Returns the number of recorded positions, without evicted ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether neither recorded nor evicted positions are left.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.buckets.is_empty()
    }

    /// Returns how many positions were evicted because the maximum number was exceeded.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Whether an entry of the insertion order belongs to the session's last insertion.
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

    /// Reduces the insertion order to one entry per session.
    fn compact_order(&mut self) {
        let entries = &self.entries;
        let mut previous = None;
        self.order.retain(|insertion| {
            let (added_at, key) = *insertion;
            let is_current = entries
                .get(&key)
                .is_some_and(|entry| entry.added_at == added_at);
            let is_repeated = previous == Some(*insertion);
            previous = Some(*insertion);
            is_current && !is_repeated
        });
    }
}

fn bucket_of(key: SessionKey) -> u16 {
    (key.0 >> BUCKET_SHIFT) as u16 % BUCKETS as u16
}
