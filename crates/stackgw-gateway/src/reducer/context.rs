//! The context of a step of the reducer.

use super::effect::Effect;
use super::timers::{Timer, TimerKey, Timers};
use crate::counters::Counters;
use crate::limits::Limits;
use stackgw_router::api::{Span, Time};

/// The context of one input: its time, its effects, and the state that all components share.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    pub(crate) effects: &'a mut Vec<Effect>,
    pub(crate) timers: &'a mut Timers,
    pub(crate) counters: &'a mut Counters,
    pub(crate) limits: &'a Limits,
}

impl Context<'_> {
    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn log(&mut self, line: impl Into<String>) {
        self.emit(Effect::Log(line.into()));
    }

    /// Logs a frequent event with its count, at the first, second, fourth, eighth occurrence and so on.
    pub(crate) fn log_rarely(&mut self, count: u64, what: &str) {
        if count.is_power_of_two() {
            self.log(format!("{what} {count}"));
        }
    }

    pub(crate) fn set_timer_after(&mut self, delay: Span, timer: Timer) -> TimerKey {
        self.timers.set(self.now + delay, timer)
    }
}
