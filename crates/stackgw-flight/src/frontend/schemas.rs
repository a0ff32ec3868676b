//! The schemas of parameters and of answers.

use crate::statement::StatementTemplate;
use arrow_flight::{IpcMessage, SchemaAsIpc};
use arrow_ipc::writer::IpcWriteOptions;
use arrow_schema::{DataType, Field, Schema, SchemaRef};
use std::sync::Arc;
use tonic::Status;

/// Name of the column of keys.
const KEY_COLUMN: &str = "uid";
/// Name of the column of values.
const VALUE_COLUMN: &str = "val";

/// The one column of a value from a member of the PostgreSQL protocol.
pub(super) fn value_schema() -> SchemaRef {
    let value = Field::new(VALUE_COLUMN, DataType::Binary, true);
    Arc::new(Schema::new(vec![value]))
}

/// The columns of the one table.
pub(super) fn table_schema() -> Schema {
    let key = Field::new(KEY_COLUMN, DataType::Utf8, false);
    let value = Field::new(VALUE_COLUMN, DataType::Binary, true);
    Schema::new(vec![key, value])
}

/// The answer to which types of tables there are, as Flight SQL has it.
pub(super) fn table_types_schema() -> SchemaRef {
    let table_type = Field::new("table_type", DataType::Utf8, false);
    Arc::new(Schema::new(vec![table_type]))
}

/// The open parameters of a statement: a key, and a value for one that writes.
pub(super) fn parameter_schema(statement: &StatementTemplate) -> Schema {
    let key = Field::new(KEY_COLUMN, DataType::Utf8, false);
    let value = Field::new(VALUE_COLUMN, DataType::Binary, false);
    let parameters = [key, value]
        .into_iter()
        .take(statement.unbound_parameters());
    Schema::new(parameters.collect::<Vec<_>>())
}

/// The bytes of a schema in a message of Flight.
pub(super) fn encode_schema(schema: &Schema) -> Result<prost::bytes::Bytes, Status> {
    let options = IpcWriteOptions::default();
    let encoded = IpcMessage::try_from(SchemaAsIpc::new(schema, &options));
    let IpcMessage(bytes) = encoded.map_err(|error| Status::internal(error.to_string()))?;
    Ok(bytes)
}
