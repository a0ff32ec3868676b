//! The buffer between a stream's writer and its reader.

use crate::sync::lock;
use arrow_flight::FlightData;
use stackgw_router::api::Outcome;
use stackgw_streams::EndReason;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;
use tonic::Status;

/// The size of a message as counted by flow control, in bytes.
pub(super) fn message_bytes(message: &FlightData) -> usize {
    message.data_header.len() + message.data_body.len() + message.app_metadata.len()
}

#[derive(Default)]
struct BufferState {
    messages: VecDeque<FlightData>,
    /// How the stream ended: set once no further messages follow.
    result: Option<Result<(), Status>>,
    /// Why the gateway ended the stream, if it did so.
    end_reason: Option<EndReason>,
    reader_dropped: bool,
    reader_waker: Option<Waker>,
}

impl BufferState {
    fn wake_reader(&mut self) {
        if let Some(waker) = self.reader_waker.take() {
            waker.wake();
        }
    }
}

/// Messages received from the member and not yet read by the client, and how the stream ended.
#[derive(Default)]
pub(super) struct StreamBuffer {
    state: Mutex<BufferState>,
    writer_wakeup: Notify,
}

impl StreamBuffer {
    /// Appends a message, unless the stream has ended or its reader was dropped.
    pub(super) fn push(&self, message: FlightData) {
        let mut state = lock(&self.state);
        if state.result.is_none() && !state.reader_dropped {
            state.messages.push_back(message);
        }
        state.wake_reader();
    }

    /// Ends the stream after the buffered messages, unless it has already ended.
    pub(super) fn finish(&self) {
        let mut state = lock(&self.state);
        state.result.get_or_insert(Ok(()));
        state.wake_reader();
    }

    /// Ends the stream with an error after the buffered messages, unless it has already ended.
    pub(super) fn fail(&self, status: Status) {
        let mut state = lock(&self.state);
        state.result.get_or_insert(Err(status));
        state.wake_reader();
        self.writer_wakeup.notify_one();
    }

    /// Ends the stream immediately, for `reason`. The buffered messages are dropped, because flow
    /// control has already released their space for other streams.
    pub(super) fn abort(&self, status: Status, reason: EndReason) {
        let mut state = lock(&self.state);
        state.messages.clear();
        state.result = Some(Err(status));
        state.end_reason = Some(reason);
        state.wake_reader();
        self.writer_wakeup.notify_one();
    }

    /// Records that the reader was dropped.
    pub(super) fn drop_reader(&self) {
        lock(&self.state).reader_dropped = true;
        self.writer_wakeup.notify_one();
    }

    /// Wakes the writer, so that it checks again whether it may continue.
    pub(super) fn wake_writer(&self) {
        self.writer_wakeup.notify_one();
    }

    /// Waits until the writer is woken.
    pub(super) async fn writer_woken(&self) {
        self.writer_wakeup.notified().await;
    }

    /// The outcome of the attempt at the member, if the gateway or the client ended the stream.
    pub(super) fn outcome(&self) -> Option<Outcome> {
        let state = lock(&self.state);
        match state.end_reason {
            Some(EndReason::UnresponsiveMember) => Some(Outcome::TimedOut),
            Some(EndReason::SlowReader | EndReason::DeadlineExceeded) => Some(Outcome::Cancelled),
            None => state.reader_dropped.then_some(Outcome::Cancelled),
        }
    }

    /// Polls for the next message. After the last message, returns the stream's error once, if
    /// there is one, then `None`.
    pub(super) fn poll_next(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<FlightData, Status>>> {
        let mut state = lock(&self.state);
        if let Some(message) = state.messages.pop_front() {
            return Poll::Ready(Some(Ok(message)));
        }
        let Some(result) = &mut state.result else {
            state.reader_waker = Some(context.waker().clone());
            return Poll::Pending;
        };
        let result = std::mem::replace(result, Ok(()));
        Poll::Ready(result.err().map(Err))
    }
}
