//! What runs at this instance, by the ticket that it was asked with, so that a client can have it stopped by that.

use crate::pass::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

type Stop = Box<dyn Fn() + Send + Sync>;

/// One request that runs.
#[derive(Default)]
struct One {
    /// Its answer has not begun: whoever waits for it stops.
    stopped: Notify,
    /// Its stream has begun: this ends it.
    ends: Mutex<Option<Stop>>,
}

/// A ticket, and what tells requests by the same one apart.
type Key = (Vec<u8>, u64);

/// All of them. As many as there are requests, which have a bound.
#[derive(Default)]
pub(crate) struct Running(Mutex<BTreeMap<Key, Arc<One>>>);

/// A request's place here, for as long as it is kept.
pub(crate) struct Place {
    all: Arc<Running>,
    key: Key,
    one: Arc<One>,
}

impl Running {
    /// A request that runs from now on.
    pub(crate) fn place(self: &Arc<Self>, ticket: &[u8]) -> Place {
        let (mut all, one) = (lock(&self.0), Arc::<One>::default());
        let last = all
            .range((ticket.to_vec(), 0)..=(ticket.to_vec(), u64::MAX))
            .next_back();
        let key = (ticket.to_vec(), last.map_or(0, |((_, n), _)| n + 1));
        all.insert(key.clone(), one.clone());
        Place {
            all: self.clone(),
            key,
            one,
        }
    }

    /// Stops all that runs by this ticket; whether there was any.
    pub(crate) fn stop(&self, ticket: &[u8]) -> bool {
        let all = lock(&self.0);
        let mut found = false;
        for (_, one) in all.range((ticket.to_vec(), 0)..=(ticket.to_vec(), u64::MAX)) {
            found = true;
            one.stopped.notify_one();
            if let Some(ends) = lock(&one.ends).as_ref() {
                ends();
            }
        }
        found
    }
}

impl Place {
    /// Waits until it is stopped.
    pub(crate) async fn stopped(&self) {
        self.one.stopped.notified().await;
    }

    /// From now on this ends it.
    pub(crate) fn ends_by(&self, stop: impl Fn() + Send + Sync + 'static) {
        *lock(&self.one.ends) = Some(Box::new(stop));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.all.0).remove(&self.key);
    }
}
