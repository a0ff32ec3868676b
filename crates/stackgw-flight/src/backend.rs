//! The back: members that speak Flight SQL, behind the same pool, limits and router as all others.
//!
//! To the gateway each request in hand is a connection, as with our first protocol; here many of them share one HTTP/2
//! connection, as [`ChannelPool`] places them. A statement goes out as it stands, by GetFlightInfo and DoGet. What comes back is
//! one value for whoever asked for one, and a stream that passes through unread for whoever can take it.

use crate::config::BackendConfig;
use crate::protocol::{
    CANCEL_FLIGHT_INFO, LOAD_HEADER, NEVER_RAN, POSITION_HEADER, RAN_TRAILER, ROLE_HEADER,
};
use crate::relay::{open_stream, Relay, RelayReader, RelayWriter};
use crate::status::root_cause;
use crate::sync::lock;
use arrow_array::cast::AsArray;
use arrow_array::{Array, RecordBatch};
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::sql::{CommandStatementQuery, ProstMessageExt};
use arrow_flight::{
    Action, CancelFlightInfoRequest, FlightData, FlightDescriptor, FlightInfo, Ticket,
};
use arrow_ipc::MessageHeader;
use arrow_schema::DataType;
use futures::StreamExt;
use prost::Message;
use slog::{info, Logger};
use stackgw_gateway::pg::{write, Frame, FrameDecoder, Reply};
use stackgw_gateway::reducer::{BackendRequest, CloseReason, ConnectionId, StreamHeader};
use stackgw_gateway::{BackendChannels, BackendCommand, BackendEvent};
use stackgw_router::api::Outcome;
use stackgw_streams::{ChannelId, ChannelPool};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, OnceCell};
use tonic::metadata::MetadataMap;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, ConnectError, Request, Status, Streaming};

/// Bytes of one stream that HTTP/2 holds beside what the flow allows; of one connection, as many for each request.
/// Danger: a connection with less would stand still once some of its streams are not read.
const WINDOW_BYTES: u32 = 512 << 10;
/// A member is told of a cancel; its answer is of no use.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

pub(crate) struct Backend {
    config: BackendConfig,
    gateway: BackendChannels,
    relay: Arc<Relay>,
    pool: Mutex<ChannelPool<SocketAddr>>,
    connections: Mutex<HashMap<ChannelId, Arc<OnceCell<Channel>>>>,
    log: Logger,
    /// Writes that ran to their end with nobody left to be told.
    unattended_writes: AtomicU64,
    /// Connections that broke or never came up.
    lost_connections: AtomicU64,
}

/// One connection as the gateway sees it.
struct ConnectionHandle {
    asks: mpsc::UnboundedSender<BackendRequest>,
    /// Dropped, it is closed.
    _open: oneshot::Sender<()>,
}

/// How a request ended.
enum RequestEnd {
    /// The connection takes another one.
    Reusable,
    /// It takes none, and why not; nothing where that was asked for.
    Lost(CloseReason, String),
}

impl Backend {
    pub(crate) fn new(
        config: BackendConfig,
        gateway: BackendChannels,
        relay: Arc<Relay>,
        log: Logger,
    ) -> Arc<Self> {
        let pool = Mutex::new(ChannelPool::new(config.requests_per_channel));
        Arc::new(Backend {
            config,
            gateway,
            relay,
            pool,
            connections: Mutex::default(),
            log,
            unattended_writes: AtomicU64::new(0),
            lost_connections: AtomicU64::new(0),
        })
    }

