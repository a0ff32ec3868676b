//! Responses with a single value.

use arrow_array::cast::AsArray;
use arrow_array::{Array, RecordBatch};
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::error::FlightError;
use arrow_schema::DataType;
use futures::StreamExt;
use tonic::Status;

/// Maximum number of batches of a response with a single value. A member may send empty batches
/// without end.
const MAX_BATCHES: usize = 1024;

/// A response that is expected to be a single value.
pub(super) enum SingleValue {
    /// The value of a single row and column; `None` for NULL.
    Value(Option<Vec<u8>>),
    /// No rows, several rows or columns, or a value of an unsupported type or above the size limit.
    Unsupported,
}

/// Reads a response until its end, or until it is found to be unsupported.
pub(super) async fn read_single_value(
    mut batches: FlightRecordBatchStream,
    max_bytes: usize,
) -> Result<SingleValue, Status> {
    let mut value = None;
    let mut rows = 0;
    let mut received = 0;
    while let Some(batch) = batches.next().await {
        let batch = batch.map_err(into_status)?;
        rows += batch.num_rows();
        received += 1;
        if received > MAX_BATCHES
            || rows > 1
            || batch.num_columns() != 1
            || is_too_large(&batch, max_bytes)
        {
            return Ok(SingleValue::Unsupported);
        }
        if batch.num_rows() == 1 {
            let Some(first) = first_value(batch.column(0)) else {
                return Ok(SingleValue::Unsupported);
            };
            value = Some(first);
        }
    }
    Ok(match value {
        Some(Some(bytes)) if bytes.len() > max_bytes => SingleValue::Unsupported,
        Some(value) => SingleValue::Value(value),
        None => SingleValue::Unsupported,
    })
}

/// Whether a batch certainly exceeds the limit. Twice the limit is allowed because the memory of a
/// batch is allocated in steps and may exceed the size of its value.
fn is_too_large(batch: &RecordBatch, max_bytes: usize) -> bool {
    batch.get_array_memory_size() > max_bytes.saturating_mul(2)
}

fn into_status(error: FlightError) -> Status {
    match error {
        FlightError::Tonic(status) => *status,
        other => Status::internal(other.to_string()),
    }
}

/// The first row's value, `Some(None)` for NULL; `None` if the column is neither text nor bytes.
fn first_value(column: &dyn Array) -> Option<Option<Vec<u8>>> {
    if column.is_null(0) {
        return Some(None);
    }
    let bytes = match column.data_type() {
        DataType::Binary => column.as_binary::<i32>().value(0).to_vec(),
        DataType::LargeBinary => column.as_binary::<i64>().value(0).to_vec(),
        DataType::BinaryView => column.as_binary_view().value(0).to_vec(),
        DataType::Utf8 => column.as_string::<i32>().value(0).as_bytes().to_vec(),
        DataType::LargeUtf8 => column.as_string::<i64>().value(0).as_bytes().to_vec(),
        DataType::Utf8View => column.as_string_view().value(0).as_bytes().to_vec(),
        _ => return None,
    };
    Some(Some(bytes))
}
