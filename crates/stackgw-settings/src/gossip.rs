//! The bytes that routers send each other: word of members, packed to keep the price of messages low.
//!
//! A message holds a flag byte (1: to be passed on), the sender's clock in milliseconds (four bytes, low end
//! first), and for each member six bytes: three of its digest, its position's age, role and strain, answers.

use stackgw_router::api::{GossipUpdate, MemberId, Span, Time, MS};
use std::collections::HashMap;

/// No message is longer.
pub const MAX_GOSSIP_BYTES: usize = 256;
const HEAD: usize = 5;
const ENTRY: usize = 6;
/// Ages of positions come in steps of this, rounded up so that a position is never told too new.
const AGE_STEP: Span = 4 * MS;
const NO_POSITION: u8 = 255;
const STRAIN_STEP: f64 = 0.05;
const STRAIN_MOST: f64 = 63.0;

/// The digests of the members that an instance knows.
#[derive(Debug, Default)]
pub struct GossipCodec {
    /// `None` where two members share a digest: word of either could be the other's, so none is taken.
    members: HashMap<[u8; 3], Option<MemberId>>,
    digests: HashMap<MemberId, [u8; 3]>,
}

impl GossipCodec {
    /// Adds a member.
    pub fn add(&mut self, id: MemberId, name: &str) {
        let [a, b, c, _] = crc32fast::hash(name.as_bytes()).to_le_bytes();
        self.digests.insert(id, [a, b, c]);
        self.members
            .entry([a, b, c])
            .and_modify(|known| *known = None)
            .or_insert(Some(id));
    }

    /// Drops a member; another with its digest is the only one again.
    pub fn remove(&mut self, id: MemberId) {
        let Some(digest) = self.digests.remove(&id) else {
            return;
        };
        let mut others = self
            .digests
            .iter()
            .filter(|(_, d)| **d == digest)
            .map(|(id, _)| *id);
        match (others.next(), others.next()) {
            (None, _) => drop(self.members.remove(&digest)),
            (only, None) => drop(self.members.insert(digest, only)),
            _ => {}
        }
    }

    /// The messages that carry this news.
    pub fn encode(&self, now: Time, relay: bool, news: &[GossipUpdate]) -> Vec<Vec<u8>> {
        let known: Vec<_> = news
            .iter()
            .filter(|n| self.digests.contains_key(&n.member))
            .collect();
        let pack = |part: &[&GossipUpdate]| {
            let mut body = vec![u8::from(relay)];
            body.extend(((now / MS) as u32).to_le_bytes());
            for news in part {
                let age = news.position.map(|at| (now - at).max(0) / AGE_STEP + 2);
                let age = age
                    .filter(|age| *age < i64::from(NO_POSITION))
                    .map_or(NO_POSITION, |age| age as u8);
                let role = news.is_primary.map_or(0, |primary| 1 + u8::from(primary));
                let strain = (news.latency_ratio / STRAIN_STEP)
                    .round()
                    .clamp(0.0, STRAIN_MOST) as u8;
                body.extend(self.digests.get(&news.member).copied().unwrap_or_default());
                body.extend([age, role << 6 | strain, news.samples.min(255) as u8]);
            }
            body
        };
        known
            .chunks((MAX_GOSSIP_BYTES - HEAD) / ENTRY)
            .map(pack)
            .collect()
    }

    /// What a message says, when it was sent by the common clock, and whether it is to be passed on. `None`:
    /// the bytes are no such message.
    pub fn decode(&self, now: Time, body: &[u8]) -> Option<(Time, bool, Vec<GossipUpdate>)> {
        let (&[relay, a, b, c, d], entries) = body.split_first_chunk::<HEAD>()?;
        if relay > 1 || entries.len() % ENTRY != 0 {
            return None;
        }
        let clock = now / MS;
        let ago = (clock as u32).wrapping_sub(u32::from_le_bytes([a, b, c, d])) as i32;
        let told = (clock - i64::from(ago.max(0))) * MS;
        let one = |entry: &[u8]| {
            let &[a, b, c, age, mixed, answers] = entry else {
                return None;
            };
            let member = self.members.get(&[a, b, c]).copied().flatten()?;
            let position = (age != NO_POSITION).then(|| told - i64::from(age) * AGE_STEP);
            let primary = (mixed >> 6 > 0).then_some(mixed >> 6 == 2);
            let strain = f64::from(mixed & 63) * STRAIN_STEP;
            Some(GossipUpdate {
                member,
                position,
                is_primary: primary,
                latency_ratio: strain,
                samples: answers.into(),
            })
        };
        Some((
            told,
            relay == 1,
            entries.chunks_exact(ENTRY).filter_map(one).collect(),
        ))
    }
}

#[cfg(test)]
#[path = "../tests/unit/gossip.rs"]
mod tests;
