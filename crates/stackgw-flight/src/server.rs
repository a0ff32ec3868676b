//! The server: gRPC on threads of its own, one request a call through the door.

use crate::auth_service::AuthenticatedService;
use crate::backend::Backend;
use crate::cancellation::{RunningGuard, RunningRequests};
use crate::clock::unix_time_ms;
use crate::config::ServerConfig;
use crate::error::Error;
use crate::protocol::{
    decode_command, AFTER_HEADER, CANCEL_FLIGHT_INFO, CLASS_HEADER, GROUP_HEADER, ID_HEADER,
    RETRY_HEADER, TIMEOUT_HEADER,
};
use crate::relay::{Relay, RelayReader};
use crate::statement::{ParameterValue, RequestOptions, StatementError, StatementTemplate};
use crate::status::to_status;
use crate::tickets::{SealedHandle, TicketError};
use arrow_array::cast::AsArray;
use arrow_array::{Array, BinaryArray, RecordBatch, StringArray};
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::metadata::{SqlInfoData, SqlInfoDataBuilder};
use arrow_flight::sql::server::{FlightSqlService, PeekableFlightDataStream};
use arrow_flight::sql::*;
use arrow_flight::{
    Action, ActionType, CancelFlightInfoRequest, CancelFlightInfoResult, CancelStatus,
    FlightDescriptor, FlightEndpoint, FlightInfo, IpcMessage, SchemaAsIpc, SchemaResult, Ticket,
};
use arrow_ipc::writer::IpcWriteOptions;
use arrow_schema::{DataType, Field, Schema, SchemaRef};
use futures::{StreamExt, TryStreamExt};
use prost::Message;
use slog::{info, Logger};
use stackgw_gateway::pg::column_value;
use stackgw_gateway::reducer::FinalResponse;
use stackgw_gateway::{BackendChannels, FrontendResponse, RequestHandle};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::metadata::MetadataMap;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

/// The catalog's and the schema's name, and the one table's.
const CATALOG: &str = "stackgw";
const SCHEMA: &str = "public";
const TABLE: &str = "state";

/// A front that runs; dropped, it ends.
#[derive(Debug)]
pub struct ServerHandle {
    /// Where it listens.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts the front. A port in use is one plain line.
pub fn start(
    config: ServerConfig,
    gateway: RequestHandle,
    behind: BackendChannels,
    log: Logger,
) -> Result<ServerHandle, Error> {
    let listen = config.listen;
    let wrong = |source| Error::Listen {
        address: listen,
        source,
    };
    let listener = TcpListener::bind(listen).map_err(wrong)?;
    listener.set_nonblocking(true).map_err(wrong)?;
    let at = listener.local_addr().map_err(wrong)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.worker_threads)
        .thread_name("flight")
        .enable_all()
        .build()
        .map_err(wrong)?;
    let (stop, stopped) = oneshot::channel::<()>();
    info!(log, "flight sql at {at}");
    let serve = async move {
        let incoming = tokio::net::TcpListener::from_std(listener).map(TcpListenerStream::new);
        let Ok(incoming) = incoming else { return };
        // Danger: an answer's last small frame would else wait for the client's word on the one before it, 40 ms.
        let incoming = incoming.map(|socket| {
            let socket = socket?;
            socket.set_nodelay(true)?;
            Ok::<_, std::io::Error>(socket)
        });
        let passing = Relay::new(config.stream_limits);
        tokio::spawn(passing.clone().run_timer());
        tokio::spawn(Backend::new(config.backend.clone(), behind, passing, log.clone()).run());
        let permits = Arc::new(Semaphore::new(config.max_requests));
        let front = Frontend {
            permits,
            gateway,
            sql_info: sql_info(),
            config,
            running: Arc::default(),
        };
        let streams = front.config.max_streams_per_connection;
        let served = Server::builder()
            .max_concurrent_streams(Some(streams))
            .http2_max_header_list_size(Some(16 << 10))
            .http2_max_pending_accept_reset_streams(Some(20))
            .http2_keepalive_interval(Some(Duration::from_secs(10)))
            .http2_keepalive_timeout(Some(Duration::from_secs(10)))
            .add_service(
                FlightServiceServer::new(AuthenticatedService(Arc::new(front)))
                    .max_decoding_message_size(256 << 10),
            )
            .serve_with_incoming_shutdown(incoming, async { drop(stopped.await) });
        if let Err(why) = served.await {
            info!(log, "flight sql ended: {why}");
        }
    };
    // What is still open when the gateway ends has had its answer by then; nobody waits for idle connections.
    let thread = std::thread::Builder::new()
        .name("flight".to_owned())
        .spawn(move || {
            let _ = runtime.block_on(runtime.spawn(serve));
            runtime.shutdown_timeout(Duration::from_millis(100));
        });
    Ok(ServerHandle {
        address: at,
        stop: Some(stop),
        thread: Some(thread.map_err(wrong)?),
    })
}

