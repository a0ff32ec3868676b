//! The reader of a stream, which passes the messages to the client.

use super::buffer::message_bytes;
use super::streams::RelayStream;
use arrow_flight::FlightData;
use futures::Stream;
use stackgw_router::api::Time;
use stackgw_streams::EndReason;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tonic::Status;

/// The client's side of a stream. Dropping the reader cancels the stream at its member.
pub(crate) struct RelayReader {
    stream: RelayStream,
    /// Values that are dropped together with the reader.
    _guards: Option<Box<dyn Send>>,
}

impl RelayReader {
    pub(super) fn new(stream: RelayStream) -> Self {
        RelayReader {
            stream,
            _guards: None,
        }
    }

    /// Ends the stream if it is not complete within `timeout` from now.
    pub(crate) fn set_timeout(&self, timeout: Duration) {
        let timeout = Time::try_from(timeout.as_nanos()).unwrap_or(Time::MAX / 2);
        let RelayStream { relay, id, .. } = &self.stream;
        relay.update(|now, flow| flow.set_deadline(*id, now.saturating_add(timeout)));
    }

    /// Keeps `guards` until the reader is dropped.
    pub(crate) fn attach_guards(&mut self, guards: impl Send + 'static) {
        self._guards = Some(Box::new(guards));
    }

    /// Returns a function that cancels the stream, for callers other than its reader.
    pub(crate) fn canceller(&self) -> impl Fn() + Send + Sync + 'static {
        let RelayStream { relay, buffer, id } = self.stream.clone();
        move || {
            relay.update(|_, flow| flow.close(id));
            let status = Status::cancelled("cancelled on the client's request");
            // The member's attempt is treated as if the client's deadline had passed.
            buffer.abort(status, EndReason::DeadlineExceeded);
        }
    }
}

impl Stream for RelayReader {
    type Item = Result<FlightData, Status>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let RelayStream { relay, buffer, id } = &self.stream;
        let next = ready!(buffer.poll_next(context));
        if let Some(Ok(message)) = &next {
            let bytes = message_bytes(message);
            relay.update(|now, flow| flow.record_consumed(now, *id, bytes));
        }
        Poll::Ready(next)
    }
}

impl Drop for RelayReader {
    fn drop(&mut self) {
        self.stream.relay.close(self.stream.id);
        self.stream.buffer.drop_reader();
    }
}
