//! The local socket: one question a connection, a line of JSON each way.

use super::driver::Driver;
use crate::error::GatewayError;
use crate::reducer::{Input, StatusQuery};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use std::cell::Cell;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// A question is no longer.
const MAX_QUESTION_BYTES: usize = 4 << 10;
/// One read's bytes of a question.
const READ_BYTES: usize = 512;
/// So many connections are served at once; more wait in the backlog.
const MAX_CONNECTIONS: usize = 4;
/// Whoever has not asked, or not read the answer, by then is disconnected.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after an error of the listener.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Pace at which a full house is looked at again.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Only the gateway's own user may ask.
const SOCKET_MODE: u32 = 0o600;

/// Opens the socket. What an ended process left there is removed; any other file stays, and is an error.
pub(super) fn listen(path: &Path) -> Result<Async<UnixListener>, GatewayError> {
    bind(path).map_err(|source| GatewayError::Control {
        path: path.to_owned(),
        source,
    })
}

fn bind(path: &Path) -> std::io::Result<Async<UnixListener>> {
    let is_socket =
        std::fs::symlink_metadata(path).is_ok_and(|metadata| metadata.file_type().is_socket());
    if is_socket && UnixStream::connect(path).is_err() {
        std::fs::remove_file(path)?;
    }
    let listener = Async::<UnixListener>::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(SOCKET_MODE))?;
    Ok(listener)
}

/// Serves connections, a few at a time.
pub(super) async fn run(driver: Rc<Driver>, listener: Async<UnixListener>) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            Timer::after(ACCEPT_BACKOFF).await;
            continue;
        };
        while open.get() >= MAX_CONNECTIONS {
            Timer::after(CAPACITY_POLL_INTERVAL).await;
        }
        open.set(open.get() + 1);
        let connection = serve_within_timeout(driver.clone(), socket, open.clone());
        driver.spawn(connection);
    }
}

async fn serve_within_timeout(
    driver: Rc<Driver>,
    socket: Async<UnixStream>,
    open: Rc<Cell<usize>>,
) {
    let timeout = async {
        Timer::after(CONNECTION_TIMEOUT).await;
    };
    future::or(serve(&driver, socket), timeout).await;
    open.set(open.get() - 1);
}

async fn serve(driver: &Rc<Driver>, mut socket: Async<UnixStream>) {
    let question = read_question(&mut socket).await;
    let answer = parse_question(&question).and_then(|question| ask_reducer(driver, question));
    let answer = answer.unwrap_or_else(|| json!({"error": "no question that is known here"}));
    let _ = socket.write_all(format!("{answer}\n").as_bytes()).await;
}

async fn read_question(socket: &mut Async<UnixStream>) -> Vec<u8> {
    let mut question = Vec::new();
    let mut buffer = [0; READ_BYTES];
    while !question.contains(&b'\n') && question.len() < MAX_QUESTION_BYTES {
        match socket.read(&mut buffer).await {
            Ok(count) if count > 0 => question.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    question
}

fn ask_reducer(driver: &Rc<Driver>, question: StatusQuery) -> Option<Value> {
    let number = driver.control_answers.number_question();
    driver.handle_input(Input::StatusQuery(number, question));
    // An input from outside the handling of another one has been handled by the time this returns.
    driver.control_answers.take(number)
}

fn parse_question(text: &[u8]) -> Option<StatusQuery> {
    let line = text.split(|byte| *byte == b'\n').next()?;
    let question: Value = serde_json::from_slice(line).ok()?;
    match question.get("ask")?.as_str()? {
        "sessions" => Some(StatusQuery::Sessions),
        "list" => Some(StatusQuery::EndpointList),
        "session" => {
            let group = u32::try_from(question.get("group")?.as_u64()?).ok()?;
            let session = question.get("session")?.as_str()?;
            Some(StatusQuery::Session(group, session.to_owned()))
        }
        _ => None,
    }
}
