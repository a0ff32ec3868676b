//! Output formats of `stackgw query`.

use crate::error::CommandResult;
use arrow_array::cast::AsArray;
use arrow_array::{ArrayRef, RecordBatch, StringArray};
use arrow_cast::pretty::pretty_format_batches;
use arrow_schema::{ArrowError, DataType, Field, Schema};
use clap::ValueEnum;
use parquet::arrow::ArrowWriter;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

/// The format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Human-readable table; the whole answer is held in memory.
    Table,
    /// CSV with a header line.
    Csv,
    /// JSON, one object per line.
    Json,
    /// Parquet, for other tools.
    Parquet,
}

type Sink = Box<dyn Write>;

/// Writes the batches of an answer as they arrive; only the table format buffers all of them.
pub enum AnswerWriter {
    Table {
        batches: Vec<RecordBatch>,
        sink: Sink,
    },
    Csv(Box<arrow_csv::Writer<Sink>>),
    Json(arrow_json::LineDelimitedWriter<Sink>),
    /// A Parquet file before the first batch, which determines the schema.
    ParquetFile(File),
    Parquet(Box<ArrowWriter<File>>),
}

impl AnswerWriter {
    /// Writes to a file, or to standard output.
    ///
    /// # Errors
    /// If the file can't be created, or the format requires one and none is given.
    pub fn new(format: Format, output: Option<&Path>) -> CommandResult<Self> {
        let create =
            |path: &Path| File::create(path).map_err(|e| format!("{}: {e}", path.display()));
        if format == Format::Parquet {
            let path = output.ok_or("--format parquet requires --output FILE")?;
            return Ok(AnswerWriter::ParquetFile(create(path)?));
        }
        let sink: Sink = match output {
            Some(path) => Box::new(io::BufWriter::new(create(path)?)),
            None => Box::new(io::stdout().lock()),
        };
        Ok(match format {
            Format::Csv => AnswerWriter::Csv(Box::new(arrow_csv::Writer::new(sink))),
            Format::Json => AnswerWriter::Json(arrow_json::LineDelimitedWriter::new(sink)),
            Format::Table | Format::Parquet => AnswerWriter::Table {
                batches: Vec::new(),
                sink,
            },
        })
    }

    /// Writes a batch.
    ///
    /// # Errors
    /// If the batch can't be converted to the format, or can't be written.
    pub fn write(&mut self, batch: RecordBatch) -> CommandResult {
        match self {
            AnswerWriter::Table { batches, .. } => batches.push(batch),
            AnswerWriter::Csv(csv) => csv.write(&binary_as_text(&batch)?)?,
            AnswerWriter::Json(json) => json.write(&batch)?,
            AnswerWriter::Parquet(parquet) => parquet.write(&batch)?,
            AnswerWriter::ParquetFile(file) => {
                let file = file.try_clone()?;
                let mut parquet = ArrowWriter::try_new(file, batch.schema(), None)?;
                parquet.write(&batch)?;
                *self = AnswerWriter::Parquet(Box::new(parquet));
            }
        }
        Ok(())
    }

    /// Completes the output after the last batch.
    ///
    /// # Errors
    /// If it can't be written, or a Parquet file has no schema because there was no batch.
    pub fn finish(self) -> CommandResult {
        match self {
            AnswerWriter::Table { batches, mut sink } => {
                let table = pretty_format_batches(&batches)?;
                writeln!(sink, "{table}")?;
            }
            AnswerWriter::Csv(_) => {}
            AnswerWriter::Json(mut json) => json.finish()?,
            AnswerWriter::Parquet(parquet) => drop(parquet.close()?),
            AnswerWriter::ParquetFile(_) => {
                return Err("the answer has no record batch; no Parquet data was written".into());
            }
        }
        Ok(())
    }
}

/// Converts binary columns to text, because CSV has no binary type. Bytes that are not valid UTF-8 become hexadecimal.
fn binary_as_text(batch: &RecordBatch) -> Result<RecordBatch, ArrowError> {
    let (mut fields, mut columns) = (Vec::new(), Vec::new());
    let schema = batch.schema();
    for (field, column) in schema.fields().iter().zip(batch.columns()) {
        if field.data_type() != &DataType::Binary {
            fields.push(field.as_ref().clone());
            columns.push(column.clone());
            continue;
        }
        let values = column.as_binary::<i32>().iter();
        let texts: StringArray = values.map(|bytes| bytes.map(bytes_as_text)).collect();
        fields.push(Field::new(field.name(), DataType::Utf8, true));
        columns.push(Arc::new(texts) as ArrayRef);
    }
    RecordBatch::try_new(Arc::new(Schema::new(fields)), columns)
}

fn bytes_as_text(bytes: &[u8]) -> String {
    match std::str::from_utf8(bytes) {
        Ok(text) => text.to_owned(),
        Err(_) => bytes.iter().map(|byte| format!("{byte:02x}")).collect(),
    }
}
