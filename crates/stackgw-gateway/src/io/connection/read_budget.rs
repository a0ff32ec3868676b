//! The limit on the bytes that all connections of one kind may read ahead together.

use crate::io::flag::Flag;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;

/// Identifies a connection among all of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionKey(pub(super) usize);

/// What a connection holds, and what it needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Holding {
    pub(super) connection: ConnectionKey,
    /// Bytes that it has read and not passed on.
    pub(super) pending_bytes: usize,
    /// Bytes that it takes of the budget: the pending ones, or the size of its message once that is reserved.
    pub(super) charged_bytes: usize,
    /// The pending bytes contain no complete message.
    pub(super) needs_more: bool,
    /// The size of its incomplete message, if that is known.
    pub(super) message_bytes: Option<usize>,
}

impl Holding {
    /// Returns how many bytes are to be reserved for the rest of its message; 0 if the size of that is not known.
    fn lacking_bytes(&self) -> usize {
        let message_bytes = self.message_bytes.unwrap_or_default();
        message_bytes.saturating_sub(self.charged_bytes)
    }
}

/// How much a connection may read now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadPermit {
    /// Any number of bytes.
    Unlimited,
    /// The rest of its message, whose memory has to be reserved.
    Message,
    /// This many bytes.
    Bytes(usize),
    /// Nothing; its task is woken once it may read.
    Wait,
}

/// A connection whose task waits for the budget.
struct WaitingReader {
    holding: Holding,
    waker: Waker,
}

/// The bytes that all connections of one kind may hold together before they are passed on.
///
/// Half of the budget is only for connections that hold no complete message yet. Of the other half, each connection may hold as
/// much as is still free of that half (a dynamic threshold). In addition each connection has a small reserve that does not
/// depend on the others. So connections that send without pause never take the space that another connection's message needs.
///
/// A message whose size is known, and is larger than the reserve, is read beyond that only once its whole size is reserved: parts
/// of many messages could otherwise fill the budget, and each would wait for the others. Where sizes are not known, and where not even
/// one message fits, one connection at a time may exceed its share, and the whole budget, until bytes of it have been passed on.
pub(in crate::io) struct ReadBudget {
    used_bytes: Cell<usize>,
    max_bytes: usize,
    /// Bytes that each connection may hold regardless of the others.
    reserved_bytes: usize,
    /// The one connection that may exceed its share.
    pub(super) exempt: Cell<Option<ConnectionKey>>,
    /// Waiting connections, in the order in which they began to wait.
    waiting: RefCell<Vec<WaitingReader>>,
    /// Set while a connection waits for the rest of a message.
    is_exhausted: Flag,
}

impl ReadBudget {
    pub(in crate::io) fn new(max_bytes: usize, reserved_bytes: usize) -> Rc<Self> {
        Rc::new(ReadBudget {
            used_bytes: Cell::new(0),
            max_bytes,
            reserved_bytes,
            exempt: Cell::new(None),
            waiting: RefCell::default(),
            is_exhausted: Flag::default(),
        })
    }

    /// Waits until a connection waits for the rest of a message.
    pub(in crate::io) async fn wait_until_exhausted(&self) {
        self.is_exhausted.set(self.has_waiting_message());
        self.is_exhausted.wait().await;
    }

    fn has_waiting_message(&self) -> bool {
        let waiting = self.waiting.borrow();
        waiting.iter().any(|reader| reader.holding.needs_more)
    }

    fn free_bytes(&self) -> usize {
        self.max_bytes.saturating_sub(self.used_bytes.get())
    }

    /// Records that a connection now takes `after` bytes instead of `before`.
    pub(super) fn update(&self, connection: ConnectionKey, before: usize, after: usize) {
        self.used_bytes.set(self.used_bytes.get() - before + after);
        if after >= before {
            return;
        }
        if self.exempt.get() == Some(connection) {
            self.exempt.set(None);
            self.wake_all();
        } else {
            self.wake_permitted();
        }
    }

    /// Removes a connection that reads no more from those that wait.
    pub(super) fn forget(&self, connection: ConnectionKey) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|reader| reader.holding.connection != connection);
    }

    fn wake_all(&self) {
        let waiting = self.waiting.take().into_iter();
        waiting.for_each(|reader| reader.waker.wake());
    }

    /// Returns the permit of a connection by what others leave free; `None` if that is not enough.
    fn shared_permit(&self, holding: &Holding, free_bytes: usize) -> Option<ReadPermit> {
        if !holding.needs_more {
            let shared_bytes = free_bytes.saturating_sub(self.max_bytes / 2);
            return (holding.pending_bytes < shared_bytes).then_some(ReadPermit::Unlimited);
        }
        let Some(message_bytes) = holding.message_bytes else {
            return (free_bytes > 0).then_some(ReadPermit::Unlimited);
        };
        if message_bytes <= self.reserved_bytes {
            // The last quarter is left to messages that are larger.
            return (free_bytes > self.max_bytes / 4).then_some(ReadPermit::Unlimited);
        }
        let reserved_bytes = self.reserved_bytes.saturating_sub(holding.pending_bytes);
        if reserved_bytes > 0 {
            // Whoever has not used up its reserve cannot be ended for what it holds, and so may not hold more.
            return Some(ReadPermit::Bytes(reserved_bytes));
        }
        (holding.lacking_bytes() <= free_bytes).then_some(ReadPermit::Message)
    }

    /// Wakes the waiting connections that may read now, as many as there is memory for.
    fn wake_permitted(&self) {
        let mut free_bytes = self.free_bytes();
        let may_read = |reader: &mut WaitingReader| {
            let holding = &reader.holding;
            let permit = self.shared_permit(holding, free_bytes);
            if permit == Some(ReadPermit::Message) {
                free_bytes -= holding.lacking_bytes();
            }
            permit.is_some()
        };
        let woken: Vec<_> = self.waiting.borrow_mut().extract_if(.., may_read).collect();
        woken.into_iter().for_each(|reader| reader.waker.wake());
    }

    /// Returns how much a connection may read now: what the others leave to it, otherwise what is left of its reserve. If that is
    /// nothing, its task is woken once it may read.
    pub(super) fn permit(&self, holding: Holding, waker: &Waker) -> ReadPermit {
        if let Some(permit) = self.shared_permit(&holding, self.free_bytes()) {
            return permit;
        }
        if holding.needs_more && self.claim_exemption(&holding) {
            return ReadPermit::Unlimited;
        }
        let reserved_bytes = self.reserved_bytes.saturating_sub(holding.pending_bytes);
        if reserved_bytes > 0 {
            return ReadPermit::Bytes(reserved_bytes);
        }
        let needs_more = holding.needs_more;
        self.add_waiting(WaitingReader {
            holding,
            waker: waker.clone(),
        });
        if needs_more {
            self.is_exhausted.set(true);
        }
        ReadPermit::Wait
    }

    /// Returns whether a connection may exceed its share; claims the exemption for it if no other connection has it.
    fn claim_exemption(&self, holding: &Holding) -> bool {
        if self.exempt.get().is_none() && holding.pending_bytes > 0 {
            self.exempt.set(Some(holding.connection));
        }
        self.exempt.get() == Some(holding.connection)
    }

    fn add_waiting(&self, reader: WaitingReader) {
        let connection = reader.holding.connection;
        let mut waiting = self.waiting.borrow_mut();
        match waiting
            .iter_mut()
            .find(|known| known.holding.connection == connection)
        {
            Some(known) => *known = reader,
            None => waiting.push(reader),
        }
    }
}
