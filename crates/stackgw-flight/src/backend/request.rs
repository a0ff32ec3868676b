//! A request to a member.

use super::attempt_progress::AttemptProgress;
use super::dispatcher::{Backend, TimedRequest};
use super::member_status::{decode_frames, write_error, write_member_parameters};
use super::value::{read_single_value, SingleValue};
use crate::protocol::{CANCEL_FLIGHT_INFO, NEVER_RAN, RAN_TRAILER};
use crate::status::root_cause;
use crate::sync::lock;
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::sql::{CommandStatementQuery, ProstMessageExt};
use arrow_flight::{
    Action, CancelFlightInfoRequest, FlightData, FlightDescriptor, FlightInfo, Ticket,
};
use futures::StreamExt;
use prost::Message;
use slog::info;
use stackgw_gateway::pg::write;
use stackgw_gateway::reducer::{BackendRequest, CloseReason, ConnectionId};
use stackgw_gateway::BackendEvent;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tonic::metadata::{MetadataMap, MetadataValue};
use tonic::transport::Channel;
use tonic::{Code, Request, Status, Streaming};

/// Timeout for notifying a member of a cancelled request; its reply is ignored.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

const NOT_SENT_IN_TIME: &str = "the request could not be sent in time";

/// The state of the connection after a request.
pub(super) enum RequestEnd {
    /// The connection can run another request.
    Reusable,
    /// The connection cannot run further requests.
    Lost(LostConnection),
    /// The gateway closed the connection while the request ran.
    ClosedByGateway,
}

/// Why a connection cannot run further requests.
pub(super) struct LostConnection {
    /// The reason to report to the gateway.
    pub(super) close_reason: CloseReason,
    /// The reason to log; `None` if the connection was closed on purpose or the error has no text.
    pub(super) log_reason: Option<String>,
}

/// The member's response, before its first message is read.
pub(super) struct MemberResponse {
    pub(super) headers: MetadataMap,
    pub(super) messages: Streaming<FlightData>,
}

/// A request that is running at a member.
pub(super) struct MemberRequest {
    pub(super) backend: Arc<Backend>,
    pub(super) connection: ConnectionId,
    channel: Channel,
    request: BackendRequest,
    /// Latest time at which any part of the request may be sent.
    send_by: Option<Instant>,
    pub(super) progress: AttemptProgress,
    /// The member's reply to GetFlightInfo, which is needed to cancel the request.
    flight_info: Mutex<Option<FlightInfo>>,
}

impl MemberRequest {
    pub(super) fn new(
        backend: Arc<Backend>,
        connection: ConnectionId,
        channel: Channel,
        timed: TimedRequest,
    ) -> Self {
        MemberRequest {
            backend,
            connection,
            channel,
            request: timed.request,
            send_by: timed.send_by,
            progress: AttemptProgress::default(),
            flight_info: Mutex::default(),
        }
    }

    /// Runs the request. `closed` resolves when the gateway closes the connection.
    pub(super) async fn run(&self, closed: &mut oneshot::Receiver<()>) -> RequestEnd {
        if self.request.is_write {
            return self.run_write(closed).await;
        }
        let response = async {
            match self.request.may_stream {
                true => self.relay_stream().await,
                false => self.fetch_value().await,
            }
        };
        tokio::select! {
            end = response => end,
            _ = closed => {
                self.cancel();
                RequestEnd::ClosedByGateway
            }
        }
    }

    /// Runs a write. A write that was sent may run at the member even if it is cancelled here, so
    /// its response is awaited even after its client has disconnected. That it ended or timed out
    /// is then logged.
    async fn run_write(&self, closed: &mut oneshot::Receiver<()>) -> RequestEnd {
        let mut response = std::pin::pin!(self.fetch_value());
        tokio::select! {
            end = &mut response => return end,
            _ = closed => {}
        }
        let min_timeout_ms = self.backend.config.write_outcome_timeout_ms;
        let timeout = Duration::from_millis(self.request.timeout_ms.max(min_timeout_ms));
        let count = self.backend.count_abandoned_write();
        let has_ended = tokio::time::timeout(timeout, response).await.is_ok();
        if let Some(count) = count {
            let end = if has_ended { "ended" } else { "timed out" };
            info!(
                self.backend.log,
                "writes whose client disconnected before their outcome was known: {count}; \
                 the last one {end}"
            );
        }
        RequestEnd::ClosedByGateway
    }

