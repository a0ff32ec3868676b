//! Clients of a gateway over either protocol. They report outcomes in the same terms, so that the conformance suite runs over
//! both.

use arrow_array::cast::AsArray;
use arrow_array::RecordBatch;
use arrow_flight::error::FlightError;
use arrow_flight::sql::client::FlightSqlServiceClient;
use arrow_flight::{FlightData, FlightInfo};
use futures::{StreamExt, TryStreamExt};
use stackgw_testkit::{Client, RequestOutcome, GROUP};
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tonic::transport::{Channel, Endpoint};
use tonic::Code;

/// The outcome of a request, in terms that both protocols share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientOutcome {
    Served(String),
    Rejected,
    Failed,
    Malformed,
    /// The client left before it got an answer.
    ClientLeft,
}

/// A request over either protocol.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub class: &'static str,
    pub key: String,
    /// The value of a write; `None` for a read.
    pub value: Option<u32>,
    pub id: Option<String>,
    pub timeout_ms: u64,
    /// The client leaves after this time without an answer.
    pub leave_after: Option<Duration>,
    pub group: u32,
}

impl ClientRequest {
    pub fn read(class: &'static str, key: &str) -> Self {
        let key = key.to_owned();
        ClientRequest {
            class,
            key,
            value: None,
            id: None,
            timeout_ms: 900,
            leave_after: None,
            group: GROUP,
        }
    }

    pub fn write(key: &str, value: u32) -> Self {
        ClientRequest {
            value: Some(value),
            timeout_ms: 2_500,
            ..ClientRequest::read("buy", key)
        }
    }

    fn statement(&self) -> String {
        let key = &self.key;
        match self.value {
            Some(value) => {
                format!(
                    "INSERT INTO state (uid, val) VALUES ('{key}', '\\x{value:08x}') RETURNING val"
                )
            }
            None => format!("SELECT val FROM state WHERE uid = '{key}'"),
        }
    }
}

/// The outcome of a request that is served with this value.
pub fn served(value: u32) -> ClientOutcome {
    ClientOutcome::Served(format!("{value:08x}"))
}

/// A client of one gateway.
pub trait ProtocolClient: Send {
    fn send(&mut self, request: &ClientRequest) -> ClientOutcome;

