//! `stackgw query`: a minimal Flight SQL client for operators.

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

type SqlClient = FlightSqlServiceClient<Channel>;

/// Query a gateway or a member over Arrow Flight SQL.
///
/// Statements that begin with INSERT are sent with DoPut, all others with GetFlightInfo and DoGet. The key that the statement
/// quotes identifies the session.
#[derive(Args)]
#[command(
    after_help = "Examples:\n  stackgw query 127.0.0.1:7300 --class stock-check --group 2 --key 7f3a9c21\n  \
    stackgw query 127.0.0.1:7300 --class price-list --group 2 --format parquet --output prices.parquet \\\n    \
    \"SELECT val FROM state WHERE uid = 'prices'\""
)]
pub struct Query {
    /// Address of the gateway or member.
    at: SocketAddr,
    /// The SQL statement.
    #[arg(required_unless_present = "key", conflicts_with = "key")]
    statement: Option<String>,
    /// Read this key instead of running a statement; the key identifies the session.
    #[arg(long, visible_alias = "session")]
    key: Option<String>,
    /// Name of the class in the settings.
    #[arg(long)]
    class: Option<String>,
    /// Number of the group.
    #[arg(long)]
    group: Option<u32>,
    /// The read must reflect all commits up to this time, in Unix milliseconds.
    #[arg(long, value_name = "MS")]
    after: Option<u64>,
    /// Timeout of the request, in milliseconds.
    #[arg(long, value_name = "MS")]
    timeout: Option<u64>,
    /// Authenticate with the credentials in this file: one line `name:secret`.
    #[arg(long, value_name = "FILE")]
    user: Option<PathBuf>,
    /// Authenticate with the bearer token in this file.
    #[arg(long, value_name = "FILE", conflicts_with = "user")]
    token: Option<PathBuf>,
    /// Output format.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// Write to this file instead of standard output.
    #[arg(long, value_name = "FILE")]
    output: Option<PathBuf>,
}

impl Query {
    /// Runs the query and writes the answer.
    ///
    /// # Errors
    /// If an argument or the file of credentials is invalid, a call fails, or the answer can't be written.
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

    /// Authenticates the client if a token or user file is given.
    async fn authenticate(&self, client: &mut SqlClient) -> CommandResult {
        if let Some(file) = &self.token {
            client.set_token(read_secret(file)?);
        }
        if let Some(file) = &self.user {
            let line = read_secret(file)?;
            let Some((name, secret)) = line.split_once(':') else {
                return Err(format!("{}: not in the form name:secret", file.display()).into());
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
            _ => Err("--key: contains a quote".into()),
        }
    }

    /// Reads the whole answer, writing each batch as it arrives.
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

/// Connects to a Flight SQL server.
async fn connect(address: SocketAddr) -> CommandResult<SqlClient> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|e| format!("{address}: {e}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    let connected = endpoint.connect().await;
    let channel = connected.map_err(|e| format!("{address}: {}", root_cause(&e)))?;
    Ok(FlightSqlServiceClient::new(channel))
}

/// The content of a file, without leading and trailing white space.
fn read_secret(file: &Path) -> CommandResult<String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(text.trim().to_owned())
}

/// An error in one line, with the retry delay if the gateway sent one.
fn describe(error: FlightError) -> String {
    let FlightError::Tonic(status) = error else {
        return error.to_string();
    };
    let retry_info = status.get_error_details().retry_info().cloned();
    let retry_after = match retry_info.and_then(|info| info.retry_delay) {
        Some(delay) => format!("; retry in {} ms", delay.as_millis()),
        None => String::new(),
    };
    format!("{}: {}{retry_after}", status.code(), status.message())
}