pub(crate) struct Frontend {
    pub(crate) config: ServerConfig,
    gateway: RequestHandle,
    permits: Arc<Semaphore>,
    sql_info: Result<SqlInfoData, FlightError>,
    running: Arc<RunningRequests>,
}

type Stream = <Frontend as FlightService>::DoGetStream;

fn invalid(why: &StatementError) -> Status {
    Status::invalid_argument(why.to_string())
}

fn unusable(why: TicketError) -> Status {
    Status::unauthenticated(why.to_string())
}

/// The one column that a value comes in.
fn schema() -> SchemaRef {
    Arc::new(Schema::new(vec![Field::new("val", DataType::Binary, true)]))
}

/// The answer to which types of tables there are, as the protocol has it.
fn table_types() -> SchemaRef {
    Arc::new(Schema::new(vec![Field::new(
        "table_type",
        DataType::Utf8,
        false,
    )]))
}

/// The parameters of a statement: a key, and a value for one that writes.
fn parameters(asked: &StatementTemplate) -> Schema {
    let fields = [
        Field::new("uid", DataType::Utf8, false),
        Field::new("val", DataType::Binary, false),
    ];
    Schema::new(
        fields
            .into_iter()
            .take(asked.open_parameters())
            .collect::<Vec<_>>(),
    )
}

fn ipc(schema: &Schema) -> Result<IpcMessage, Status> {
    let options = IpcWriteOptions::default();
    IpcMessage::try_from(SchemaAsIpc::new(schema, &options))
        .map_err(|e| Status::internal(e.to_string()))
}

fn headers<T>(request: &Request<T>, slack_ms: u64) -> Result<RequestOptions, Status> {
    let metadata = request.metadata();
    let text = |name: &str| -> Result<Option<String>, Status> {
        let Some(value) = metadata.get(name) else {
            return Ok(None);
        };
        let text = value
            .to_str()
            .map_err(|_| Status::invalid_argument(format!("{name} is no text")))?;
        Ok(Some(text.to_owned()))
    };
    Ok(RequestOptions {
        class: text(CLASS_HEADER)?,
        group: text(GROUP_HEADER)?,
        id: text(ID_HEADER)?,
        after: text(AFTER_HEADER)?,
        retry: text(RETRY_HEADER)?,
        timeout_ms: timeout_ms(metadata, slack_ms)?,
    })
}

/// `grpc-timeout`: up to eight digits and a unit; less what an answer needs on its way, as the client counts to the end.
fn timeout_ms(metadata: &MetadataMap, slack_ms: u64) -> Result<Option<u64>, Status> {
    let Some(value) = metadata.get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let wrong = || Status::invalid_argument("grpc-timeout is no time");
    let text = value.to_str().map_err(|_| wrong())?;
    let (digits, unit) = text
        .split_at_checked(text.len().saturating_sub(1))
        .ok_or_else(wrong)?;
    let plain = (1..=8).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
    let number: u64 = digits.parse().ok().filter(|_| plain).ok_or_else(wrong)?;
    let ms = match unit {
        "H" => number * 3_600_000,
        "M" => number * 60_000,
        "S" => number * 1_000,
        "m" => number,
        "u" => number / 1_000,
        "n" => number / 1_000_000,
        _ => return Err(wrong()),
    };
    Ok(Some(ms - slack_ms.min(ms / 2)))
}

