//! Clients' connections: one task for each, and the effects that concern them.

use super::client_table::{Client, WaitingClient};
use super::connection::{Connection, ConnectionEvent, ConnectionEvents, ReadLimits, WriteProgress};
use super::driver::Driver;
use crate::pg::FrameDecoder;
use crate::reducer::{ClientId, CloseReason, Input, ReadAhead};
use async_io::Async;
use futures_lite::{future, StreamExt};
use std::net::TcpStream;
use std::rc::Rc;

impl Driver {
    /// Takes a connection that was accepted.
    pub(super) fn open_client(self: &Rc<Self>, socket: Async<TcpStream>) {
        let limits = ReadLimits {
            max_pending_bytes: self.limits.read_ahead_bytes,
            linger_bytes: self.limits.linger_bytes,
        };
        let connection = Connection::new(socket, limits, &self.clients.budget);
        let id = ClientId(self.clients.next_id.get());
        self.clients.next_id.set(id.0 + 1);
        let task = self
            .executor
            .spawn(serve(self.clone(), id, connection.clone()));
        let client = Client {
            connection,
            _task: task,
        };
        self.clients.connections.borrow_mut().insert(id, client);
        self.handle_input(Input::ClientConnected(id));
    }

    /// Writes to a client, and closes its connection behind that where nothing follows.
    pub(super) fn write_to_client(&self, id: ClientId, bytes: Vec<u8>, close: bool) {
        let Some(connection) = self.clients.connection(id) else {
            return;
        };
        if close {
            connection.close_when_written();
            connection.wake();
        }
        match connection.write(bytes) {
            WriteProgress::Complete => self.queue_input(Input::ClientFlushed(id)),
            WriteProgress::Partial => {}
            WriteProgress::Broken => self.lose_client(id),
        }
    }

    /// Closes a client's connection unless it has sent something by now.
    pub(super) fn close_client_if_quiet(&self, id: ClientId) {
        let closed = self
            .clients
            .connection(id)
            .is_some_and(|connection| connection.close_if_quiet());
        if closed {
            self.lose_client(id);
        }
    }

    /// Closes a client's connection; the client, if there was one.
    pub(super) fn remove_client(&self, id: ClientId) -> Option<Client> {
        let client = self.clients.connections.borrow_mut().remove(&id);
        self.clients.with_pending_bytes.borrow_mut().remove(&id);
        client
    }

    /// Closes a client's connection and tells the reducer.
    fn lose_client(&self, id: ClientId) {
        if self.remove_client(id).is_some() {
            self.queue_input(Input::ClientClosed(id, CloseReason::Disconnected));
        }
    }

    /// The process ends: what has been written goes out, nothing follows.
    pub(super) fn finish_writing_to_clients(&self) {
        for client in self.clients.connections.borrow().values() {
            client.connection.finish_writing();
        }
    }

    /// Wakes the tasks of those clients whose next message is taken now.
    pub(super) fn resume_waiting_clients(&self) {
        let reducer = self.reducer.borrow();
        let connections = self.clients.connections.borrow();
        self.clients.waiting.borrow_mut().retain(|waiting| {
            let is_accepted = reducer.accepts_frame_of(waiting.id, waiting.message_bytes);
            let client = connections.get(&waiting.id);
            if let Some(client) = client.filter(|_| is_accepted) {
                client.connection.wake();
            }
            !is_accepted && client.is_some()
        });
    }

    /// Whether a client's next message, of this size, is accepted now.
    fn accepts_message(&self, id: ClientId, bytes: usize) -> bool {
        self.reducer.borrow().accepts_frame_of(id, bytes)
    }

    /// Hands over the messages that are complete, as far as they are accepted now.
    async fn hand_over_messages(self: &Rc<Self>, id: ClientId, frames: &mut FrameDecoder) {
        let mut handed_over = 0;
        while let Some(bytes) = frames.next_frame_bytes() {
            if !self.accepts_message(id, bytes) {
                break;
            }
            if handed_over == self.limits.messages_per_turn {
                // Danger: one that sends hundreds of messages at once would keep all others waiting.
                handed_over = 0;
                future::yield_now().await;
                continue;
            }
            handed_over += 1;
            match frames.next_frame() {
                Some(Ok(frame)) => self.handle_input(Input::ClientFrame(id, frame)),
                // The stream ends once the reducer's last answer to this client is written.
                Some(Err(_)) => {
                    self.handle_input(Input::ClientClosed(id, CloseReason::ProtocolError))
                }
                None => break,
            }
        }
    }

    /// Notes what a client's task holds and what that means for reading on.
    fn note_pending_bytes(
        self: &Rc<Self>,
        id: ClientId,
        connection: &Connection,
        frames: &FrameDecoder,
    ) {
        let pending_bytes = frames.pending_bytes();
        let next_frame_bytes = frames.next_frame_bytes();
        connection.set_awaiting_acceptance(next_frame_bytes.is_some());
        connection.set_pending_bytes(pending_bytes);
        if pending_bytes == 0 {
            self.clients.with_pending_bytes.borrow_mut().remove(&id);
            return;
        }
        self.clients.with_pending_bytes.borrow_mut().insert(id);
        self.clients.any_pending_bytes.set(true);
        let read_ahead = ReadAhead {
            bytes: pending_bytes,
            is_partial: next_frame_bytes.is_none(),
        };
        self.handle_input(Input::ClientReadAhead(id, read_ahead));
        let message_bytes = next_frame_bytes.unwrap_or(0);
        if !self.accepts_message(id, message_bytes) {
            self.clients.wait(WaitingClient { id, message_bytes });
        }
    }
}

/// Reads a client's connection until it is over.
async fn serve(driver: Rc<Driver>, id: ClientId, connection: Rc<Connection>) {
    let limits = &driver.limits;
    let mut frames = FrameDecoder::client(limits.startup_bytes, limits.statement_bytes);
    let mut events = ConnectionEvents {
        connection: connection.clone(),
        buffer: driver.read_buffer.clone(),
    };
    while let Some(event) = events.next().await {
        match event {
            ConnectionEvent::Read(bytes) => frames.feed(&bytes),
            ConnectionEvent::Written => driver.handle_input(Input::ClientFlushed(id)),
            ConnectionEvent::Woken => {}
            ConnectionEvent::Closed => {
                driver.remove_client(id);
                return driver.handle_input(Input::ClientClosed(id, CloseReason::Disconnected));
            }
        }
        driver.hand_over_messages(id, &mut frames).await;
        if !driver.clients.contains(id) {
            return;
        }
        if connection.is_closing() {
            frames.clear();
        }
        driver.note_pending_bytes(id, &connection, &frames);
        // Danger: one that sends without a pause would keep all others waiting.
        future::yield_now().await;
    }
}
