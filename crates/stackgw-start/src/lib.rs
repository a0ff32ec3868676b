//! How an instance comes to know the list of members, where hundreds of them start or come back in the same second.
//!
//! One [`Start`] stands in each instance. It says when this instance asks the list service itself (in turns, so that all
//! together stay within what the service bears), whom of the others it asks instead, what it tells them, what each source's
//! word is good for, and when it is ready. Two invariants:
//!
//! > What was told of a drain binds until newer word, or a start after it, ends it, whatever is heard from whom.
//!
//! > No version is held that is older than one held before, unless the service itself has told older ones alone for long.
//!
//! No I/O, no clock, no threads: time, messages, the disk's word and a seed are handed in. `docs/design/start.md` says why it
//! is built so and when it fails.

mod book;
mod circle;
mod deal;
mod entry;
mod message;
mod seen;
mod start;
mod turns;

pub use book::{Book, Origin, Taken};
pub use circle::HOLDERS_LEAST;
pub use deal::{Deal, Dealt};
pub use entry::{Entry, Update};
pub use message::{Message, Tell};
pub use seen::{Sighting, Sightings};
pub use start::{Counts, Kept, Note, Output, Settings, Start};
pub use turns::{Pace, Turns};

/// A service's name as datagrams carry it.
pub fn service(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
