//! Registry of the requests that run at this instance, by the handle that each was started with, so
//! that clients can cancel them.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

type CancelStream = Box<dyn Fn() + Send + Sync>;

/// A request that can be cancelled.
#[derive(Default)]
struct RunningRequest {
    /// Wakes the task that waits for the response, before the response has begun.
    cancelled: Notify,
    /// Ends the response stream, once it has begun.
    cancel_stream: Mutex<Option<CancelStream>>,
}

/// Identifies a request. Several requests may share a handle; `number` distinguishes them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    handle: Vec<u8>,
    number: u64,
}

impl RequestKey {
    /// The range of the keys of all requests that were started with this handle.
    fn range_of(handle: &[u8]) -> RangeInclusive<Self> {
        let key = |number| RequestKey {
            handle: handle.to_vec(),
            number,
        };
        key(0)..=key(u64::MAX)
    }
}

/// The running requests. Their number is bounded by the frontend's limit on open requests.
#[derive(Default)]
pub(crate) struct RunningRequests {
    requests: Mutex<BTreeMap<RequestKey, Arc<RunningRequest>>>,
}

/// A registered request. Dropping the guard removes it from the registry.
pub(crate) struct RunningGuard {
    registry: Arc<RunningRequests>,
    key: RequestKey,
    request: Arc<RunningRequest>,
}

impl RunningRequests {
    /// Registers a request until the returned guard is dropped.
    pub(crate) fn register(self: &Arc<Self>, handle: &[u8]) -> RunningGuard {
        let request = Arc::<RunningRequest>::default();
        let mut requests = lock(&self.requests);
        let last = requests.range(RequestKey::range_of(handle)).next_back();
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

    /// Cancels all requests that were started with this handle. Returns whether there were any.
    pub(crate) fn cancel(&self, handle: &[u8]) -> bool {
        let requests = lock(&self.requests);
        let mut found = false;
        for request in requests.range(RequestKey::range_of(handle)).map(|(_, r)| r) {
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

    /// Sets the function that is called when the request is cancelled from now on. It is not called
    /// for an earlier cancellation.
    pub(crate) fn on_cancel(&self, cancel_stream: impl Fn() + Send + Sync + 'static) {
        *lock(&self.request.cancel_stream) = Some(Box::new(cancel_stream));
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.registry.requests).remove(&self.key);
    }
}
