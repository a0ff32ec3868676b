//! The time of the reducer's next timer.

use stackgw_router::api::Time;
use std::cell::{Cell, RefCell};
use std::task::Waker;

/// The time of the reducer's next timer, and the task that waits for it.
#[derive(Debug, Default)]
pub(super) struct Alarm {
    pub(super) due: Cell<Option<Time>>,
    pub(super) waker: RefCell<Option<Waker>>,
}

impl Alarm {
    /// Sets the time of the next timer. The task is woken only if this time is earlier than the previous one; otherwise it
    /// reads the new time when the previous one is reached.
    pub(super) fn set(&self, due: Option<Time>) {
        let before = self.due.replace(due);
        let is_sooner = due.is_some_and(|due| before.is_none_or(|before| due < before));
        if !is_sooner {
            return;
        }
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}
