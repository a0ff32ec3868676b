//! Connections to members: one task for each, and the effects on them.

use super::connection::{Connection, ConnectionEvent, ConnectionEvents, ReadLimits, WriteProgress};
use super::driver::Driver;
use super::member_table::Member;
use super::turn::Turn;
use crate::pg::message_kind::server;
use crate::pg::{FrameDecoder, FrameError};
use crate::reducer::{CloseReason, ConnectionId, Input};
use async_io::Async;
use futures_lite::StreamExt;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

impl Driver {
    /// Opens a connection. It has no timeout here: the reducer closes a connection that takes too long to open.
    pub(super) fn open_member_connection(self: &Rc<Self>, id: ConnectionId, address: SocketAddr) {
        let task = self.executor.spawn(serve(self.clone(), id, address));
        let member = Member {
            connection: None,
            _task: task,
        };
        self.members.connections.borrow_mut().insert(id, member);
    }

    /// Writes to a member if its connection can still carry a request; otherwise closes the connection.
    pub(super) fn write_to_member(&self, id: ConnectionId, bytes: Vec<u8>) {
        let Some(connection) = self.members.connection(id) else {
            return;
        };
        match try_write(&connection, bytes) {
            Ok(WriteProgress::Complete) => self.queue_input(Input::MemberFlushed(id)),
            Ok(_) => {}
            Err(reason) => {
                self.members.connections.borrow_mut().remove(&id);
                self.queue_input(Input::MemberClosed(id, reason));
            }
        }
    }

    /// Closes a connection to a member of either protocol.
    pub(super) fn close_member_connection(&self, id: ConnectionId) {
        let member = self.members.connections.borrow_mut().remove(&id);
        drop(member);
        self.close_backend_connection(id);
    }
}

/// Writes to a connection if it is usable; otherwise returns the reason to close it.
///
/// Without the check, a write to a connection that the member has closed would count as sent, and unexpected data that waits on
/// the connection would be taken for the response.
fn try_write(connection: &Connection, bytes: Vec<u8>) -> Result<WriteProgress, CloseReason> {
    if let Some(reason) = connection.unusable_reason() {
        return Err(reason);
    }
    match connection.write(bytes) {
        WriteProgress::Broken => Err(CloseReason::Disconnected),
        progress => Ok(progress),
    }
}

/// Connects to a member and reads from its connection until it ends.
async fn serve(driver: Rc<Driver>, id: ConnectionId, address: SocketAddr) {
    let reason = match Async::<TcpStream>::connect(address).await {
        Ok(socket) => {
            let limits = ReadLimits {
                max_pending_bytes: driver.limits.answer_bytes,
                linger_bytes: 0,
            };
            let connection = Connection::new(socket, limits, &driver.members.budget);
            read_responses(&driver, id, connection).await
        }
        Err(_) => CloseReason::Disconnected,
    };
    let member = driver.members.connections.borrow_mut().remove(&id);
    if member.is_some() {
        driver.handle_input(Input::MemberClosed(id, reason));
    }
}

/// Passes a member's messages to the reducer. Returns the reason for the end of its connection.
async fn read_responses(
    driver: &Rc<Driver>,
    id: ConnectionId,
    connection: Rc<Connection>,
) -> CloseReason {
    match driver.members.connections.borrow_mut().get_mut(&id) {
        Some(member) => member.connection = Some(connection.clone()),
        None => return CloseReason::Disconnected,
    }
    driver.handle_input(Input::MemberConnected(id));
    let mut frames = FrameDecoder::server(driver.limits.answer_bytes);
    let mut events = ConnectionEvents {
        connection: connection.clone(),
        buffer: driver.read_buffer.clone(),
    };
    let mut turn = Turn::default();
    while let Some(event) = events.next().await {
        match event {
            ConnectionEvent::Read(bytes) => frames.feed(&bytes),
            ConnectionEvent::Written => driver.handle_input(Input::MemberFlushed(id)),
            ConnectionEvent::Woken => {}
            ConnectionEvent::Closed => return CloseReason::Disconnected,
        }
        let delivered = deliver_frames(driver, id, &connection, &mut frames, &mut turn).await;
        let Ok(response_ended) = delivered else {
            return CloseReason::ProtocolError;
        };
        if !driver.members.contains(id) {
            break;
        }
        if !response_ended || frames.pending_bytes() > 0 {
            driver.handle_input(Input::MemberPartialFrame(id));
        }
        turn.finish_step().await;
    }
    CloseReason::Disconnected
}

/// Passes complete messages to the reducer until it closes the connection. Returns whether the last of them ended a response; true
/// if there was none.
async fn deliver_frames(
    driver: &Rc<Driver>,
    id: ConnectionId,
    connection: &Connection,
    frames: &mut FrameDecoder,
    turn: &mut Turn,
) -> Result<bool, FrameError> {
    let mut response_ended = true;
    while let Some(frame) = frames.next_frame() {
        // The response's last message may let the reducer write the next request to this connection at once. The bytes after
        // it must be counted before that, so that they are recognized as unexpected data.
        connection.set_pending_bytes(frames.pending_bytes());
        let frame = frame?;
        response_ended = frame.kind == server::READY_FOR_QUERY;
        driver.handle_input(Input::MemberFrame(id, frame));
        if !driver.members.contains(id) {
            break;
        }
        turn.finish_step().await;
    }
    connection.set_pending_bytes(frames.pending_bytes());
    Ok(response_ended)
}
