//! Metadata queries: the catalog, the schema and the single table that clients see.

use super::batches::{batch_response, flight_info, FlightDataStream};
use super::schemas::{table_schema, table_types_schema};
use arrow_array::{RecordBatch, StringArray};
use arrow_flight::error::FlightError;
use arrow_flight::sql::{
    CommandGetCatalogs, CommandGetDbSchemas, CommandGetTableTypes, CommandGetTables,
    ProstMessageExt,
};
use arrow_flight::{FlightDescriptor, FlightInfo};
use arrow_schema::SchemaRef;
use prost::Message;
use std::sync::Arc;
use tonic::{Request, Response, Status};

const CATALOG: &str = "stackgw";
const SCHEMA: &str = "public";
const TABLE: &str = "state";
const TABLE_TYPE: &str = "TABLE";

/// The response to a metadata query.
pub(super) struct CatalogRows {
    schema: SchemaRef,
    batch: Result<RecordBatch, FlightError>,
}

/// A metadata query.
pub(super) trait CatalogQuery: ProstMessageExt {
    /// The schema of the response.
    fn schema(self) -> SchemaRef;

    /// The rows of the response.
    fn rows(self) -> Result<CatalogRows, Status>;
}

/// Handles GetFlightInfo of a metadata query: the query itself is the ticket.
pub(super) fn catalog_info(
    query: impl CatalogQuery,
    call: Request<FlightDescriptor>,
) -> Result<Response<FlightInfo>, Status> {
    let ticket = query.as_any().encode_to_vec();
    flight_info(Some(&query.schema()), ticket, call.into_inner())
}

/// Handles DoGet of a metadata query.
pub(super) fn catalog_rows(query: impl CatalogQuery) -> Result<Response<FlightDataStream>, Status> {
    let CatalogRows { schema, batch } = query.rows()?;
    Ok(batch_response(schema, batch))
}

impl CatalogQuery for CommandGetCatalogs {
    fn schema(self) -> SchemaRef {
        self.into_builder().schema()
    }

    fn rows(self) -> Result<CatalogRows, Status> {
        let mut builder = self.into_builder();
        builder.append(CATALOG);
        Ok(CatalogRows {
            schema: builder.schema(),
            batch: builder.build(),
        })
    }
}

impl CatalogQuery for CommandGetDbSchemas {
    fn schema(self) -> SchemaRef {
        self.into_builder().schema()
    }

    fn rows(self) -> Result<CatalogRows, Status> {
        let mut builder = self.into_builder();
        builder.append(CATALOG, SCHEMA);
        Ok(CatalogRows {
            schema: builder.schema(),
            batch: builder.build(),
        })
    }
}

impl CatalogQuery for CommandGetTables {
    fn schema(self) -> SchemaRef {
        self.into_builder().schema()
    }

    fn rows(self) -> Result<CatalogRows, Status> {
        let mut builder = self.into_builder();
        builder
            .append(CATALOG, SCHEMA, TABLE, TABLE_TYPE, &table_schema())
            .map_err(Status::from)?;
        Ok(CatalogRows {
            schema: builder.schema(),
            batch: builder.build(),
        })
    }
}

impl CatalogQuery for CommandGetTableTypes {
    fn schema(self) -> SchemaRef {
        table_types_schema()
    }

    fn rows(self) -> Result<CatalogRows, Status> {
        let types = Arc::new(StringArray::from(vec![TABLE_TYPE]));
        let batch = RecordBatch::try_new(table_types_schema(), vec![types]);
        Ok(CatalogRows {
            schema: table_types_schema(),
            batch: batch.map_err(FlightError::from),
        })
    }
}
