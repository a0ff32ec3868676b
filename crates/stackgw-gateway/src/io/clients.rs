//! Client connections: one task for each, and the effects on them.

use super::client_table::{Client, WaitingClient};
use super::connection::{Connection, ConnectionEvent, ConnectionEvents, ReadLimits, WriteProgress};
use super::driver::Driver;
use crate::pg::{code, FrameDecoder, Statement};
use crate::reducer::{ClientId, CloseReason, Input, ReadAhead, StallReason};
use async_io::{Async, Timer};
use futures_lite::{future, StreamExt};
use stackgw_router::api::MS;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The range of the code in a startup packet.
const STARTUP_CODE: std::ops::Range<usize> = 4..8;

impl Driver {
    /// Registers an accepted connection and starts its task.
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

    /// Queues bytes for a client, which [`flush_clients`](Self::flush_clients) writes; if `close` is set, its connection is closed
    /// after the write.
    pub(super) fn write_to_client(&self, id: ClientId, bytes: Vec<u8>, close: bool) {
        let Some(connection) = self.clients.connection(id) else {
            return;
        };
        if close {
            connection.mark_closing();
            connection.wake();
        }
        if connection.queue_write(bytes) {
            self.clients.with_queued_writes.borrow_mut().push(id);
        }
    }

    /// Writes what is queued for clients to their sockets: all responses to one client in one call.
    pub(super) fn flush_clients(&self) {
        for id in self.clients.with_queued_writes.take() {
            let Some(connection) = self.clients.connection(id) else {
                continue;
            };
            match connection.write_queued() {
                WriteProgress::Complete => self.queue_input(Input::ClientFlushed(id)),
                WriteProgress::Partial => {}
                WriteProgress::Broken => self.disconnect_client(id),
            }
        }
    }

    /// Closes a client's connection unless it has received bytes that were not passed to the reducer yet.
    pub(super) fn close_client_if_idle(&self, id: ClientId) {
        self.flush_clients();
        let closed = self
            .clients
            .connection(id)
            .is_some_and(|connection| connection.close_if_idle());
        if closed {
            self.disconnect_client(id);
        }
    }

    /// Reports a client that has not sent the rest of its message.
    pub(super) fn check_stalled(&self, id: ClientId, reason: StallReason) {
        let connection = self.clients.connection(id);
        let mut buffer = self.read_buffer.borrow_mut();
        if connection.is_some_and(|connection| connection.awaits_peer(&mut buffer)) {
            self.queue_input(Input::ClientStalled(id, reason));
        }
    }

    /// Drops what a client has sent, and reads nothing more from it.
    pub(super) fn drop_client_input(&self, id: ClientId) {
        if let Some(connection) = self.clients.connection(id) {
            connection.drop_input();
        }
    }

    /// Closes a client's connection. Returns the client if it was connected.
    pub(super) fn remove_client(&self, id: ClientId) -> Option<Client> {
        let client = self.clients.connections.borrow_mut().remove(&id);
        self.clients.with_pending_bytes.borrow_mut().remove(&id);
        client
    }

    /// Closes a client's connection and reports that to the reducer.
    fn disconnect_client(&self, id: ClientId) {
        if self.remove_client(id).is_some() {
            self.queue_input(Input::ClientClosed(id, CloseReason::Disconnected));
        }
    }

    /// Ends the output to all clients before the process exits, so that written bytes are still delivered.
    pub(super) fn finish_writing_to_clients(&self) {
        for client in self.clients.connections.borrow().values() {
            client.connection.finish_writing();
        }
    }

    /// Wakes the tasks of the clients whose next message is accepted now.
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

    /// Returns whether a client's next message, of this size, is accepted now.
    fn accepts_message(&self, id: ClientId, bytes: usize) -> bool {
        self.reducer.borrow().accepts_frame_of(id, bytes)
    }

