//! Statements, the tickets that execute them, and their response schemas.

use super::batches::{flight_info, FlightDataStream};
use super::context::{check_is_read, Frontend};
use super::schemas::{encode_schema, table_types_schema};
use crate::protocol::decode_command;
use crate::tickets::{SealedHandle, TicketError};
use arrow_flight::sql::{
    CommandGetTableTypes, CommandPreparedStatementQuery, CommandStatementQuery,
    CommandStatementUpdate, ProstMessageExt, TicketStatementQuery,
};
use arrow_flight::{FlightDescriptor, FlightInfo, SchemaResult, Ticket};
use prost::Message;
use tonic::{Request, Response, Status};

impl Frontend {
    /// Handles GetFlightInfo of a statement that reads: seals the statement in a ticket.
    pub(super) fn statement_info(
        &self,
        query: &CommandStatementQuery,
        call: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let transaction = query.transaction_id.as_ref();
        let statement = self.parse_statement(&query.query, transaction, &call)?;
        check_is_read(&statement)?;
        let schema = self.response_schema(&statement);
        let handle = self.seal(&SealedHandle::Ticket {
            statement: statement.without_id(),
            nonce: rand::random(),
        });
        let ticket = TicketStatementQuery {
            statement_handle: handle.into(),
        };
        let ticket = ticket.as_any().encode_to_vec();
        flight_info(schema.as_deref(), ticket, call.into_inner())
    }

    /// Runs the statement in a ticket.
    pub(super) async fn run_ticket(
        &self,
        ticket: &TicketStatementQuery,
        call: &Request<Ticket>,
    ) -> Result<Response<FlightDataStream>, Status> {
        let timeout_ms = self.timeout_ms(call)?;
        let handle = &ticket.statement_handle;
        let SealedHandle::Ticket { statement, .. } = self.open(handle)? else {
            return Err(TicketError::WrongKind.into());
        };
        self.executor
            .execute_query(&statement, timeout_ms, handle)
            .await
    }

    /// Runs a statement that writes.
    pub(super) async fn run_update<T>(
        &self,
        update: &CommandStatementUpdate,
        call: &Request<T>,
    ) -> Result<i64, Status> {
        let transaction = update.transaction_id.as_ref();
        let statement = self.parse_statement(&update.query, transaction, call)?;
        let timeout_ms = self.timeout_ms(call)?;
        self.executor.execute_update(&statement, timeout_ms).await
    }

    /// The response schema of a command.
    pub(crate) fn schema_of_command(
        &self,
        call: &Request<FlightDescriptor>,
    ) -> Result<SchemaResult, Status> {
        let command = &call.get_ref().cmd;
        let statement = if let Some(query) = decode_command::<CommandStatementQuery>(command) {
            self.parse_statement(&query.query, query.transaction_id.as_ref(), call)?
        } else if let Some(query) = decode_command::<CommandPreparedStatementQuery>(command) {
            self.open_prepared(&query.prepared_statement_handle)?
        } else if decode_command::<CommandGetTableTypes>(command).is_some() {
            let schema = encode_schema(&table_types_schema())?;
            return Ok(SchemaResult { schema });
        } else {
            let text = "the schema of statements and table types is told";
            return Err(Status::unimplemented(text));
        };
        let Some(schema) = self.response_schema(&statement) else {
            let text = "this group's members tell the schema with the answer";
            return Err(Status::unimplemented(text));
        };
        let schema = encode_schema(&schema)?;
        Ok(SchemaResult { schema })
    }
}
