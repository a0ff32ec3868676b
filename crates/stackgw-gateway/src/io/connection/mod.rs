//! One TCP connection: what is to be written to it, and the stream of what happens on it.

use crate::reducer::CloseReason;
use async_io::Async;
use futures_lite::stream::Stream;
use rustix::event::{PollFd, PollFlags};
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// How far a write got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Written {
    All,
    /// The rest follows when the socket takes it.
    Part,
    /// The connection is broken.
    Broken,
}

/// What happened on a connection.
#[derive(Debug)]
pub(super) enum Turn {
    Bytes(Vec<u8>),
    /// All that was left to write is written.
    Written,
    /// Someone asked for a look at what is buffered.
    Woken,
    Closed,
}

/// Bytes that all connections of one kind may hold together before they have been handed over.
pub(super) struct Budget {
    used: Cell<usize>,
    most: usize,
    /// The one connection that reads on where there is no room.
    first: Cell<Option<usize>>,
    /// Tasks that wait for room.
    waiting: RefCell<Vec<Waker>>,
}

impl Budget {
    pub(super) fn new(most: usize) -> Rc<Self> {
        Rc::new(Budget {
            used: Cell::new(0),
            most,
            first: Cell::new(None),
            waiting: RefCell::default(),
        })
    }

    fn change(&self, of: usize, before: usize, after: usize) {
        self.used.set(self.used.get() - before + after);
        let done = after == 0 && self.first.get() == Some(of);
        if done {
            self.first.set(None);
        }
        if done || self.used.get() < self.most {
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }
}

/// A connection, shared by the task that reads it and the effects that write to it.
pub(super) struct Link {
    socket: Async<TcpStream>,
    left: RefCell<Vec<u8>>,
    waker: RefCell<Option<Waker>>,
    woken: Cell<bool>,
    close_when_written: Cell<bool>,
    /// Nothing more is sent; so much of what still comes has been dropped.
    dropped: Cell<Option<usize>>,
    linger_bytes: usize,
    /// Bytes that its task holds and has not handed over; with more than one message it is not read on.
    held: Cell<usize>,
    most: usize,
    budget: Rc<Budget>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.hold(0);
    }
}

impl Link {
    pub(super) fn new(
        socket: Async<TcpStream>,
        most: usize,
        linger_bytes: usize,
        budget: &Rc<Budget>,
    ) -> Rc<Self> {
        // A small message waits for no other; where that cannot be set it is merely slower.
        let _ = socket.get_ref().set_nodelay(true);
        Rc::new(Link {
            socket,
            left: RefCell::default(),
            waker: RefCell::default(),
            woken: Cell::new(false),
            close_when_written: Cell::new(false),
            dropped: Cell::new(None),
            linger_bytes,
            held: Cell::new(0),
            most,
            budget: budget.clone(),
        })
    }

    /// Notes what the connection's task holds.
    pub(super) fn hold(&self, bytes: usize) {
        self.budget
            .change(self.key(), self.held.replace(bytes), bytes);
    }

    /// Tells this connection from all others of its kind.
    fn key(&self) -> usize {
        std::ptr::from_ref(self).addr()
    }

    /// Whether more may be read; one that holds nothing always may, and so may the first that holds part of a message.
    /// Danger: parts of large messages would fill the room, and wait for it all together.
    fn may_read(&self, waker: &Waker) -> bool {
        let mut room = self.budget.used.get() < self.budget.most || self.held.get() == 0;
        if !room {
            let first = self.budget.first.get().unwrap_or(self.key());
            self.budget.first.set(Some(first));
            room = first == self.key();
        }
        if !room {
            let mut waiting = self.budget.waiting.borrow_mut();
            if !waiting.iter().any(|w| w.will_wake(waker)) {
                waiting.push(waker.clone());
            }
        }
        room && self.held.get() <= self.most
    }

