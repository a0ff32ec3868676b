//! The way of another frontend's request to the reducer and back: through a channel, as frontends have threads of their own.

use super::backend_channels::RelayedStream;
use crate::reducer::{CallId, FinalResponse};
use async_channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The answer of a gateway that ends before the request's.
const GATEWAY_ENDS: FrontendResponse =
    FrontendResponse::Final(FinalResponse::Unavailable("the gateway ends"));

/// What comes from another frontend.
pub(super) enum FrontendMessage {
    /// A request.
    Execute(FrontendRequest),
    /// Nobody waits for that request any more.
    Cancel(CallId),
}

/// Another frontend's request.
pub(super) struct FrontendRequest {
    pub(super) id: CallId,
    /// In the form of the first protocol.
    pub(super) statement: String,
    /// Its answer may be a stream.
    pub(super) accepts_stream: bool,
    pub(super) response: Sender<FrontendResponse>,
}

/// How another frontend's request is answered.
pub enum FrontendResponse {
    /// By its one final answer.
    Final(FinalResponse),
    /// By a stream, which is its own from here on.
    Stream(RelayedStream),
}

/// The way to the reducer for another frontend. Clones lead to the same one.
#[derive(Clone)]
pub struct RequestHandle {
    messages: Sender<FrontendMessage>,
    next_id: Arc<AtomicU64>,
}

/// Cancels its request when dropped, unless the final answer has come.
pub struct RequestGuard {
    handle: RequestHandle,
    /// `None`: nothing is left to cancel.
    request: Option<CallId>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            let _ = self
                .handle
                .messages
                .try_send(FrontendMessage::Cancel(request));
        }
    }
}

impl RequestHandle {
    pub(super) fn new() -> (RequestHandle, Receiver<FrontendMessage>) {
        let (messages, receiver) = async_channel::unbounded();
        let handle = RequestHandle {
            messages,
            next_id: Arc::default(),
        };
        (handle, receiver)
    }

    /// Executes a statement in the form of the first protocol; gives its one final answer. Dropped before that, the client
    /// is gone. How many may be executed at once is the caller's to bound.
    pub async fn execute(&self, statement: String) -> FinalResponse {
        match self.send(statement, false).await {
            (FrontendResponse::Final(answer), _) => answer,
            (FrontendResponse::Stream(_), _) => {
                FinalResponse::Failed("a stream came where one value was asked for")
            }
        }
    }

    /// The same where the answer may be a stream. The guard beside it is kept for as long as the stream is read.
    pub async fn execute_streaming(&self, statement: String) -> (FrontendResponse, RequestGuard) {
        self.send(statement, true).await
    }

    pub(super) async fn send(
        &self,
        statement: String,
        accepts_stream: bool,
    ) -> (FrontendResponse, RequestGuard) {
        let id = CallId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (response, receiver) = async_channel::bounded(1);
        let mut guard = RequestGuard {
            handle: self.clone(),
            request: None,
        };
        let request = FrontendRequest {
            id,
            statement,
            accepts_stream,
            response,
        };
        let message = FrontendMessage::Execute(request);
        if self.messages.send(message).await.is_err() {
            return (GATEWAY_ENDS, guard);
        }
        guard.request = Some(id);
        let response = receiver.recv().await.unwrap_or(GATEWAY_ENDS);
        if matches!(response, FrontendResponse::Final(_)) {
            guard.request = None;
        }
        (response, guard)
    }
}

/// Other frontends' requests that are open, and who waits for each.
#[derive(Default)]
pub(super) struct OpenRequests(RefCell<HashMap<CallId, Sender<FrontendResponse>>>);

impl OpenRequests {
    pub(super) fn insert(&self, id: CallId, response: Sender<FrontendResponse>) {
        self.0.borrow_mut().insert(id, response);
    }

    pub(super) fn remove(&self, id: CallId) -> Option<Sender<FrontendResponse>> {
        self.0.borrow_mut().remove(&id)
    }
}
