//! `stackgw query`: a small Flight SQL client for operators.

use arrow_array::RecordBatch;
use arrow_cast::pretty::pretty_format_batches;
use arrow_flight::error::FlightError;
use arrow_flight::sql::client::FlightSqlServiceClient;
use arrow_schema::ArrowError;
use clap::{Args, ValueEnum};
use futures::TryStreamExt;
use parquet::arrow::ArrowWriter;
use stackgw_flight::root_cause;
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};
use tonic_types::StatusExt;

/// A Flight SQL client.
pub type Sql = FlightSqlServiceClient<Channel>;

/// Ask a gateway, or a member, by Arrow Flight SQL.
///
/// A statement that begins with INSERT goes by DoPut, all others by GetFlightInfo and DoGet. The session is the quoted key, as
/// everywhere.
#[derive(Args)]
#[command(
    after_help = "Examples:\n  stackgw query 127.0.0.1:7300 --class stock-check --group 2 --key 7f3a9c21\n  \
    stackgw query 127.0.0.1:7300 --class price-list --group 2 --format parquet --output prices.parquet \\\n    \
    \"SELECT val FROM state WHERE uid = 'prices'\""
)]
pub struct Query {
    /// Where it listens.
    at: SocketAddr,
    /// The statement.
    #[arg(required_unless_present = "key", conflicts_with = "key")]
    statement: Option<String>,
    /// Read this key, which is the session, in place of a statement.
    #[arg(long, visible_alias = "session")]
    key: Option<String>,
    /// The class, as the settings name it.
    #[arg(long)]
    class: Option<String>,
    /// The group's number.
    #[arg(long)]
    group: Option<u32>,
    /// What is read has to show every commit up to here, in Unix milliseconds.
    #[arg(long, value_name = "MS")]
    after: Option<u64>,
    /// Give up after this.
    #[arg(long, value_name = "MS")]
    timeout: Option<u64>,
    /// Show who asks: a file with one line `name:secret`.
    #[arg(long, value_name = "FILE")]
    user: Option<PathBuf>,
    /// Show who asks: a file with a token.
    #[arg(long, value_name = "FILE", conflicts_with = "user")]
    token: Option<PathBuf>,
    /// How the answer is written.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// Where to, in place of standard output.
    #[arg(long, value_name = "FILE")]
    output: Option<PathBuf>,
}

/// How an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    /// For people; whole answers are held in memory.
    Table,
    /// With a line of names.
    Csv,
    /// An object a line.
    Json,
    /// Columnar, for other tools.
    Parquet,
}

/// Connects to whatever speaks Flight SQL.
pub async fn connect(at: SocketAddr) -> Result<Sql, String> {
    let endpoint =
        Endpoint::from_shared(format!("http://{at}")).map_err(|e| format!("{at}: {e}"))?;
    let endpoint = endpoint
        .connect_timeout(Duration::from_secs(5))
        .tcp_nodelay(true);
    let channel = endpoint
        .connect()
        .await
        .map_err(|e| format!("{at}: {}", root_cause(&e)))?;
    Ok(FlightSqlServiceClient::new(channel))
}

/// A runtime for one client.
pub fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())
}

impl Query {
    /// Asks, and writes the answer.
    pub fn run(self) -> Result<(), String> {
        runtime()?.block_on(self.ask())
    }

    async fn ask(self) -> Result<(), String> {
        let mut client = connect(self.at).await?;
        for (name, value) in [
            ("x-stackgw-class", self.class.clone()),
            ("x-stackgw-group", self.group.map(|n| n.to_string())),
            ("x-stackgw-after", self.after.map(|n| n.to_string())),
            ("grpc-timeout", self.timeout.map(|ms| format!("{ms}m"))),
        ] {
            if let Some(value) = value {
                client.set_header(name, value);
            }
        }
        self.show(&mut client).await?;
        let statement = match (&self.statement, &self.key) {
            (Some(statement), _) => statement.clone(),
            (None, Some(key)) if !key.contains('\'') => {
                format!("SELECT val FROM state WHERE uid = '{key}'")
            }
            _ => return Err("--key: holds a quote".to_owned()),
        };
        let word = statement.trim_start().get(..6).unwrap_or_default();
        if word.eq_ignore_ascii_case("insert") {
            let rows = client
                .execute_update(statement, None)
                .await
                .map_err(|e| told(&e))?;
            println!("{rows} row written");
            return Ok(());
        }
        let info = client
            .execute(statement, None)
            .await
            .map_err(|e| told(&e))?;
        let mut out = Out::new(self.format, self.output.as_deref())?;
        for endpoint in info.endpoint {
            let Some(ticket) = endpoint.ticket else {
                continue;
            };
            let mut stream = client.do_get(ticket).await.map_err(|e| told(&e))?;
            while let Some(batch) = stream.try_next().await.map_err(|e| told(&e))? {
                out.put(batch)?;
            }
        }
        out.end()
    }

