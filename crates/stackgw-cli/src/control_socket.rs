//! Questions to a running gateway, at the local socket that its file names as `control`: one JSON object, one line of answer.

use crate::error::CommandResult;
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Asks a gateway.
///
/// # Errors
/// Where the socket can't be used, or the gateway answers with an error; the message names the socket.
pub fn ask(socket: &Path, question: &Value) -> CommandResult<Value> {
    let about_socket = |problem: &dyn std::fmt::Display| format!("{}: {problem}", socket.display());
    let line = exchange(socket, question).map_err(|e| about_socket(&e))?;
    let answer: Value = serde_json::from_str(&line).map_err(|e| about_socket(&e))?;
    match answer.get("error").and_then(Value::as_str) {
        Some(error) => Err(about_socket(&error).into()),
        None => Ok(answer),
    }
}

fn exchange(socket: &Path, question: &Value) -> io::Result<String> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(format!("{question}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line)
}

/// A value of an answer as people write it: text without quotes.
pub fn plain_text(value: &Value) -> String {
    match value.as_str() {
        Some(text) => text.to_owned(),
        None => value.to_string(),
    }
}

/// The entries of a list in an answer; none where there is no list.
pub fn entries<'a>(answer: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    answer[field].as_array().into_iter().flatten()
}
