//! Flow control over all streams of this gateway, with its clock and timer.

use super::buffer::StreamBuffer;
use crate::sync::lock;
use stackgw_router::api::Time;
use stackgw_streams::{EndReason, ExpiredStream, FlowControl, StreamId, StreamLimits};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tonic::Status;

struct RelayState {
    flow: FlowControl,
    buffers: HashMap<StreamId, Arc<StreamBuffer>>,
    /// The time at which [`Relay::run_timer`] wakes next.
    timer: Option<Time>,
}

/// The open streams of this gateway.
pub(crate) struct Relay {
    state: Mutex<RelayState>,
    /// Zero point of flow control's clock.
    epoch: Instant,
    /// Notifies [`Relay::run_timer`] that the next timeout is now earlier.
    timer_changed: Notify,
}

/// One stream, as shared by its writer and its reader.
#[derive(Clone)]
pub(super) struct RelayStream {
    pub(super) relay: Arc<Relay>,
    pub(super) buffer: Arc<StreamBuffer>,
    pub(super) id: StreamId,
}

impl Relay {
    pub(crate) fn new(limits: StreamLimits) -> Arc<Self> {
        let state = RelayState {
            flow: FlowControl::new(limits),
            buffers: HashMap::new(),
            timer: None,
        };
        Arc::new(Relay {
            state: Mutex::new(state),
            epoch: Instant::now(),
            timer_changed: Notify::new(),
        })
    }

    /// Ends streams when their deadlines or timeouts pass. Never returns.
    pub(crate) async fn run_timer(self: Arc<Self>) {
        loop {
            let wait = self.expire_streams();
            let changed = self.timer_changed.notified();
            match wait {
                Some(wait) => drop(tokio::time::timeout(wait, changed).await),
                None => changed.await,
            }
        }
    }

    /// Opens a stream; `None` if the maximum number of streams is open.
    pub(super) fn open(self: &Arc<Self>) -> Option<RelayStream> {
        let buffer = Arc::new(StreamBuffer::default());
        let id = self.update(|_, flow| flow.open()).ok()?;
        lock(&self.state).buffers.insert(id, buffer.clone());
        Some(RelayStream {
            relay: self.clone(),
            buffer,
            id,
        })
    }

    /// Closes a stream, which releases its buffer space to other streams.
    pub(super) fn close(&self, id: StreamId) {
        self.update(|_, flow| flow.close(id));
        lock(&self.state).buffers.remove(&id);
    }

    /// Changes flow control's state, then wakes the writers of resumed streams and, if the next
    /// timeout is now earlier, the timer.
    pub(super) fn update<T>(&self, change: impl FnOnce(Time, &mut FlowControl) -> T) -> T {
        let mut state = lock(&self.state);
        let result = change(self.now(), &mut state.flow);
        for id in state.flow.take_resumed() {
            if let Some(buffer) = state.buffers.get(&id) {
                buffer.wake_writer();
            }
        }
        if let Some(next) = state.flow.next_timeout() {
            if state.timer.is_none_or(|timer| next < timer) {
                state.timer = Some(next);
                self.timer_changed.notify_one();
            }
        }
        result
    }

    /// Ends the streams whose deadline or timeout has passed. Returns the time until the next
    /// timeout.
    fn expire_streams(&self) -> Option<Duration> {
        let mut expired = Vec::new();
        let mut state = lock(&self.state);
        let now = self.now();
        for ExpiredStream { id, reason } in state.flow.expire(now) {
            let buffer = state.buffers.remove(&id);
            expired.extend(buffer.map(|buffer| (buffer, reason)));
        }
        let next_timeout = state.flow.next_timeout();
        state.timer = next_timeout;
        drop(state);
        for (buffer, reason) in expired {
            buffer.abort(end_status(reason), reason);
        }
        let wait = next_timeout?.saturating_sub(now);
        Some(Duration::from_nanos(u64::try_from(wait).unwrap_or(0)))
    }

    /// Nanoseconds since the relay was created.
    fn now(&self) -> Time {
        Time::try_from(self.epoch.elapsed().as_nanos()).unwrap_or(Time::MAX)
    }
}

/// The status sent to the client when its stream is ended.
fn end_status(reason: EndReason) -> Status {
    let text = reason.to_string();
    match reason {
        EndReason::SlowReader => Status::resource_exhausted(text),
        EndReason::UnresponsiveMember => Status::aborted(text),
        EndReason::DeadlineExceeded => Status::deadline_exceeded(text),
    }
}
