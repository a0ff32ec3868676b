//! Responses that are relayed as streams.

use super::member_status::parse_member_parameters;
use super::request::{LostConnection, MemberRequest, RequestEnd};
use crate::relay::{open_stream, RelayReader, RelayWriter};
use arrow_flight::FlightData;
use arrow_ipc::MessageHeader;
use stackgw_gateway::reducer::{CloseReason, StreamHeader};
use stackgw_gateway::BackendEvent;
use stackgw_router::api::Outcome;
use tonic::metadata::MetadataMap;
use tonic::{Status, Streaming};

/// A response whose first message, the schema, has been received.
struct StartedStream {
    headers: MetadataMap,
    schema: FlightData,
    messages: Streaming<FlightData>,
}

impl MemberRequest {
    /// Runs a request whose response is relayed as a stream.
    pub(super) async fn relay_stream(&self) -> RequestEnd {
        let started = match self.start_stream().await {
            Ok(started) => started,
            Err(status) => return self.fail(&status).await,
        };
        let header = parse_member_parameters(&started.headers);
        let Some((writer, reader)) = open_stream(&self.backend.relay) else {
            // The request is not retried, and this does not count as the member's failure: the
            // client's call fails because too many streams are open.
            self.notify_started(header, None).await;
            return self.end_stream(Outcome::Cancelled).await;
        };
        writer.write(started.schema);
        self.notify_started(header, Some(reader)).await;
        let outcome = self.relay_messages(writer, started.messages).await;
        if outcome != Outcome::Served {
            self.cancel();
        }
        self.end_stream(outcome).await
    }

    /// Sends the statement and reads the first message, which must be the schema.
    async fn start_stream(&self) -> Result<StartedStream, Status> {
        let mut response = self.send().await?;
        let first = response.messages.message().await?;
        let schema = first.filter(|message| message_type(message) == Some(MessageHeader::Schema));
        let missing = || Status::internal("the stream does not begin with its schema");
        Ok(StartedStream {
            headers: response.headers,
            schema: schema.ok_or_else(missing)?,
            messages: response.messages,
        })
    }

    /// Relays messages as flow control permits, until the stream ends. Returns the attempt's
    /// outcome.
    async fn relay_messages(
        &self,
        writer: RelayWriter,
        mut messages: Streaming<FlightData>,
    ) -> Outcome {
        let mut has_stalled = false;
        loop {
            match writer.try_read() {
                Ok(true) => {}
                Ok(false) => {
                    if !has_stalled {
                        has_stalled = true;
                        let event = BackendEvent::StreamPaused(self.connection);
                        self.backend.notify(event).await;
                    }
                    if let Err(outcome) = writer.wait_until_readable().await {
                        return outcome;
                    }
                }
                Err(outcome) => return outcome,
            }
            let message = tokio::select! {
                message = messages.message() => message,
                outcome = writer.wait_until_ended() => return outcome,
            };
            match message {
                Ok(Some(message)) if is_data(&message) => writer.write(message),
                end => return self.finish_stream(writer, end),
            }
        }
    }

    /// Ends a stream after its last data message. `end` is what was read next: the end of the stream,
    /// an invalid message or an error. Returns the outcome of the attempt at the member.
    fn finish_stream(
        &self,
        writer: RelayWriter,
        end: Result<Option<FlightData>, Status>,
    ) -> Outcome {
        match end {
            Ok(None) => {
                writer.finish();
                Outcome::Served
            }
            Ok(Some(_)) => {
                writer.fail("its schema changed, or a message could not be read");
                Outcome::MalformedResponse
            }
            Err(status) => {
                let connection_lost = self.progress.connection_loss(&status).is_some();
                writer.fail(status.message());
                if connection_lost {
                    Outcome::ConnectionReset
                } else {
                    Outcome::Error
                }
            }
        }
    }

    async fn notify_started(&self, header: StreamHeader, reader: Option<RelayReader>) {
        let event = BackendEvent::StreamStarted(self.connection, header, Box::new(reader));
        self.backend.notify(event).await;
    }

    async fn end_stream(&self, outcome: Outcome) -> RequestEnd {
        let event = BackendEvent::StreamEnded(self.connection, outcome);
        self.backend.notify(event).await;
        let log_reason = match outcome {
            Outcome::Served => return RequestEnd::Reusable,
            // The gateway or the client ended the stream; the connection is closed on purpose.
            Outcome::Cancelled => None,
            _ => Some(format!("a stream ended with outcome {outcome:?}")),
        };
        RequestEnd::Lost(LostConnection {
            close_reason: CloseReason::Disconnected,
            log_reason,
        })
    }
}

/// Whether a message is readable and is not a second schema.
fn is_data(message: &FlightData) -> bool {
    !matches!(message_type(message), Some(MessageHeader::Schema) | None)
}

/// The type of a message, read from its header alone; `None` if the header is invalid. A message
/// without a header that has application metadata is valid and has the type `NONE`.
fn message_type(message: &FlightData) -> Option<MessageHeader> {
    if message.data_header.is_empty() && !message.app_metadata.is_empty() {
        return Some(MessageHeader::NONE);
    }
    let decoded = arrow_ipc::root_as_message(&message.data_header).ok()?;
    Some(decoded.header_type())
}
