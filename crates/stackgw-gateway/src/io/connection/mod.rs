//! One TCP connection, shared by the task that reads from it and the effects that write to it.
//!
//! Reads keep within a budget that all connections of one kind share. Writes go to the socket at once as far as it accepts
//! them, and the connection's task writes the rest. This module does not interpret the bytes.

mod events;
mod read_budget;

pub(super) use events::{ConnectionEvent, ConnectionEvents};
pub(super) use read_budget::ReadBudget;

use crate::reducer::CloseReason;
use async_io::Async;
use read_budget::{ConnectionKey, Holding, ReadPermit};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::task::Waker;

/// Size of one read of the bytes that are dropped before the process exits.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// Timeout of a poll that does not wait.
pub(super) const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// The progress of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// All bytes are written.
    Complete,
    /// The rest is written when the socket is writable.
    Partial,
    /// The connection is broken.
    Broken,
}

/// Limits on the reads of one connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadLimits {
    /// Reads pause while the connection's task holds more bytes than this.
    pub(super) max_pending_bytes: usize,
    /// Maximum number of bytes that are read and dropped after the last write.
    pub(super) linger_bytes: usize,
}

/// A TCP connection. Dropping it closes the connection.
pub(super) struct Connection {
    socket: Async<TcpStream>,
    unwritten: RefCell<Vec<u8>>,
    /// Wakes the connection's task.
    waker: RefCell<Option<Waker>>,
    is_woken: Cell<bool>,
    closes_when_written: Cell<bool>,
    drops_input: Cell<bool>,
    /// Set once the sending side is closed: the number of bytes received and dropped since then.
    discarded: Cell<Option<usize>>,
    /// Bytes that the connection's task has read and not passed on yet.
    pending_bytes: Cell<usize>,
    /// The pending bytes begin with a complete message that is not accepted yet, so that no further bytes are needed for it.
    awaits_acceptance: Cell<bool>,
    /// Bytes that the pending bytes lack to a complete message, as far as that is known.
    missing_bytes: Cell<Option<usize>>,
    /// Size of the incomplete message whose memory is reserved; 0 without a reservation.
    reserved_message_bytes: Cell<usize>,
    limits: ReadLimits,
    budget: Rc<ReadBudget>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.set_pending_bytes(0);
        self.budget.forget(self.key());
    }
}

impl Connection {
    pub(super) fn new(
        socket: Async<TcpStream>,
        limits: ReadLimits,
        budget: &Rc<ReadBudget>,
    ) -> Rc<Self> {
        // Sends small messages without delay. An error is ignored: the connection only gets slower.
        let _ = socket.get_ref().set_nodelay(true);
        Rc::new(Connection {
            socket,
            unwritten: RefCell::default(),
            waker: RefCell::default(),
            is_woken: Cell::new(false),
            closes_when_written: Cell::new(false),
            drops_input: Cell::new(false),
            discarded: Cell::new(None),
            pending_bytes: Cell::new(0),
            awaits_acceptance: Cell::new(false),
            missing_bytes: Cell::new(None),
            reserved_message_bytes: Cell::new(0),
            limits,
            budget: budget.clone(),
        })
    }

    /// Sets the number of bytes that the connection's task has read and not passed on yet.
    pub(super) fn set_pending_bytes(&self, bytes: usize) {
        let before = self.charged_bytes();
        if self.pending_bytes.replace(bytes) > bytes {
            self.reserved_message_bytes.set(0);
        }
        self.budget.update(self.key(), before, self.charged_bytes());
    }

    /// Returns how many bytes it takes of the budget.
    fn charged_bytes(&self) -> usize {
        let reserved_bytes = self.reserved_message_bytes.get();
        self.pending_bytes.get().max(reserved_bytes)
    }

    /// Reserves the memory of its incomplete message.
    fn reserve_message(&self, bytes: usize) {
        let before = self.charged_bytes();
        self.reserved_message_bytes.set(bytes);
        self.budget.update(self.key(), before, self.charged_bytes());
    }

    /// Sets whether a complete message waits to be accepted.
    pub(super) fn set_awaiting_acceptance(&self, awaits_acceptance: bool) {
        self.awaits_acceptance.set(awaits_acceptance);
    }

    /// Sets how many bytes the pending bytes lack to a complete message.
    pub(super) fn set_missing_bytes(&self, bytes: usize) {
        self.missing_bytes.set(Some(bytes));
    }

