//! Record batches: decoding of the parameters that a client sends, and encoding of the responses
//! that the gateway builds itself.

use super::schemas::value_schema;
use crate::statement::ParameterValue;
use arrow_array::cast::AsArray;
use arrow_array::{Array, ArrayRef, BinaryArray, RecordBatch};
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::sql::server::PeekableFlightDataStream;
use arrow_flight::{FlightData, FlightDescriptor, FlightEndpoint, FlightInfo, Ticket};
use arrow_schema::{DataType, Schema, SchemaRef};
use futures::stream::BoxStream;
use futures::{StreamExt, TryStreamExt};
use std::sync::Arc;
use tonic::{Response, Status};

/// The messages of a response.
pub(super) type FlightDataStream = BoxStream<'static, Result<FlightData, Status>>;

/// Reads the parameters that a client binds: one batch with one row, of which columns with NULL are
/// skipped.
pub(super) async fn read_parameters(
    data: PeekableFlightDataStream,
) -> Result<Vec<ParameterValue>, Status> {
    let batches = FlightRecordBatchStream::new_from_flight_data(data.map_err(FlightError::from));
    let batches: Vec<RecordBatch> = batches.take(2).try_collect().await?;
    let [batch] = &batches[..] else {
        return Err(Status::invalid_argument("parameters come in one batch"));
    };
    if batch.num_rows() != 1 {
        let text = "parameters come in one row: each is a request of its own";
        return Err(Status::invalid_argument(text));
    }
    let bound = batch.columns().iter().filter(|column| !column.is_null(0));
    let values: Option<Vec<_>> = bound.map(first_value).collect();
    values.ok_or_else(|| Status::invalid_argument("parameters are texts and bytes"))
}

/// The first row's value; `None` if the column's type is not supported for parameters.
fn first_value(column: &ArrayRef) -> Option<ParameterValue> {
    let text = |text: &str| ParameterValue::Text(text.to_owned());
    let bytes = |bytes: &[u8]| ParameterValue::Bytes(bytes.to_vec());
    match column.data_type() {
        DataType::Utf8 => Some(text(column.as_string::<i32>().value(0))),
        DataType::LargeUtf8 => Some(text(column.as_string::<i64>().value(0))),
        DataType::Utf8View => Some(text(column.as_string_view().value(0))),
        DataType::Binary => Some(bytes(column.as_binary::<i32>().value(0))),
        DataType::LargeBinary => Some(bytes(column.as_binary::<i64>().value(0))),
        _ => None,
    }
}

/// Creates a response with one row that contains `value`.
pub(super) fn value_response(value: Option<&[u8]>) -> Response<FlightDataStream> {
    let column = BinaryArray::from(vec![value]);
    let batch = RecordBatch::try_new(value_schema(), vec![Arc::new(column)]);
    batch_response(value_schema(), batch.map_err(FlightError::from))
}

/// Creates a response from a batch.
pub(super) fn batch_response(
    schema: SchemaRef,
    batch: Result<RecordBatch, FlightError>,
) -> Response<FlightDataStream> {
    let messages = FlightDataEncoderBuilder::new()
        .with_schema(schema)
        .build(futures::stream::once(async { batch }))
        .map_err(Status::from);
    Response::new(messages.boxed())
}

/// Creates the FlightInfo of a response that this gateway returns for a single ticket. `schema` is
/// `None` if the schema is not known before the response.
pub(super) fn flight_info(
    schema: Option<&Schema>,
    ticket: Vec<u8>,
    descriptor: FlightDescriptor,
) -> Result<Response<FlightInfo>, Status> {
    let endpoint = FlightEndpoint::new().with_ticket(Ticket::new(ticket));
    let mut info = FlightInfo::new();
    if let Some(schema) = schema {
        let with_schema = info.try_with_schema(schema);
        info = with_schema.map_err(|error| Status::internal(error.to_string()))?;
    }
    Ok(Response::new(
        info.with_endpoint(endpoint).with_descriptor(descriptor),
    ))
}
