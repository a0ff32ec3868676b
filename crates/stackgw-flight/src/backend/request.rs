//! One request at a member.

use super::dispatcher::Backend;
use super::member_status::{connection_loss, decode_frames, write_error, write_member_parameters};
use super::value::{read_single_value, SingleValue};
use crate::protocol::CANCEL_FLIGHT_INFO;
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
use std::time::Duration;
use tokio::sync::oneshot;
use tonic::metadata::MetadataMap;
use tonic::transport::Channel;
use tonic::{Request, Status, Streaming};

/// A member is notified of a cancelled request; what it answers does not matter.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// How a request ended for its connection.
pub(super) enum RequestEnd {
    /// The connection takes another request.
    Reusable,
    /// The connection takes no other request.
    Lost(LostConnection),
    /// The gateway closed the connection while the request ran.
    ClosedByGateway,
}

/// A connection that takes no further request.
pub(super) struct LostConnection {
    /// What the gateway is to know.
    pub(super) closed: CloseReason,
    /// What is to be logged; nothing where the connection was given up on purpose.
    pub(super) reason: Option<String>,
}

/// The member's answer, before its first message.
pub(super) struct MemberResponse {
    pub(super) headers: MetadataMap,
    pub(super) messages: Streaming<FlightData>,
}

/// One request on its way.
pub(super) struct MemberRequest {
    pub(super) backend: Arc<Backend>,
    pub(super) connection: ConnectionId,
    channel: Channel,
    request: BackendRequest,
    /// By what the member can be asked to cancel the request, once it has answered GetFlightInfo.
    flight_info: Mutex<Option<FlightInfo>>,
}

impl MemberRequest {
    pub(super) fn new(
        backend: Arc<Backend>,
        connection: ConnectionId,
        channel: Channel,
        request: BackendRequest,
    ) -> Self {
        MemberRequest {
            backend,
            connection,
            channel,
            request,
            flight_info: Mutex::default(),
        }
    }

    /// Runs the request. `closed` ends when the gateway closes the connection.
    pub(super) async fn run(&self, closed: &mut oneshot::Receiver<()>) -> RequestEnd {
        if self.request.is_write {
            return self.run_write(closed).await;
        }
        let answered = async {
            match self.request.may_stream {
                true => self.relay_stream().await,
                false => self.fetch_value().await,
            }
        };
        tokio::select! {
            end = answered => end,
            _ = closed => {
                self.cancel();
                RequestEnd::ClosedByGateway
            }
        }
    }

    /// Danger: a write that was sent may run whatever is done here. It is awaited to its end even
    /// where its client has disconnected, so that its outcome is known.
    async fn run_write(&self, closed: &mut oneshot::Receiver<()>) -> RequestEnd {
        let mut answered = std::pin::pin!(self.fetch_value());
        tokio::select! {
            end = &mut answered => return end,
            _ = closed => {}
        }
        let longest = self.backend.config.write_outcome_timeout_ms;
        let timeout = Duration::from_millis(self.request.timeout_ms.max(longest));
        let count = self.backend.count_unattended_write();
        let has_ended = tokio::time::timeout(timeout, answered).await.is_ok();
        if let Some(count) = count {
            let end = if has_ended {
                "ended"
            } else {
                "did not end in time"
            };
            info!(
                self.backend.log,
                "writes whose client had left by their end: {count}; the last one {end}"
            );
        }
        RequestEnd::ClosedByGateway
    }

    /// Sends the statement. Returns what comes before the first message.
    pub(super) async fn send(&self) -> Result<MemberResponse, Status> {
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
        let ticket = single_ticket(&info);
        let ticket = ticket.ok_or_else(|| Status::internal("the answer is not in one place"))?;
        *lock(&self.flight_info) = Some(info);
        let mut request = Request::new(ticket);
        if !self.request.may_stream {
            request.set_timeout(timeout);
        }
        let (headers, messages, _) = client.do_get(request).await?.into_parts();
        Ok(MemberResponse { headers, messages })
    }

    /// Has the member stop what nobody waits for. A member that watches for reset streams has
    /// noticed already.
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

    /// Answers the gateway by a member's status.
    pub(super) async fn fail(&self, status: &Status) -> RequestEnd {
        if let Some(closed) = connection_loss(status) {
            let reason = Some(root_cause(status)).filter(|reason| !reason.is_empty());
            return RequestEnd::Lost(LostConnection { closed, reason });
        }
        let mut answer = Vec::new();
        write_error(&mut answer, status);
        self.answer(answer).await
    }

    /// A request whose answer is one value.
    async fn fetch_value(&self) -> RequestEnd {
        match self.fetch_answer().await {
            Ok(answer) => self.answer(answer).await,
            Err(status) => self.fail(&status).await,
        }
    }

    async fn fetch_answer(&self) -> Result<Vec<u8>, Status> {
        let MemberResponse { headers, messages } = self.send().await?;
        let messages = messages.map(|message| message.map_err(FlightError::from));
        let batches = FlightRecordBatchStream::new_from_flight_data(messages);
        let mut answer = Vec::new();
        match read_single_value(batches, self.backend.config.max_value_bytes).await? {
            SingleValue::Value(value) => write::row(&mut answer, value.as_deref()),
            // It may have run, and is served to nobody.
            SingleValue::OtherShape => write::empty(&mut answer),
        }
        write_member_parameters(&mut answer, &headers);
        Ok(answer)
    }

    /// Hands over an answer in the messages of the PostgreSQL protocol.
    async fn answer(&self, mut answer: Vec<u8>) -> RequestEnd {
        write::ready(&mut answer);
        for frame in decode_frames(&answer) {
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

/// The ticket of an answer that is all in one place, and that place the member itself.
fn single_ticket(info: &FlightInfo) -> Option<Ticket> {
    let [endpoint] = &info.endpoint[..] else {
        return None;
    };
    let is_local = endpoint.location.is_empty();
    endpoint.ticket.clone().filter(|_| is_local)
}
