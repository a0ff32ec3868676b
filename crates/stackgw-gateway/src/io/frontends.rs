//! Other frontends' requests: from threads of their own, through a channel, to the reducer and back.

use super::backends::RelayedStream;
use super::driver::Driver;
use crate::pg::{message_kind, write, Frame};
use crate::reducer::{CallId, ConnectionId, FinalResponse, Input};
use async_channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
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
    id: CallId,
    /// In the form of the first protocol.
    statement: String,
    /// Its answer may be a stream.
    accepts_stream: bool,
    response: Sender<FrontendResponse>,
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

    async fn send(
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
    fn insert(&self, id: CallId, response: Sender<FrontendResponse>) {
        self.0.borrow_mut().insert(id, response);
    }

    fn remove(&self, id: CallId) -> Option<Sender<FrontendResponse>> {
        self.0.borrow_mut().remove(&id)
    }
}

impl Driver {
    /// Gives a request its one final answer.
    pub(super) fn answer_frontend_request(&self, id: CallId, answer: FinalResponse) {
        if let Some(response) = self.open_requests.remove(id) {
            let _ = response.try_send(FrontendResponse::Final(answer));
        }
    }

    /// Gives a request the stream that has just begun on a connection.
    pub(super) fn answer_frontend_request_by_stream(&self, id: CallId, connection: ConnectionId) {
        let response = self.open_requests.remove(id);
        let stream = self.backends.take_started_stream(connection);
        if let (Some(response), Some(stream)) = (response, stream) {
            let _ = response.try_send(FrontendResponse::Stream(stream));
        }
    }
}

/// Hands over what comes from other frontends.
pub(super) async fn run(driver: Rc<Driver>, messages: Receiver<FrontendMessage>) {
    while let Ok(message) = messages.recv().await {
        match message {
            FrontendMessage::Execute(request) => {
                let mut bytes = Vec::new();
                write::query(&mut bytes, &request.statement);
                driver.open_requests.insert(request.id, request.response);
                let frame = Frame {
                    kind: message_kind::client::QUERY,
                    bytes,
                };
                driver.handle_input(Input::Call(request.id, frame, request.accepts_stream));
            }
            FrontendMessage::Cancel(id) => {
                drop(driver.open_requests.remove(id));
                driver.handle_input(Input::CallCancelled(id));
            }
        }
    }
}
