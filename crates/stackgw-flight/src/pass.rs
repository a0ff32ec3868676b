//! Streams on their way through: one end is read from a member, the other by a client. What may be read on, and what is
//! ended, is [`FlowControl`]'s to say; here are its clock, its wake-ups and the messages themselves, which nobody decodes.

use crate::running::Place;
use arrow_flight::FlightData;
use futures::Stream;
use stackgw_gateway::RequestGuard;
use stackgw_router::api::{Outcome, Time};
use stackgw_streams::{EndReason, FlowControl, StreamId, StreamLimits};
use std::collections::{HashMap, VecDeque};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tonic::Status;

/// A poisoned lock still holds whole data here: each change is made under it at once.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes that a message takes.
fn size(data: &FlightData) -> usize {
    data.data_header.len() + data.data_body.len() + data.app_metadata.len()
}

/// What one stream holds.
#[derive(Default)]
struct Held {
    messages: VecDeque<FlightData>,
    /// Its last word, once there is one.
    done: Option<Result<(), Status>>,
    /// Why it was ended from here.
    end: Option<EndReason>,
    /// Its reader has gone.
    left: bool,
    waker: Option<Waker>,
}

impl Held {
    /// Has its reader look again.
    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

#[derive(Default)]
struct Pipe {
    held: Mutex<Held>,
    /// There may be room again, or it is over.
    go: Notify,
}

struct All {
    flow: FlowControl,
    pipes: HashMap<StreamId, Arc<Pipe>>,
    /// When the watch looks next.
    armed: Option<Time>,
}

/// All streams of this gateway.
pub(crate) struct Streams {
    all: Mutex<All>,
    zero: Instant,
    sooner: Notify,
}

impl Streams {
    pub(crate) fn new(limits: StreamLimits) -> Arc<Self> {
        let all = All {
            flow: FlowControl::new(limits),
            pipes: HashMap::new(),
            armed: None,
        };
        Arc::new(Streams {
            all: Mutex::new(all),
            zero: Instant::now(),
            sooner: Notify::new(),
        })
    }

    fn now(&self) -> Time {
        Time::try_from(self.zero.elapsed().as_nanos()).unwrap_or(Time::MAX)
    }

    /// Changes the state, and wakes whoever that concerns.
    fn with<T>(&self, change: impl FnOnce(Time, &mut FlowControl) -> T) -> T {
        let mut all = lock(&self.all);
        let changed = change(self.now(), &mut all.flow);
        for id in all.flow.take_resumed() {
            if let Some(pipe) = all.pipes.get(&id) {
                pipe.go.notify_one();
            }
        }
        let next = all.flow.next_timeout();
        if next.is_some_and(|at| all.armed.is_none_or(|armed| at < armed)) {
            all.armed = next;
            self.sooner.notify_one();
        }
        changed
    }

    /// Ends those whose time is over, for as long as it runs.
    pub(crate) async fn watch(self: Arc<Self>) {
        loop {
            let ended = {
                let mut all = lock(&self.all);
                let now = self.now();
                let ended: Vec<_> = all.flow.expire(now);
                let pipes = ended
                    .into_iter()
                    .filter_map(|ended| Some((all.pipes.remove(&ended.id)?, ended.reason)));
                let pipes: Vec<_> = pipes.collect();
                all.armed = all.flow.next_timeout();
                (
                    pipes,
                    all.armed
                        .map(|at| Duration::from_nanos(at.saturating_sub(now).max(0) as u64)),
                )
            };
            let (pipes, wait) = ended;
            for (pipe, end) in pipes {
                pipe.fail(
                    match end {
                        EndReason::DeadlineExceeded => Status::deadline_exceeded(end.to_string()),
                        EndReason::SlowReader => Status::resource_exhausted(end.to_string()),
                        EndReason::UnresponsiveMember => Status::aborted(end.to_string()),
                    },
                    Some(end),
                );
            }
            match wait {
                Some(wait) => drop(tokio::time::timeout(wait, self.sooner.notified()).await),
                None => self.sooner.notified().await,
            }
        }
    }

