//! The calls of Flight SQL, each delegated to the responsible module.

use super::batches::FlightDataStream;
use super::cancel::cancel_action_type;
use super::catalog::{catalog_info, catalog_rows};
use super::context::Frontend;
use arrow_flight::flight_service_server::FlightService;
use arrow_flight::sql::server::{FlightSqlService, PeekableFlightDataStream};
use arrow_flight::sql::{
    ActionCancelQueryRequest, ActionCancelQueryResult, ActionClosePreparedStatementRequest,
    ActionCreatePreparedStatementRequest, ActionCreatePreparedStatementResult, CommandGetCatalogs,
    CommandGetDbSchemas, CommandGetSqlInfo, CommandGetTableTypes, CommandGetTables,
    CommandPreparedStatementQuery, CommandPreparedStatementUpdate, CommandStatementQuery,
    CommandStatementUpdate, DoPutPreparedStatementResult, SqlInfo, TicketStatementQuery,
};
use arrow_flight::{Action, ActionType, FlightDescriptor, FlightInfo, Ticket};
use futures::StreamExt;
use tonic::{Request, Response, Status};

type InfoResponse = Result<Response<FlightInfo>, Status>;
type DataResponse = Result<Response<FlightDataStream>, Status>;

#[tonic::async_trait]
impl FlightSqlService for Frontend {
    type FlightService = Frontend;

    async fn get_flight_info_statement(
        &self,
        query: CommandStatementQuery,
        call: Request<FlightDescriptor>,
    ) -> InfoResponse {
        self.statement_info(&query, call)
    }

    async fn do_get_statement(
        &self,
        ticket: TicketStatementQuery,
        call: Request<Ticket>,
    ) -> DataResponse {
        self.run_ticket(&ticket, &call).await
    }

    async fn do_put_statement_update(
        &self,
        update: CommandStatementUpdate,
        call: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        self.run_update(&update, &call).await
    }

    async fn do_action_create_prepared_statement(
        &self,
        query: ActionCreatePreparedStatementRequest,
        call: Request<Action>,
    ) -> Result<ActionCreatePreparedStatementResult, Status> {
        self.prepare(&query, &call)
    }

    async fn do_action_close_prepared_statement(
        &self,
        _: ActionClosePreparedStatementRequest,
        _: Request<Action>,
    ) -> Result<(), Status> {
        Ok(()) // The gateway stores no prepared statements.
    }

    async fn do_put_prepared_statement_query(
        &self,
        query: CommandPreparedStatementQuery,
        call: Request<PeekableFlightDataStream>,
    ) -> Result<DoPutPreparedStatementResult, Status> {
        self.bind_prepared_query(&query, call).await
    }

    async fn do_put_prepared_statement_update(
        &self,
        update: CommandPreparedStatementUpdate,
        call: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        self.run_prepared_update(&update, call).await
    }

    async fn get_flight_info_prepared_statement(
        &self,
        query: CommandPreparedStatementQuery,
        call: Request<FlightDescriptor>,
    ) -> InfoResponse {
        self.prepared_info(&query, call)
    }

    async fn do_get_prepared_statement(
        &self,
        query: CommandPreparedStatementQuery,
        call: Request<Ticket>,
    ) -> DataResponse {
        self.run_prepared_query(&query, &call).await
    }

    async fn get_flight_info_catalogs(
        &self,
        query: CommandGetCatalogs,
        call: Request<FlightDescriptor>,
    ) -> InfoResponse {
        catalog_info(query, call)
    }

    async fn do_get_catalogs(&self, query: CommandGetCatalogs, _: Request<Ticket>) -> DataResponse {
        catalog_rows(query)
    }

    async fn get_flight_info_schemas(
        &self,
        query: CommandGetDbSchemas,
        call: Request<FlightDescriptor>,
    ) -> InfoResponse {
        catalog_info(query, call)
    }

    async fn do_get_schemas(&self, query: CommandGetDbSchemas, _: Request<Ticket>) -> DataResponse {
        catalog_rows(query)
    }

    async fn get_flight_info_tables(
        &self,
        query: CommandGetTables,
        call: Request<FlightDescriptor>,
    ) -> InfoResponse {
        catalog_info(query, call)
    }

    async fn do_get_tables(&self, query: CommandGetTables, _: Request<Ticket>) -> DataResponse {
        catalog_rows(query)
    }

    async fn get_flight_info_table_types(
        &self,
        query: CommandGetTableTypes,
        call: Request<FlightDescriptor>,
    ) -> InfoResponse {
        catalog_info(query, call)
    }

    async fn do_get_table_types(
        &self,
        query: CommandGetTableTypes,
        _: Request<Ticket>,
    ) -> DataResponse {
        catalog_rows(query)
    }

    async fn get_flight_info_sql_info(
        &self,
        query: CommandGetSqlInfo,
        call: Request<FlightDescriptor>,
    ) -> InfoResponse {
        self.sql_info.info(query, call)
    }

    async fn do_get_sql_info(&self, query: CommandGetSqlInfo, _: Request<Ticket>) -> DataResponse {
        self.sql_info.rows(query)
    }

    async fn list_custom_actions(&self) -> Option<Vec<Result<ActionType, Status>>> {
        Some(vec![Ok(cancel_action_type())])
    }

    async fn do_action_fallback(
        &self,
        call: Request<Action>,
    ) -> Result<Response<<Self as FlightService>::DoActionStream>, Status> {
        let body = self.cancel_flight_info(call.get_ref())?;
        let result = arrow_flight::Result { body: body.into() };
        let results = futures::stream::once(async { Ok(result) });
        Ok(Response::new(results.boxed()))
    }

    async fn do_action_cancel_query(
        &self,
        query: ActionCancelQueryRequest,
        _: Request<Action>,
    ) -> Result<ActionCancelQueryResult, Status> {
        self.cancel_query(&query)
    }

    async fn register_sql_info(&self, _: i32, _: &SqlInfo) {}
}
