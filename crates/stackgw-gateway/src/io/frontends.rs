//! Other fronts' requests: from threads of their own, through a door, to the reducer and back.

use super::{RelayedStream, Shell};
use crate::pg::{message_kind, write, Frame};
use crate::reducer::{CallId, FinalResponse, Input};
use async_channel::{Receiver, Sender};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// What comes through the door.
pub(super) enum Knock {
    Ask(CallId, String, bool, Sender<FrontendResponse>),
    Gone(CallId),
}

/// How another front's request is answered.
pub enum FrontendResponse {
    /// By its one final answer.
    Final(FinalResponse),
    /// By a stream, which is its own from here on.
    Stream(RelayedStream),
}

/// The way to the reducer for another front. Clones lead to the same one.
#[derive(Clone)]
pub struct RequestHandle {
    knocks: Sender<Knock>,
    next: Arc<AtomicU64>,
}

/// Dropped, it tells the reducer that nobody waits any more, unless the answer has come and was no stream.
pub struct RequestGuard {
    door: RequestHandle,
    call: Option<CallId>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            let _ = self.door.knocks.try_send(Knock::Gone(call));
        }
    }
}

impl RequestHandle {
    pub(super) fn new() -> (RequestHandle, Receiver<Knock>) {
        let (knocks, line) = async_channel::unbounded();
        (
            RequestHandle {
                knocks,
                next: Arc::default(),
            },
            line,
        )
    }

    /// Asks with a statement in the form of our first protocol; gives its one final answer. Dropped before that, the client
    /// is gone. How many may ask at once is the caller's to bound.
    pub async fn execute(&self, statement: String) -> FinalResponse {
        match self.knock(statement, false).await {
            (FrontendResponse::Final(ended), _) => ended,
            (FrontendResponse::Stream(_), _) => {
                FinalResponse::Failed("a stream came where one value was asked for")
            }
        }
    }

    /// The same where the answer may be a stream. What comes beside it is kept for as long as the stream is read.
    pub async fn execute_streaming(&self, statement: String) -> (FrontendResponse, RequestGuard) {
        self.knock(statement, true).await
    }

    async fn knock(&self, statement: String, streams: bool) -> (FrontendResponse, RequestGuard) {
        const OVER: FrontendResponse =
            FrontendResponse::Final(FinalResponse::Unavailable("the gateway ends"));
        let call = CallId(self.next.fetch_add(1, Ordering::Relaxed));
        let (told, word) = async_channel::bounded(1);
        let mut waits = RequestGuard {
            door: self.clone(),
            call: None,
        };
        if self
            .knocks
            .send(Knock::Ask(call, statement, streams, told))
            .await
            .is_err()
        {
            return (OVER, waits);
        }
        waits.call = Some(call);
        let ended = word.recv().await.unwrap_or(OVER);
        if matches!(ended, FrontendResponse::Final(_)) {
            waits.call = None;
        }
        (ended, waits)
    }
}

/// Hands over what comes through the door.
pub(super) async fn run(shell: Rc<Shell>, line: Receiver<Knock>) {
    while let Ok(knock) = line.recv().await {
        match knock {
            Knock::Ask(call, statement, streams, told) => {
                let mut bytes = Vec::new();
                write::query(&mut bytes, &statement);
                shell.calls.borrow_mut().insert(call, told);
                shell.input(Input::Call(
                    call,
                    Frame {
                        kind: message_kind::client::QUERY,
                        bytes,
                    },
                    streams,
                ));
            }
            Knock::Gone(call) => {
                shell.calls.borrow_mut().remove(&call);
                shell.input(Input::CallCancelled(call));
            }
        }
    }
}
