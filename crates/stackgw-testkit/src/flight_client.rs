//! A Flight SQL client for measurements, which returns the messages of an answer as they arrive, undecoded.

use crate::error::TestkitError;
use arrow_flight::sql::client::FlightSqlServiceClient;
use arrow_flight::FlightData;
use futures::{Stream, StreamExt};
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A Flight SQL client.
pub(crate) type SqlClient = FlightSqlServiceClient<Channel>;

/// The messages of an answer.
pub(crate) type MessageStream = Pin<Box<dyn Stream<Item = Result<FlightData, Status>>>>;

/// Connects to a gateway or a member.
pub(crate) async fn connect(address: SocketAddr) -> Result<SqlClient, TestkitError> {
    let failure = |reason: String| TestkitError::FlightConnection { address, reason };
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|e| failure(e.to_string()))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    let connected = endpoint.connect().await;
    let channel = connected.map_err(|e| failure(innermost_cause(&e)))?;
    Ok(FlightSqlServiceClient::new(channel))
}

/// Gets a ticket for a statement, and opens the stream of its answer.
pub(crate) async fn open_stream(
    client: &mut SqlClient,
    statement: String,
) -> Result<MessageStream, TestkitError> {
    let info = client.execute(statement, None).await;
    let info = info.map_err(|e| TestkitError::FlightCall(e.to_string()))?;
    let endpoint = info.endpoint.into_iter().next();
    let ticket = endpoint.and_then(|endpoint| endpoint.ticket);
    let ticket = ticket.ok_or(TestkitError::NoTicket)?;
    let answer = client.inner_mut().do_get(Request::new(ticket)).await;
    let answer = answer.map_err(|e| TestkitError::FlightCall(e.to_string()))?;
    Ok(Box::pin(answer.into_inner()))
}

/// The next message of a stream. The end of the stream is an error.
pub(crate) async fn next_message(stream: &mut MessageStream) -> Result<FlightData, TestkitError> {
    let next = stream.next().await.ok_or(TestkitError::StreamEnded)?;
    next.map_err(|e| TestkitError::FlightCall(e.to_string()))
}

/// Reads a stream to its end; returns the total size of its batches in bytes.
pub(crate) async fn read_to_end(stream: &mut MessageStream) -> Result<u64, TestkitError> {
    let mut bytes = 0;
    while let Some(message) = stream.next().await {
        let message = message.map_err(|e| TestkitError::FlightCall(e.to_string()))?;
        bytes += message.data_body.len() as u64;
    }
    Ok(bytes)
}

fn innermost_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
