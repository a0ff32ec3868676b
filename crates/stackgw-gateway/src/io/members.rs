//! Members' connections: one task for each, and the effects that concern them.

use super::connection::{Connection, ConnectionEvent, ConnectionEvents, ReadLimits, WriteProgress};
use super::driver::Driver;
use super::member_table::Member;
use crate::pg::message_kind::server;
use crate::pg::{FrameDecoder, FrameError};
use crate::reducer::{CloseReason, ConnectionId, Input};
use async_io::Async;
use futures_lite::StreamExt;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

impl Driver {
    /// Opens a connection; the reducer ends it where that takes too long.
    pub(super) fn open_member_connection(self: &Rc<Self>, id: ConnectionId, address: SocketAddr) {
        let task = self.executor.spawn(serve(self.clone(), id, address));
        let member = Member {
            connection: None,
            _task: task,
        };
        self.members.connections.borrow_mut().insert(id, member);
    }

    /// Writes to a member where its connection can still carry a request.
    pub(super) fn write_to_member(&self, id: ConnectionId, bytes: Vec<u8>) {
        let Some(connection) = self.members.connection(id) else {
            return;
        };
        match try_write(&connection, bytes) {
            Ok(WriteProgress::Complete) => self.queue_input(Input::MemberFlushed(id)),
            Ok(_) => {}
            Err(why) => {
                self.members.connections.borrow_mut().remove(&id);
                self.queue_input(Input::MemberClosed(id, why));
            }
        }
    }

    /// Closes a connection to a member, whichever protocol it speaks.
    pub(super) fn close_member_connection(&self, id: ConnectionId) {
        let member = self.members.connections.borrow_mut().remove(&id);
        drop(member);
        self.close_backend_connection(id);
    }
}

/// Writes to a connection that is fit for it; else says why the connection is over. Danger: a write into a connection that the
/// member has closed would count as sent, and what waits on one would be taken for the answer.
fn try_write(connection: &Connection, bytes: Vec<u8>) -> Result<WriteProgress, CloseReason> {
    if let Some(why) = connection.why_unusable() {
        return Err(why);
    }
    match connection.write(bytes) {
        WriteProgress::Broken => Err(CloseReason::Disconnected),
        progress => Ok(progress),
    }
}

/// Connects to a member and reads its connection until it is over.
async fn serve(driver: Rc<Driver>, id: ConnectionId, address: SocketAddr) {
    let why = match Async::<TcpStream>::connect(address).await {
        Ok(socket) => {
            let limits = ReadLimits {
                max_pending_bytes: driver.limits.answer_bytes,
                linger_bytes: 0,
            };
            let connection = Connection::new(socket, limits, &driver.members.budget);
            read_answers(&driver, id, connection).await
        }
        Err(_) => CloseReason::Disconnected,
    };
    let member = driver.members.connections.borrow_mut().remove(&id);
    if member.is_some() {
        driver.handle_input(Input::MemberClosed(id, why));
    }
}

/// Hands over what a member sends; gives why its connection is over.
async fn read_answers(
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
    while let Some(event) = events.next().await {
        match event {
            ConnectionEvent::Read(bytes) => frames.feed(&bytes),
            ConnectionEvent::Written => driver.handle_input(Input::MemberFlushed(id)),
            ConnectionEvent::Woken => {}
            ConnectionEvent::Closed => return CloseReason::Disconnected,
        }
        let Ok(answer_ended) = hand_over_frames(driver, id, &connection, &mut frames) else {
            return CloseReason::ProtocolError;
        };
        if !answer_ended || frames.pending_bytes() > 0 {
            driver.handle_input(Input::MemberPartialFrame(id));
        }
    }
    CloseReason::Disconnected
}

/// Hands over the messages that are complete; gives whether the last of them, if any, ended an answer.
fn hand_over_frames(
    driver: &Rc<Driver>,
    id: ConnectionId,
    connection: &Connection,
    frames: &mut FrameDecoder,
) -> Result<bool, FrameError> {
    let mut answer_ended = true;
    while let Some(frame) = frames.next_frame() {
        // Danger: the answer's last message may bring the next request onto this connection at once. What is left
        // here must be seen by then.
        connection.set_pending_bytes(frames.pending_bytes());
        let frame = frame?;
        answer_ended = frame.kind == server::READY_FOR_QUERY;
        driver.handle_input(Input::MemberFrame(id, frame));
    }
    connection.set_pending_bytes(frames.pending_bytes());
    Ok(answer_ended)
}