/// Danger: a ticket or a handle may be used more than once, and a write must not.
fn check_is_read(asked: &StatementTemplate) -> Result<(), Status> {
    let wrong = || Status::invalid_argument("a statement that writes goes by DoPut");
    (!asked.is_write()).then_some(()).ok_or_else(wrong)
}

fn check_bound(asked: &StatementTemplate) -> Result<(), Status> {
    let open = || Status::invalid_argument("parameters are not bound");
    (asked.open_parameters() == 0)
        .then_some(())
        .ok_or_else(open)
}

/// The value of a served request; else its status.
fn served_value(ended: FinalResponse) -> Result<Option<Vec<u8>>, Status> {
    match ended {
        FinalResponse::Served(row) => match column_value(&row) {
            Some(value) => Ok(value.map(<[u8]>::to_vec)),
            None => Err(Status::aborted("the member's row has no value")),
        },
        ended => Err(to_status(&ended)),
    }
}

fn stream(schema: SchemaRef, batch: Result<RecordBatch, FlightError>) -> Response<Stream> {
    let encoded = FlightDataEncoderBuilder::new()
        .with_schema(schema)
        .build(futures::stream::once(async { batch }))
        .map_err(Status::from);
    Response::new(encoded.boxed())
}

fn info(
    schema: &Schema,
    ticket: Vec<u8>,
    descriptor: FlightDescriptor,
) -> Result<Response<FlightInfo>, Status> {
    info_with(Some(schema), ticket, descriptor)
}

/// Without a schema where only the answer tells it, as the protocol allows.
fn info_with(
    schema: Option<&Schema>,
    ticket: Vec<u8>,
    descriptor: FlightDescriptor,
) -> Result<Response<FlightInfo>, Status> {
    let endpoint = FlightEndpoint::new().with_ticket(Ticket::new(ticket));
    let mut info = FlightInfo::new();
    if let Some(schema) = schema {
        info = info
            .try_with_schema(schema)
            .map_err(|e| Status::internal(e.to_string()))?;
    }
    Ok(Response::new(
        info.with_endpoint(endpoint).with_descriptor(descriptor),
    ))
}

/// What a running request is known by: the sealed handle in its ticket.
fn handle_of(info: Option<&FlightInfo>) -> Option<Vec<u8>> {
    let ticket = &info?.endpoint.first()?.ticket.as_ref()?.ticket;
    let statement =
        decode_command::<TicketStatementQuery>(ticket).map(|t| t.statement_handle.to_vec());
    let prepared = || {
        decode_command::<CommandPreparedStatementQuery>(ticket)
            .map(|t| t.prepared_statement_handle.to_vec())
    };
    statement.or_else(prepared)
}

fn sql_info() -> Result<SqlInfoData, FlightError> {
    let mut builder = SqlInfoDataBuilder::new();
    builder.append(SqlInfo::FlightSqlServerName, "stackgw");
    builder.append(SqlInfo::FlightSqlServerVersion, env!("CARGO_PKG_VERSION"));
    builder.append(SqlInfo::FlightSqlServerArrowVersion, "60");
    builder.append(SqlInfo::FlightSqlServerReadOnly, false);
    builder.append(SqlInfo::FlightSqlServerSql, true);
    builder.append(SqlInfo::FlightSqlServerSubstrait, false);
    builder.append(SqlInfo::FlightSqlServerTransaction, 0i32);
    builder.append(SqlInfo::FlightSqlServerCancel, true);
    builder.build()
}

/// `CANCEL_RESULT_CANCELLED` of the older action for the same, whose names the library keeps to itself.
const CANCEL_RESULT_CANCELLED: i32 = 1;

impl Frontend {
    /// The schema of a statement's answer, where it is known before the answer.
    fn answer_schema(&self, asked: &StatementTemplate) -> Option<SchemaRef> {
        let brings = self
            .config
            .flight_groups
            .iter()
            .any(|group| asked.is_for_group(*group));
        (!brings).then(schema)
    }

