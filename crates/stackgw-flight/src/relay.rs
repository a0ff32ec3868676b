//! Relay on their way through: one end is read from a member, the other by a client. What may be read on, and what is
//! ended, is [`FlowControl`]'s to say; here are its clock, its wake-ups and the messages themselves, which nobody decodes.

use crate::cancellation::RunningGuard;
use crate::sync::lock;
use arrow_flight::FlightData;
use futures::Stream;
use stackgw_gateway::RequestGuard;
use stackgw_router::api::{Outcome, Time};
use stackgw_streams::{EndReason, FlowControl, StreamId, StreamLimits};
use std::collections::{HashMap, VecDeque};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tonic::Status;

/// Bytes that a message takes.
fn message_bytes(data: &FlightData) -> usize {
    data.data_header.len() + data.data_body.len() + data.app_metadata.len()
}

/// What one stream holds.
#[derive(Default)]
struct BufferState {
    messages: VecDeque<FlightData>,
    /// Its last word, once there is one.
    result: Option<Result<(), Status>>,
    /// Why it was ended from here.
    end_reason: Option<EndReason>,
    /// Its reader has gone.
    reader_dropped: bool,
    waker: Option<Waker>,
}

impl BufferState {
    /// Has its reader look again.
    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

#[derive(Default)]
struct StreamBuffer {
    state: Mutex<BufferState>,
    /// There may be room again, or it is over.
    writer_wakeup: Notify,
}

struct RelayState {
    flow: FlowControl,
    buffers: HashMap<StreamId, Arc<StreamBuffer>>,
    /// When the watch looks next.
    timer: Option<Time>,
}

/// All streams of this gateway.
pub(crate) struct Relay {
    all: Mutex<RelayState>,
    epoch: Instant,
    timer_changed: Notify,
}

impl Relay {
    pub(crate) fn new(limits: StreamLimits) -> Arc<Self> {
        let all = RelayState {
            flow: FlowControl::new(limits),
            buffers: HashMap::new(),
            timer: None,
        };
        Arc::new(Relay {
            all: Mutex::new(all),
            epoch: Instant::now(),
            timer_changed: Notify::new(),
        })
    }

    fn now(&self) -> Time {
        Time::try_from(self.epoch.elapsed().as_nanos()).unwrap_or(Time::MAX)
    }

    /// Changes the state, and wakes whoever that concerns.
    fn update<T>(&self, change: impl FnOnce(Time, &mut FlowControl) -> T) -> T {
        let mut all = lock(&self.all);
        let changed = change(self.now(), &mut all.flow);
        for id in all.flow.take_resumed() {
            if let Some(buffer) = all.buffers.get(&id) {
                buffer.writer_wakeup.notify_one();
            }
        }
        let next = all.flow.next_timeout();
        if next.is_some_and(|at| all.timer.is_none_or(|timer| at < timer)) {
            all.timer = next;
            self.timer_changed.notify_one();
        }
        changed
    }

    /// Ends those whose time is over, for as long as it runs.
    pub(crate) async fn run_timer(self: Arc<Self>) {
        loop {
            let ended = {
                let mut all = lock(&self.all);
                let now = self.now();
                let ended: Vec<_> = all.flow.expire(now);
                let buffers = ended
                    .into_iter()
                    .filter_map(|ended| Some((all.buffers.remove(&ended.id)?, ended.reason)));
                let buffers: Vec<_> = buffers.collect();
                all.timer = all.flow.next_timeout();
                (
                    buffers,
                    all.timer
                        .map(|at| Duration::from_nanos(at.saturating_sub(now).max(0) as u64)),
                )
            };
            let (buffers, wait) = ended;
            for (buffer, end) in buffers {
                buffer.fail(
                    match end {
                        EndReason::DeadlineExceeded => Status::deadline_exceeded(end.to_string()),
                        EndReason::SlowReader => Status::resource_exhausted(end.to_string()),
                        EndReason::UnresponsiveMember => Status::aborted(end.to_string()),
                    },
                    Some(end),
                );
            }
            match wait {
                Some(wait) => drop(tokio::time::timeout(wait, self.timer_changed.notified()).await),
                None => self.timer_changed.notified().await,
            }
        }
    }

    /// A stream has begun: the end that is written to, and the one that is read.
    pub(crate) fn open(self: &Arc<Self>) -> Option<(RelayWriter, RelayReader)> {
        let buffer = Arc::new(StreamBuffer::default());
        let id = self.update(|_, flow| flow.open()).ok()?;
        lock(&self.all).buffers.insert(id, buffer.clone());
        let writer = RelayWriter {
            streams: self.clone(),
            buffer: buffer.clone(),
            id,
        };
        Some((
            writer,
            RelayReader {
                streams: self.clone(),
                buffer,
                id,
                guards: None,
            },
        ))
    }
}

impl StreamBuffer {
    /// The last word. Ended from here, what is held goes at once, as its room is others' by now.
    fn fail(&self, status: Status, end_reason: Option<EndReason>) {
        let mut state = lock(&self.state);
        if end_reason.is_some() {
            state.messages.clear();
        }
        if state.result.is_none() || end_reason.is_some() {
            (state.result, state.end_reason) = (Some(Err(status)), end_reason);
        }
        state.wake();
        self.writer_wakeup.notify_one();
    }
}

/// The end that a member's messages are written to.
pub(crate) struct RelayWriter {
    streams: Arc<Relay>,
    buffer: Arc<StreamBuffer>,
    id: StreamId,
}

impl RelayWriter {
    /// Whether the member is to be read on now; else how the stream ended.
    pub(crate) fn try_read(&self) -> Result<bool, Outcome> {
        self.ended()?;
        Ok(self.streams.update(|now, flow| flow.try_read(now, self.id)))
    }

