//! The writer of a stream, which receives the member's messages.

use super::buffer::message_bytes;
use super::streams::RelayStream;
use arrow_flight::FlightData;
use stackgw_router::api::Outcome;
use tonic::Status;

/// The member's side of a stream.
pub(crate) struct RelayWriter {
    stream: RelayStream,
}

impl RelayWriter {
    pub(super) fn new(stream: RelayStream) -> Self {
        RelayWriter { stream }
    }

    /// Whether the next message may be read from the member now.
    ///
    /// # Errors
    ///
    /// Returns the attempt's outcome if the gateway or the client ended the stream.
    pub(crate) fn try_read(&self) -> Result<bool, Outcome> {
        if let Some(outcome) = self.stream.buffer.outcome() {
            return Err(outcome);
        }
        let RelayStream { relay, id, .. } = &self.stream;
        Ok(relay.update(|now, flow| flow.try_read(now, *id)))
    }

    /// Waits until the next message may be read from the member.
    ///
    /// # Errors
    ///
    /// Returns the attempt's outcome if the gateway or the client ended the stream.
    pub(crate) async fn wait_until_readable(&self) -> Result<(), Outcome> {
        while !self.try_read()? {
            self.stream.buffer.writer_woken().await;
        }
        Ok(())
    }

    /// Waits until the gateway or the client ends the stream. Returns the attempt's outcome.
    pub(crate) async fn wait_until_ended(&self) -> Outcome {
        loop {
            if let Some(outcome) = self.stream.buffer.outcome() {
                return outcome;
            }
            self.stream.buffer.writer_woken().await;
        }
    }

    /// Buffers a message for the reader.
    pub(crate) fn write(&self, message: FlightData) {
        let RelayStream { relay, buffer, id } = &self.stream;
        let bytes = message_bytes(&message);
        relay.update(|now, flow| flow.record_received(now, *id, bytes));
        buffer.push(message);
    }

    /// Ends the stream after its last message.
    pub(crate) fn finish(self) {
        self.finish_receiving();
        self.stream.buffer.finish();
    }

    /// Ends the stream with an error. The reader still receives the buffered messages.
    pub(crate) fn fail(self, reason: &str) {
        self.finish_receiving();
        let status = Status::aborted(format!("the stream broke off: {reason}"));
        self.stream.buffer.fail(status);
    }

    fn finish_receiving(&self) {
        let RelayStream { relay, id, .. } = &self.stream;
        relay.update(|_, flow| flow.finish_receiving(*id));
    }
}
