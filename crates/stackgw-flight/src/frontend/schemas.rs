//! The schemas of parameters and responses.

use crate::statement::StatementTemplate;
use arrow_flight::{IpcMessage, SchemaAsIpc};
use arrow_ipc::writer::IpcWriteOptions;
use arrow_schema::{DataType, Field, Schema, SchemaRef};
use std::sync::Arc;
use tonic::Status;

/// Name of the key column.
const KEY_COLUMN: &str = "uid";
/// Name of the value column.
const VALUE_COLUMN: &str = "val";

/// The single column of a value from a member that speaks the PostgreSQL protocol.
pub(super) fn value_schema() -> SchemaRef {
    let value = Field::new(VALUE_COLUMN, DataType::Binary, true);
    Arc::new(Schema::new(vec![value]))
}

/// The columns of the single table.
pub(super) fn table_schema() -> Schema {
    let key = Field::new(KEY_COLUMN, DataType::Utf8, false);
    let value = Field::new(VALUE_COLUMN, DataType::Binary, true);
    Schema::new(vec![key, value])
}

/// The response schema of GetTableTypes, as specified by Flight SQL.
pub(super) fn table_types_schema() -> SchemaRef {
    let table_type = Field::new("table_type", DataType::Utf8, false);
    Arc::new(Schema::new(vec![table_type]))
}

/// The schema of a statement's unbound parameters, which does not depend on their places in the
/// statement: the first one is described as a key, a second one as a value.
pub(super) fn parameter_schema(statement: &StatementTemplate) -> Schema {
    let key = Field::new(KEY_COLUMN, DataType::Utf8, false);
    let value = Field::new(VALUE_COLUMN, DataType::Binary, false);
    let parameters = [key, value]
        .into_iter()
        .take(statement.unbound_parameters());
    Schema::new(parameters.collect::<Vec<_>>())
}

/// Encodes a schema for a Flight message.
pub(super) fn encode_schema(schema: &Schema) -> Result<prost::bytes::Bytes, Status> {
    let options = IpcWriteOptions::default();
    let encoded = IpcMessage::try_from(SchemaAsIpc::new(schema, &options));
    let IpcMessage(bytes) = encoded.map_err(|error| Status::internal(error.to_string()))?;
    Ok(bytes)
}
