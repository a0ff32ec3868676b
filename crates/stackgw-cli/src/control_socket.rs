//! A client of a running gateway's control socket, the Unix socket that the operator's file sets as `control`: each request is one
//! JSON object, each answer one line of JSON.

use crate::error::CommandResult;
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a request to a gateway and returns its answer.
///
/// # Errors
/// If the socket can't be used, or the answer is an error or not valid JSON; the message names the socket.
pub fn request(socket: &Path, request: &Value) -> CommandResult<Value> {
    let with_socket = |error: &dyn std::fmt::Display| format!("{}: {error}", socket.display());
    let line = exchange(socket, request).map_err(|e| with_socket(&e))?;
    let answer: Value = serde_json::from_str(&line).map_err(|e| with_socket(&e))?;
    match answer.get("error").and_then(Value::as_str) {
        Some(error) => Err(with_socket(&error).into()),
        None => Ok(answer),
    }
}

fn exchange(socket: &Path, request: &Value) -> io::Result<String> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line)
}

/// A JSON value as text for display; strings are not quoted.
pub fn plain_text(value: &Value) -> String {
    match value.as_str() {
        Some(text) => text.to_owned(),
        None => value.to_string(),
    }
}

/// The elements of an array field of an answer; empty if the field is not an array.
pub fn entries<'a>(answer: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    answer[field].as_array().into_iter().flatten()
}
