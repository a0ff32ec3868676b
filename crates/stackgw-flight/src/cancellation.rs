//! What runs at this instance, by the ticket that it was asked with, so that a client can have it stopped by that.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

type CancelStream = Box<dyn Fn() + Send + Sync>;

/// One request that runs.
#[derive(Default)]
struct RunningRequest {
    /// Its answer has not begun: whoever waits for it stops.
    cancelled: Notify,
    /// Its stream has begun: this ends it.
    cancel_stream: Mutex<Option<CancelStream>>,
}

/// A ticket, and what tells requests by the same one apart.
type RequestKey = (Vec<u8>, u64);

/// All of them. As many as there are requests, which have a bound.
#[derive(Default)]
pub(crate) struct RunningRequests(Mutex<BTreeMap<RequestKey, Arc<RunningRequest>>>);

/// A request's place here, for as long as it is kept.
pub(crate) struct RunningGuard {
    all: Arc<RunningRequests>,
    key: RequestKey,
    request: Arc<RunningRequest>,
}

impl RunningRequests {
    /// A request that runs from now on.
    pub(crate) fn register(self: &Arc<Self>, ticket: &[u8]) -> RunningGuard {
        let (mut all, request) = (lock(&self.0), Arc::<RunningRequest>::default());
        let last = all
            .range((ticket.to_vec(), 0)..=(ticket.to_vec(), u64::MAX))
            .next_back();
        let key = (ticket.to_vec(), last.map_or(0, |((_, n), _)| n + 1));
        all.insert(key.clone(), request.clone());
        RunningGuard {
            all: self.clone(),
            key,
            request,
        }
    }

    /// Stops all that runs by this ticket; whether there was any.
    pub(crate) fn cancel(&self, ticket: &[u8]) -> bool {
        let all = lock(&self.0);
        let mut found = false;
        for (_, request) in all.range((ticket.to_vec(), 0)..=(ticket.to_vec(), u64::MAX)) {
            found = true;
            request.cancelled.notify_one();
            if let Some(cancel_stream) = lock(&request.cancel_stream).as_ref() {
                cancel_stream();
            }
        }
        found
    }
}

impl RunningGuard {
    /// Waits until it is stopped.
    pub(crate) async fn cancelled(&self) {
        self.request.cancelled.notified().await;
    }

    /// From now on this ends it.
    pub(crate) fn on_cancel(&self, stop: impl Fn() + Send + Sync + 'static) {
        *lock(&self.request.cancel_stream) = Some(Box::new(stop));
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.all.0).remove(&self.key);
    }
}
