//! Other fronts' requests: from threads of their own, through a door, to the reducer and back.

use super::Shell;
use crate::pg::{write, Frame};
use crate::reducer::{CallId, Final, Input};
use async_channel::{Receiver, Sender};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// What comes through the door.
pub(super) enum Knock {
    Ask(CallId, String, Sender<Final>),
    Gone(CallId),
}

/// The way to the reducer for another front. Clones lead to the same one.
#[derive(Clone)]
pub struct Door {
    knocks: Sender<Knock>,
    next: Arc<AtomicU64>,
}

/// Tells the reducer that nobody waits any more, unless the answer has come.
struct Waits<'a> {
    door: &'a Door,
    call: Option<CallId>,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            let _ = self.door.knocks.try_send(Knock::Gone(call));
        }
    }
}

impl Door {
    pub(super) fn new() -> (Door, Receiver<Knock>) {
        let (knocks, line) = async_channel::unbounded();
        (Door { knocks, next: Arc::default() }, line)
    }

    /// Asks with a statement in the form of our first protocol; gives its one final answer. Dropped before that, the client
    /// is gone. How many may ask at once is the caller's to bound.
    pub async fn ask(&self, statement: String) -> Final {
        const OVER: Final = Final::NotYet("the gateway ends");
        let call = CallId(self.next.fetch_add(1, Ordering::Relaxed));
        let (told, word) = async_channel::bounded(1);
        if self.knocks.send(Knock::Ask(call, statement, told)).await.is_err() {
            return OVER;
        }
        let mut waits = Waits { door: self, call: Some(call) };
        let ended = word.recv().await;
        waits.call = None;
        ended.unwrap_or(OVER)
    }
}

/// Hands over what comes through the door.
pub(super) async fn run(shell: Rc<Shell>, line: Receiver<Knock>) {
    while let Ok(knock) = line.recv().await {
        match knock {
            Knock::Ask(call, statement, told) => {
                let mut bytes = Vec::new();
                write::query(&mut bytes, &statement);
                shell.calls.borrow_mut().insert(call, told);
                shell.input(Input::Call(call, Frame { kind: b'Q', bytes }));
            }
            Knock::Gone(call) => {
                shell.calls.borrow_mut().remove(&call);
                shell.input(Input::CallGone(call));
            }
        }
    }
}
