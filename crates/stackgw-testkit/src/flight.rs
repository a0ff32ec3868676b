//! A member that speaks Arrow Flight SQL, over the same log, troubles and audit as one of our first protocol. A read of a key
//! `bulk-N-BYTES` is a stream of N batches of so many bytes.

use crate::replica_group::{Done, ReplicaGroup};
use arrow_array::{BinaryArray, RecordBatch};
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::server::FlightSqlService;
use arrow_flight::sql::{CommandStatementQuery, ProstMessageExt, SqlInfo, TicketStatementQuery};
use arrow_flight::{
    Action, CancelFlightInfoResult, CancelStatus, FlightData, FlightDescriptor, FlightEndpoint,
    FlightInfo, Ticket,
};
use arrow_schema::{DataType, Field, Schema, SchemaRef};
use futures::{stream, Stream, StreamExt, TryStreamExt};
use prost::Message;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::metadata::MetadataValue;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

/// Serves the connections that it is handed, on a thread of its own.
pub(crate) fn serve(
    store: Arc<ReplicaGroup>,
    n: usize,
) -> std::io::Result<mpsc::UnboundedSender<TcpStream>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (sockets, handed) = mpsc::unbounded_channel::<TcpStream>();
    let incoming = UnboundedReceiverStream::new(handed).map(|socket| {
        socket.set_nonblocking(true)?;
        tokio::net::TcpStream::from_std(socket)
    });
    std::thread::Builder::new()
        .name(format!("m{n}"))
        .spawn(move || {
            let service =
                FlightServiceServer::new(Host { store, n }).max_encoding_message_size(usize::MAX);
            let _ = runtime.block_on(
                Server::builder()
                    .add_service(service)
                    .serve_with_incoming(incoming),
            );
        })?;
    Ok(sockets)
}

struct Host {
    store: Arc<ReplicaGroup>,
    n: usize,
}

type Batches = <Host as FlightService>::DoGetStream;

fn schema(name: &str) -> SchemaRef {
    Arc::new(Schema::new(vec![Field::new(name, DataType::Binary, true)]))
}

/// How many batches of how many bytes a key asks for.
fn bulk(text: &str) -> Option<(u64, usize)> {
    let (count, bytes) = text
        .split("'bulk-")
        .nth(1)?
        .split('\'')
        .next()?
        .split_once('-')?;
    Some((count.parse().ok()?, bytes.parse().ok()?))
}

impl Host {
    fn said<T>(&self, mut answer: Response<T>, position: u64) -> Response<T> {
        let primary = self.store.members[self.n].leads();
        let role = if primary { "leader" } else { "follower" };
        answer
            .metadata_mut()
            .insert("x-stackgw-role", MetadataValue::from_static(role));
        answer
            .metadata_mut()
            .insert("x-stackgw-position", MetadataValue::from(position));
        answer
    }

    /// One batch after another, until the reader leaves or the member's troubles say otherwise.
    fn batches(
        &self,
        count: u64,
        bytes: usize,
    ) -> impl Stream<Item = Result<FlightData, FlightError>> {
        let member = &self.store.members[self.n];
        let works = member.works();
        let ends = |after: &AtomicU64| Some(after.load(Ordering::Relaxed)).filter(|n| *n > 0);
        let (stalls, changes) = (ends(&member.stalls_after), ends(&member.changes_after));
        let value = vec![0x5a; bytes];
        let batch = move |name: &str| {
            let column = Arc::new(BinaryArray::from(vec![&value[..]]));
            RecordBatch::try_new(schema(name), vec![column]).map_err(FlightError::from)
        };
        // Encoded once: what is measured is the way, not the encoding.
        let encode = |first: Result<RecordBatch, FlightError>, schema| {
            FlightDataEncoderBuilder::new()
                .with_schema(schema)
                .with_max_flight_data_size(usize::MAX)
                .build(stream::once(async { first }))
        };
        let (first, other) = (
            encode(batch("val"), schema("val")),
            encode(batch("other"), schema("other")),
        );
        let until = changes.unwrap_or(count).min(count);
        let plain = first.try_collect::<Vec<_>>();
        let messages = async move {
            let messages = plain.await?;
            let (head, data) = messages.split_at(1);
            let repeated = (0..until).map({
                let data = data.to_vec();
                move |_| data.clone()
            });
            let head = stream::iter(head.to_vec());
            Ok::<_, FlightError>(head.chain(stream::iter(repeated.flatten())).map(Ok))
        };
        let all = stream::once(messages)
            .try_flatten()
            .chain(other.take(if changes.is_some() { 2 } else { 0 }));
        let mut sent = 0;
        all.then(move |data| {
            let _here = &works;
            sent += 1;
            let stands = stalls.is_some_and(|after| sent > after + 1);
            async move {
                if stands {
                    std::future::pending::<()>().await;
                }
                data
            }
        })
    }
}

#[tonic::async_trait]
impl FlightSqlService for Host {
    type FlightService = Host;

    async fn get_flight_info_statement(
        &self,
        query: CommandStatementQuery,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
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
        let member = &self.store.members[self.n];
        let works = member.works();
        let text = String::from_utf8_lossy(&ticket.statement_handle).into_owned();
        if member.silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let done = self.store.run(self.n, &text);
        let slow = member.slow_ms.load(Ordering::Relaxed);
        if slow > 0 {
            tokio::time::sleep(Duration::from_millis(slow)).await;
        }
        drop(works);
        let (value, position) = match done {
            Done::Value(_, position) if bulk(&text).is_some() => {
                let (count, bytes) = bulk(&text).unwrap_or_default();
                let batches = self.batches(count, bytes).map_err(Status::from).boxed();
                return Ok(self.said(Response::new(batches), position));
            }
            Done::Value(value, position) => (value, Some(position)),
            Done::Report(report) => (report.into_bytes(), None),
            Done::Nonsense => return Err(Status::invalid_argument("no statement of a client")),
            Done::NotHere(_) => {
                let mut status = Status::failed_precondition("a replica takes no writes");
                status
                    .metadata_mut()
                    .insert("x-stackgw-ran", MetadataValue::from_static("never"));
                return Err(status);
            }
        };
        if text.starts_with("INSERT") && member.cuts_writes.load(Ordering::Relaxed) {
            self.store.kill(self.n);
            self.store.revive(self.n);
            std::future::pending::<()>().await;
        }
        let column = Arc::new(BinaryArray::from(vec![&value[..]]));
        let batch = RecordBatch::try_new(schema("val"), vec![column]).map_err(FlightError::from);
        let encoded = FlightDataEncoderBuilder::new()
            .with_schema(schema("val"))
            .build(stream::once(async { batch }))
            .map_err(Status::from);
        let answer = Response::new(encoded.boxed());
        Ok(match position {
            Some(position) => self.said(answer, position),
            None => answer,
        })
    }

    async fn do_action_fallback(
        &self,
        request: Request<Action>,
    ) -> Result<Response<<Self as FlightService>::DoActionStream>, Status> {
        if request.get_ref().r#type != "CancelFlightInfo" {
            return Err(Status::unimplemented("no such action"));
        }
        // Its stream has been reset by then; what is left is to say so.
        self.store.members[self.n]
            .cancels
            .fetch_add(1, Ordering::Relaxed);
        let body = CancelFlightInfoResult {
            status: CancelStatus::Cancelled.into(),
        }
        .encode_to_vec();
        let result = arrow_flight::Result { body: body.into() };
        Ok(Response::new(stream::once(async { Ok(result) }).boxed()))
    }

    async fn register_sql_info(&self, _: i32, _: &SqlInfo) {}
}