    /// Does what the gateway asks, until it ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut handles: HashMap<ConnectionId, ConnectionHandle> = HashMap::new();
        while let Ok(word) = self.gateway.commands.recv().await {
            match word {
                BackendCommand::Open(id, at) => {
                    let (asks, asked) = mpsc::unbounded_channel();
                    let (open, gone) = oneshot::channel();
                    handles.insert(id, ConnectionHandle { asks, _open: open });
                    tokio::spawn(self.clone().run_connection(id, at, asked, gone));
                }
                BackendCommand::Execute(id, ask) => {
                    if let Some(handle) = handles.get(&id) {
                        let _ = handle.asks.send(ask);
                    }
                }
                BackendCommand::Close(id) => drop(handles.remove(&id)),
            }
        }
    }

    async fn notify(&self, word: BackendEvent) {
        let _ = self.gateway.events.send(word).await;
    }

    /// One connection, from its opening to its end.
    async fn run_connection(
        self: Arc<Self>,
        id: ConnectionId,
        at: SocketAddr,
        mut asked: mpsc::UnboundedReceiver<BackendRequest>,
        mut gone: oneshot::Receiver<()>,
    ) {
        let on = lock(&self.pool).assign(&at);
        let up = tokio::select! {
            up = self.connect(on, at) => up,
            _ = &mut gone => Err(None),
        };
        match up {
            Ok(channel) => {
                self.notify(BackendEvent::Connected(id)).await;
                while let Some(ask) = asked.recv().await {
                    match self.run_request(id, channel.clone(), ask, &mut gone).await {
                        Some(RequestEnd::Reusable) => {}
                        Some(RequestEnd::Lost(why, said)) => {
                            // What broke under one request is given no others.
                            lock(&self.pool).mark_broken(on);
                            self.log_lost_connection(at, &said);
                            self.notify(BackendEvent::Closed(id, why)).await;
                            break;
                        }
                        None => break,
                    }
                }
            }
            Err(why) => {
                lock(&self.pool).mark_broken(on);
                if let Some(why) = why {
                    self.notify(BackendEvent::Closed(id, why)).await;
                }
            }
        }
        if lock(&self.pool).release(on) {
            lock(&self.connections).remove(&on);
        }
    }

    /// A line for connections that broke or never came up, at the first, second, fourth, eighth one and so on.
    fn log_lost_connection(&self, at: SocketAddr, why: &str) {
        if why.is_empty() {
            return;
        }
        let count = self.lost_connections.fetch_add(1, Ordering::Relaxed) + 1;
        if count.is_power_of_two() {
            info!(self.log, "connections to members by flight sql that broke or never came up: {count}; the last one to {at}: {why}");
        }
    }

    async fn connect(&self, on: ChannelId, at: SocketAddr) -> Result<Channel, Option<CloseReason>> {
        let link = lock(&self.connections).entry(on).or_default().clone();
        let wait = Duration::from_millis(self.config.connect_timeout_ms);
        let opens = async {
            let requests = u32::try_from(self.config.requests_per_channel)
                .unwrap_or(u32::MAX)
                .saturating_add(1);
            Endpoint::from_shared(format!("http://{at}"))?
                .connect_timeout(wait)
                .tcp_nodelay(true)
                .initial_stream_window_size(WINDOW_BYTES)
                .initial_connection_window_size(
                    WINDOW_BYTES.saturating_mul(requests).min(i32::MAX as u32),
                )
                .connect()
                .await
        };
        // A host that takes the connection and then says nothing is none that is up.
        let up = tokio::time::timeout(wait, link.get_or_try_init(|| opens)).await;
        match up {
            Ok(Ok(channel)) => return Ok(channel.clone()),
            Ok(Err(why)) => self.log_lost_connection(at, &root_cause(&why)),
            Err(_) => self.log_lost_connection(at, "not up in time"),
        }
        Err(Some(CloseReason::Disconnected))
    }

    /// One request; `None`: the connection is closed from the gateway's side.
    async fn run_request(
        self: &Arc<Self>,
        id: ConnectionId,
        channel: Channel,
        ask: BackendRequest,
        gone: &mut oneshot::Receiver<()>,
    ) -> Option<RequestEnd> {
        let info = Mutex::new(None);
        let mut client = FlightServiceClient::new(channel.clone())
            .max_decoding_message_size(self.config.max_message_bytes);
        if !ask.is_write {
            let work = async {
                match ask.may_stream {
                    true => self.relay_stream(id, &mut client, &ask, &info).await,
                    false => self.fetch_value(id, &mut client, &ask, &info).await,
                }
            };
            return tokio::select! {
                ended = work => Some(ended),
                _ = gone => {
                    cancel(FlightServiceClient::new(channel), lock(&info).take());
                    None
                }
            };
        }
        // Danger: a write that was asked may run whatever is done here. It runs to its end, so that what became of it is known.
        let mut work = std::pin::pin!(self.fetch_value(id, &mut client, &ask, &info));
        tokio::select! {
            ended = &mut work => return Some(ended),
            _ = gone => {}
        }
        let wait = Duration::from_millis(ask.timeout_ms.max(self.config.write_outcome_timeout_ms));
        let count = self.unattended_writes.fetch_add(1, Ordering::Relaxed) + 1;
        let known = tokio::time::timeout(wait, work).await.is_ok();
        if count.is_power_of_two() {
            let end = if known {
                "ended"
            } else {
                "did not end in time"
            };
            info!(
                self.log,
                "writes whose client had left by their end: {count}; the last one {end}"
            );
        }
        None
    }

    /// Asks and gives what comes back before the first message, or how that ended.
    async fn send(
        &self,
        client: &mut FlightServiceClient<Channel>,
        ask: &BackendRequest,
        kept: &Mutex<Option<FlightInfo>>,
    ) -> Result<(MetadataMap, Streaming<FlightData>), Status> {
        let command = CommandStatementQuery {
            query: ask.statement.clone(),
            transaction_id: None,
        };
        let asked = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let mut request = Request::new(asked);
        request.set_timeout(Duration::from_millis(ask.timeout_ms));
        let info = client.get_flight_info(request).await?.into_inner();
        let ticket = single_ticket(&info)
            .ok_or_else(|| Status::internal("the answer is not in one place"))?;
        *lock(kept) = Some(info);
        let mut request = Request::new(ticket);
        if !ask.may_stream {
            request.set_timeout(Duration::from_millis(ask.timeout_ms));
        }
        let response = client.do_get(request).await?;
        let (said, stream, _) = response.into_parts();
        Ok((said, stream))
    }

    /// A request whose answer is one value.
    async fn fetch_value(
        &self,
        id: ConnectionId,
        client: &mut FlightServiceClient<Channel>,
        ask: &BackendRequest,
        info: &Mutex<Option<FlightInfo>>,
    ) -> RequestEnd {
        let gathered = async {
            let (said, stream) = self.send(client, ask, info).await?;
            let batches = FlightRecordBatchStream::new_from_flight_data(
                stream.map(|d| d.map_err(FlightError::from)),
            );
            let value = read_single_value(batches, self.config.max_value_bytes).await?;
            Ok((said, value))
        };
        match gathered.await {
            Ok((said, value)) => {
                let mut answer = Vec::new();
                match value {
                    Some(value) => write::row(&mut answer, value.as_deref()),
                    // An answer of another shape is no value: it may have run, and it is served to nobody.
                    None => write::empty(&mut answer),
                }
                write_member_parameters(&mut answer, &said);
                self.answer(id, answer).await
            }
            Err(status) => self.fail(id, &status).await,
        }
    }

    /// A request whose answer passes through.
    async fn relay_stream(
        self: &Arc<Self>,
        id: ConnectionId,
        client: &mut FlightServiceClient<Channel>,
        ask: &BackendRequest,
        info: &Mutex<Option<FlightInfo>>,
    ) -> RequestEnd {
        let begun = async {
            let (said, mut stream) = self.send(client, ask, info).await?;
            let first = stream.message().await?;
            Ok((said, first, stream))
        };
        let (said, first, mut stream) = match begun.await {
            Ok(begun) => begun,
            Err(status) => return self.fail(id, &status).await,
        };
        let Some(first) = first.filter(|data| message_kind(data) == Some(MessageHeader::Schema))
        else {
            return self
                .fail(
                    id,
                    &Status::internal("the stream does not begin with its schema"),
                )
                .await;
        };
        let told = parse_member_parameters(&said);
        let Some((writer, reader)) = open_stream(&self.relay) else {
            // The member has done nothing wrong, and neither is it asked again: its client is told.
            self.notify(BackendEvent::StreamStarted(
                id,
                told,
                Box::new(None::<RelayReader>),
            ))
            .await;
            self.notify(BackendEvent::StreamEnded(id, Outcome::Cancelled))
                .await;
            return RequestEnd::Lost(CloseReason::Disconnected, String::new());
        };
        writer.write(first);
        self.notify(BackendEvent::StreamStarted(
            id,
            told,
            Box::new(Some(reader)),
        ))
        .await;
        let outcome = self.relay_messages(id, writer, &mut stream).await;
        drop(stream);
        if outcome != Outcome::Served {
            cancel(client.clone(), lock(info).take());
        }
        self.notify(BackendEvent::StreamEnded(id, outcome)).await;
        match outcome {
            Outcome::Served => RequestEnd::Reusable,
            // What was ended from here is nothing to complain of.
            Outcome::Cancelled => RequestEnd::Lost(CloseReason::Disconnected, String::new()),
            _ => RequestEnd::Lost(
                CloseReason::Disconnected,
                format!("a stream ended as {outcome:?}"),
            ),
        }
    }

    /// Reads on as the flow allows, until the stream has ended one way or another.
    async fn relay_messages(
        &self,
        id: ConnectionId,
        writer: RelayWriter,
        stream: &mut Streaming<FlightData>,
    ) -> Outcome {
        let mut waited = false;
        loop {
            match writer.try_read() {
                Err(outcome) => return outcome,
                Ok(true) => {}
                Ok(false) => {
                    if !std::mem::replace(&mut waited, true) {
                        self.notify(BackendEvent::StreamStalled(id)).await;
                    }
                    if let Err(outcome) = writer.wait_until_readable().await {
                        return outcome;
                    }
                }
            }
            let next = tokio::select! {
                next = stream.message() => next,
                outcome = writer.wait_until_ended() => return outcome,
            };
            match next {
                Ok(Some(data))
                    if matches!(message_kind(&data), Some(MessageHeader::Schema) | None) =>
                {
                    writer.fail("its schema changed, or a message could not be read");
                    return Outcome::MalformedResponse;
                }
                Ok(Some(data)) => writer.write(data),
                Ok(None) => {
                    writer.finish();
                    return Outcome::Served;
                }
                Err(status) => {
                    let gone = connection_loss(&status).is_some();
                    writer.fail(status.message());
                    return if gone {
                        Outcome::ConnectionReset
                    } else {
                        Outcome::Error
                    };
                }
            }
        }
    }

    /// Hands over an answer in the messages of our first protocol.
    async fn answer(&self, id: ConnectionId, mut answer: Vec<u8>) -> RequestEnd {
        write::ready(&mut answer);
        for frame in decode_frames(&answer) {
            self.notify(BackendEvent::Frame(id, frame)).await;
        }
        RequestEnd::Reusable
    }

    /// What a status of the member means: see the table in `docs/design/flight.md`.
    async fn fail(&self, id: ConnectionId, status: &Status) -> RequestEnd {
        if let Some(lost) = connection_loss(status) {
            return RequestEnd::Lost(lost, root_cause(status));
        }
        let never = status
            .metadata()
            .get(RAN_TRAILER)
            .is_some_and(|word| word == NEVER_RAN);
        let code = match status.code() {
            Code::FailedPrecondition if never => "25006",
            Code::ResourceExhausted | Code::Unavailable if never => "53300",
            _ => "XX000",
        };
        let mut answer = Vec::new();
        write::error(&mut answer, false, code, status.message(), None);
        write_member_parameters(&mut answer, status.metadata());
        self.answer(id, answer).await
    }
}

