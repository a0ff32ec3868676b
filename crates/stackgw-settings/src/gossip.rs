//! Wire format of the gossip between gateways: what a gateway knows about members, packed into
//! small messages.
//!
//! A message consists of a byte that tells whether to relay it (0 or 1), the sender's clock in
//! milliseconds (four bytes, little-endian), and six bytes for each member: three bytes of the
//! digest of its name, then one byte each for the age of its position, for its role and latency
//! ratio, and for the number of samples.

use stackgw_router::api::{GossipUpdate, MemberId, Span, Time, MS};
use std::collections::HashMap;

/// Maximum size of a message.
pub const MAX_GOSSIP_BYTES: usize = 256;

const HEADER_BYTES: usize = 5;
const ENTRY_BYTES: usize = 6;
const ENTRIES_PER_MESSAGE: usize = (MAX_GOSSIP_BYTES - HEADER_BYTES) / ENTRY_BYTES;
/// Unit of the age of a position.
const AGE_STEP: Span = 4 * MS;
/// Added to each age, so that rounding to steps and to the clock's milliseconds cannot make a
/// position look newer than it is.
const AGE_MARGIN_STEPS: Span = 2;
/// Encoded age of a position that is unknown or too old for one byte.
const NO_POSITION: u8 = 255;
/// Role and latency ratio share a byte; the ratio is in the lower six bits.
const ROLE_SHIFT: u32 = 6;
const RATIO_MASK: u8 = 63;
const RATIO_STEP: f64 = 0.05;
const ROLE_REPLICA: u8 = 1;
const ROLE_PRIMARY: u8 = 2;

type Digest = [u8; 3];

/// A message from another gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipMessage {
    /// When the message was sent, by the clock that gateways share, rounded down to milliseconds; not
    /// later than it was received.
    pub sent_at: Time,
    /// Whether the receiver must relay the message to the other gateways.
    pub relay: bool,
    /// Updates of the members that the codec knows.
    pub updates: Vec<GossipUpdate>,
}

/// Encodes and decodes gossip. Messages identify members by digests of their names, because each
/// gateway assigns its own member ids.
#[derive(Debug, Default)]
pub struct GossipCodec {
    /// `None` if several members share a digest; their updates are ambiguous and are dropped.
    members: HashMap<Digest, Option<MemberId>>,
    digests: HashMap<MemberId, Digest>,
}

impl GossipCodec {
    /// Adds a member.
    pub fn add(&mut self, id: MemberId, name: &str) {
        let digest = digest_of(name);
        self.digests.insert(id, digest);
        self.members
            .entry(digest)
            .and_modify(|known| *known = None)
            .or_insert(Some(id));
    }

    /// Removes a member. If exactly one other member has the same digest, that member can be
    /// decoded again.
    pub fn remove(&mut self, id: MemberId) {
        let Some(digest) = self.digests.remove(&id) else {
            return;
        };
        let same_digest = self.digests.iter().filter(|(_, known)| **known == digest);
        let mut others = same_digest.map(|(id, _)| *id);
        match (others.next(), others.next()) {
            (None, _) => drop(self.members.remove(&digest)),
            (only, None) => drop(self.members.insert(digest, only)),
            _ => {}
        }
    }

    /// Encodes updates into as many messages as they need. Updates of unknown members are left out;
    /// latency ratios above 3.15 and sample counts above 255 are reduced to these.
    pub fn encode(&self, now: Time, relay: bool, updates: &[GossipUpdate]) -> Vec<Vec<u8>> {
        let entries: Vec<_> = updates
            .iter()
            .filter_map(|update| self.encode_entry(now, update))
            .collect();
        let message = |entries: &[[u8; ENTRY_BYTES]]| {
            let mut bytes = vec![u8::from(relay)];
            bytes.extend(clock_ms(now).to_le_bytes());
            bytes.extend(entries.iter().flatten());
            bytes
        };
        entries.chunks(ENTRIES_PER_MESSAGE).map(message).collect()
    }

    fn encode_entry(&self, now: Time, update: &GossipUpdate) -> Option<[u8; ENTRY_BYTES]> {
        let [a, b, c] = *self.digests.get(&update.member)?;
        let age = update
            .position
            .map_or(NO_POSITION, |position| encode_age(now - position));
        let role = update.is_primary.map_or(
            0,
            |primary| if primary { ROLE_PRIMARY } else { ROLE_REPLICA },
        );
        let ratio = (update.latency_ratio / RATIO_STEP)
            .round()
            .clamp(0.0, f64::from(RATIO_MASK)) as u8;
        let samples = update.samples.min(u32::from(u8::MAX)) as u8;
        Some([a, b, c, age, role << ROLE_SHIFT | ratio, samples])
    }

    /// Decodes a message. Updates of unknown members, and of members that share a digest, are left
    /// out. Returns `None` if the bytes are not a gossip message.
    pub fn decode(&self, now: Time, bytes: &[u8]) -> Option<GossipMessage> {
        let (&[relay, a, b, c, d], entries) = bytes.split_first_chunk::<HEADER_BYTES>()?;
        if relay > 1 || entries.len() % ENTRY_BYTES != 0 {
            return None;
        }
        let sent_at = sent_at(now, u32::from_le_bytes([a, b, c, d]));
        let entries = entries.chunks_exact(ENTRY_BYTES);
        let updates = entries
            .filter_map(|entry| self.decode_entry(sent_at, entry))
            .collect();
        Some(GossipMessage {
            sent_at,
            relay: relay == 1,
            updates,
        })
    }

    fn decode_entry(&self, sent_at: Time, entry: &[u8]) -> Option<GossipUpdate> {
        let &[a, b, c, age, role_and_ratio, samples] = entry else {
            return None;
        };
        let role = role_and_ratio >> ROLE_SHIFT;
        Some(GossipUpdate {
            member: self.members.get(&[a, b, c]).copied().flatten()?,
            position: (age != NO_POSITION).then(|| sent_at - i64::from(age) * AGE_STEP),
            is_primary: (role > 0).then_some(role == ROLE_PRIMARY),
            latency_ratio: f64::from(role_and_ratio & RATIO_MASK) * RATIO_STEP,
            samples: samples.into(),
        })
    }
}

fn digest_of(name: &str) -> Digest {
    let [a, b, c, _] = crc32fast::hash(name.as_bytes()).to_le_bytes();
    [a, b, c]
}

/// Converts an age to steps and adds the margin. A position in the future has the age 0.
fn encode_age(age: Span) -> u8 {
    let steps = age.max(0) / AGE_STEP + AGE_MARGIN_STEPS;
    u8::try_from(steps).unwrap_or(NO_POSITION)
}

/// The clock value in a message: the low 32 bits of the time in milliseconds.
fn clock_ms(now: Time) -> u32 {
    (now / MS) as u32
}

/// Converts the clock value of a message to the time it was sent. A value ahead of `now` counts as
/// `now`.
fn sent_at(now: Time, clock: u32) -> Time {
    let elapsed_ms = clock_ms(now).wrapping_sub(clock) as i32;
    (now / MS - i64::from(elapsed_ms.max(0))) * MS
}