    /// Sends the statement with GetFlightInfo and DoGet. Returns the response before its first
    /// message is read.
    pub(super) async fn send(&self) -> Result<MemberResponse, Status> {
        if self.is_too_late() {
            return Err(not_sent_in_time());
        }
        let mut client = self.client();
        let timeout = Duration::from_millis(self.request.timeout_ms);
        let command = CommandStatementQuery {
            query: self.request.statement.clone(),
            transaction_id: None,
        };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let mut request = Request::new(descriptor);
        request.set_timeout(timeout);
        let info = client.get_flight_info(request).await?.into_inner();
        self.progress.record_reply();
        let ticket = single_ticket(&info);
        let ticket = ticket.ok_or_else(|| Status::internal("the answer is not in one place"))?;
        *lock(&self.flight_info) = Some(info);
        if self.is_too_late() {
            // The member may have run the statement for the first part.
            return Err(Status::deadline_exceeded(NOT_SENT_IN_TIME));
        }
        let mut request = Request::new(ticket);
        if !self.request.may_stream {
            request.set_timeout(timeout);
        }
        let (headers, messages, _) = client.do_get(request).await?.into_parts();
        Ok(MemberResponse { headers, messages })
    }

    fn is_too_late(&self) -> bool {
        self.send_by.is_some_and(|latest| Instant::now() > latest)
    }

    /// Requests in the background that the member cancel the request; has no effect before the
    /// member has replied to GetFlightInfo. Members that detect reset streams have already stopped
    /// it.
    pub(super) fn cancel(&self) {
        let Some(info) = lock(&self.flight_info).take() else {
            return;
        };
        let body = CancelFlightInfoRequest { info: Some(info) }.encode_to_vec();
        let action = Action {
            r#type: CANCEL_FLIGHT_INFO.to_owned(),
            body: body.into(),
        };
        let mut client = self.client();
        tokio::spawn(async move {
            drop(tokio::time::timeout(CANCEL_TIMEOUT, client.do_action(action)).await);
        });
    }

    /// Handles an error status. Reports it to the gateway as the member's response, unless it was
    /// created locally because the connection was lost.
    pub(super) async fn fail(&self, status: &Status) -> RequestEnd {
        if let Some(close_reason) = self.progress.connection_loss(status) {
            let log_reason = Some(root_cause(status)).filter(|reason| !reason.is_empty());
            return RequestEnd::Lost(LostConnection {
                close_reason,
                log_reason,
            });
        }
        let mut response = Vec::new();
        write_error(&mut response, status);
        self.respond(response).await
    }

    /// Runs a request whose response is a single value.
    async fn fetch_value(&self) -> RequestEnd {
        match self.fetch_response().await {
            Ok(response) => self.respond(response).await,
            Err(status) => self.fail(&status).await,
        }
    }

    /// Sends the statement and encodes the response in messages of the PostgreSQL protocol.
    async fn fetch_response(&self) -> Result<Vec<u8>, Status> {
        let MemberResponse { headers, messages } = self.send().await?;
        let messages = messages.map(|message| message.map_err(FlightError::from));
        let batches = FlightRecordBatchStream::new_from_flight_data(messages);
        let mut response = Vec::new();
        match read_single_value(batches, self.backend.config.max_value_bytes).await? {
            SingleValue::Value(value) => write::row(&mut response, value.as_deref()),
            // The statement may have run, but its result cannot be returned to the client.
            SingleValue::Unsupported => write::empty(&mut response),
        }
        write_member_parameters(&mut response, &headers);
        Ok(response)
    }

    /// Passes a response, in messages of the PostgreSQL protocol, to the gateway.
    async fn respond(&self, mut response: Vec<u8>) -> RequestEnd {
        write::ready(&mut response);
        for frame in decode_frames(&response) {
            let event = BackendEvent::Frame(self.connection, frame);
            self.backend.notify(event).await;
        }
        RequestEnd::Reusable
    }

    fn client(&self) -> FlightServiceClient<Channel> {
        let client = FlightServiceClient::new(self.channel.clone());
        client.max_decoding_message_size(self.backend.config.max_message_bytes)
    }
}

/// The status of a request of which nothing was sent. It is that of a member which cannot serve the
/// request, so that the gateway may try another one.
fn not_sent_in_time() -> Status {
    let mut never_ran = MetadataMap::new();
    never_ran.insert(RAN_TRAILER, MetadataValue::from_static(NEVER_RAN));
    Status::with_metadata(Code::FailedPrecondition, NOT_SENT_IN_TIME, never_ran)
}

/// The ticket of a response with a single endpoint at the member itself; `None` for any other
/// response.
fn single_ticket(info: &FlightInfo) -> Option<Ticket> {
    let [endpoint] = &info.endpoint[..] else {
        return None;
    };
    let is_local = endpoint.location.is_empty();
    endpoint.ticket.clone().filter(|_| is_local)
}