    /// Wakes the connection's task for a look at what it holds.
    pub(super) fn wake(&self) {
        self.woken.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Writes what the socket takes now; the task writes the rest.
    pub(super) fn write(&self, bytes: Vec<u8>) -> Written {
        let mut left = self.left.borrow_mut();
        if !left.is_empty() {
            left.extend(bytes);
            return Written::Part;
        }
        *left = bytes;
        drop(left);
        let written = self.push();
        if written == Written::Part {
            self.wake();
        }
        written
    }

    /// The connection ends once what is left has been written.
    pub(super) fn close_when_written(&self) {
        self.close_when_written.set(true);
    }

    /// Nothing more is taken from it.
    pub(super) fn is_closing(&self) -> bool {
        self.close_when_written.get()
    }

    /// Reads and drops what still comes after the last word. Danger: a close over unread bytes is a reset, which may
    /// overtake that word.
    fn drain(&self, buffer: &mut [u8], cx: &mut Context<'_>) -> Poll<Option<Turn>> {
        let dropped = match self.dropped.get() {
            Some(dropped) => dropped,
            None if self.socket.get_ref().shutdown(Shutdown::Write).is_err() => {
                return Poll::Ready(Some(Turn::Closed));
            }
            None => 0,
        };
        self.dropped.set(Some(dropped));
        loop {
            match self.socket.get_ref().read(buffer) {
                Ok(n) if n > 0 && dropped + n < self.linger_bytes => {
                    self.dropped.set(Some(dropped + n));
                    // One read for each turn: who sends on has no claim on more.
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                Ok(_) => return Poll::Ready(Some(Turn::Closed)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if self.socket.poll_readable(cx).is_pending() {
                        return Poll::Pending;
                    }
                }
                Err(_) => return Poll::Ready(Some(Turn::Closed)),
            }
        }
    }

    /// Why nothing may be written to a connection on which nothing is due: the other side has closed or broken it, or
    /// something has come, whether its task has read it yet or not.
    pub(super) fn unusable(&self) -> Option<CloseReason> {
        match self.peek() {
            _ if self.held.get() > 0 => Some(CloseReason::UnexpectedData),
            Ok(0) => Some(CloseReason::Disconnected),
            Ok(_) => Some(CloseReason::UnexpectedData),
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(_) => Some(CloseReason::Disconnected),
        }
    }

    /// How much of one byte waits to be read. Danger: a look that was interrupted has seen nothing, and what waits would
    /// be lost with the connection.
    fn peek(&self) -> std::io::Result<usize> {
        loop {
            match self.socket.get_ref().peek(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                seen => return seen,
            }
        }
    }

    /// What the kernel is to be asked about it: whether the other side has closed, behind whatever it has sent before.
    pub(super) fn closes(&self) -> PollFd<'_> {
        PollFd::new(self.socket.get_ref(), PollFlags::RDHUP)
    }

    /// Ends the connection unless something has come that was not handed over. Danger: what comes between the look and
    /// the end is lost, so the end is not left to the moment when the connection's task is dropped.
    pub(super) fn end_if_quiet(&self) -> bool {
        let quiet = self.held.get() == 0 && !matches!(self.peek(), Ok(1..));
        if quiet {
            let _ = self.socket.get_ref().shutdown(Shutdown::Both);
        }
        quiet
    }

    /// The process ends: nothing follows what has been written. What has come and was not read is dropped first, as a close over
    /// it would be a reset, which takes along what has not arrived on the other side.
    pub(super) fn last_word(&self) {
        let mut dropped = [0; 4096];
        let mut left = self.linger_bytes;
        while left > 0 && matches!(self.socket.get_ref().read(&mut dropped), Ok(1..)) {
            left = left.saturating_sub(dropped.len());
        }
        let _ = self.socket.get_ref().shutdown(Shutdown::Write);
    }

    fn push(&self) -> Written {
        let mut left = self.left.borrow_mut();
        let mut done = 0;
        let written = loop {
            if done == left.len() {
                break Written::All;
            }
            match self.socket.get_ref().write(&left[done..]) {
                Ok(0) => break Written::Broken,
                Ok(n) => done += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break Written::Part,
                Err(_) => break Written::Broken,
            }
        };
        if written == Written::Part {
            left.drain(..done);
        } else {
            *left = Vec::new();
        }
        written
    }
}

/// What happens on a connection, as a stream.
pub(super) struct Turns {
    pub(super) link: Rc<Link>,
    pub(super) buffer: Rc<RefCell<Vec<u8>>>,
}

impl Stream for Turns {
    type Item = Turn;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Turn>> {
        let link = &*self.link;
        *link.waker.borrow_mut() = Some(cx.waker().clone());
        if link.woken.take() && link.left.borrow().is_empty() {
            return Poll::Ready(Some(Turn::Woken));
        }
        while !link.left.borrow().is_empty() {
            match link.push() {
                Written::All => return Poll::Ready(Some(Turn::Written)),
                Written::Broken => return Poll::Ready(Some(Turn::Closed)),
                Written::Part => {
                    if link.socket.poll_writable(cx).is_pending() {
                        break;
                    }
                }
            }
        }
        if link.close_when_written.get() {
            return match link.left.borrow().is_empty() {
                true => link.drain(&mut self.buffer.borrow_mut(), cx),
                false => Poll::Pending,
            };
        }
        while link.may_read(cx.waker()) {
            let mut buffer = self.buffer.borrow_mut();
            match link.socket.get_ref().read(&mut buffer) {
                Ok(0) => return Poll::Ready(Some(Turn::Closed)),
                Ok(n) => return Poll::Ready(Some(Turn::Bytes(buffer[..n].to_vec()))),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if link.socket.poll_readable(cx).is_pending() {
                        break;
                    }
                }
                Err(_) => return Poll::Ready(Some(Turn::Closed)),
            }
        }
        Poll::Pending
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/connection.rs"]
mod tests;
