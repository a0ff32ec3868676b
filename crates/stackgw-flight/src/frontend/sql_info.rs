//! The response to GetSqlInfo: the gateway's capabilities.

use super::batches::{batch_response, flight_info, FlightDataStream};
use arrow_flight::error::FlightError;
use arrow_flight::sql::metadata::{SqlInfoData, SqlInfoDataBuilder};
use arrow_flight::sql::{CommandGetSqlInfo, ProstMessageExt, SqlInfo};
use arrow_flight::{FlightDescriptor, FlightInfo};
use prost::Message;
use tonic::{Request, Response, Status};

/// Version of Arrow that the gateway is built with.
const ARROW_VERSION: &str = "60";
/// `SQL_SUPPORTED_TRANSACTION_NONE`.
const NO_TRANSACTIONS: i32 = 0;

/// The gateway's capabilities, as listed by GetSqlInfo.
pub(super) struct GatewaySqlInfo {
    /// Built once; a build error is returned by each query.
    data: Result<SqlInfoData, FlightError>,
}

impl GatewaySqlInfo {
    pub(super) fn new() -> Self {
        let mut builder = SqlInfoDataBuilder::new();
        builder.append(SqlInfo::FlightSqlServerName, "stackgw");
        builder.append(SqlInfo::FlightSqlServerVersion, env!("CARGO_PKG_VERSION"));
        builder.append(SqlInfo::FlightSqlServerArrowVersion, ARROW_VERSION);
        builder.append(SqlInfo::FlightSqlServerReadOnly, false);
        builder.append(SqlInfo::FlightSqlServerSql, true);
        builder.append(SqlInfo::FlightSqlServerSubstrait, false);
        builder.append(SqlInfo::FlightSqlServerTransaction, NO_TRANSACTIONS);
        builder.append(SqlInfo::FlightSqlServerCancel, true);
        GatewaySqlInfo {
            data: builder.build(),
        }
    }

    /// Handles GetFlightInfo of GetSqlInfo: the query itself is the ticket.
    pub(super) fn info(
        &self,
        query: CommandGetSqlInfo,
        call: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let ticket = query.as_any().encode_to_vec();
        let schema = query.into_builder(self.data()?).schema();
        flight_info(Some(&schema), ticket, call.into_inner())
    }

    /// Handles DoGet of GetSqlInfo.
    pub(super) fn rows(
        &self,
        query: CommandGetSqlInfo,
    ) -> Result<Response<FlightDataStream>, Status> {
        let builder = query.into_builder(self.data()?);
        let schema = builder.schema();
        Ok(batch_response(schema, builder.build()))
    }

    fn data(&self) -> Result<&SqlInfoData, Status> {
        let data = self.data.as_ref();
        data.map_err(|error| Status::internal(error.to_string()))
    }
}
