//! The progress of a graceful shutdown.

use stackgw_router::api::{RequestId, Time};
use std::collections::VecDeque;

/// The phases of a graceful shutdown: requested, listener closed, clients drained, the remaining requests rejected, exit.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    requested: bool,
    listener_closed: bool,
    /// When the closing of idle clients starts.
    drain_start: Time,
    /// Requests accepted since the drain start, and those open then, that may not have been sent to any member.
    undispatched: VecDeque<RequestId>,
    /// The encoded response to each new request; `None` while requests are accepted.
    rejection: Option<Vec<u8>>,
    exited: bool,
}

impl Shutdown {
    /// Records that a shutdown was requested. Returns false if one was requested before.
    pub(crate) fn request(&mut self) -> bool {
        !std::mem::replace(&mut self.requested, true)
    }

    /// Sets the time at which the shutdown starts to close idle clients.
    pub(crate) fn set_drain_start(&mut self, at: Time) {
        self.drain_start = at;
    }

    /// Returns whether the start time of closing idle clients has been reached; also true if none was set.
    pub(crate) fn is_drain_due(&self, now: Time) -> bool {
        now >= self.drain_start
    }

    /// Returns whether a shutdown was requested and idle clients are being closed.
    pub(crate) fn is_draining(&self, now: Time) -> bool {
        self.requested && self.is_drain_due(now)
    }

    /// Records an accepted request, which must not be queued after the drain start.
    pub(crate) fn record_request(&mut self, now: Time, request: RequestId) {
        if self.is_draining(now) {
            self.undispatched.push_back(request);
        }
    }

    /// Adds a request that may be queued.
    pub(crate) fn add_undispatched(&mut self, request: RequestId) {
        self.undispatched.push_back(request);
    }

    /// Takes the next request that may be queued.
    pub(crate) fn next_undispatched(&mut self) -> Option<RequestId> {
        self.undispatched.pop_front()
    }

    pub(crate) fn mark_listener_closed(&mut self) {
        self.listener_closed = true;
    }

    pub(crate) fn listener_closed(&self) -> bool {
        self.listener_closed
    }

    /// Records that new requests are to be rejected with this response; [`is_rejecting`](Self::is_rejecting) returns true from
    /// then on.
    pub(crate) fn start_rejecting(&mut self, rejection: Vec<u8>) {
        self.rejection = Some(rejection);
    }

    pub(crate) fn is_rejecting(&self) -> bool {
        self.rejection.is_some()
    }

    /// Returns the encoded response to each new request, once all are rejected.
    pub(crate) fn rejection(&self) -> Option<&[u8]> {
        self.rejection.as_deref()
    }

    /// Records that the program exits. Returns false if that was recorded before.
    pub(crate) fn mark_exited(&mut self) -> bool {
        !std::mem::replace(&mut self.exited, true)
    }
}
