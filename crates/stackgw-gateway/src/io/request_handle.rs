//! Sends requests of another frontend to the reducer and returns the responses, through channels: frontends have their own
//! threads.

use super::backend_channels::RelayedStream;
use crate::reducer::{CallId, FinalResponse};
use async_channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The response if the gateway exits before it has responded to the request.
const GATEWAY_EXITED: FrontendResponse =
    FrontendResponse::Final(FinalResponse::Unavailable("the gateway ends"));

/// A message from another frontend.
pub(super) enum FrontendMessage {
    /// A request.
    Execute(FrontendRequest),
    /// The client of a request no longer waits for its response.
    Cancel(CallId),
}

/// Another frontend's request.
pub(super) struct FrontendRequest {
    pub(super) id: CallId,
    /// The statement's text, as in a query message of PostgreSQL's protocol.
    pub(super) statement: String,
    /// The response may be a stream.
    pub(super) accepts_stream: bool,
    pub(super) response: Sender<FrontendResponse>,
}

/// The response to another frontend's request.
pub enum FrontendResponse {
    /// The final response; nothing follows it.
    Final(FinalResponse),
    /// A stream, which the frontend owns from now on.
    Stream(RelayedStream),
}

/// Sends requests of another frontend to the reducer. Clones use the same reducer.
#[derive(Clone)]
pub struct RequestHandle {
    messages: Sender<FrontendMessage>,
    next_id: Arc<AtomicU64>,
}

/// Cancels its request when dropped, unless the final response has arrived.
pub struct RequestGuard {
    handle: RequestHandle,
    /// `None`: there is nothing to cancel.
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

    /// Executes a statement, written as in PostgreSQL's protocol, and returns its final response. Dropping the future before
    /// that cancels the request. The caller must limit the number of concurrent executions.
    pub async fn execute(&self, statement: String) -> FinalResponse {
        match self.send(statement, false).await {
            (FrontendResponse::Final(response), _) => response,
            (FrontendResponse::Stream(_), _) => {
                FinalResponse::Failed("a stream came where one value was asked for")
            }
        }
    }

    /// Executes a statement whose response may be a stream. The caller keeps the returned guard for as long as it reads the
    /// stream.
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
            return (GATEWAY_EXITED, guard);
        }
        guard.request = Some(id);
        let response = receiver.recv().await.unwrap_or(GATEWAY_EXITED);
        if matches!(response, FrontendResponse::Final(_)) {
            guard.request = None;
        }
        (response, guard)
    }
}

/// Ends the intake of requests when the gateway exits. Requests that were sent and not read, and all later ones, get the response
/// that the gateway ends: their frontends wait for a response, and the gateway waits for its frontends to stop.
pub(super) fn close_intake(messages: &Receiver<FrontendMessage>) {
    messages.close();
    while let Ok(message) = messages.try_recv() {
        drop(message);
    }
}

/// Open requests of other frontends, and the channels for their responses.
#[derive(Default)]
pub(super) struct OpenRequests(RefCell<HashMap<CallId, Sender<FrontendResponse>>>);

impl OpenRequests {
    pub(super) fn insert(&self, id: CallId, response: Sender<FrontendResponse>) {
        self.0.borrow_mut().insert(id, response);
    }

    pub(super) fn remove(&self, id: CallId) -> Option<Sender<FrontendResponse>> {
        self.0.borrow_mut().remove(&id)
    }

    /// Drops all requests; each gets the response that the gateway ends.
    pub(super) fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request_handle.rs"]
mod tests;