    /// What GetSchema tells of a command.
    pub(crate) fn schema_of_command(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<SchemaResult, Status> {
        let bytes = request.get_ref().cmd.clone();
        let asked = if let Some(query) = decode_command::<CommandStatementQuery>(&bytes) {
            self.parse_statement(&query.query, query.transaction_id.as_ref(), &request)?
        } else if let Some(query) = decode_command::<CommandPreparedStatementQuery>(&bytes) {
            self.open_prepared(&query.prepared_statement_handle)?
        } else if decode_command::<CommandGetTableTypes>(&bytes).is_some() {
            return ipc(&table_types()).map(|IpcMessage(schema)| SchemaResult { schema });
        } else {
            return Err(Status::unimplemented(
                "the schema of statements and table types is told",
            ));
        };
        let none = || Status::unimplemented("this group's members tell the schema with the answer");
        let IpcMessage(schema) = ipc(&*self.answer_schema(&asked).ok_or_else(none)?)?;
        Ok(SchemaResult { schema })
    }

    /// Stops what runs here by a client's word. What runs at another instance is stopped there alone.
    fn cancel(&self, info: Option<&FlightInfo>) -> Result<(), Status> {
        let handle = handle_of(info)
            .ok_or_else(|| Status::invalid_argument("that holds no ticket of ours"))?;
        match SealedHandle::open(&self.config.key_ring, &handle, unix_time_ms()) {
            Err(TicketError::Foreign) => return Err(unusable(TicketError::Foreign)),
            Err(TicketError::Expired | TicketError::WrongKind) | Ok(_) => {}
        }
        let none = || Status::not_found("no such query runs at this gateway");
        self.running.cancel(&handle).then_some(()).ok_or_else(none)
    }

    pub(crate) fn expires_at_ms(&self) -> u64 {
        unix_time_ms().saturating_add(self.config.ticket_lifetime_ms)
    }

    fn timeout_ms<T>(&self, request: &Request<T>) -> Result<Option<u64>, Status> {
        timeout_ms(request.metadata(), self.config.answer_slack_ms)
    }

    fn parse_statement<T>(
        &self,
        query: &str,
        transaction: Option<&prost::bytes::Bytes>,
        request: &Request<T>,
    ) -> Result<StatementTemplate, Status> {
        if transaction.is_some_and(|id| !id.is_empty()) {
            return Err(Status::unimplemented("there are no transactions"));
        }
        StatementTemplate::parse(query, &headers(request, self.config.answer_slack_ms)?)
            .map_err(|why| invalid(&why))
    }

    fn open_prepared(&self, handle: &[u8]) -> Result<StatementTemplate, Status> {
        match SealedHandle::open(&self.config.key_ring, handle, unix_time_ms()).map_err(unusable)? {
            SealedHandle::Prepared(asked) => Ok(asked),
            _ => Err(unusable(TicketError::WrongKind)),
        }
    }

    /// RunningRequests a statement; gives its value. Dropped, it is called off.
    async fn run(
        &self,
        asked: &StatementTemplate,
        wait_ms: Option<u64>,
    ) -> Result<Option<Vec<u8>>, Status> {
        check_bound(asked)?;
        let _permit = self.acquire_permit()?;
        served_value(self.gateway.execute(self.render(asked, wait_ms)).await)
    }

    fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, Status> {
        let full = |_| to_status(&FinalResponse::Rejected("too many requests are open", None));
        self.permits.clone().try_acquire_owned().map_err(full)
    }

    fn render(&self, asked: &StatementTemplate, wait_ms: Option<u64>) -> String {
        let wait = wait_ms
            .unwrap_or(self.config.request_timeout_ms)
            .min(self.config.request_timeout_ms);
        asked.render(&format!("f{:032x}", rand::random::<u128>()), wait)
    }

    /// RunningRequests a statement that reads: a member's stream as it comes, or one value as a row of its own.
    async fn execute_query(
        &self,
        asked: &StatementTemplate,
        wait_ms: Option<u64>,
        guard: RunningGuard,
    ) -> Result<Response<Stream>, Status> {
        check_bound(asked)?;
        let permit = self.acquire_permit()?;
        let (answer, waits) = tokio::select! {
            answered = self.gateway.execute_streaming(self.render(asked, wait_ms)) => answered,
            () = guard.cancelled() => return Err(Status::cancelled("cancelled on the client's request")),
        };
        let value = match answer {
            FrontendResponse::Final(ended) => served_value(ended)?,
            FrontendResponse::Stream(passed) => {
                let reader = passed
                    .downcast::<Option<RelayReader>>()
                    .ok()
                    .and_then(|reader| *reader);
                let full =
                    || to_status(&FinalResponse::Rejected("too many streams are open", None));
                let mut reader = reader.ok_or_else(full)?;
                // A client that named no time reads for as long as it goes on.
                if let Some(wait) = asked.timeout_ms(wait_ms) {
                    reader.set_timeout(Duration::from_millis(wait));
                }
                guard.on_cancel(reader.canceller());
                reader.attach_guards((waits, permit, guard));
                return Ok(Response::new(reader.boxed()));
            }
        };
        let column = BinaryArray::from(vec![value.as_deref()]);
        Ok(stream(
            schema(),
            RecordBatch::try_new(schema(), vec![Arc::new(column)]).map_err(FlightError::from),
        ))
    }

    async fn execute_update(
        &self,
        asked: &StatementTemplate,
        wait_ms: Option<u64>,
    ) -> Result<i64, Status> {
        if !asked.is_write() {
            return Err(Status::invalid_argument(
                "a statement that reads goes by GetFlightInfo and DoGet",
            ));
        }
        self.run(asked, wait_ms).await.map(|_| 1)
    }

    /// The parameters that a client sends: one batch of one row.
    async fn read_parameters(
        &self,
        data: PeekableFlightDataStream,
    ) -> Result<Vec<ParameterValue>, Status> {
        let batches =
            FlightRecordBatchStream::new_from_flight_data(data.map_err(FlightError::from));
        let batches: Vec<RecordBatch> = batches.take(2).try_collect().await?;
        let [batch] = &batches[..] else {
            return Err(Status::invalid_argument("parameters come in one batch"));
        };
        if batch.num_rows() != 1 {
            return Err(Status::invalid_argument(
                "parameters come in one row: each is a request of its own",
            ));
        }
        let value = |column: &Arc<dyn Array>| match column.data_type() {
            DataType::Utf8 => Some(ParameterValue::Text(
                column.as_string::<i32>().value(0).to_owned(),
            )),
            DataType::LargeUtf8 => Some(ParameterValue::Text(
                column.as_string::<i64>().value(0).to_owned(),
            )),
            DataType::Utf8View => Some(ParameterValue::Text(
                column.as_string_view().value(0).to_owned(),
            )),
            DataType::Binary => Some(ParameterValue::Bytes(
                column.as_binary::<i32>().value(0).to_vec(),
            )),
            DataType::LargeBinary => Some(ParameterValue::Bytes(
                column.as_binary::<i64>().value(0).to_vec(),
            )),
            _ => None,
        };
        let values: Option<Vec<_>> = batch
            .columns()
            .iter()
            .filter(|c| !c.is_null(0))
            .map(value)
            .collect();
        values.ok_or_else(|| Status::invalid_argument("parameters are texts and bytes"))
    }
}

#[tonic::async_trait]
impl FlightSqlService for Frontend {
    type FlightService = Frontend;

