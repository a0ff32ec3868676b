//! The limit on the bytes that all connections of one kind may read ahead together.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;

/// Identifies a connection among all of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionKey(pub(super) usize);

/// A connection whose task waits for the budget.
struct WaitingReader {
    connection: ConnectionKey,
    pending_bytes: usize,
    needs_more: bool,
    waker: Waker,
}

/// The bytes that all connections of one kind may hold together before they are passed on.
///
/// Half of the budget is only for connections that hold no complete message yet. Of the other half, each connection may hold as
/// much as is still free of that half (a dynamic threshold). In addition each connection has a small reserve that does not
/// depend on the others. So connections that send without pause never take the space that another connection's message needs.
///
/// Incomplete large messages could fill the budget, and then each would wait for the others. To prevent this deadlock, one
/// connection at a time may exceed its share, and the whole budget, until bytes of it have been passed on.
pub(in crate::io) struct ReadBudget {
    used_bytes: Cell<usize>,
    max_bytes: usize,
    /// Bytes that each connection may hold regardless of the others.
    reserved_bytes: usize,
    /// The one connection that may exceed its share.
    exempt: Cell<Option<ConnectionKey>>,
    /// Waiting connections, in the order in which they began to wait.
    waiting: RefCell<Vec<WaitingReader>>,
}

impl ReadBudget {
    pub(in crate::io) fn new(max_bytes: usize, reserved_bytes: usize) -> Rc<Self> {
        Rc::new(ReadBudget {
            used_bytes: Cell::new(0),
            max_bytes,
            reserved_bytes,
            exempt: Cell::new(None),
            waiting: RefCell::default(),
        })
    }

    fn free_bytes(&self) -> usize {
        self.max_bytes.saturating_sub(self.used_bytes.get())
    }

    /// Records that a connection now holds `after` bytes instead of `before`.
    pub(super) fn update(&self, connection: ConnectionKey, before: usize, after: usize) {
        self.used_bytes.set(self.used_bytes.get() - before + after);
        if after >= before {
            return;
        }
        if self.exempt.get() == Some(connection) {
            self.exempt.set(None);
            self.wake_all();
        } else {
            self.wake_within_share();
        }
    }

    /// Removes a connection that has ended from those that wait.
    pub(super) fn forget(&self, connection: ConnectionKey) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|reader| reader.connection != connection);
    }

    fn wake_all(&self) {
        let waiting = self.waiting.take().into_iter();
        waiting.for_each(|reader| reader.waker.wake());
    }

    /// Returns whether a connection that holds `pending_bytes` is within its share.
    fn is_within_share(&self, pending_bytes: usize, needs_more: bool) -> bool {
        let free_bytes = self.free_bytes();
        let shared_bytes = free_bytes.saturating_sub(self.max_bytes / 2);
        (needs_more && free_bytes > 0) || pending_bytes < shared_bytes
    }

    /// Wakes the waiting connections that are within their share now.
    fn wake_within_share(&self) {
        let may_read = |reader: &mut WaitingReader| {
            self.is_within_share(reader.pending_bytes, reader.needs_more)
        };
        let woken: Vec<_> = self.waiting.borrow_mut().extract_if(.., may_read).collect();
        woken.into_iter().for_each(|reader| reader.waker.wake());
    }

    /// Returns how many bytes a connection that holds `pending_bytes` may read now: any number while it is within its share,
    /// otherwise what is left of its reserve. If this is 0, its task is woken once it may read. `needs_more` says that the
    /// connection holds no complete message.
    pub(super) fn readable_bytes(
        &self,
        connection: ConnectionKey,
        pending_bytes: usize,
        needs_more: bool,
        waker: &Waker,
    ) -> usize {
        if self.is_within_share(pending_bytes, needs_more) {
            return usize::MAX;
        }
        if needs_more && self.claim_exemption(connection, pending_bytes) {
            return usize::MAX;
        }
        let reserved_bytes = self.reserved_bytes.saturating_sub(pending_bytes);
        if reserved_bytes == 0 {
            self.add_waiting(WaitingReader {
                connection,
                pending_bytes,
                needs_more,
                waker: waker.clone(),
            });
        }
        reserved_bytes
    }

    /// Returns whether a connection may exceed its share; claims the exemption for it if no other connection has it.
    fn claim_exemption(&self, connection: ConnectionKey, pending_bytes: usize) -> bool {
        if self.exempt.get().is_none() && pending_bytes > 0 {
            self.exempt.set(Some(connection));
        }
        self.exempt.get() == Some(connection)
    }

    fn add_waiting(&self, reader: WaitingReader) {
        let mut waiting = self.waiting.borrow_mut();
        match waiting
            .iter_mut()
            .find(|known| known.connection == reader.connection)
        {
            Some(known) => *known = reader,
            None => waiting.push(reader),
        }
    }
}
