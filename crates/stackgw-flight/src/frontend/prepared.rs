//! Prepared statements. The handle contains the whole sealed statement; the gateway stores nothing.

use super::batches::{flight_info, read_parameters, FlightDataStream};
use super::context::{check_is_read, Frontend};
use super::schemas::{encode_schema, parameter_schema};
use crate::statement::StatementTemplate;
use crate::tickets::{SealedHandle, TicketError};
use arrow_flight::sql::server::PeekableFlightDataStream;
use arrow_flight::sql::{
    ActionCreatePreparedStatementRequest, ActionCreatePreparedStatementResult,
    CommandPreparedStatementQuery, CommandPreparedStatementUpdate, DoPutPreparedStatementResult,
    ProstMessageExt,
};
use arrow_flight::{Action, FlightDescriptor, FlightInfo, Ticket};
use prost::Message;
use tonic::{Request, Response, Status};

impl Frontend {
    /// Creates a prepared statement, sealed in its handle.
    pub(super) fn prepare(
        &self,
        query: &ActionCreatePreparedStatementRequest,
        call: &Request<Action>,
    ) -> Result<ActionCreatePreparedStatementResult, Status> {
        let transaction = query.transaction_id.as_ref();
        let statement = self.parse_statement(&query.query, transaction, call)?;
        // With an id, all executions of the handle would be the same request.
        let statement = statement.without_id();
        let dataset_schema = match self.response_schema(&statement) {
            Some(schema) => encode_schema(&schema)?,
            None => prost::bytes::Bytes::new(),
        };
        let parameter_schema = encode_schema(&parameter_schema(&statement))?;
        let handle = self.seal(&SealedHandle::Prepared(statement));
        Ok(ActionCreatePreparedStatementResult {
            prepared_statement_handle: handle.into(),
            dataset_schema,
            parameter_schema,
        })
    }

    /// Binds the parameters of a query. Returns the handle of the bound statement.
    pub(super) async fn bind_prepared_query(
        &self,
        query: &CommandPreparedStatementQuery,
        call: Request<PeekableFlightDataStream>,
    ) -> Result<DoPutPreparedStatementResult, Status> {
        let statement = self.open_prepared(&query.prepared_statement_handle)?;
        let parameters = read_parameters(call.into_inner()).await?;
        let bound = statement.bind(&parameters)?;
        let handle = self.seal(&SealedHandle::Prepared(bound));
        Ok(DoPutPreparedStatementResult {
            prepared_statement_handle: Some(handle.into()),
        })
    }

    /// Runs a prepared statement that writes. Binds its parameters to the values of the call; if
    /// they are already bound, ignores these values.
    pub(super) async fn run_prepared_update(
        &self,
        update: &CommandPreparedStatementUpdate,
        call: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        let timeout_ms = self.timeout_ms(&call)?;
        let mut statement = self.open_prepared(&update.prepared_statement_handle)?;
        if statement.unbound_parameters() > 0 {
            let parameters = read_parameters(call.into_inner()).await?;
            statement = statement.bind(&parameters)?;
        }
        self.executor.execute_update(&statement, timeout_ms).await
    }

    /// Handles GetFlightInfo of a prepared statement that reads: the command itself is the ticket.
    pub(super) fn prepared_info(
        &self,
        query: &CommandPreparedStatementQuery,
        call: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let statement = self.open_prepared(&query.prepared_statement_handle)?;
        check_is_read(&statement)?;
        let schema = self.response_schema(&statement);
        let ticket = query.as_any().encode_to_vec();
        flight_info(schema.as_deref(), ticket, call.into_inner())
    }

    /// Runs a prepared statement that reads. Rejects a write, and a statement with unbound
    /// parameters.
    pub(super) async fn run_prepared_query(
        &self,
        query: &CommandPreparedStatementQuery,
        call: &Request<Ticket>,
    ) -> Result<Response<FlightDataStream>, Status> {
        let handle = &query.prepared_statement_handle;
        let statement = self.open_prepared(handle)?;
        check_is_read(&statement)?;
        let timeout_ms = self.timeout_ms(call)?;
        self.executor
            .execute_query(&statement, timeout_ms, handle)
            .await
    }

    /// Opens the handle of a prepared statement. Returns the statement.
    pub(super) fn open_prepared(&self, handle: &[u8]) -> Result<StatementTemplate, TicketError> {
        match self.open(handle)? {
            SealedHandle::Prepared(statement) => Ok(statement),
            SealedHandle::Ticket { .. } | SealedHandle::Bearer(_) => Err(TicketError::WrongKind),
        }
    }
}
