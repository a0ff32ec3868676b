//! Bulk streams of a fake member that speaks Flight SQL: a read of the key `bulk-N-BYTES` is answered with N batches of that
//! many bytes. The member's faults can stall a stream or change its schema.

use crate::member::FakeMember;
use arrow_array::{BinaryArray, RecordBatch};
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::FlightData;
use arrow_schema::{DataType, Field, Schema, SchemaRef};
use futures::{stream, Stream, StreamExt, TryStreamExt};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The column of values.
pub(crate) const VALUE_COLUMN: &str = "val";

/// The column of values after a change of schema.
const OTHER_COLUMN: &str = "other";

/// The number of messages after a change of schema: the new schema and one batch.
const MESSAGES_AFTER_CHANGE: usize = 2;

/// The parameters of a bulk stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BulkRequest {
    batches: u64,
    batch_bytes: usize,
}

impl BulkRequest {
    /// Parses the stream that a statement requests, if it reads a `bulk-` key.
    pub(crate) fn parse(statement: &str) -> Option<Self> {
        let key = statement.split("'bulk-").nth(1)?.split('\'').next()?;
        let (batches, batch_bytes) = key.split_once('-')?;
        Some(BulkRequest {
            batches: batches.parse().ok()?,
            batch_bytes: batch_bytes.parse().ok()?,
        })
    }

    /// The messages of the stream, with the member's faults applied. The member counts the stream as in flight until it is
    /// dropped.
    pub(crate) fn stream(
        self,
        member: &FakeMember,
    ) -> impl Stream<Item = Result<FlightData, FlightError>> {
        let in_flight = member.begin_work();
        let stall_after = enabled(&member.stall_after_batches);
        let change_after = enabled(&member.change_schema_after_batches);
        let batches = change_after.unwrap_or(self.batches).min(self.batches);
        let value = vec![0x5a; self.batch_bytes];
        let messages = repeat(encode(VALUE_COLUMN, &value), batches);
        let other_messages = if change_after.is_some() {
            MESSAGES_AFTER_CHANGE
        } else {
            0
        };
        let all = messages.chain(encode(OTHER_COLUMN, &value).take(other_messages));
        let mut sent = 0;
        all.then(move |message| {
            let _ = &in_flight;
            sent += 1;
            // The first message is the schema, which precedes the batches.
            let stalls = stall_after.is_some_and(|after| sent > after + 1);
            async move {
                if stalls {
                    std::future::pending::<()>().await;
                }
                message
            }
        })
    }
}

/// The value of a fault's setting; `None` if the fault is off.
fn enabled(setting: &AtomicU64) -> Option<u64> {
    Some(setting.load(Ordering::Relaxed)).filter(|value| *value > 0)
}

/// The one-column schema of an answer.
pub(crate) fn schema(column: &str) -> SchemaRef {
    let field = Field::new(column, DataType::Binary, true);
    Arc::new(Schema::new(vec![field]))
}

/// A batch with one value.
pub(crate) fn batch(column: &str, value: &[u8]) -> Result<RecordBatch, FlightError> {
    let values = Arc::new(BinaryArray::from(vec![value]));
    RecordBatch::try_new(schema(column), vec![values]).map_err(FlightError::from)
}

/// The messages of a schema and one batch.
fn encode(
    column: &str,
    value: &[u8],
) -> impl Stream<Item = Result<FlightData, FlightError>> + 'static {
    let batch = batch(column, value);
    FlightDataEncoderBuilder::new()
        .with_schema(schema(column))
        .with_max_flight_data_size(usize::MAX)
        .build(stream::once(async { batch }))
}

/// The schema once, and the batch this many times. The batch is encoded only once, so that measurements show the cost of the
/// gateway and not that of the encoder.
fn repeat(
    messages: impl Stream<Item = Result<FlightData, FlightError>>,
    batches: u64,
) -> impl Stream<Item = Result<FlightData, FlightError>> {
    let encoded = messages.try_collect::<Vec<_>>();
    let repeated = async move {
        let messages = encoded.await?;
        let (schema, data) = messages.split_at(1);
        let data = data.to_vec();
        let schema = stream::iter(schema.to_vec());
        let data = stream::iter((0..batches).flat_map(move |_| data.clone()));
        Ok::<_, FlightError>(schema.chain(data).map(Ok))
    };
    stream::once(repeated).try_flatten()
}