    async fn get_flight_info_statement(
        &self,
        query: CommandStatementQuery,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let asked = self.parse_statement(&query.query, query.transaction_id.as_ref(), &request)?;
        check_is_read(&asked)?;
        let schema = self.answer_schema(&asked);
        let sealed = SealedHandle::Ticket {
            statement: asked.without_id(),
            nonce: rand::random(),
        }
        .seal(&self.config.key_ring, self.expires_at_ms());
        let ticket = TicketStatementQuery {
            statement_handle: sealed.into(),
        };
        info_with(
            schema.as_deref(),
            ticket.as_any().encode_to_vec(),
            request.into_inner(),
        )
    }

    async fn do_get_statement(
        &self,
        ticket: TicketStatementQuery,
        request: Request<Ticket>,
    ) -> Result<Response<Stream>, Status> {
        let wait = self.timeout_ms(&request)?;
        match SealedHandle::open(
            &self.config.key_ring,
            &ticket.statement_handle,
            unix_time_ms(),
        )
        .map_err(unusable)?
        {
            SealedHandle::Ticket {
                statement: asked, ..
            } => {
                self.execute_query(
                    &asked,
                    wait,
                    self.running.register(&ticket.statement_handle),
                )
                .await
            }
            _ => Err(unusable(TicketError::WrongKind)),
        }
    }