    /// Shows who asks, once.
    async fn show(&self, client: &mut Sql) -> Result<(), String> {
        let read = |file: &Path| {
            let text =
                std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            Ok::<_, String>(text.trim().to_owned())
        };
        if let Some(file) = &self.token {
            client.set_token(read(file)?);
        }
        if let Some(file) = &self.user {
            let line = read(file)?;
            let wrong = || format!("{}: is no name:secret", file.display());
            let (name, secret) = line.split_once(':').ok_or_else(wrong)?;
            client.handshake(name, secret).await.map_err(|e| told(&e))?;
        }
        Ok(())
    }
}

/// An error in one line, with what the gateway says of when to come back.
fn told(error: &FlightError) -> String {
    let FlightError::Tonic(status) = error else {
        return error.to_string();
    };
    let wait = status
        .get_error_details()
        .retry_info()
        .and_then(|info| info.retry_delay);
    let wait = wait
        .map(|wait| format!("; come again in {} ms", wait.as_millis()))
        .unwrap_or_default();
    format!("{}: {}{wait}", status.code(), status.message())
}

/// Where batches go, one after another; only a table waits for all of them.
enum Out {
    Table(Vec<RecordBatch>, Box<dyn Write>),
    Csv(Box<arrow_csv::Writer<Box<dyn Write>>>),
    Json(arrow_json::LineDelimitedWriter<Box<dyn Write>>),
    /// Its schema is that of the first batch.
    Parquet(Option<ArrowWriter<File>>, Option<File>),
}

impl Out {
    fn new(format: Format, output: Option<&Path>) -> Result<Self, String> {
        let create =
            |path: &Path| File::create(path).map_err(|e| format!("{}: {e}", path.display()));
        if format == Format::Parquet {
            let path = output.ok_or("--format parquet wants --output FILE")?;
            return Ok(Out::Parquet(None, Some(create(path)?)));
        }
        let sink: Box<dyn Write> = match output {
            Some(path) => Box::new(io::BufWriter::new(create(path)?)),
            None => Box::new(io::stdout().lock()),
        };
        Ok(match format {
            Format::Csv => Out::Csv(Box::new(arrow_csv::Writer::new(sink))),
            Format::Json => Out::Json(arrow_json::LineDelimitedWriter::new(sink)),
            Format::Table | Format::Parquet => Out::Table(Vec::new(), sink),
        })
    }

    fn put(&mut self, batch: RecordBatch) -> Result<(), String> {
        match self {
            Out::Table(batches, _) => batches.push(batch),
            Out::Csv(csv) => {
                let text = as_text(&batch).map_err(|e| e.to_string())?;
                csv.write(&text).map_err(|e| e.to_string())?;
            }
            Out::Json(json) => json.write(&batch).map_err(|e| e.to_string())?,
            Out::Parquet(parquet, file) => {
                if let Some(file) = file.take() {
                    let writer = ArrowWriter::try_new(file, batch.schema(), None);
                    *parquet = Some(writer.map_err(|e| e.to_string())?);
                }
                if let Some(parquet) = parquet {
                    parquet.write(&batch).map_err(|e| e.to_string())?;
                }
            }
        }
        Ok(())
    }

    fn end(self) -> Result<(), String> {
        match self {
            Out::Table(batches, mut sink) => {
                let table = pretty_format_batches(&batches).map_err(|e| e.to_string())?;
                writeln!(sink, "{table}").map_err(|e| e.to_string())
            }
            Out::Csv(_) => Ok(()),
            Out::Json(mut json) => json.finish().map_err(|e| e.to_string()),
            Out::Parquet(Some(parquet), _) => {
                parquet.close().map(|_| ()).map_err(|e| e.to_string())
            }
            Out::Parquet(None, _) => {
                Err("the answer has no batch, so no file was written".to_owned())
            }
        }
    }
}

/// The same with bytes as text in hexadecimal, where they are none themselves: CSV has no bytes.
fn as_text(batch: &RecordBatch) -> Result<RecordBatch, ArrowError> {
    use arrow_array::cast::AsArray;
    use arrow_array::{ArrayRef, StringArray};
    use arrow_schema::{DataType, Field, Schema};
    use std::sync::Arc;
    let (mut fields, mut columns) = (Vec::new(), Vec::new());
    for (field, column) in batch.schema().fields().iter().zip(batch.columns()) {
        let DataType::Binary = field.data_type() else {
            fields.push(field.as_ref().clone());
            columns.push(column.clone());
            continue;
        };
        let text = |bytes: &[u8]| match std::str::from_utf8(bytes) {
            Ok(text) => text.to_owned(),
            Err(_) => bytes.iter().map(|byte| format!("{byte:02x}")).collect(),
        };
        let texts: StringArray = column
            .as_binary::<i32>()
            .iter()
            .map(|bytes| bytes.map(text))
            .collect();
        fields.push(Field::new(field.name(), DataType::Utf8, true));
        columns.push(Arc::new(texts) as ArrayRef);
    }
    RecordBatch::try_new(Arc::new(Schema::new(fields)), columns)
}
