//! An answer that passes through as a stream.

use super::member_status::{connection_loss, parse_member_parameters};
use super::request::{LostConnection, MemberRequest, RequestEnd};
use crate::relay::{open_stream, RelayReader, RelayWriter};
use arrow_flight::FlightData;
use arrow_ipc::MessageHeader;
use stackgw_gateway::reducer::{CloseReason, StreamHeader};
use stackgw_gateway::BackendEvent;
use stackgw_router::api::Outcome;
use tonic::metadata::MetadataMap;
use tonic::{Status, Streaming};

/// An answer whose stream has begun.
struct StartedStream {
    headers: MetadataMap,
    schema: FlightData,
    messages: Streaming<FlightData>,
}

impl MemberRequest {
    /// A request whose answer passes through.
    pub(super) async fn relay_stream(&self) -> RequestEnd {
        let started = match self.start_stream().await {
            Ok(started) => started,
            Err(status) => return self.fail(&status).await,
        };
        let header = parse_member_parameters(&started.headers);
        let Some((writer, reader)) = open_stream(&self.backend.relay) else {
            // The member has done nothing wrong, and is not asked again: the client learns that
            // there is no stream.
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

    /// Sends the statement and reads the first message, which has to be the schema.
    async fn start_stream(&self) -> Result<StartedStream, Status> {
        let mut response = self.send().await?;
        let first = response.messages.message().await?;
        let schema = first.filter(|message| message_kind(message) == Some(MessageHeader::Schema));
        let missing = || Status::internal("the stream does not begin with its schema");
        Ok(StartedStream {
            headers: response.headers,
            schema: schema.ok_or_else(missing)?,
            messages: response.messages,
        })
    }

    /// Reads on as flow control allows, until the stream has ended one way or another.
    async fn relay_messages(
        &self,
        writer: RelayWriter,
        mut messages: Streaming<FlightData>,
    ) -> Outcome {
        let mut stalled_before = false;
        loop {
            match writer.try_read() {
                Ok(true) => {}
                Ok(false) => {
                    if !stalled_before {
                        stalled_before = true;
                        let event = BackendEvent::StreamStalled(self.connection);
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
                ended => return finish_stream(writer, ended),
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
        let reason = match outcome {
            Outcome::Served => return RequestEnd::Reusable,
            // It was ended from this side, and the connection is given up on purpose.
            Outcome::Cancelled => None,
            _ => Some(format!("a stream ended as {outcome:?}")),
        };
        RequestEnd::Lost(LostConnection {
            closed: CloseReason::Disconnected,
            reason,
        })
    }
}

/// Ends a stream behind its last message. Returns the outcome of the member's attempt.
fn finish_stream(writer: RelayWriter, ended: Result<Option<FlightData>, Status>) -> Outcome {
    match ended {
        Ok(None) => {
            writer.finish();
            Outcome::Served
        }
        Ok(Some(_)) => {
            writer.fail("its schema changed, or a message could not be read");
            Outcome::MalformedResponse
        }
        Err(status) => {
            let connection_lost = connection_loss(&status).is_some();
            writer.fail(status.message());
            if connection_lost {
                Outcome::ConnectionReset
            } else {
                Outcome::Error
            }
        }
    }
}

/// Whether a message may follow the schema.
fn is_data(message: &FlightData) -> bool {
    !matches!(message_kind(message), Some(MessageHeader::Schema) | None)
}

/// What kind of message it is; nothing else of it is read. `None` where it cannot be read.
fn message_kind(message: &FlightData) -> Option<MessageHeader> {
    if message.data_header.is_empty() && !message.app_metadata.is_empty() {
        return Some(MessageHeader::NONE);
    }
    let decoded = arrow_ipc::root_as_message(&message.data_header).ok()?;
    Some(decoded.header_type())
}
