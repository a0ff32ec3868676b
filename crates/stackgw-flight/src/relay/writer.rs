//! The end of a stream that a member's messages are written to.

use super::buffer::message_bytes;
use super::streams::RelayStream;
use arrow_flight::FlightData;
use stackgw_router::api::Outcome;
use tonic::Status;

/// The end that a member's messages are written to.
pub(crate) struct RelayWriter {
    stream: RelayStream,
}

impl RelayWriter {
    pub(super) fn new(stream: RelayStream) -> Self {
        RelayWriter { stream }
    }

    /// Whether the member is to be read on now.
    ///
    /// # Errors
    ///
    /// The outcome, where the stream was ended from this side.
    pub(crate) fn try_read(&self) -> Result<bool, Outcome> {
        if let Some(outcome) = self.stream.buffer.outcome() {
            return Err(outcome);
        }
        let RelayStream { relay, id, .. } = &self.stream;
        Ok(relay.update(|now, flow| flow.try_read(now, *id)))
    }

    /// Waits until the member is to be read on.
    ///
    /// # Errors
    ///
    /// The outcome, where the stream was ended from this side.
    pub(crate) async fn wait_until_readable(&self) -> Result<(), Outcome> {
        while !self.try_read()? {
            self.stream.buffer.writer_woken().await;
        }
        Ok(())
    }

    /// Waits until the stream is ended from this side.
    pub(crate) async fn wait_until_ended(&self) -> Outcome {
        loop {
            if let Some(outcome) = self.stream.buffer.outcome() {
                return outcome;
            }
            self.stream.buffer.writer_woken().await;
        }
    }

    /// Passes a message on.
    pub(crate) fn write(&self, message: FlightData) {
        let RelayStream { relay, buffer, id } = &self.stream;
        let bytes = message_bytes(&message);
        relay.update(|now, flow| flow.record_received(now, *id, bytes));
        buffer.push(message);
    }

    /// The member has sent all.
    pub(crate) fn finish(self) {
        self.finish_receiving();
        self.stream.buffer.finish();
    }

    /// The stream broke off; what came before stays for the reader.
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
