//! The progress of a graceful shutdown.

use stackgw_router::api::Time;

/// The phases of a graceful shutdown: requested, listener closed, clients drained, the remaining requests rejected, exit.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    requested: bool,
    listener_closed: bool,
    /// When the closing of idle clients starts.
    drain_start: Time,
    /// New requests are rejected.
    rejecting: bool,
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

    pub(crate) fn mark_listener_closed(&mut self) {
        self.listener_closed = true;
    }

    pub(crate) fn listener_closed(&self) -> bool {
        self.listener_closed
    }

    /// Records that new requests are to be rejected; [`is_rejecting`](Self::is_rejecting) returns true from then on.
    pub(crate) fn mark_rejecting(&mut self) {
        self.rejecting = true;
    }

    pub(crate) fn is_rejecting(&self) -> bool {
        self.rejecting
    }

    /// Records that the program exits. Returns false if that was recorded before.
    pub(crate) fn mark_exited(&mut self) -> bool {
        !std::mem::replace(&mut self.exited, true)
    }
}
