//! When the reducer wants to be woken next.

use stackgw_router::api::Time;
use std::cell::{Cell, RefCell};
use std::task::Waker;

/// When the reducer wants to be woken next.
#[derive(Debug, Default)]
pub(super) struct Alarm {
    pub(super) due: Cell<Option<Time>>,
    pub(super) waker: RefCell<Option<Waker>>,
}

impl Alarm {
    /// Sets the moment; the task is woken only where that comes sooner than what it waits for.
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