    async fn do_put_statement_update(
        &self,
        ticket: CommandStatementUpdate,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        let asked =
            self.parse_statement(&ticket.query, ticket.transaction_id.as_ref(), &request)?;
        self.execute_update(&asked, self.timeout_ms(&request)?)
            .await
    }

    async fn do_action_create_prepared_statement(
        &self,
        query: ActionCreatePreparedStatementRequest,
        request: Request<Action>,
    ) -> Result<ActionCreatePreparedStatementResult, Status> {
        let asked = self
            .parse_statement(&query.query, query.transaction_id.as_ref(), &request)?
            .without_id();
        let dataset = match self.answer_schema(&asked) {
            Some(schema) => ipc(&schema)?.0,
            None => prost::bytes::Bytes::new(),
        };
        let IpcMessage(parameters) = ipc(&parameters(&asked))?;
        let handle =
            SealedHandle::Prepared(asked).seal(&self.config.key_ring, self.expires_at_ms());
        Ok(ActionCreatePreparedStatementResult {
            prepared_statement_handle: handle.into(),
            dataset_schema: dataset,
            parameter_schema: parameters,
        })
    }

    async fn do_action_close_prepared_statement(
        &self,
        _: ActionClosePreparedStatementRequest,
        _: Request<Action>,
    ) -> Result<(), Status> {
        Ok(()) // Nothing is held for it here.
    }