/// Has the member stop what nobody waits for; dropping its stream has told it already, if it listens to that.
fn cancel(mut client: FlightServiceClient<Channel>, info: Option<FlightInfo>) {
    let Some(info) = info else { return };
    let body = CancelFlightInfoRequest { info: Some(info) }.encode_to_vec();
    let action = Action {
        r#type: CANCEL_FLIGHT_INFO.to_owned(),
        body: body.into(),
    };
    tokio::spawn(async move {
        drop(tokio::time::timeout(CANCEL_TIMEOUT, client.do_action(action)).await)
    });
}

/// What kind of message it is; nothing else of it is read.
fn message_kind(data: &FlightData) -> Option<MessageHeader> {
    if data.data_header.is_empty() && !data.app_metadata.is_empty() {
        return Some(MessageHeader::NONE);
    }
    arrow_ipc::root_as_message(&data.data_header)
        .ok()
        .map(|message| message.header_type())
}

/// The ticket of an answer that is all in one place, and that place the member itself.
fn single_ticket(info: &FlightInfo) -> Option<Ticket> {
    let [endpoint] = &info.endpoint[..] else {
        return None;
    };
    endpoint
        .ticket
        .clone()
        .filter(|_| endpoint.location.is_empty())
}

/// Whether a status was made here because the connection is no more: a member's own have no source.
fn connection_loss(status: &Status) -> Option<CloseReason> {
    let mut next = std::error::Error::source(status);
    next?;
    while let Some(error) = next {
        if error.is::<ConnectError>() {
            return Some(CloseReason::NotSent);
        }
        next = error.source();
    }
    Some(CloseReason::Disconnected)
}