    /// Retries for up to 10 s while the request is rejected: a gateway that has just started may not know its members yet.
    fn send_with_retries(&mut self, request: &ClientRequest) -> ClientOutcome {
        let since = Instant::now();
        loop {
            let outcome = self.send(request);
            if outcome != ClientOutcome::Rejected || since.elapsed() > Duration::from_secs(10) {
                return outcome;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// A client that speaks the PostgreSQL protocol.
pub struct PostgresClient {
    address: SocketAddr,
    /// The connection, which requests share; `None` before the first one and after the client has left.
    connection: Option<Client>,
}

impl PostgresClient {
    pub fn new(address: SocketAddr) -> Self {
        PostgresClient {
            address,
            connection: None,
        }
    }
}

fn new_id() -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!("c{:x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

impl ProtocolClient for PostgresClient {
    fn send(&mut self, request: &ClientRequest) -> ClientOutcome {
        let mut client = self
            .connection
            .take()
            .or_else(|| Client::connect(self.address))
            .expect("a connection");
        if let Some(leave_after) = request.leave_after {
            client.set_reply_timeout(leave_after);
        }
        let id = request.id.clone().unwrap_or_else(new_id);
        let (class, wait, group) = (request.class, request.timeout_ms, request.group);
        let text = format!(
            "{} /* id={id},c={class},d={wait},cluster={group} */",
            request.statement()
        );
        let outcome = match client.query(&text) {
            RequestOutcome::Served(value) => {
                ClientOutcome::Served(String::from_utf8_lossy(&value).into_owned())
            }
            RequestOutcome::Rejected => ClientOutcome::Rejected,
            RequestOutcome::Failed => ClientOutcome::Failed,
            RequestOutcome::Malformed => ClientOutcome::Malformed,
            RequestOutcome::TimedOut if request.leave_after.is_some() => {
                return ClientOutcome::ClientLeft
            }
            other => panic!("{other:?} for {text}"),
        };
        self.connection = Some(client);
        outcome
    }
}

/// A client that speaks Arrow Flight SQL, based on the client of the `arrow-flight` package.
pub struct FlightClient {
    runtime: tokio::runtime::Runtime,
    address: SocketAddr,
}

pub type SqlClient = FlightSqlServiceClient<Channel>;

pub async fn connect_sql(address: SocketAddr, class: &str) -> SqlClient {
    let channel = Endpoint::from_shared(format!("http://{address}"))
        .expect("an address")
        .connect()
        .await;
    let mut client = FlightSqlServiceClient::new(channel.expect("a connection"));
    client.set_header("x-stackgw-class", class);
    client.set_header("x-stackgw-group", GROUP.to_string());
    client
}

impl FlightClient {
    pub fn new(address: SocketAddr) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        FlightClient {
            runtime: runtime.expect("a runtime"),
            address,
        }
    }
}

impl ProtocolClient for FlightClient {
    fn send(&mut self, request: &ClientRequest) -> ClientOutcome {
        let address = self.address;
        let calls = async {
            let mut client = connect_sql(address, request.class).await;
            client.set_header("x-stackgw-group", request.group.to_string());
            if let Some(id) = &request.id {
                client.set_header("x-stackgw-id", id);
            }
            // The deadline is sent in the statement: with `grpc-timeout`, this client would time out at the same moment.
            let text = format!("{} /* d={} */", request.statement(), request.timeout_ms);
            match request.value {
                Some(value) => match client.execute_update(text, None).await {
                    Ok(1) => served(value),
                    Ok(rows) => panic!("a write of one row changed {rows} rows"),
                    Err(e) => outcome_of_error(&e),
                },
                None => match read(&mut client, text).await {
                    Ok(values) => ClientOutcome::Served(
                        String::from_utf8_lossy(&values.concat()).into_owned(),
                    ),
                    Err(e) => outcome_of_error(&*e),
                },
            }
        };
        // Dropping the future cancels the call.
        let leave_after = request.leave_after.unwrap_or(Duration::from_secs(20));
        let done = self
            .runtime
            .block_on(async { tokio::time::timeout(leave_after, calls).await });
        match done {
            Ok(outcome) => outcome,
            Err(_) if request.leave_after.is_some() => {
                self.runtime
                    .block_on(async { tokio::time::sleep(Duration::from_millis(20)).await });
                ClientOutcome::ClientLeft
            }
            Err(_) => panic!("no answer to {request:?}"),
        }
    }
}

async fn read(client: &mut SqlClient, text: String) -> Result<Vec<Vec<u8>>, Box<dyn Error>> {
    let info = client.execute(text, None).await?;
    fetch_values(client, info).await
}

/// Reads all values of an answer.
pub async fn fetch_values(
    client: &mut SqlClient,
    info: FlightInfo,
) -> Result<Vec<Vec<u8>>, Box<dyn Error>> {
    let ticket = info.endpoint[0].ticket.clone().expect("a ticket");
    let batches: Vec<RecordBatch> = client.do_get(ticket).await?.try_collect().await?;
    let values = |batch: &RecordBatch| {
        let column = batch.column(0).as_binary::<i32>().clone();
        column
            .iter()
            .map(|v| v.unwrap_or_default().to_vec())
            .collect::<Vec<_>>()
    };
    Ok(batches.iter().flat_map(values).collect())
}

/// A stream of the undecoded messages of an answer.
pub async fn fetch_messages(
    client: &mut SqlClient,
    text: &str,
) -> Result<impl futures::Stream<Item = Result<FlightData, tonic::Status>> + Unpin, Box<dyn Error>>
{
    let info = client.execute(text.to_owned(), None).await?;
    let ticket = info.endpoint[0].ticket.clone().expect("a ticket");
    let mut request = tonic::Request::new(ticket);
    for (name, value) in [("x-stackgw-class", "look"), ("x-stackgw-group", "2")] {
        request
            .metadata_mut()
            .insert(name, value.parse().expect("plain"));
    }
    Ok(client
        .inner_mut()
        .do_get(request)
        .await?
        .into_inner()
        .boxed())
}

pub fn outcome_of_error(error: &(dyn Error + 'static)) -> ClientOutcome {
    match grpc_code(error) {
        Some(Code::Unavailable) => ClientOutcome::Rejected,
        Some(Code::Aborted) => ClientOutcome::Failed,
        Some(Code::InvalidArgument) => ClientOutcome::Malformed,
        _ => panic!("{error:?}"),
    }
}

/// The gRPC code of an error or of one of its sources.
pub fn grpc_code(error: &(dyn Error + 'static)) -> Option<Code> {
    let mut next = Some(error);
    while let Some(error) = next {
        if let Some(status) = error.downcast_ref::<tonic::Status>() {
            return Some(status.code());
        }
        if let Some(FlightError::Tonic(status)) = error.downcast_ref::<FlightError>() {
            return Some(status.code());
        }
        next = error.source();
    }
    let text = format!("{error:?}");
    let codes = [
        Code::InvalidArgument,
        Code::Unauthenticated,
        Code::Unimplemented,
        Code::Unavailable,
        Code::Aborted,
    ];
    codes
        .into_iter()
        .find(|code| text.contains(&format!("{code:?}")) || text.contains(code.description()))
}