    async fn do_put_prepared_statement_query(
        &self,
        query: CommandPreparedStatementQuery,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<DoPutPreparedStatementResult, Status> {
        let asked = self.open_prepared(&query.prepared_statement_handle)?;
        let bound = asked
            .bind(&self.read_parameters(request.into_inner()).await?)
            .map_err(|why| invalid(&why))?;
        let handle =
            SealedHandle::Prepared(bound).seal(&self.config.key_ring, self.expires_at_ms());
        Ok(DoPutPreparedStatementResult {
            prepared_statement_handle: Some(handle.into()),
        })
    }

    async fn do_put_prepared_statement_update(
        &self,
        query: CommandPreparedStatementUpdate,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        let wait = self.timeout_ms(&request)?;
        let mut asked = self.open_prepared(&query.prepared_statement_handle)?;
        if asked.open_parameters() > 0 {
            asked = asked
                .bind(&self.read_parameters(request.into_inner()).await?)
                .map_err(|why| invalid(&why))?;
        }
        self.execute_update(&asked, wait).await
    }

    async fn get_flight_info_prepared_statement(
        &self,
        query: CommandPreparedStatementQuery,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let asked = self.open_prepared(&query.prepared_statement_handle)?;
        check_is_read(&asked)?;
        let schema = self.answer_schema(&asked);
        info_with(
            schema.as_deref(),
            query.as_any().encode_to_vec(),
            request.into_inner(),
        )
    }

    async fn do_get_prepared_statement(
        &self,
        query: CommandPreparedStatementQuery,
        request: Request<Ticket>,
    ) -> Result<Response<Stream>, Status> {
        let asked = self.open_prepared(&query.prepared_statement_handle)?;
        check_is_read(&asked)?;
        let guard = self.running.register(&query.prepared_statement_handle);
        self.execute_query(&asked, self.timeout_ms(&request)?, guard)
            .await
    }

    async fn get_flight_info_catalogs(
        &self,
        query: CommandGetCatalogs,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let ticket = query.as_any().encode_to_vec();
        info(&query.into_builder().schema(), ticket, request.into_inner())
    }

    async fn do_get_catalogs(
        &self,
        query: CommandGetCatalogs,
        _: Request<Ticket>,
    ) -> Result<Response<Stream>, Status> {
        let mut builder = query.into_builder();
        builder.append(CATALOG);
        let schema = builder.schema();
        Ok(stream(schema, builder.build()))
    }

    async fn get_flight_info_schemas(
        &self,
        query: CommandGetDbSchemas,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let ticket = query.as_any().encode_to_vec();
        info(&query.into_builder().schema(), ticket, request.into_inner())
    }

    async fn do_get_schemas(
        &self,
        query: CommandGetDbSchemas,
        _: Request<Ticket>,
    ) -> Result<Response<Stream>, Status> {
        let mut builder = query.into_builder();
        builder.append(CATALOG, SCHEMA);
        let schema = builder.schema();
        Ok(stream(schema, builder.build()))
    }

    async fn get_flight_info_tables(
        &self,
        query: CommandGetTables,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let ticket = query.as_any().encode_to_vec();
        info(&query.into_builder().schema(), ticket, request.into_inner())
    }

    async fn do_get_tables(
        &self,
        query: CommandGetTables,
        _: Request<Ticket>,
    ) -> Result<Response<Stream>, Status> {
        let columns = Schema::new(vec![
            Field::new("uid", DataType::Utf8, false),
            Field::new("val", DataType::Binary, true),
        ]);
        let mut builder = query.into_builder();
        builder
            .append(CATALOG, SCHEMA, TABLE, "TABLE", &columns)
            .map_err(Status::from)?;
        let schema = builder.schema();
        Ok(stream(schema, builder.build()))
    }

    async fn get_flight_info_table_types(
        &self,
        query: CommandGetTableTypes,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        info(
            &table_types(),
            query.as_any().encode_to_vec(),
            request.into_inner(),
        )
    }

    async fn do_get_table_types(
        &self,
        _: CommandGetTableTypes,
        _: Request<Ticket>,
    ) -> Result<Response<Stream>, Status> {
        let types = Arc::new(StringArray::from(vec!["TABLE"]));
        let batch = RecordBatch::try_new(table_types(), vec![types]).map_err(FlightError::from);
        Ok(stream(table_types(), batch))
    }

    async fn get_flight_info_sql_info(
        &self,
        query: CommandGetSqlInfo,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let ticket = query.as_any().encode_to_vec();
        let data = self
            .sql_info
            .as_ref()
            .map_err(|e| Status::internal(e.to_string()))?;
        info(
            &query.into_builder(data).schema(),
            ticket,
            request.into_inner(),
        )
    }

    async fn do_get_sql_info(
        &self,
        query: CommandGetSqlInfo,
        _: Request<Ticket>,
    ) -> Result<Response<Stream>, Status> {
        let data = self
            .sql_info
            .as_ref()
            .map_err(|e| Status::internal(e.to_string()))?;
        let builder = query.into_builder(data);
        let schema = builder.schema();
        Ok(stream(schema, builder.build()))
    }

    async fn list_custom_actions(&self) -> Option<Vec<Result<ActionType, Status>>> {
        let description = "Stops the query of a FlightInfo that runs at this gateway".to_owned();
        Some(vec![Ok(ActionType {
            r#type: CANCEL_FLIGHT_INFO.to_owned(),
            description,
        })])
    }

    async fn do_action_fallback(
        &self,
        request: Request<Action>,
    ) -> Result<Response<<Self as FlightService>::DoActionStream>, Status> {
        if request.get_ref().r#type != CANCEL_FLIGHT_INFO {
            return Err(Status::unimplemented("there is no such action"));
        }
        let asked = CancelFlightInfoRequest::decode(&*request.get_ref().body);
        let asked =
            asked.map_err(|e| Status::invalid_argument(format!("the action's body: {e}")))?;
        self.cancel(asked.info.as_ref())?;
        let body = CancelFlightInfoResult {
            status: CancelStatus::Cancelled.into(),
        }
        .encode_to_vec();
        let result = arrow_flight::Result { body: body.into() };
        Ok(Response::new(
            futures::stream::once(async { Ok(result) }).boxed(),
        ))
    }

    async fn do_action_cancel_query(
        &self,
        query: ActionCancelQueryRequest,
        _: Request<Action>,
    ) -> Result<ActionCancelQueryResult, Status> {
        let info = FlightInfo::decode(&*query.info);
        let info = info.map_err(|e| Status::invalid_argument(format!("the action's body: {e}")))?;
        self.cancel(Some(&info))?;
        Ok(ActionCancelQueryResult {
            result: CANCEL_RESULT_CANCELLED,
        })
    }

    async fn register_sql_info(&self, _: i32, _: &SqlInfo) {}
}
