//! Limits how long one task keeps the thread.
//!
//! All tasks share one thread. A source of input that is always ready, such as a peer that sends as fast as its bytes are read,
//! never makes its task wait: without a limit, no other task and no timer would run for as long as the source lasts.

use futures_lite::future;

/// Number of steps of a turn. A step handles one read, message or datagram.
const STEPS_PER_TURN: u32 = 32;

/// Counts the steps of a task since it last let other tasks run.
#[derive(Debug)]
pub(super) struct Turn {
    steps: u32,
    max_steps: u32,
}

impl Default for Turn {
    fn default() -> Self {
        Turn::of_steps(STEPS_PER_TURN)
    }
}

impl Turn {
    /// Creates a turn of this many steps.
    pub(super) fn of_steps(max_steps: u32) -> Self {
        Turn {
            steps: 0,
            max_steps,
        }
    }

    /// Counts a step. After the last step of a turn, lets all other tasks that are ready run before the next turn.
    pub(super) async fn finish_step(&mut self) {
        self.steps += 1;
        if self.steps >= self.max_steps {
            self.steps = 0;
            future::yield_now().await;
        }
    }
}
