//! The one timer of the I/O side; the reducer keeps the order of all others.

use super::Shell;
use crate::reducer::Input;
use async_io::Timer;
use futures_lite::{future, Stream, StreamExt};
use stackgw_router::api::Time;
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// When the reducer wants to be woken next.
#[derive(Debug, Default)]
pub(super) struct Alarm {
    due: Cell<Option<Time>>,
    waker: RefCell<Option<Waker>>,
}

impl Alarm {
    /// Sets the moment; the task is woken only where that comes sooner than what it waits for.
    pub(super) fn set(&self, due: Option<Time>) {
        let before = self.due.replace(due);
        if due.is_some_and(|at| before.is_none_or(|b| at < b)) {
            if let Some(waker) = self.waker.borrow_mut().take() {
                waker.wake();
            }
        }
    }
}

/// A stream that yields each time the alarm goes off.
struct Rings {
    shell: Rc<Shell>,
    timer: Timer,
    set_for: Option<Time>,
}

impl Stream for Rings {
    type Item = ();

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<()>> {
        *self.shell.alarm.waker.borrow_mut() = Some(cx.waker().clone());
        loop {
            let Some(due) = self.shell.alarm.due.get() else {
                return Poll::Pending;
            };
            if due <= self.shell.clock.now() {
                return Poll::Ready(Some(()));
            }
            if self.set_for != Some(due) {
                self.set_for = Some(due);
                let at = self.shell.clock.instant(due);
                self.timer.set_at(at);
            }
            if self.timer.poll_next(cx).is_pending() {
                return Poll::Pending;
            }
            self.set_for = None;
        }
    }
}

/// Tells the reducer whenever its next timer is due.
pub(super) async fn run(shell: Rc<Shell>) {
    let mut rings = Rings {
        shell: shell.clone(),
        timer: Timer::never(),
        set_for: None,
    };
    while rings.next().await.is_some() {
        // What has come goes first: after a pause, answers that are here already are not given up for time.
        future::yield_now().await;
        shell.input(Input::TimerDue);
    }
}
