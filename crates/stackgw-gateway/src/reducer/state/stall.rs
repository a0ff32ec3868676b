//! Pauses of the whole process: it was stopped, or got no processor.
//!
//! After a pause, what has arrived meanwhile is read bit by bit. A statement may be read before the notice that its member
//! drains, or before the end of its client's connection, although both arrived long before. So nothing is sent to members until
//! a moment after the pause, and a notice that is read by then is dated as early as it may have arrived.

use crate::limits::Limits;
use stackgw_router::api::{Span, Time};

/// A pause during which nothing was handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stall {
    began_at: Time,
    ended_at: Time,
}

/// Detects pauses by timers that were due long before.
#[derive(Debug, Default)]
pub(crate) struct StallDetector {
    last_input_at: Option<Time>,
    last_stall: Option<Stall>,
}

impl StallDetector {
    /// Records an input. Returns the length of the pause before it, if there was one: nothing has been handled for longer than
    /// the threshold, although a timer was due for as long.
    pub(crate) fn record_input(
        &mut self,
        now: Time,
        next_due: Option<Time>,
        limits: &Limits,
    ) -> Option<Span> {
        let last_input_at = self.last_input_at.replace(now)?;
        let idle_until = next_due?.max(last_input_at);
        let is_stall = now - idle_until > limits.stall_threshold;
        if !is_stall {
            return None;
        }
        self.last_stall = Some(Stall {
            began_at: last_input_at,
            ended_at: now,
        });
        Some(now - last_input_at)
    }

    /// Returns whether what arrived during a pause may still be unread, so that nothing may be sent to members.
    pub(crate) fn is_holding(&self, now: Time, limits: &Limits) -> bool {
        self.last_stall
            .is_some_and(|stall| now < stall.ended_at + limits.stall_hold)
    }

    /// Returns the earliest time at which a notice that is handled now may have arrived.
    pub(crate) fn earliest_arrival(&self, now: Time, limits: &Limits) -> Time {
        let recent = self
            .last_stall
            .filter(|stall| now <= stall.ended_at + limits.stall_catch_up);
        recent.map_or(now, |stall| stall.began_at)
    }
}
