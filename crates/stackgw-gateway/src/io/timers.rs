//! The single timer of the I/O side. The reducer orders its own timers, and this one fires when the first of them is due.

use super::driver::Driver;
use crate::reducer::Input;
use async_io::Timer;
use futures_lite::{future, Stream, StreamExt};
use stackgw_router::api::Time;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A stream that yields an item each time the alarm is due.
struct AlarmStream {
    driver: Rc<Driver>,
    timer: Timer,
    /// The time that the timer is set to.
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

/// Passes an input to the reducer whenever its next timer is due.
pub(super) async fn run(driver: Rc<Driver>) {
    let mut alarm = AlarmStream {
        driver: driver.clone(),
        timer: Timer::never(),
        timer_due: None,
    };
    while alarm.next().await.is_some() {
        // Received bytes are handled first, so that after a pause of the process no response that has already arrived times
        // out.
        future::yield_now().await;
        driver.handle_input(Input::TimerDue);
    }
}
