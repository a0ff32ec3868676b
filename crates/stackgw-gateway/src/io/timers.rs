//! The one timer of the I/O side; the reducer keeps the order of all others.

use super::driver::Driver;
use crate::reducer::Input;
use async_io::Timer;
use futures_lite::{future, Stream, StreamExt};
use stackgw_router::api::Time;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A stream that yields each time the alarm goes off.
struct AlarmStream {
    driver: Rc<Driver>,
    timer: Timer,
    /// What the timer is set for.
    timer_due: Option<Time>,
}

impl Stream for AlarmStream {
    type Item = ();

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<()>> {
        *self.driver.alarm.waker.borrow_mut() = Some(cx.waker().clone());
        loop {
            let Some(due) = self.driver.alarm.due.get() else {
                return Poll::Pending;
            };
            if due <= self.driver.clock.now() {
                return Poll::Ready(Some(()));
            }
            if self.timer_due != Some(due) {
                self.timer_due = Some(due);
                let at = self.driver.clock.instant(due);
                self.timer.set_at(at);
            }
            if self.timer.poll_next(cx).is_pending() {
                return Poll::Pending;
            }
            self.timer_due = None;
        }
    }
}

/// Tells the reducer whenever its next timer is due.
pub(super) async fn run(driver: Rc<Driver>) {
    let mut alarm = AlarmStream {
        driver: driver.clone(),
        timer: Timer::never(),
        timer_due: None,
    };
    while alarm.next().await.is_some() {
        // What has come goes first: after a pause, answers that are here already are not given up for time.
        future::yield_now().await;
        driver.handle_input(Input::TimerDue);
    }
}
