//! A member that speaks Arrow Flight SQL, with the same log, faults and execution log as one that speaks PostgreSQL's
//! protocol. Its capacity is not limited, and arrivals are not recorded. One thread serves all its connections.

use crate::bulk_stream::{batch, schema, BulkRequest, VALUE_COLUMN};
use crate::member::FakeMember;
use crate::replicated_log::{ReplicatedLog, StatementOutcome};
use crate::statements::WRITE_KEYWORD;
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::server::FlightSqlService;
use arrow_flight::sql::{CommandStatementQuery, ProstMessageExt, SqlInfo, TicketStatementQuery};
use arrow_flight::{
    Action, CancelFlightInfoResult, CancelStatus, FlightDescriptor, FlightEndpoint, FlightInfo,
    Ticket,
};
use futures::{stream, StreamExt, TryStreamExt};
use prost::Message;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::metadata::MetadataValue;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

/// How long a member that ends lets pass between the notice to its clients and its last reply.
const END_NOTICE: Duration = Duration::from_millis(50);
/// The action type of a client's cancellation.
const CANCEL_ACTION: &str = "CancelFlightInfo";

/// The protocol front end of one member.
pub(crate) struct FlightMember {
    pub(crate) index: usize,
    pub(crate) member: Arc<FakeMember>,
    pub(crate) log: Arc<ReplicatedLog>,
    /// Ends the member gracefully.
    pub(crate) ending: Arc<Notify>,
}

type Batches = <FlightMember as FlightService>::DoGetStream;

impl FlightMember {
    /// Starts a thread that serves the connections sent through the returned channel.
    pub(crate) fn spawn(self) -> std::io::Result<mpsc::UnboundedSender<TcpStream>> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (connections, accepted) = mpsc::unbounded_channel::<TcpStream>();
        let incoming = UnboundedReceiverStream::new(accepted).map(|socket| {
            socket.set_nonblocking(true)?;
            tokio::net::TcpStream::from_std(socket)
        });
        let thread = std::thread::Builder::new().name(format!("m{}", self.index));
        let ending = self.ending.clone();
        let service = FlightServiceServer::new(self).max_encoding_message_size(usize::MAX);
        thread.spawn(move || {
            let server = Server::builder().add_service(service);
            let ended = async move { ending.notified().await };
            let _ = runtime.block_on(server.serve_with_incoming_shutdown(incoming, ended));
        })?;
        Ok(connections)
    }

    /// Adds the member's role and position to an answer.
    fn with_position<T>(&self, mut answer: Response<T>, position_ms: u64) -> Response<T> {
        let metadata = answer.metadata_mut();
        let role = MetadataValue::from_static(self.member.role());
        metadata.insert("x-stackgw-role", role);
        metadata.insert("x-stackgw-position", MetadataValue::from(position_ms));
        answer
    }

    /// Runs a statement, with the delay that the member's faults add.
    async fn execute(&self, text: &str) -> StatementOutcome {
        let _in_flight = self.member.begin_work();
        if self.member.is_unresponsive() {
            std::future::pending::<()>().await;
        }
        let outcome = self.log.execute(&self.member, text);
        if let Some(delay) = self.member.delay() {
            tokio::time::sleep(delay).await;
        }
        outcome
    }

    /// Runs a write, and ends before its result can be fetched. The reply to GetFlightInfo leaves once all connections have been
    /// told.
    async fn run_and_end(&self, text: &str) {
        self.execute(text).await;
        self.member.stop_listening();
        self.ending.notify_one();
        tokio::time::sleep(END_NOTICE).await;
    }

    /// An answer that consists of one batch.
    fn answer(&self, value: &[u8], position_ms: Option<u64>) -> Response<Batches> {
        let batch = batch(VALUE_COLUMN, value);
        let encoded = FlightDataEncoderBuilder::new()
            .with_schema(schema(VALUE_COLUMN))
            .build(stream::once(async { batch }))
            .map_err(Status::from);
        let answer = Response::new(encoded.boxed());
        match position_ms {
            Some(position_ms) => self.with_position(answer, position_ms),
            None => answer,
        }
    }
}

fn not_primary() -> Status {
    let mut status = Status::failed_precondition("a replica takes no writes");
    let never = MetadataValue::from_static("never");
    status.metadata_mut().insert("x-stackgw-ran", never);
    status
}

#[tonic::async_trait]
impl FlightSqlService for FlightMember {
    type FlightService = FlightMember;

    async fn get_flight_info_statement(
        &self,
        query: CommandStatementQuery,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        if query.query.starts_with(WRITE_KEYWORD)
            && self.member.ends_after_write.swap(false, Ordering::SeqCst)
        {
            self.run_and_end(&query.query).await;
        }
        let ticket = TicketStatementQuery {
            statement_handle: query.query.into_bytes().into(),
        };
        let endpoint =
            FlightEndpoint::new().with_ticket(Ticket::new(ticket.as_any().encode_to_vec()));
        let info = FlightInfo::new()
            .with_endpoint(endpoint)
            .with_descriptor(request.into_inner());
        Ok(Response::new(info))
    }

    async fn do_get_statement(
        &self,
        ticket: TicketStatementQuery,
        _: Request<Ticket>,
    ) -> Result<Response<Batches>, Status> {
        let text = String::from_utf8_lossy(&ticket.statement_handle).into_owned();
        let (value, position_ms) = match self.execute(&text).await {
            StatementOutcome::Value { value, position_ms } => (value, Some(position_ms)),
            StatementOutcome::LoadReport(report) => (report.into_bytes(), None),
            StatementOutcome::Malformed => {
                return Err(Status::invalid_argument("no statement of a client"))
            }
            StatementOutcome::NotPrimary { .. } => return Err(not_primary()),
        };
        if let (Some(bulk), Some(position_ms)) = (BulkRequest::parse(&text), position_ms) {
            let batches = bulk.stream(&self.member).map_err(Status::from).boxed();
            return Ok(self.with_position(Response::new(batches), position_ms));
        }
        if text.starts_with(WRITE_KEYWORD) && self.member.is_dropping_write_replies() {
            self.member.kill();
            self.member.revive();
            std::future::pending::<()>().await;
        }
        Ok(self.answer(&value, position_ms))
    }

    async fn do_action_fallback(
        &self,
        request: Request<Action>,
    ) -> Result<Response<<Self as FlightService>::DoActionStream>, Status> {
        if request.get_ref().r#type != CANCEL_ACTION {
            return Err(Status::unimplemented("no such action"));
        }
        // The client has already reset the stream, so all that is left is to count and confirm the cancellation.
        self.member.cancellations.fetch_add(1, Ordering::Relaxed);
        let body = CancelFlightInfoResult {
            status: CancelStatus::Cancelled.into(),
        }
        .encode_to_vec();
        let result = arrow_flight::Result { body: body.into() };
        Ok(Response::new(stream::once(async { Ok(result) }).boxed()))
    }

    async fn register_sql_info(&self, _: i32, _: &SqlInfo) {}
}