/// What a member says of itself beside an answer, as parameters of our first protocol.
fn write_member_parameters(answer: &mut Vec<u8>, said: &MetadataMap) {
    for (header, name) in [
        (ROLE_HEADER, "node_role"),
        (POSITION_HEADER, "replay_position"),
        (LOAD_HEADER, "server_load"),
    ] {
        if let Some(value) = said.get(header).and_then(|value| value.to_str().ok()) {
            write::status(answer, name, value);
        }
    }
}

/// The same as the reducer takes it, read by the one reader that there is.
fn parse_member_parameters(said: &MetadataMap) -> StreamHeader {
    let (mut bytes, mut reply) = (Vec::new(), Reply::default());
    write_member_parameters(&mut bytes, said);
    for frame in decode_frames(&bytes) {
        let _ = reply.take(&frame, usize::MAX);
    }
    StreamHeader {
        primary: reply.primary,
        position: reply.position,
        report: reply.report,
    }
}

fn decode_frames(bytes: &[u8]) -> Vec<Frame> {
    let mut frames = FrameDecoder::server(bytes.len());
    frames.feed(bytes);
    std::iter::from_fn(|| frames.next_frame()?.ok()).collect()
}

/// The one value of one row of one column; `None`: the answer has another shape.
async fn read_single_value(
    mut batches: FlightRecordBatchStream,
    most: usize,
) -> Result<Option<Option<Vec<u8>>>, Status> {
    let (mut value, mut rows) = (None, 0);
    while let Some(batch) = batches.next().await {
        let batch: RecordBatch = batch.map_err(|e| match e {
            FlightError::Tonic(status) => *status,
            other => Status::internal(other.to_string()),
        })?;
        rows += batch.num_rows();
        if rows > 1
            || batch.num_columns() != 1
            || batch.get_array_memory_size() > most.saturating_mul(2)
        {
            return Ok(None);
        }
        if batch.num_rows() == 1 {
            let Some(found) = first_value(batch.column(0)) else {
                return Ok(None);
            };
            value = Some(found);
        }
    }
    Ok(value.filter(|value| value.as_ref().is_none_or(|bytes| bytes.len() <= most)))
}

/// A first row's bytes, where they are text or bytes.
fn first_value(column: &dyn Array) -> Option<Option<Vec<u8>>> {
    if column.is_null(0) {
        return Some(None);
    }
    Some(Some(match column.data_type() {
        DataType::Binary => column.as_binary::<i32>().value(0).to_vec(),
        DataType::LargeBinary => column.as_binary::<i64>().value(0).to_vec(),
        DataType::BinaryView => column.as_binary_view().value(0).to_vec(),
        DataType::Utf8 => column.as_string::<i32>().value(0).as_bytes().to_vec(),
        DataType::LargeUtf8 => column.as_string::<i64>().value(0).as_bytes().to_vec(),
        DataType::Utf8View => column.as_string_view().value(0).as_bytes().to_vec(),
        _ => return None,
    }))
}
