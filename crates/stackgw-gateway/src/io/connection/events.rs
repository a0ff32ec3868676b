//! What happens on a connection, as a stream for its task.

use super::{Connection, WriteProgress};
use futures_lite::stream::Stream;
use std::cell::RefCell;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// What happened on a connection.
#[derive(Debug)]
pub(in crate::io) enum ConnectionEvent {
    /// Bytes came.
    Read(Vec<u8>),
    /// All that was left to write is written.
    Written,
    /// Someone asked for a look at what is buffered.
    Woken,
    /// The connection is over.
    Closed,
}

/// What happens on a connection, as a stream. Between two reads of one connection others have their turn, as its task gives
/// way after each event.
pub(in crate::io) struct ConnectionEvents {
    pub(in crate::io) connection: Rc<Connection>,
    /// One read's bytes, shared by all connections.
    pub(in crate::io) buffer: Rc<RefCell<Vec<u8>>>,
}

impl Stream for ConnectionEvents {
    type Item = ConnectionEvent;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<ConnectionEvent>> {
        let connection = &*self.connection;
        *connection.waker.borrow_mut() = Some(cx.waker().clone());
        if connection.is_woken.take() && !connection.has_unwritten() {
            return Poll::Ready(Some(ConnectionEvent::Woken));
        }
        if let Poll::Ready(event) = connection.poll_write(cx) {
            return Poll::Ready(Some(event));
        }
        if !connection.is_closing() {
            return connection
                .poll_read(&mut self.buffer.borrow_mut(), cx)
                .map(Some);
        }
        if connection.has_unwritten() {
            return Poll::Pending;
        }
        connection
            .poll_discard(&mut self.buffer.borrow_mut(), cx)
            .map(Some)
    }
}

impl Connection {
    /// Writes what is left; pending where nothing is left, or the socket takes no more.
    fn poll_write(&self, cx: &mut Context<'_>) -> Poll<ConnectionEvent> {
        while self.has_unwritten() {
            match self.write_unwritten() {
                WriteProgress::Complete => return Poll::Ready(ConnectionEvent::Written),
                WriteProgress::Broken => return Poll::Ready(ConnectionEvent::Closed),
                WriteProgress::Partial => {
                    if self.socket.poll_writable(cx).is_pending() {
                        break;
                    }
                }
            }
        }
        Poll::Pending
    }

    fn poll_read(&self, buffer: &mut [u8], cx: &mut Context<'_>) -> Poll<ConnectionEvent> {
        loop {
            let readable_bytes = self.readable_bytes(cx.waker()).min(buffer.len());
            if readable_bytes == 0 {
                break;
            }
            match self.socket.get_ref().read(&mut buffer[..readable_bytes]) {
                Ok(0) => return Poll::Ready(ConnectionEvent::Closed),
                Ok(count) => return Poll::Ready(ConnectionEvent::Read(buffer[..count].to_vec())),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.socket.poll_readable(cx).is_pending() {
                        break;
                    }
                }
                Err(_) => return Poll::Ready(ConnectionEvent::Closed),
            }
        }
        Poll::Pending
    }

    /// Reads and drops what still comes after the last write. Danger: a close over unread bytes is a reset, which may
    /// overtake what was written last.
    fn poll_discard(&self, buffer: &mut [u8], cx: &mut Context<'_>) -> Poll<ConnectionEvent> {
        let discarded = match self.discarded.get() {
            Some(discarded) => discarded,
            None if self.socket.get_ref().shutdown(Shutdown::Write).is_err() => {
                return Poll::Ready(ConnectionEvent::Closed);
            }
            None => 0,
        };
        self.discarded.set(Some(discarded));
        loop {
            match self.socket.get_ref().read(buffer) {
                Ok(count) if count > 0 && discarded + count < self.limits.linger_bytes => {
                    self.discarded.set(Some(discarded + count));
                    // One read at a time: who sends on has no claim on more.
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                Ok(_) => return Poll::Ready(ConnectionEvent::Closed),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.socket.poll_readable(cx).is_pending() {
                        return Poll::Pending;
                    }
                }
                Err(_) => return Poll::Ready(ConnectionEvent::Closed),
            }
        }
    }
}
