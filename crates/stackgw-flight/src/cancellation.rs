//! The requests that run at this instance, by the handle that they were started with, so that a
//! client can cancel them.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

type CancelStream = Box<dyn Fn() + Send + Sync>;

/// One request.
#[derive(Default)]
struct RunningRequest {
    /// Wakes whoever waits for the answer, before that has begun.
    cancelled: Notify,
    /// Ends the answer's stream, once that has begun.
    cancel_stream: Mutex<Option<CancelStream>>,
}

/// Identifies a request: requests may share a handle.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    handle: Vec<u8>,
    number: u64,
}

impl RequestKey {
    /// The keys of all requests that were started with this handle.
    fn all_of(handle: &[u8]) -> RangeInclusive<Self> {
        let key = |number| RequestKey {
            handle: handle.to_vec(),
            number,
        };
        key(0)..=key(u64::MAX)
    }
}

/// The requests that run now. The frontend's limit on requests bounds them.
#[derive(Default)]
pub(crate) struct RunningRequests {
    requests: Mutex<BTreeMap<RequestKey, Arc<RunningRequest>>>,
}

/// A registered request. Dropped, it is no longer running.
pub(crate) struct RunningGuard {
    registry: Arc<RunningRequests>,
    key: RequestKey,
    request: Arc<RunningRequest>,
}

impl RunningRequests {
    /// Registers a request that runs from now on.
    pub(crate) fn register(self: &Arc<Self>, handle: &[u8]) -> RunningGuard {
        let request = Arc::<RunningRequest>::default();
        let mut requests = lock(&self.requests);
        let last = requests.range(RequestKey::all_of(handle)).next_back();
        let key = RequestKey {
            handle: handle.to_vec(),
            number: last.map_or(0, |(key, _)| key.number + 1),
        };
        requests.insert(key.clone(), request.clone());
        RunningGuard {
            registry: self.clone(),
            key,
            request,
        }
    }

    /// Cancels all requests that were started with this handle. Returns whether there was any.
    pub(crate) fn cancel(&self, handle: &[u8]) -> bool {
        let requests = lock(&self.requests);
        let mut found = false;
        for request in requests.range(RequestKey::all_of(handle)).map(|(_, r)| r) {
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
    /// Waits until the request is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.request.cancelled.notified().await;
    }

    /// From now on, cancelling the request calls `cancel_stream`.
    pub(crate) fn on_cancel(&self, cancel_stream: impl Fn() + Send + Sync + 'static) {
        *lock(&self.request.cancel_stream) = Some(Box::new(cancel_stream));
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.registry.requests).remove(&self.key);
    }
}
