//! The watch of the endpoint list: its connection, its timeout and its backoff.

use super::backoff::{Backoff, InstanceSlot};
use crate::discovery::ListUpdate;
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::timers::{Timer, TimerKey};
use stackgw_router::api::Span;
use std::net::SocketAddr;

/// The watch, and the fetch of the complete list beside it.
///
/// Invariant: the timeout is set exactly while a watch is open.
pub(crate) struct EndpointWatch {
    /// The agent that serves the list.
    discovery: SocketAddr,
    /// The router wants a watch.
    subscribed: bool,
    /// The router's own watch is open; one that the bootstrap opens is not counted here.
    is_open: bool,
    timeout: Option<TimerKey>,
    backoff: Backoff,
    /// The complete list was asked for and has not come.
    fetching: bool,
    /// The revision of the last list.
    revision: Option<u64>,
    /// The list that the platform's configuration carries, until it is used.
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

    /// Opens the router's watch of what changes after the last revision.
    pub(crate) fn open(&mut self, cx: &mut Context<'_>) {
        self.is_open = true;
        self.open_after(cx, self.revision);
    }

    /// Opens a watch of what changes after a revision, or of everything.
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

    /// The watch made progress: it has this long until its next line. Without an open watch nothing changes.
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

    /// The router's watch has ended: opens another after a backoff. False if none was open.
    pub(crate) fn retry_later(&mut self, cx: &mut Context<'_>) -> bool {
        if !std::mem::replace(&mut self.is_open, false) {
            return false;
        }
        let (min, max) = (cx.limits.watch_min_backoff, cx.limits.watch_max_backoff);
        let pause = self.backoff.next_pause(cx.now, min, max);
        cx.set_timer_after(pause, Timer::WatchReconnect);
        true
    }

    /// A list came: the next backoff starts from the shortest again.
    pub(crate) fn reset_backoff(&mut self) {
        self.backoff.reset();
    }

    /// Takes over a list's revision. False for a change that a newer revision has overtaken.
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

    pub(crate) fn fetch_failed(&mut self) {
        self.fetching = false;
    }

    /// Changes the agent's address; false if it is the same.
    pub(crate) fn move_to(&mut self, discovery: SocketAddr) -> bool {
        std::mem::replace(&mut self.discovery, discovery) != discovery
    }

    /// Starts again at another agent.
    ///
    /// Danger: another agent counts its revisions anew. Compared with the old one's, its lists would pass for stale.
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
