//! A flag that a task can wait for.

use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};

/// A flag that one task at a time can wait for. It is not set initially.
#[derive(Debug, Default)]
pub(super) struct Flag {
    value: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Flag {
    pub(super) fn set(&self, value: bool) {
        self.value.set(value);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until the flag is set.
    pub(super) async fn wait(&self) {
        future::poll_fn(|cx| {
            if self.value.get() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
