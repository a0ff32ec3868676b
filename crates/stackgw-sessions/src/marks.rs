//! The marks that a keeper holds: bounded by count, with a horizon.

use crate::roster::SessionKey;
use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Marks that were pushed out share so many cells: a session whose cell holds one must see that cell's position.
const CELLS: usize = 4096;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Mark {
    position: Time,
    at: Time,
}

/// What is held of one session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RecordedPosition {
    /// Its reads must see this; [`crate::UNKNOWN_POSITION`]: every commit.
    pub position: Time,
    /// When the mark came, or for a pushed out one when its cell last grew.
    pub at: Time,
    /// It was pushed out, and others' marks stand for it: it may see later data than it must.
    pub evicted: bool,
}

/// Positions by session. A mark goes once its horizon is over, when every replica holds its write; one that there is no
/// room for makes its session's reads more cautious until then, and is never just forgotten.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Marks {
    most: usize,
    horizon: Span,
    marks: BTreeMap<SessionKey, Mark>,
    /// In the order in which they came; one that came again stands here more than once.
    order: VecDeque<(Time, SessionKey)>,
    cells: BTreeMap<u16, Mark>,
    /// When the cells were last gone through: that is too much for each mark.
    cells_at: Time,
    pushed_out: u64,
}

impl Marks {
    /// At most so many, each for this long.
    pub fn new(most: usize, horizon: Span) -> Self {
        Marks {
            most: most.max(1),
            horizon,
            marks: BTreeMap::new(),
            order: VecDeque::new(),
            cells: BTreeMap::new(),
            cells_at: 0,
            pushed_out: 0,
        }
    }

    fn cell(key: SessionKey) -> u16 {
        (key.0 >> 48) as u16 % CELLS as u16
    }

    /// Takes a mark; positions never go back.
    pub fn add(&mut self, now: Time, key: SessionKey, position: Time) {
        self.expire(now);
        let mark = self.marks.entry(key).or_insert(Mark { position, at: now });
        *mark = Mark {
            position: mark.position.max(position),
            at: now,
        };
        self.order.push_back((now, key));
        while self.marks.len() > self.most {
            let Some((at, key)) = self.order.pop_front() else {
                break;
            };
            if self.marks.get(&key).is_some_and(|mark| mark.at == at) {
                self.push_out(key);
            }
        }
        // Danger: a session that writes all the time would fill the order beyond the marks' own bound.
        if self.order.len() > self.most.saturating_mul(2) {
            let marks = &self.marks;
            let mut last = None;
            self.order.retain(|(at, key)| {
                let live =
                    marks.get(key).is_some_and(|mark| mark.at == *at) && last != Some((*at, *key));
                last = Some((*at, *key));
                live
            });
        }
    }

    fn push_out(&mut self, key: SessionKey) {
        let Some(mark) = self.marks.remove(&key) else {
            return;
        };
        self.pushed_out += 1;
        let cell = self.cells.entry(Self::cell(key)).or_insert(mark);
        *cell = Mark {
            position: cell.position.max(mark.position),
            at: cell.at.max(mark.at),
        };
    }

    /// Drops what is past its horizon.
    pub fn expire(&mut self, now: Time) {
        let before = now.saturating_sub(self.horizon);
        while let Some((at, key)) = self.order.pop_front_if(|(at, _)| *at < before) {
            if self.marks.get(&key).is_some_and(|mark| mark.at == at) {
                self.marks.remove(&key);
            }
        }
        if !self.cells.is_empty() && now - self.cells_at > self.horizon / 16 {
            self.cells_at = now;
            self.cells.retain(|_, cell| cell.at >= before);
        }
    }

    /// What is held of a session.
    pub fn get(&self, now: Time, key: SessionKey) -> Option<RecordedPosition> {
        let live = |mark: &&Mark| mark.at >= now.saturating_sub(self.horizon);
        let own = self.marks.get(&key).filter(live);
        let cell = self.cells.get(&Self::cell(key)).filter(live);
        let position = own
            .into_iter()
            .chain(cell)
            .map(|mark| mark.position)
            .max()?;
        let at = own.into_iter().chain(cell).map(|mark| mark.at).max()?;
        let pushed_out = own.is_none_or(|mark| mark.position < position);
        Some(RecordedPosition {
            position,
            at,
            evicted: pushed_out,
        })
    }

    /// Marks held.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty() && self.cells.is_empty()
    }

    /// Marks that there was no room for.
    pub fn pushed_out(&self) -> u64 {
        self.pushed_out
    }
}
