//! The control socket: one query per connection, with one line of JSON in each direction.

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

/// Size after which no more of a query is read.
const MAX_QUERY_BYTES: usize = 4 << 10;
/// Size of one read of a query.
const READ_BYTES: usize = 512;
/// Maximum number of connections that are served at once; further ones wait.
const MAX_CONNECTIONS: usize = 4;
/// Time in which a connection must send its query and read the response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after an error of the listener.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Interval at which the number of open connections is checked while it is at its maximum.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Access for the gateway's own user only.
const SOCKET_MODE: u32 = 0o600;

/// Opens the socket. An existing socket that accepts no connections, left behind by an ended process, is removed. Any other
/// existing file stays, and is an error.
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
    let query = read_query(&mut socket).await;
    let reply = parse_query(&query).and_then(|query| query_reducer(driver, query));
    let reply = reply.unwrap_or_else(|| json!({"error": "no question that is known here"}));
    let _ = socket.write_all(format!("{reply}\n").as_bytes()).await;
}

async fn read_query(socket: &mut Async<UnixStream>) -> Vec<u8> {
    let mut query = Vec::new();
    let mut buffer = [0; READ_BYTES];
    while !query.contains(&b'\n') && query.len() < MAX_QUERY_BYTES {
        match socket.read(&mut buffer).await {
            Ok(count) if count > 0 => query.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    query
}

fn query_reducer(driver: &Rc<Driver>, query: StatusQuery) -> Option<Value> {
    let number = driver.status_replies.next_number();
    driver.handle_input(Input::StatusQuery(number, query));
    // The reply is available now: no other input is being handled when a task runs, so the call above handled this one.
    driver.status_replies.take(number)
}

fn parse_query(text: &[u8]) -> Option<StatusQuery> {
    let line = text.split(|byte| *byte == b'\n').next()?;
    let query: Value = serde_json::from_slice(line).ok()?;
    match query.get("ask")?.as_str()? {
        "sessions" => Some(StatusQuery::Sessions),
        "list" => Some(StatusQuery::EndpointList),
        "session" => {
            let group = u32::try_from(query.get("group")?.as_u64()?).ok()?;
            let session = query.get("session")?.as_str()?;
            Some(StatusQuery::Session(group, session.to_owned()))
        }
        _ => None,
    }
}
