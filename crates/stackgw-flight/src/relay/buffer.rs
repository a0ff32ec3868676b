//! The buffer between the two ends of one stream.

use crate::sync::lock;
use arrow_flight::FlightData;
use stackgw_router::api::Outcome;
use stackgw_streams::EndReason;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;
use tonic::Status;

/// Bytes that flow control counts for a message.
pub(super) fn message_bytes(message: &FlightData) -> usize {
    message.data_header.len() + message.data_body.len() + message.app_metadata.len()
}

#[derive(Default)]
struct BufferState {
    messages: VecDeque<FlightData>,
    /// What comes after the last message, once that is known.
    result: Option<Result<(), Status>>,
    /// Why the gateway ended the stream, if it did.
    end_reason: Option<EndReason>,
    reader_dropped: bool,
    reader: Option<Waker>,
}

impl BufferState {
    fn wake_reader(&mut self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }
}

/// Messages that have arrived and are not read yet, and how the stream ended.
#[derive(Default)]
pub(super) struct StreamBuffer {
    state: Mutex<BufferState>,
    writer_wakeup: Notify,
}

impl StreamBuffer {
    /// Appends a message, unless the stream has ended or nobody reads it any more.
    pub(super) fn push(&self, message: FlightData) {
        let mut state = lock(&self.state);
        if state.result.is_none() && !state.reader_dropped {
            state.messages.push_back(message);
        }
        state.wake_reader();
    }

    /// Ends the stream behind the buffered messages, unless it has ended before.
    pub(super) fn finish(&self) {
        let mut state = lock(&self.state);
        state.result.get_or_insert(Ok(()));
        state.wake_reader();
    }

    /// Ends the stream with an error behind the buffered messages, unless it has ended before.
    pub(super) fn fail(&self, status: Status) {
        let mut state = lock(&self.state);
        state.result.get_or_insert(Err(status));
        state.wake_reader();
        self.writer_wakeup.notify_one();
    }

    /// Ends the stream at once on the gateway's decision. The buffered messages are dropped, as
    /// flow control has given their space to other streams.
    pub(super) fn abort(&self, status: Status, reason: EndReason) {
        let mut state = lock(&self.state);
        state.messages.clear();
        state.result = Some(Err(status));
        state.end_reason = Some(reason);
        state.wake_reader();
        self.writer_wakeup.notify_one();
    }

    /// Notes that nobody reads the stream any more.
    pub(super) fn drop_reader(&self) {
        lock(&self.state).reader_dropped = true;
        self.writer_wakeup.notify_one();
    }

    /// Has the writer look again whether it may go on.
    pub(super) fn wake_writer(&self) {
        self.writer_wakeup.notify_one();
    }

    /// Waits until the writer is to look again.
    pub(super) async fn writer_woken(&self) {
        self.writer_wakeup.notified().await;
    }

    /// The outcome of the member's attempt where the stream was ended from this side.
    pub(super) fn outcome(&self) -> Option<Outcome> {
        let state = lock(&self.state);
        match state.end_reason {
            Some(EndReason::UnresponsiveMember) => Some(Outcome::TimedOut),
            Some(EndReason::SlowReader | EndReason::DeadlineExceeded) => Some(Outcome::Cancelled),
            None => state.reader_dropped.then_some(Outcome::Cancelled),
        }
    }

    /// Takes the next message; behind the last one an error, once, or the end.
    pub(super) fn poll_next(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<FlightData, Status>>> {
        let mut state = lock(&self.state);
        if let Some(message) = state.messages.pop_front() {
            return Poll::Ready(Some(Ok(message)));
        }
        let Some(result) = &mut state.result else {
            state.reader = Some(context.waker().clone());
            return Poll::Pending;
        };
        let result = std::mem::replace(result, Ok(()));
        Poll::Ready(result.err().map(Err))
    }
}