    /// A stream has begun: the end that is written to, and the one that is read.
    pub(crate) fn open(self: &Arc<Self>) -> Option<(Writer, Reader)> {
        let pipe = Arc::new(Pipe::default());
        let id = self.with(|_, flow| flow.open()).ok()?;
        lock(&self.all).pipes.insert(id, pipe.clone());
        let writer = Writer {
            streams: self.clone(),
            pipe: pipe.clone(),
            id,
        };
        Some((
            writer,
            Reader {
                streams: self.clone(),
                pipe,
                id,
                keeps: None,
            },
        ))
    }
}

impl Pipe {
    /// The last word. Ended from here, what is held goes at once, as its room is others' by now.
    fn fail(&self, status: Status, end: Option<EndReason>) {
        let mut held = lock(&self.held);
        if end.is_some() {
            held.messages.clear();
        }
        if held.done.is_none() || end.is_some() {
            (held.done, held.end) = (Some(Err(status)), end);
        }
        held.wake();
        self.go.notify_one();
    }
}

/// The end that a member's messages are written to.
pub(crate) struct Writer {
    streams: Arc<Streams>,
    pipe: Arc<Pipe>,
    id: StreamId,
}

impl Writer {
    /// Whether the member is to be read on now; else how the stream ended.
    pub(crate) fn asks(&self) -> Result<bool, Outcome> {
        self.ended()?;
        Ok(self.streams.with(|now, flow| flow.try_read(now, self.id)))
    }

    /// Waits until the member is to be read on; else tells how the stream ended.
    pub(crate) async fn ready(&self) -> Result<(), Outcome> {
        while !self.asks()? {
            self.pipe.go.notified().await;
        }
        Ok(())
    }

    /// Waits until the stream has ended from here.
    pub(crate) async fn end(&self) -> Outcome {
        loop {
            if let Err(outcome) = self.ended() {
                return outcome;
            }
            self.pipe.go.notified().await;
        }
    }

    fn ended(&self) -> Result<(), Outcome> {
        let held = lock(&self.pipe.held);
        match held.end {
            Some(EndReason::UnresponsiveMember) => Err(Outcome::TimedOut),
            Some(_) => Err(Outcome::Cancelled),
            None if held.left => Err(Outcome::Cancelled),
            None => Ok(()),
        }
    }

    pub(crate) fn put(&self, data: FlightData) {
        self.streams
            .with(|now, flow| flow.record_received(now, self.id, size(&data)));
        let mut held = lock(&self.pipe.held);
        if held.done.is_none() && !held.left {
            held.messages.push_back(data);
        }
        held.wake();
    }

    /// The member has sent all.
    pub(crate) fn whole(self) {
        self.streams.with(|_, flow| flow.finish_receiving(self.id));
        let mut held = lock(&self.pipe.held);
        held.done.get_or_insert(Ok(()));
        held.wake();
    }

    /// The stream broke off; what came before that is its reader's.
    pub(crate) fn broken(self, why: &str) {
        self.streams.with(|_, flow| flow.finish_receiving(self.id));
        self.pipe.fail(
            Status::aborted(format!("the stream broke off: {why}")),
            None,
        );
    }
}

/// What a reader keeps for as long as it reads: its places among the requests, and the word that it has gone.
pub(crate) struct Keeps {
    pub(crate) _waits: RequestGuard,
    pub(crate) _permit: OwnedSemaphorePermit,
    pub(crate) _place: Place,
}

/// The end that a client reads. Dropped, the stream is called off.
pub(crate) struct Reader {
    streams: Arc<Streams>,
    pipe: Arc<Pipe>,
    id: StreamId,
    keeps: Option<Keeps>,
}

impl Reader {
    /// Its client waits so long at most.
    pub(crate) fn limit(&self, wait: Duration) {
        let wait = Time::try_from(wait.as_nanos()).unwrap_or(Time::MAX / 2);
        self.streams
            .with(|now, flow| flow.set_deadline(self.id, now.saturating_add(wait)));
    }

    pub(crate) fn keep(&mut self, keeps: Keeps) {
        self.keeps = Some(keeps);
    }

    /// Ends it on the word of somebody else than its reader.
    pub(crate) fn canceller(&self) -> impl Fn() + Send + Sync + 'static {
        let (streams, pipe, id) = (self.streams.clone(), self.pipe.clone(), self.id);
        move || {
            streams.with(|_, flow| flow.close(id));
            pipe.fail(
                Status::cancelled("cancelled on the client's request"),
                Some(EndReason::DeadlineExceeded),
            );
        }
    }
}

impl Stream for Reader {
    type Item = Result<FlightData, Status>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let data = {
            let mut held = lock(&self.pipe.held);
            match held.messages.pop_front() {
                Some(data) => data,
                None => {
                    return match &mut held.done {
                        None => {
                            held.waker = Some(context.waker().clone());
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
            .with(|now, flow| flow.record_consumed(now, self.id, size(&data)));
        Poll::Ready(Some(Ok(data)))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.streams.with(|_, flow| flow.close(self.id));
        lock(&self.streams.all).pipes.remove(&self.id);
        lock(&self.pipe.held).left = true;
        self.pipe.go.notify_one();
    }
}