    /// Returns whether the peer must send more before its message can be complete. If it has sent the rest, or as much as the
    /// buffer takes, the gateway is behind with reading instead.
    pub(super) fn awaits_peer(&self, buffer: &mut [u8]) -> bool {
        let missing_bytes = self.missing_bytes.get().unwrap_or_default();
        let needed_bytes = missing_bytes.min(buffer.len());
        match self.peek_into(&mut buffer[..needed_bytes]) {
            // Its end is about to be read.
            Ok(0) => false,
            Ok(unread_bytes) => unread_bytes < needed_bytes,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    fn key(&self) -> ConnectionKey {
        ConnectionKey(std::ptr::from_ref(self).addr())
    }

    /// Returns how many bytes may be read now. If the budget allows none, the waker is woken once it allows more. If the
    /// connection's own limit allows none, no waker is needed, as only its task reduces the pending bytes.
    fn readable_bytes(&self, waker: &Waker) -> usize {
        let pending_bytes = self.pending_bytes.get();
        if pending_bytes > self.limits.max_pending_bytes || self.drops_input() {
            return 0;
        }
        let message_bytes = self
            .missing_bytes
            .get()
            .map(|missing| pending_bytes + missing);
        let holding = Holding {
            connection: self.key(),
            pending_bytes,
            charged_bytes: self.charged_bytes(),
            needs_more: !self.awaits_acceptance.get(),
            message_bytes,
        };
        match self.budget.permit(holding, waker) {
            ReadPermit::Unlimited => usize::MAX,
            ReadPermit::Message => {
                self.reserve_message(message_bytes.unwrap_or_default());
                usize::MAX
            }
            ReadPermit::Bytes(bytes) => bytes,
            ReadPermit::Wait => 0,
        }
    }

    /// Wakes the connection's task to check the bytes that it holds.
    pub(super) fn wake(&self) {
        self.is_woken.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Writes as much as the socket accepts now; the task writes the rest.
    pub(super) fn write(&self, bytes: Vec<u8>) -> WriteProgress {
        match self.queue_write(bytes) {
            true => self.write_queued(),
            false => WriteProgress::Partial,
        }
    }

    /// Queues bytes behind those that are not written yet. Returns whether there were none: then the caller calls
    /// [`write_queued`](Self::write_queued).
    pub(super) fn queue_write(&self, bytes: Vec<u8>) -> bool {
        let mut unwritten = self.unwritten.borrow_mut();
        let is_first = unwritten.is_empty();
        if is_first {
            *unwritten = bytes;
        } else {
            unwritten.extend(bytes);
        }
        is_first
    }

    /// Writes as much of the queued bytes as the socket accepts now; the task writes the rest.
    pub(super) fn write_queued(&self) -> WriteProgress {
        let progress = self.write_unwritten();
        if progress == WriteProgress::Partial {
            self.wake();
        }
        progress
    }

    fn has_unwritten(&self) -> bool {
        !self.unwritten.borrow().is_empty()
    }

    fn write_unwritten(&self) -> WriteProgress {
        let mut unwritten = self.unwritten.borrow_mut();
        let mut written = 0;
        let progress = loop {
            if written == unwritten.len() {
                break WriteProgress::Complete;
            }
            match self.socket.get_ref().write(&unwritten[written..]) {
                Ok(0) => break WriteProgress::Broken,
                Ok(count) => written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    break WriteProgress::Partial
                }
                Err(_) => break WriteProgress::Broken,
            }
        };
        if progress == WriteProgress::Partial {
            unwritten.drain(..written);
        } else {
            *unwritten = Vec::new();
        }
        progress
    }

    /// Marks the connection for closing: once all queued bytes have been written, its sending side is closed and its input is
    /// dropped.
    pub(super) fn mark_closing(&self) {
        self.closes_when_written.set(true);
        self.budget.forget(self.key());
    }

    /// Returns whether the connection is to be closed and its input dropped.
    pub(super) fn is_closing(&self) -> bool {
        self.closes_when_written.get()
    }

    /// Stops reading from the connection, and wakes its task to drop what it holds.
    pub(super) fn drop_input(&self) {
        self.drops_input.set(true);
        self.budget.forget(self.key());
        self.wake();
    }

    /// Returns whether received bytes are dropped and none are read any more.
    pub(super) fn drops_input(&self) -> bool {
        self.drops_input.get()
    }

    /// Returns why a connection without an open request must not be written to: the peer has closed or broken it, or data has
    /// arrived, whether the task has read it yet or not.
    pub(super) fn unusable_reason(&self) -> Option<CloseReason> {
        let peeked = self.peek();
        if self.pending_bytes.get() > 0 {
            return Some(CloseReason::UnexpectedData);
        }
        match peeked {
            Ok(0) => Some(CloseReason::Disconnected),
            Ok(_) => Some(CloseReason::UnexpectedData),
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(_) => Some(CloseReason::Disconnected),
        }
    }

    /// Peeks at one unread byte.
    fn peek(&self) -> std::io::Result<usize> {
        self.peek_into(&mut [0])
    }

    /// Peeks at unread bytes. An interrupted call is repeated: if it were taken for a socket without unread bytes, such bytes
    /// would be lost when the connection is closed.
    fn peek_into(&self, buffer: &mut [u8]) -> std::io::Result<usize> {
        loop {
            match self.socket.get_ref().peek(buffer) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                peeked => return peeked,
            }
        }
    }

    /// Returns the descriptor for a poll of whether the peer has closed the connection, even if bytes before that are unread.
    pub(super) fn disconnect_poll_fd(&self) -> PollFd<'_> {
        PollFd::new(self.socket.get_ref(), PollFlags::RDHUP)
    }

    /// Returns whether the peer has closed or broken the connection, even if bytes before that are unread.
    pub(super) fn has_peer_closed(&self) -> bool {
        let mut polls = [self.disconnect_poll_fd()];
        let polled = poll(&mut polls, Some(&NO_WAIT));
        polled.is_ok() && !polls[0].revents().is_empty()
    }

    /// Closes the connection unless bytes have arrived that were not passed on; returns whether it was closed. Bytes that
    /// arrive between the check and the close are lost, so the connection is shut down here and not later when its task is
    /// dropped.
    pub(super) fn close_if_idle(&self) -> bool {
        let is_idle = self.pending_bytes.get() == 0 && !matches!(self.peek(), Ok(1..));
        if is_idle {
            let _ = self.socket.get_ref().shutdown(Shutdown::Both);
        }
        is_idle
    }

    /// Ends the output before the process exits. Unread bytes are dropped first: closing a socket that holds them sends a
    /// reset, which discards bytes that the peer has not received yet.
    pub(super) fn finish_writing(&self) {
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        let mut bytes_left = self.limits.linger_bytes;
        while bytes_left > 0 && matches!(self.socket.get_ref().read(&mut discarded), Ok(1..)) {
            bytes_left = bytes_left.saturating_sub(discarded.len());
        }
        let _ = self.socket.get_ref().shutdown(Shutdown::Write);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/connection.rs"]
mod tests;
