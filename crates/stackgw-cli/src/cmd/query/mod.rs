//! `stackgw query`: a small Flight SQL client for operators.

mod output;

use crate::error::CommandResult;
use arrow_flight::error::FlightError;
use arrow_flight::sql::client::FlightSqlServiceClient;
use clap::Args;
use futures::TryStreamExt;
use output::{AnswerWriter, Format};
use stackgw_flight::root_cause;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};
use tonic_types::StatusExt;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

const WRITE_KEYWORD: &str = "insert";

/// A Flight SQL client.
type SqlClient = FlightSqlServiceClient<Channel>;

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

impl Query {
    /// Asks, and writes the answer.
    ///
    /// # Errors
    /// Where the call fails, or the answer can't be written.
    pub fn run(self) -> CommandResult {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(self.query())
    }

    async fn query(self) -> CommandResult {
        let mut client = connect(self.at).await?;
        self.set_headers(&mut client);
        self.authenticate(&mut client).await?;
        let statement = self.statement()?;
        let keyword = statement.trim_start().get(..WRITE_KEYWORD.len());
        if keyword.is_some_and(|keyword| keyword.eq_ignore_ascii_case(WRITE_KEYWORD)) {
            let update = client.execute_update(statement, None).await;
            println!("{} row written", update.map_err(describe)?);
            return Ok(());
        }
        self.write_answer(&mut client, statement).await
    }

    fn set_headers(&self, client: &mut SqlClient) {
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
    }

    /// Shows who asks, where a file is given for that.
    async fn authenticate(&self, client: &mut SqlClient) -> CommandResult {
        if let Some(file) = &self.token {
            client.set_token(read_secret(file)?);
        }
        if let Some(file) = &self.user {
            let line = read_secret(file)?;
            let Some((name, secret)) = line.split_once(':') else {
                return Err(format!("{}: is no name:secret", file.display()).into());
            };
            client.handshake(name, secret).await.map_err(describe)?;
        }
        Ok(())
    }

    fn statement(&self) -> CommandResult<String> {
        match (&self.statement, &self.key) {
            (Some(statement), _) => Ok(statement.clone()),
            (None, Some(key)) if !key.contains('\'') => {
                Ok(format!("SELECT val FROM state WHERE uid = '{key}'"))
            }
            _ => Err("--key: holds a quote".into()),
        }
    }

    /// Reads the whole answer, and writes each batch as it comes.
    async fn write_answer(&self, client: &mut SqlClient, statement: String) -> CommandResult {
        let info = client.execute(statement, None).await.map_err(describe)?;
        let mut writer = AnswerWriter::new(self.format, self.output.as_deref())?;
        let tickets = info.endpoint.into_iter().filter_map(|e| e.ticket);
        for ticket in tickets {
            let mut stream = client.do_get(ticket).await.map_err(describe)?;
            while let Some(batch) = stream.try_next().await.map_err(describe)? {
                writer.write(batch)?;
            }
        }
        writer.finish()
    }
}

/// Connects to whatever speaks Flight SQL.
async fn connect(address: SocketAddr) -> CommandResult<SqlClient> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|e| format!("{address}: {e}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    let connected = endpoint.connect().await;
    let channel = connected.map_err(|e| format!("{address}: {}", root_cause(&e)))?;
    Ok(FlightSqlServiceClient::new(channel))
}

/// The text of a file, without space around it.
fn read_secret(file: &Path) -> CommandResult<String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(text.trim().to_owned())
}

/// An error in one line, with what the gateway says of when to retry.
fn describe(error: FlightError) -> String {
    let FlightError::Tonic(status) = error else {
        return error.to_string();
    };
    let retry_info = status.get_error_details().retry_info().cloned();
    let retry_after = match retry_info.and_then(|info| info.retry_delay) {
        Some(delay) => format!("; come again in {} ms", delay.as_millis()),
        None => String::new(),
    };
    format!("{}: {}{retry_after}", status.code(), status.message())
}