    /// Waits until the member is to be read on; else tells how the stream ended.
    pub(crate) async fn wait_until_readable(&self) -> Result<(), Outcome> {
        while !self.try_read()? {
            self.buffer.writer_wakeup.notified().await;
        }
        Ok(())
    }

    /// Waits until the stream has ended from here.
    pub(crate) async fn wait_until_ended(&self) -> Outcome {
        loop {
            if let Err(outcome) = self.ended() {
                return outcome;
            }
            self.buffer.writer_wakeup.notified().await;
        }
    }

    fn ended(&self) -> Result<(), Outcome> {
        let state = lock(&self.buffer.state);
        match state.end_reason {
            Some(EndReason::UnresponsiveMember) => Err(Outcome::TimedOut),
            Some(_) => Err(Outcome::Cancelled),
            None if state.reader_dropped => Err(Outcome::Cancelled),
            None => Ok(()),
        }
    }

    pub(crate) fn write(&self, data: FlightData) {
        self.streams
            .update(|now, flow| flow.record_received(now, self.id, message_bytes(&data)));
        let mut state = lock(&self.buffer.state);
        if state.result.is_none() && !state.reader_dropped {
            state.messages.push_back(data);
        }
        state.wake();
    }

    /// The member has sent all.
    pub(crate) fn finish(self) {
        self.streams
            .update(|_, flow| flow.finish_receiving(self.id));
        let mut state = lock(&self.buffer.state);
        state.result.get_or_insert(Ok(()));
        state.wake();
    }

    /// The stream broke off; what came before that is its reader's.
    pub(crate) fn fail(self, why: &str) {
        self.streams
            .update(|_, flow| flow.finish_receiving(self.id));
        self.buffer.fail(
            Status::aborted(format!("the stream broke off: {why}")),
            None,
        );
    }
}

/// What a reader keeps for as long as it reads: its places among the requests, and the word that it has gone.
pub(crate) struct StreamGuards {
    pub(crate) _waits: RequestGuard,
    pub(crate) _permit: OwnedSemaphorePermit,
    pub(crate) _place: RunningGuard,
}

/// The end that a client reads. Dropped, the stream is called off.
pub(crate) struct RelayReader {
    streams: Arc<Relay>,
    buffer: Arc<StreamBuffer>,
    id: StreamId,
    guards: Option<StreamGuards>,
}

impl RelayReader {
    /// Its client waits so long at most.
    pub(crate) fn set_timeout(&self, wait: Duration) {
        let wait = Time::try_from(wait.as_nanos()).unwrap_or(Time::MAX / 2);
        self.streams
            .update(|now, flow| flow.set_deadline(self.id, now.saturating_add(wait)));
    }

    pub(crate) fn attach_guards(&mut self, guards: StreamGuards) {
        self.guards = Some(guards);
    }

    /// Ends it on the word of somebody else than its reader.
    pub(crate) fn canceller(&self) -> impl Fn() + Send + Sync + 'static {
        let (streams, buffer, id) = (self.streams.clone(), self.buffer.clone(), self.id);
        move || {
            streams.update(|_, flow| flow.close(id));
            buffer.fail(
                Status::cancelled("cancelled on the client's request"),
                Some(EndReason::DeadlineExceeded),
            );
        }
    }
}

impl Stream for RelayReader {
    type Item = Result<FlightData, Status>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let data = {
            let mut state = lock(&self.buffer.state);
            match state.messages.pop_front() {
                Some(data) => data,
                None => {
                    return match &mut state.result {
                        None => {
                            state.waker = Some(context.waker().clone());
                            Poll::Pending
                        }
                        Some(Ok(())) => Poll::Ready(None),
                        Some(done) => {
                            let failed = std::mem::replace(done, Ok(()));
                            Poll::Ready(failed.err().map(Err))
                        }
                    };
                }
            }
        };
        self.streams
            .update(|now, flow| flow.record_consumed(now, self.id, message_bytes(&data)));
        Poll::Ready(Some(Ok(data)))
    }
}

impl Drop for RelayReader {
    fn drop(&mut self) {
        self.streams.update(|_, flow| flow.close(self.id));
        lock(&self.streams.all).buffers.remove(&self.id);
        lock(&self.buffer.state).reader_dropped = true;
        self.buffer.writer_wakeup.notify_one();
    }
}
