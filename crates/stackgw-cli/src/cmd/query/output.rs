//! How the answers of `stackgw query` are written.

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

/// How an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people; whole answers are held in memory.
    Table,
    /// With a line of names.
    Csv,
    /// An object a line.
    Json,
    /// Columnar, for other tools.
    Parquet,
}

type Sink = Box<dyn Write>;

/// Writes the batches of an answer, one after another; only a table waits for all of them.
pub enum AnswerWriter {
    Table {
        batches: Vec<RecordBatch>,
        sink: Sink,
    },
    Csv(Box<arrow_csv::Writer<Sink>>),
    Json(arrow_json::LineDelimitedWriter<Sink>),
    /// Its schema is that of the first batch; until that comes there is only the file.
    ParquetFile(File),
    Parquet(Box<ArrowWriter<File>>),
}

impl AnswerWriter {
    /// Writes to a file, or to standard output.
    ///
    /// # Errors
    /// Where the file can't be created, or the format needs one and there is none.
    pub fn new(format: Format, output: Option<&Path>) -> CommandResult<Self> {
        let create =
            |path: &Path| File::create(path).map_err(|e| format!("{}: {e}", path.display()));
        if format == Format::Parquet {
            let path = output.ok_or("--format parquet wants --output FILE")?;
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
    /// Where it can't be written.
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

    /// Writes what comes behind the last batch.
    ///
    /// # Errors
    /// Where it can't be written, or a file would have no schema.
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
                return Err("the answer has no batch, so no file was written".into());
            }
        }
        Ok(())
    }
}

/// The same batch with binary columns as text: in hexadecimal, where the bytes are no text themselves. CSV has no bytes.
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
