//! Execution of statements through the gateway.

use super::batches::{value_response, FlightDataStream};
use crate::cancellation::RunningRequests;
use crate::relay::RelayReader;
use crate::statement::StatementTemplate;
use crate::status::{rejected, to_status};
use futures::StreamExt;
use stackgw_gateway::pg::column_value;
use stackgw_gateway::reducer::FinalResponse;
use stackgw_gateway::{FrontendResponse, RelayedStream, RequestHandle};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tonic::{Response, Status};

/// Number of rows changed by a statement that writes.
const ROWS_PER_UPDATE: i64 = 1;

/// Runs statements through the gateway, with a limit on concurrent requests.
pub(super) struct Executor {
    gateway: RequestHandle,
    permits: Arc<Semaphore>,
    running: Arc<RunningRequests>,
    /// Default and maximum timeout of a request, in milliseconds. Does not limit the duration of a
    /// response stream.
    max_timeout_ms: u64,
}

impl Executor {
    pub(super) fn new(gateway: RequestHandle, max_requests: usize, max_timeout_ms: u64) -> Self {
        Executor {
            gateway,
            permits: Arc::new(Semaphore::new(max_requests)),
            running: Arc::default(),
            max_timeout_ms,
        }
    }

    /// Runs a statement that writes. Returns the number of rows that it changed. Dropping the
    /// future cancels the request.
    pub(super) async fn execute_update(
        &self,
        statement: &StatementTemplate,
        timeout_ms: Option<u64>,
    ) -> Result<i64, Status> {
        if !statement.is_write() {
            let text = "a statement that reads goes by GetFlightInfo and DoGet";
            return Err(Status::invalid_argument(text));
        }
        check_bound(statement)?;
        let _permit = self.acquire_permit()?;
        let text = self.render(statement, timeout_ms);
        served_value(self.gateway.execute(text).await)?;
        Ok(ROWS_PER_UPDATE)
    }

    /// Runs a statement that reads. The response is the member's stream, or a single row with one
    /// value. `handle` identifies the request for cancelling.
    pub(super) async fn execute_query(
        &self,
        statement: &StatementTemplate,
        timeout_ms: Option<u64>,
        handle: &[u8],
    ) -> Result<Response<FlightDataStream>, Status> {
        check_bound(statement)?;
        let permit = self.acquire_permit()?;
        let running = self.running.register(handle);
        let text = self.render(statement, timeout_ms);
        let (response, request_guard) = tokio::select! {
            response = self.gateway.execute_streaming(text) => response,
            () = running.cancelled() => {
                return Err(Status::cancelled("cancelled on the client's request"));
            }
        };
        let stream = match response {
            FrontendResponse::Stream(stream) => stream,
            FrontendResponse::Final(outcome) => {
                let value = served_value(outcome)?;
                return Ok(value_response(value.as_deref()));
            }
        };
        let mut reader = into_reader(stream)?;
        // Without a timeout from the client, the duration of the stream is not limited.
        if let Some(timeout_ms) = statement.timeout_ms(timeout_ms) {
            reader.set_timeout(Duration::from_millis(timeout_ms));
        }
        running.on_cancel(reader.canceller());
        reader.attach_guards((request_guard, permit, running));
        Ok(Response::new(reader.boxed()))
    }

    /// Cancels the running requests that were started with `handle`. Returns whether there were
    /// any.
    pub(super) fn cancel(&self, handle: &[u8]) -> bool {
        self.running.cancel(handle)
    }

    fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, Status> {
        let permits = self.permits.clone();
        let reject = |_| rejected("too many requests are open", None);
        permits.try_acquire_owned().map_err(reject)
    }

    /// Renders the statement's text for one execution, with a new random id unless the statement
    /// sets an id.
    fn render(&self, statement: &StatementTemplate, timeout_ms: Option<u64>) -> String {
        let id = format!("f{:032x}", rand::random::<u128>());
        let timeout_ms = timeout_ms.unwrap_or(self.max_timeout_ms);
        statement.render(&id, timeout_ms.min(self.max_timeout_ms))
    }
}

fn check_bound(statement: &StatementTemplate) -> Result<(), Status> {
    if statement.unbound_parameters() > 0 {
        return Err(Status::invalid_argument("parameters are not bound"));
    }
    Ok(())
}

/// The value of a served request; an error for all other outcomes and for a row without a value.
fn served_value(outcome: FinalResponse) -> Result<Option<Vec<u8>>, Status> {
    let FinalResponse::Served(row) = outcome else {
        return Err(to_status(&outcome));
    };
    let value = column_value(&row);
    let value = value.ok_or_else(|| Status::aborted("the member's row has no value"))?;
    Ok(value.map(<[u8]>::to_vec))
}

/// The reader that the backend passed to the gateway; an error if too many streams were open, in
/// which case the backend passed none.
fn into_reader(stream: RelayedStream) -> Result<RelayReader, Status> {
    let reader = stream.downcast::<Option<RelayReader>>().ok();
    let reader = reader.and_then(|reader| *reader);
    reader.ok_or_else(|| rejected("too many streams are open", None))
}
