//! Requests of other frontends, which run on their own threads and communicate with the reducer through a channel.

use super::driver::Driver;
use super::request_handle::{FrontendMessage, FrontendResponse};
use super::turn::Turn;
use crate::pg::{message_kind, write, Frame};
use crate::reducer::{CallId, ConnectionId, FinalResponse, Input};
use async_channel::Receiver;
use std::rc::Rc;

impl Driver {
    /// Sends the final response to a request if its frontend still waits for it.
    pub(super) fn respond_to_frontend(&self, id: CallId, final_response: FinalResponse) {
        if let Some(response) = self.open_requests.remove(id) {
            let _ = response.try_send(FrontendResponse::Final(final_response));
        }
    }

    /// Responds to a request with the stream that has started on a connection.
    pub(super) fn respond_to_frontend_with_stream(&self, id: CallId, connection: ConnectionId) {
        let response = self.open_requests.remove(id);
        let stream = self.backend.take_started_stream(connection);
        if let (Some(response), Some(stream)) = (response, stream) {
            let _ = response.try_send(FrontendResponse::Stream(stream));
        }
    }
}

/// Messages that are handled before other tasks run. Each may be a statement.
const MESSAGES_PER_TURN: u32 = 4;

/// Passes the messages of other frontends to the reducer.
pub(super) async fn run(driver: Rc<Driver>, messages: Receiver<FrontendMessage>) {
    let mut turn = Turn::of_steps(MESSAGES_PER_TURN);
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
        turn.finish_step().await;
    }
}
