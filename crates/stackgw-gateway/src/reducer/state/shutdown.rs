//! The progress of a graceful shutdown.

use stackgw_router::api::Time;

/// The phases of a graceful shutdown: requested, listener closed, clients drained, the remaining requests rejected, exit.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    requested: bool,
    listener_closed: bool,
    drain_start: Time,
    rejecting: bool,
    exited: bool,
}

impl Shutdown {
    /// Begins the shutdown. Returns false if it has begun already.
    pub(crate) fn request(&mut self) -> bool {
        !std::mem::replace(&mut self.requested, true)
    }

    /// Sets the time from which on idle clients are closed.
    pub(crate) fn set_drain_start(&mut self, at: Time) {
        self.drain_start = at;
    }

    /// Returns whether the time from which on a shutdown closes idle clients has passed.
    pub(crate) fn may_drain(&self, now: Time) -> bool {
        now >= self.drain_start
    }

    pub(crate) fn is_draining(&self, now: Time) -> bool {
        self.requested && self.may_drain(now)
    }

    pub(crate) fn close_listener(&mut self) {
        self.listener_closed = true;
    }

    pub(crate) fn listener_closed(&self) -> bool {
        self.listener_closed
    }

    /// Rejects every new request from now on.
    pub(crate) fn start_rejecting(&mut self) {
        self.rejecting = true;
    }

    pub(crate) fn is_rejecting(&self) -> bool {
        self.rejecting
    }

    /// Marks the exit. Returns false if it was marked already.
    pub(crate) fn exit(&mut self) -> bool {
        !std::mem::replace(&mut self.exited, true)
    }
}
