//! The watch of the endpoint list: its connection, its timeout and its backoff.

use super::backoff::{Backoff, InstanceSlot};
use crate::discovery::ListUpdate;
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::timers::{Timer, TimerKey};
use stackgw_router::api::Span;
use std::net::SocketAddr;

/// The watch of the endpoint list, and the fetch of the complete list.
///
/// Invariant: the timeout is set exactly while a watch is open.
pub(crate) struct EndpointWatch {
    /// Address of the agent that serves the list.
    discovery: SocketAddr,
    /// The router wants a watch.
    subscribed: bool,
    /// The router's own watch is open; one that the bootstrap opens is not counted here.
    is_open: bool,
    timeout: Option<TimerKey>,
    backoff: Backoff,
    /// A fetch of the complete list is pending.
    fetching: bool,
    /// The revision of the last accepted list.
    revision: Option<u64>,
    /// The list in the platform's configuration, until it is used.
    initial: Option<ListUpdate>,
}

impl EndpointWatch {
    pub(crate) fn new(
        discovery: SocketAddr,
        subscribed: bool,
        initial: Option<ListUpdate>,
        instance: InstanceSlot,
    ) -> Self {
        EndpointWatch {
            discovery,
            subscribed,
            is_open: false,
            timeout: None,
            backoff: Backoff::new(instance),
            fetching: false,
            revision: None,
            initial,
        }
    }

    pub(crate) fn take_initial(&mut self) -> Option<ListUpdate> {
        self.initial.take()
    }

    pub(crate) fn revision(&self) -> Option<u64> {
        self.revision
    }

    pub(crate) fn set_revision(&mut self, revision: u64) {
        self.revision = Some(revision);
    }

    pub(crate) fn is_open(&self) -> bool {
        self.is_open
    }

    pub(crate) fn is_subscribed(&self) -> bool {
        self.subscribed
    }

    pub(crate) fn set_subscribed(&mut self, subscribed: bool) {
        self.subscribed = subscribed;
    }

    /// Opens the router's watch for changes after the last revision.
    pub(crate) fn open(&mut self, cx: &mut Context<'_>) {
        self.is_open = true;
        self.open_after(cx, self.revision);
    }

    /// Opens a watch for changes after a revision, or for the complete list.
    pub(crate) fn open_after(&mut self, cx: &mut Context<'_>, revision: Option<u64>) {
        cx.counters.watches += 1;
        cx.emit(Effect::OpenWatch(self.discovery, revision));
        let limit = cx.limits.watch_connect_timeout;
        self.set_timeout(cx, limit);
    }

    pub(crate) fn close(&mut self, cx: &mut Context<'_>) {
        self.is_open = false;
        self.clear_timeout(cx);
        cx.emit(Effect::CloseWatch);
    }

    /// Restarts the timeout until the watch's next line after it has made progress; does nothing without an open watch.
    pub(crate) fn extend_timeout(&mut self, cx: &mut Context<'_>, span: Span) {
        if self.timeout.is_some() {
            self.set_timeout(cx, span);
        }
    }

    pub(crate) fn clear_timeout(&mut self, cx: &mut Context<'_>) {
        cx.timers.cancel(self.timeout.take());
    }

    fn set_timeout(&mut self, cx: &mut Context<'_>, span: Span) {
        self.clear_timeout(cx);
        self.timeout = Some(cx.set_timer_after(span, Timer::WatchTimeout));
    }

    /// Handles the end of the router's watch: another is opened after a backoff. Returns false if none was open.
    pub(crate) fn retry_later(&mut self, cx: &mut Context<'_>) -> bool {
        if !std::mem::replace(&mut self.is_open, false) {
            return false;
        }
        let (min, max) = (cx.limits.watch_min_backoff, cx.limits.watch_max_backoff);
        let pause = self.backoff.next_pause(cx.now, min, max);
        cx.set_timer_after(pause, Timer::WatchReconnect);
        true
    }

    /// Restarts the backoff from the shortest pause, after a list was received.
    pub(crate) fn reset_backoff(&mut self) {
        self.backoff.reset();
    }

    /// Sets the revision to that of a list; a complete list also ends a pending fetch. Returns false, and changes nothing, for
    /// a list of changes that is older than the current revision.
    pub(crate) fn accept(&mut self, list: &ListUpdate) -> bool {
        let is_stale = |known| list.revision < known;
        if !list.complete && self.revision.is_some_and(is_stale) {
            return false;
        }
        self.fetching &= !list.complete;
        self.revision = Some(list.revision);
        true
    }

    pub(crate) fn fetch(&mut self, cx: &mut Context<'_>) {
        self.fetching = true;
        cx.emit(Effect::FetchEndpoints(self.discovery));
    }

    pub(crate) fn mark_fetch_failed(&mut self) {
        self.fetching = false;
    }

    /// Sets the agent's address. Returns whether it has changed.
    pub(crate) fn move_to(&mut self, discovery: SocketAddr) -> bool {
        std::mem::replace(&mut self.discovery, discovery) != discovery
    }

    /// Restarts the watch, if the router wants one, and a pending fetch at another agent.
    ///
    /// Another agent has its own revision numbers. If the old agent's revision were kept, the new one's lists could be taken
    /// for stale.
    pub(crate) fn restart(&mut self, cx: &mut Context<'_>) {
        self.revision = None;
        self.backoff.reset();
        self.close(cx);
        if self.subscribed {
            self.open(cx);
        }
        if self.fetching {
            cx.emit(Effect::FetchEndpoints(self.discovery));
        }
    }
}
