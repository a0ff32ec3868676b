//! Other frontends' requests: from threads of their own, through a channel, to the reducer and back.

use super::driver::Driver;
use super::request_handle::{FrontendMessage, FrontendResponse};
use crate::pg::{message_kind, write, Frame};
use crate::reducer::{CallId, ConnectionId, FinalResponse, Input};
use async_channel::Receiver;
use std::rc::Rc;

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
