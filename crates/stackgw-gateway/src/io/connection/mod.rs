//! One TCP connection, shared by the task that reads it and the effects that write to it.
//!
//! Reads keep within a budget that all connections of one kind share; writes go out at once as far as the socket takes them,
//! and the connection's task writes the rest. What bytes mean is not known here.

mod events;
mod read_budget;

pub(super) use events::{ConnectionEvent, ConnectionEvents};
pub(super) use read_budget::ReadBudget;

use crate::reducer::CloseReason;
use async_io::Async;
use read_budget::ConnectionKey;
use rustix::event::{PollFd, PollFlags};
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::task::Waker;

/// One read's bytes when what comes last is dropped.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// How far a write got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// All is written.
    Complete,
    /// The rest follows when the socket takes it.
    Partial,
    /// The connection is broken.
    Broken,
}

/// What one connection may read.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadLimits {
    /// With more than this not handed over it is not read on.
    pub(super) max_pending_bytes: usize,
    /// After its last write so much is read and dropped at most.
    pub(super) linger_bytes: usize,
}

/// A TCP connection. Dropped, it is closed.
pub(super) struct Connection {
    socket: Async<TcpStream>,
    unwritten: RefCell<Vec<u8>>,
    /// Wakes the task that reads it.
    waker: RefCell<Option<Waker>>,
    is_woken: Cell<bool>,
    closes_when_written: Cell<bool>,
    /// Nothing more is sent; so much of what still came has been dropped.
    discarded: Cell<Option<usize>>,
    /// Bytes that its task has read and not handed over.
    pending_bytes: Cell<usize>,
    /// The first of them are a complete message that is not accepted yet, so that nothing more is needed of it.
    awaits_acceptance: Cell<bool>,
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
        // A small message waits for no other; where that cannot be set it is merely slower.
        let _ = socket.get_ref().set_nodelay(true);
        Rc::new(Connection {
            socket,
            unwritten: RefCell::default(),
            waker: RefCell::default(),
            is_woken: Cell::new(false),
            closes_when_written: Cell::new(false),
            discarded: Cell::new(None),
            pending_bytes: Cell::new(0),
            awaits_acceptance: Cell::new(false),
            limits,
            budget: budget.clone(),
        })
    }

    /// Notes how much the connection's task has read and not handed over.
    pub(super) fn set_pending_bytes(&self, bytes: usize) {
        let before = self.pending_bytes.replace(bytes);
        self.budget.update(self.key(), before, bytes);
    }

    /// Notes whether a complete message is not accepted yet.
    pub(super) fn set_awaiting_acceptance(&self, awaits_acceptance: bool) {
        self.awaits_acceptance.set(awaits_acceptance);
    }

    fn key(&self) -> ConnectionKey {
        ConnectionKey(std::ptr::from_ref(self).addr())
    }

    /// How many bytes may be read now; for 0 the waker is woken when it is more for the budget's sake.
    fn readable_bytes(&self, waker: &Waker) -> usize {
        let pending_bytes = self.pending_bytes.get();
        if pending_bytes > self.limits.max_pending_bytes {
            return 0;
        }
        let needs_more = !self.awaits_acceptance.get();
        self.budget
            .readable_bytes(self.key(), pending_bytes, needs_more, waker)
    }

    /// Wakes the connection's task for a look at what it has buffered.
    pub(super) fn wake(&self) {
        self.is_woken.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Writes what the socket takes now; the task writes the rest.
    pub(super) fn write(&self, bytes: Vec<u8>) -> WriteProgress {
        let mut unwritten = self.unwritten.borrow_mut();
        if !unwritten.is_empty() {
            unwritten.extend(bytes);
            return WriteProgress::Partial;
        }
        *unwritten = bytes;
        drop(unwritten);
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

    /// Ends the connection once what is left has been written.
    pub(super) fn close_when_written(&self) {
        self.closes_when_written.set(true);
    }

    /// Whether nothing more is taken from it.
    pub(super) fn is_closing(&self) -> bool {
        self.closes_when_written.get()
    }

    /// Why nothing may be written to a connection on which nothing is due: the other side has closed or broken it, or
    /// something has come, whether its task has read it yet or not.
    pub(super) fn why_unusable(&self) -> Option<CloseReason> {
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

    /// How much of one byte waits to be read. Danger: a look that was interrupted has seen nothing, and what waits would
    /// be lost with the connection.
    fn peek(&self) -> std::io::Result<usize> {
        loop {
            match self.socket.get_ref().peek(&mut [0]) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                peeked => return peeked,
            }
        }
    }

    /// What the kernel is to be asked about it: whether the other side has closed, behind whatever it has sent before.
    pub(super) fn hang_up_poll(&self) -> PollFd<'_> {
        PollFd::new(self.socket.get_ref(), PollFlags::RDHUP)
    }

    /// Ends the connection unless something has come that was not handed over. Danger: what comes between the look and
    /// the end is lost, so the end is not left to the moment when the connection's task is dropped.
    pub(super) fn close_if_quiet(&self) -> bool {
        let is_quiet = self.pending_bytes.get() == 0 && !matches!(self.peek(), Ok(1..));
        if is_quiet {
            let _ = self.socket.get_ref().shutdown(Shutdown::Both);
        }
        is_quiet
    }

    /// The process ends: nothing follows what has been written. What has come and was not read is dropped first, as a close
    /// over it would be a reset, which takes along what has not arrived on the other side.
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