    /// Passes complete messages to the reducer, as long as it accepts them. One that has waited for too long is passed on to be
    /// rejected.
    async fn deliver_messages(
        self: &Rc<Self>,
        id: ClientId,
        connection: &Connection,
        frames: &mut FrameDecoder,
        give_up_at: &mut Option<Instant>,
    ) {
        let mut delivered = 0;
        while let Some(bytes) = frames.next_frame_bytes() {
            let is_accepted = self.accepts_message(id, bytes);
            if !is_accepted && !self.is_overdue(id, *give_up_at) {
                break;
            }
            if is_accepted && self.reducer.borrow().rejects_requests() {
                *give_up_at = None;
                self.deliver_batch(id, connection, frames);
                future::yield_now().await;
                continue;
            }
            if delivered == self.limits.messages_per_turn {
                // Without this, a client that sends hundreds of messages at once would block all others.
                delivered = 0;
                future::yield_now().await;
                continue;
            }
            delivered += 1;
            *give_up_at = None;
            let frame = frames.next_frame();
            // The response may let the reducer close the connection if it is idle, which it is not with messages left.
            connection.set_pending_bytes(frames.pending_bytes());
            match frame {
                Some(Ok(frame)) if is_accepted => {
                    self.handle_input(Input::ClientFrame(id, frame));
                }
                Some(Ok(frame)) => self.handle_input(Input::ClientFrameOverdue(id, frame)),
                // The task ends once the reducer's last response to this client is written.
                Some(Err(_)) => {
                    self.handle_input(Input::ClientClosed(id, CloseReason::ProtocolError))
                }
                None => break,
            }
        }
    }

    /// Passes the next complete messages to the reducer, at most as many as one client may have open. While all requests are
    /// rejected, the responses to all of them are then written together. Shortly before the process exits, any number of
    /// statements may still have to be answered.
    fn deliver_batch(
        self: &Rc<Self>,
        id: ClientId,
        connection: &Connection,
        frames: &mut FrameDecoder,
    ) {
        let next = std::iter::from_fn(|| frames.next_frame());
        let next = next.take(self.limits.max_pipelined_statements);
        let (mut batch, mut is_malformed) = (Vec::new(), false);
        for frame in next {
            match frame {
                Ok(frame) => batch.push(frame),
                Err(_) => {
                    is_malformed = true;
                    break;
                }
            }
        }
        connection.set_pending_bytes(frames.pending_bytes());
        self.queue_input(Input::ClientFrames(id, batch));
        if is_malformed {
            self.queue_input(Input::ClientClosed(id, CloseReason::ProtocolError));
        }
        self.handle_queued_inputs();
    }

    /// Returns whether a message has waited for too long to be accepted, and may be rejected.
    fn is_overdue(&self, id: ClientId, give_up_at: Option<Instant>) -> bool {
        give_up_at.is_some_and(|at| at <= Instant::now())
            && self.reducer.borrow().may_reject_frame(id)
    }

    /// Returns until when the next message waits to be accepted; `None` if there is none.
    fn wait_limit(&self, frames: &FrameDecoder) -> Option<Instant> {
        let message = frames.peek_frame()?;
        let has_more = frames.pending_bytes() > message.len();
        let wait_ms = Statement::wait_ms_of(message).unwrap_or_default();
        let wait = i64::try_from(wait_ms)
            .unwrap_or(i64::MAX)
            .saturating_mul(MS);
        let wait = self.limits.capacity_wait(wait, has_more);
        Some(Instant::now() + Duration::from_nanos(wait.max(0) as u64))
    }

