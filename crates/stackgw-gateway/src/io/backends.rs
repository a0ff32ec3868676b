//! Members that speak another frontend's protocol. Commands go to their backend through one channel, and its events arrive
//! through another; the backend runs on its own threads.

use super::backend_channels::{BackendCommand, BackendEvent};
use super::driver::Driver;
use super::turn::Turn;
use crate::reducer::{BackendRequest, CloseReason, ConnectionId, Input};
use async_channel::Receiver;
use std::net::SocketAddr;
use std::rc::Rc;

/// Passes the backend's events to the reducer.
pub(super) async fn run(driver: Rc<Driver>, events: Receiver<BackendEvent>) {
    let mut turn = Turn::default();
    while let Ok(event) = events.recv().await {
        // Events of a connection that the gateway has closed are outdated.
        if driver
            .backend
            .connections
            .borrow()
            .contains(&event.connection())
        {
            driver.handle_backend_event(event);
        }
        turn.finish_step().await;
    }
}

impl Driver {
    fn handle_backend_event(self: &Rc<Self>, event: BackendEvent) {
        match event {
            BackendEvent::Connected(id) => self.handle_input(Input::MemberConnected(id)),
            BackendEvent::Frame(id, frame) => self.handle_input(Input::MemberFrame(id, frame)),
            BackendEvent::StreamStarted(id, header, stream) => {
                self.backend.started_streams.borrow_mut().insert(id, stream);
                self.handle_input(Input::StreamStarted(id, header));
                // Drops the stream if no request has taken it.
                let stream = self.backend.take_started_stream(id);
                drop(stream);
            }
            BackendEvent::StreamPaused(id) => self.handle_input(Input::StreamPaused(id)),
            BackendEvent::StreamEnded(id, outcome) => {
                self.handle_input(Input::StreamEnded(id, outcome));
            }
            BackendEvent::Closed(id, reason) => {
                self.backend.connections.borrow_mut().remove(&id);
                self.handle_input(Input::MemberClosed(id, reason));
            }
        }
    }

    /// Opens a connection through the backend. Without a running backend, the connection is reported as closed to the
    /// reducer.
    pub(super) fn open_backend_connection(&self, id: ConnectionId, address: SocketAddr) {
        if self.backend.send(BackendCommand::Open(id, address)) {
            self.backend.connections.borrow_mut().insert(id);
        } else {
            self.queue_input(Input::MemberClosed(id, CloseReason::Disconnected));
        }
    }

    /// Passes a request to the backend and reports it as written at once, because the backend may send it at any time from now
    /// on. If the backend could not send it, it closes the connection with [`CloseReason::NotSent`].
    pub(super) fn execute_on_backend(&self, id: ConnectionId, request: BackendRequest) {
        let send_by = request.write_by.map(|latest| self.clock.instant(latest));
        self.backend.send(BackendCommand::Execute {
            connection: id,
            request,
            send_by,
        });
        self.queue_input(Input::MemberFlushed(id));
    }

    /// Closes a connection of the backend; does nothing for other connections.
    pub(super) fn close_backend_connection(&self, id: ConnectionId) {
        let is_known = self.backend.connections.borrow_mut().remove(&id);
        if is_known {
            self.backend.send(BackendCommand::Close(id));
        }
    }
}
