//! The events of a connection, as a stream for its task.

use super::{Connection, WriteProgress};
use futures_lite::stream::Stream;
use std::cell::RefCell;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// An event of a connection.
#[derive(Debug)]
pub(in crate::io) enum ConnectionEvent {
    /// Bytes were received.
    Read(Vec<u8>),
    /// All queued bytes have been written.
    Written,
    /// The task was woken to check the bytes that it holds.
    Woken,
    /// The connection has ended or is broken, or is to be closed after its last write.
    Closed,
}

/// The events of a connection, as a stream. As long as the peer sends, the stream is always ready; its reader must let other tasks
/// run between events.
pub(in crate::io) struct ConnectionEvents {
    pub(in crate::io) connection: Rc<Connection>,
    /// Buffer for one read, shared by all connections.
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
    /// Writes queued bytes; pending if none are left, or the socket's send buffer is full.
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

    /// Closes the sending side after the last write, then reads and drops up to `linger_bytes`: closing a socket that holds
    /// unread bytes sends a reset, which may overtake the last bytes written.
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
                    // One read per poll: a peer that keeps sending must not delay other tasks.
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