    /// Records which bytes a client's task holds now, and reports them to the reducer if there are any. If the client's next
    /// message is not accepted, the client is added to those that wait.
    fn update_pending_bytes(
        self: &Rc<Self>,
        id: ClientId,
        connection: &Connection,
        frames: &FrameDecoder,
    ) {
        let pending_bytes = frames.pending_bytes();
        let next_frame_bytes = frames.next_frame_bytes();
        connection.set_awaiting_acceptance(next_frame_bytes.is_some());
        connection.set_missing_bytes(frames.missing_bytes());
        connection.set_pending_bytes(pending_bytes);
        if pending_bytes == 0 && !connection.drops_input() {
            self.clients.with_pending_bytes.borrow_mut().remove(&id);
            return;
        }
        // The end of a connection that is not read is found by the check for disconnects.
        self.clients.with_pending_bytes.borrow_mut().insert(id);
        self.clients.any_pending_bytes.set(true);
        if pending_bytes == 0 {
            return;
        }
        let read_ahead = ReadAhead {
            bytes: pending_bytes,
            is_partial: next_frame_bytes.is_none(),
        };
        self.handle_input(Input::ClientReadAhead(id, read_ahead));
        let message_bytes = next_frame_bytes.unwrap_or(0);
        if !self.accepts_message(id, message_bytes) {
            self.clients
                .add_waiting(WaitingClient { id, message_bytes });
        }
    }
}

/// Reports to the reducer, again and again, that clients wait for memory to send the rest of their messages.
pub(super) async fn report_exhausted_budget(driver: Rc<Driver>) {
    let interval = Duration::from_nanos(driver.limits.exhausted_report_interval as u64);
    loop {
        driver.clients.budget.wait_until_exhausted().await;
        driver.handle_input(Input::ReadAheadExhausted);
        Timer::after(interval).await;
    }
}

/// Returns the next event of a connection, or [`ConnectionEvent::Woken`] at the given time.
async fn next_event(
    events: &mut ConnectionEvents,
    wake_at: Option<Instant>,
) -> Option<ConnectionEvent> {
    let Some(at) = wake_at else {
        return events.next().await;
    };
    let woken = async {
        Timer::at(at).await;
        Some(ConnectionEvent::Woken)
    };
    future::or(events.next(), woken).await
}

/// Returns whether a client has closed its connection before its first bytes were read, and left no cancel request: it may have
/// waited long to be accepted, and its statements would be executed for nobody.
fn has_left_before(connection: &Connection, frames: &FrameDecoder) -> bool {
    let code = frames
        .peek_frame()
        .and_then(|message| message.get(STARTUP_CODE));
    let is_cancel_request = code == Some(&code::CANCEL.to_be_bytes());
    !is_cancel_request && connection.has_peer_closed()
}

/// Reads from a client's connection until it ends.
async fn serve(driver: Rc<Driver>, id: ClientId, connection: Rc<Connection>) {
    let limits = &driver.limits;
    let mut frames = FrameDecoder::client(limits.startup_bytes, limits.statement_bytes);
    connection.set_missing_bytes(frames.missing_bytes());
    let mut events = ConnectionEvents {
        connection: connection.clone(),
        buffer: driver.read_buffer.clone(),
    };
    let mut give_up_at = None;
    let mut is_first_read = true;
    while let Some(event) = next_event(&mut events, give_up_at).await {
        let mut is_closed = false;
        match event {
            ConnectionEvent::Read(bytes) => {
                frames.feed(&bytes);
                let is_first = std::mem::take(&mut is_first_read);
                is_closed = is_first && has_left_before(&connection, &frames);
            }
            ConnectionEvent::Written => driver.handle_input(Input::ClientFlushed(id)),
            ConnectionEvent::Woken => {}
            ConnectionEvent::Closed => is_closed = true,
        }
        if is_closed {
            driver.remove_client(id);
            return driver.handle_input(Input::ClientClosed(id, CloseReason::Disconnected));
        }
        driver
            .deliver_messages(id, &connection, &mut frames, &mut give_up_at)
            .await;
        if !driver.clients.contains(id) {
            return;
        }
        if connection.is_closing() || connection.drops_input() {
            frames.clear();
        }
        let has_expired = give_up_at.is_none_or(|at| at <= Instant::now());
        if has_expired {
            give_up_at = driver.wait_limit(&frames);
        }
        driver.update_pending_bytes(id, &connection, &frames);
        // Without this, a client that sends without a pause would block all others.
        future::yield_now().await;
    }
}
