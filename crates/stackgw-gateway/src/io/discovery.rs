//! The list's agent: the watch, and single calls.

use super::Shell;
use crate::discovery::{
    endpoint_request, parse_endpoint_list, HttpEvent, HttpLineReader, Malformed, WatchError,
    WatchEvent, WatchParser,
};
use crate::reducer::Input;
use async_io::{Async, Timer};
use futures_lite::{future, stream, AsyncReadExt, AsyncWriteExt, Stream, StreamExt};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Asks, and gives the answer's pieces as they come.
fn answer(
    shell: Rc<Shell>,
    at: SocketAddr,
    watch_after: Option<Option<u64>>,
) -> impl Stream<Item = Result<HttpEvent, WatchError>> {
    let limits = &shell.limits;
    let http = HttpLineReader::new(limits.head_bytes, limits.list_bytes);
    let state = (shell, None::<Async<TcpStream>>, http, VecDeque::new());
    stream::try_unfold(
        state,
        move |(shell, socket, mut http, mut pieces)| async move {
            let mut socket = match socket {
                Some(socket) => socket,
                None => {
                    let io = |e: std::io::Error| WatchError::from(e.to_string());
                    let mut socket = Async::<TcpStream>::connect(at).await.map_err(io)?;
                    socket
                        .write_all(&endpoint_request(at, watch_after))
                        .await
                        .map_err(io)?;
                    if watch_after.is_some() {
                        shell.input(Input::WatchConnected);
                    }
                    socket
                }
            };
            let mut buffer = vec![0; shell.limits.read_bytes];
            while pieces.is_empty() {
                match socket.read(&mut buffer).await {
                    Ok(0) => {
                        pieces.extend(http.end().map_err(|e: Malformed| e.to_string())?);
                        pieces.push_back(HttpEvent::End);
                    }
                    Ok(n) => {
                        let fed = http.feed(&buffer[..n]);
                        pieces.extend(fed.map_err(|e| WatchError {
                            reason: e.to_string(),
                            retry_after: http.retry_after(),
                        })?);
                    }
                    // Nothing has been read; the watch goes on.
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) => return Err(e.to_string().into()),
                }
            }
            Ok(pieces
                .pop_front()
                .map(|piece| (piece, (shell, Some(socket), http, pieces))))
        },
    )
}

/// Hands over each line of a watch until it ends.
pub(super) async fn watch(shell: Rc<Shell>, at: SocketAddr, after: Option<u64>) {
    let mut pieces = pin!(answer(shell.clone(), at, Some(after)));
    let mut objects = WatchParser::new(shell.limits.list_bytes);
    let why = loop {
        match pieces.next().await {
            Some(Ok(HttpEvent::Line(line))) => match objects.push_line(line) {
                Ok(WatchEvent::Heartbeat) => shell.input(Input::WatchKeepalive),
                Ok(WatchEvent::List(list)) => shell.input(Input::EndpointList(list)),
                Ok(WatchEvent::Incomplete) => {}
                Err(e) => break e.to_string().into(),
            },
            Some(Ok(HttpEvent::End)) | None => break "ended".into(),
            Some(Err(e)) => break e,
        }
    };
    shell.input(Input::WatchLost(why));
}

/// Asks for the whole list once.
pub(super) async fn fetch(shell: Rc<Shell>, at: SocketAddr) {
    let whole = async {
        let mut pieces = pin!(answer(shell.clone(), at, None));
        let mut body = Vec::new();
        loop {
            match pieces.next().await? {
                Ok(HttpEvent::Line(line)) => body.extend(line),
                Ok(HttpEvent::End) => break parse_endpoint_list(&body).ok(),
                Err(_) => break None,
            }
        }
    };
    let late = async {
        Timer::after(Duration::from_nanos(shell.limits.watch_idle_timeout as u64)).await;
        None
    };
    match future::or(whole, late).await {
        Some(list) => shell.input(Input::EndpointList(list)),
        None => shell.input(Input::FetchFailed),
    }
}
