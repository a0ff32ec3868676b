//! The local socket: one question a connection, a line of JSON each way.

use super::Shell;
use crate::reducer::{Input, StatusQuery};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// A question is no longer.
const QUESTION_BYTES: usize = 4 << 10;
/// So many may ask at once; more wait in line.
const ASKERS: usize = 4;
/// Whoever has not asked, or not read the answer, by then is let go.
const PATIENCE: Duration = Duration::from_secs(2);

/// Those who wait for an answer.
#[derive(Debug, Default)]
pub(super) struct Askers {
    next: Cell<u64>,
    told: RefCell<HashMap<u64, Value>>,
}

impl Askers {
    pub(super) fn tell(&self, asker: u64, answer: Value) {
        self.told.borrow_mut().insert(asker, answer);
    }
}

/// Opens the socket. What an ended process left there is removed; any other file stays, and is an error.
pub(super) fn listen(path: &Path) -> Result<Async<UnixListener>, String> {
    let wrong = |e: std::io::Error| format!("control: {}: {e}", path.display());
    if std::fs::symlink_metadata(path).is_ok_and(|about| about.file_type().is_socket())
        && UnixStream::connect(path).is_err()
    {
        std::fs::remove_file(path).map_err(wrong)?;
    }
    let listener = Async::<UnixListener>::bind(path).map_err(wrong)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(wrong)?;
    Ok(listener)
}

/// Takes askers, a few at a time.
pub(super) async fn run(shell: Rc<Shell>, listener: Async<UnixListener>) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(100)).await;
            continue;
        };
        while open.get() >= ASKERS {
            Timer::after(Duration::from_millis(10)).await;
        }
        open.set(open.get() + 1);
        let (shell, open) = (shell.clone(), open.clone());
        let executor = shell.executor.clone();
        let task = async move {
            let late = async {
                Timer::after(PATIENCE).await;
            };
            future::or(answer(&shell, socket), late).await;
            open.set(open.get() - 1);
        };
        executor.spawn(task).detach();
    }
}

async fn answer(shell: &Rc<Shell>, mut socket: Async<UnixStream>) {
    let (mut asked, mut buffer) = (Vec::new(), [0; 512]);
    while !asked.contains(&b'\n') && asked.len() < QUESTION_BYTES {
        match socket.read(&mut buffer).await {
            Ok(n) if n > 0 => asked.extend_from_slice(&buffer[..n]),
            _ => break,
        }
    }
    let answer = match question(&asked) {
        Some(question) => {
            let asker = shell.askers.next.get();
            shell.askers.next.set(asker + 1);
            shell.input(Input::StatusQuery(asker, question));
            // An input from outside the reducer's own turn is handled by the time this returns.
            shell.askers.told.borrow_mut().remove(&asker)
        }
        None => None,
    };
    let answer = answer.unwrap_or_else(|| json!({"error": "no question that is known here"}));
    let _ = socket.write_all(format!("{answer}\n").as_bytes()).await;
}

fn question(asked: &[u8]) -> Option<StatusQuery> {
    let line = asked.split(|b| *b == b'\n').next()?;
    let asked: Value = serde_json::from_slice(line).ok()?;
    match asked.get("ask")?.as_str()? {
        "sessions" => Some(StatusQuery::Sessions),
        "list" => Some(StatusQuery::EndpointList),
        "session" => {
            let group = u32::try_from(asked.get("group")?.as_u64()?).ok()?;
            Some(StatusQuery::Session(
                group,
                asked.get("session")?.as_str()?.to_owned(),
            ))
        }
        _ => None,
    }
}
