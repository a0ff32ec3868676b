//! The list service: the watch, and single requests for the complete list.

use super::driver::Driver;
use super::turn::Turn;
use crate::discovery::{
    endpoint_request, parse_endpoint_list, HttpEvent, HttpLineReader, ListUpdate, RequestedList,
    WatchError, WatchEvent, WatchParser,
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

impl Driver {
    /// Opens a watch of the changes after a revision, or from the complete list on if it is `None`; replaces any other watch.
    pub(super) fn open_watch(self: &Rc<Self>, address: SocketAddr, after: Option<u64>) {
        let task = self.executor.spawn(watch(self.clone(), address, after));
        *self.list_requests.watch.borrow_mut() = Some(task);
    }

    pub(super) fn close_watch(&self) {
        let task = self.list_requests.watch.borrow_mut().take();
        drop(task);
    }

    /// Requests the complete list; replaces any other such request.
    pub(super) fn fetch_list(self: &Rc<Self>, address: SocketAddr) {
        let task = self.executor.spawn(fetch(self.clone(), address));
        *self.list_requests.fetch.borrow_mut() = Some(task);
    }
}

/// A response that is being read.
struct Response {
    socket: Async<TcpStream>,
    reader: HttpLineReader,
    /// Events that have been read and not been returned yet.
    events: VecDeque<HttpEvent>,
    turn: Turn,
}

impl Response {
    /// Connects and sends a request.
    async fn request(
        driver: &Rc<Driver>,
        address: SocketAddr,
        requested: RequestedList,
    ) -> Result<Self, WatchError> {
        let io_error = |error: std::io::Error| WatchError::from(error.to_string());
        let mut socket = Async::<TcpStream>::connect(address)
            .await
            .map_err(io_error)?;
        let request = endpoint_request(address, requested);
        socket.write_all(&request).await.map_err(io_error)?;
        if matches!(requested, RequestedList::Watch(_)) {
            driver.handle_input(Input::WatchConnected);
        }
        let limits = &driver.limits;
        Ok(Response {
            socket,
            reader: HttpLineReader::new(limits.head_bytes, limits.list_bytes),
            events: VecDeque::new(),
            turn: Turn::default(),
        })
    }

    /// Returns the next event of the response.
    async fn next(&mut self, buffer: &mut [u8]) -> Result<Option<HttpEvent>, WatchError> {
        self.turn.finish_step().await;
        while self.events.is_empty() {
            self.turn.finish_step().await;
            match self.socket.read(buffer).await {
                Ok(0) => {
                    let events = self.reader.finish().map_err(|error| error.to_string())?;
                    self.events.extend(events);
                    self.events.push_back(HttpEvent::End);
                }
                Ok(count) => {
                    let events =
                        self.reader
                            .feed(&buffer[..count])
                            .map_err(|error| WatchError {
                                reason: error.to_string(),
                                retry_after: self.reader.retry_after(),
                            })?;
                    self.events.extend(events);
                }
                // Nothing has been read; the read is repeated.
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.to_string().into()),
            }
        }
        Ok(self.events.pop_front())
    }
}

/// Sends a request and returns a stream of the response's events.
fn request(
    driver: Rc<Driver>,
    address: SocketAddr,
    requested: RequestedList,
) -> impl Stream<Item = Result<HttpEvent, WatchError>> {
    let state = (driver, None::<Response>);
    stream::try_unfold(state, move |(driver, response)| async move {
        let mut response = match response {
            Some(response) => response,
            None => Response::request(&driver, address, requested).await?,
        };
        let mut buffer = vec![0; driver.limits.read_bytes];
        let event = response.next(&mut buffer).await?;
        Ok(event.map(|event| (event, (driver, Some(response)))))
    })
}

/// Passes the lists of a watch to the reducer until the watch ends.
async fn watch(driver: Rc<Driver>, address: SocketAddr, after: Option<u64>) {
    let mut events = pin!(request(
        driver.clone(),
        address,
        RequestedList::Watch(after)
    ));
    let mut parser = WatchParser::new(driver.limits.list_bytes);
    let error = loop {
        match events.next().await {
            Some(Ok(HttpEvent::Line(line))) => match parser.push_line(line) {
                Ok(WatchEvent::Heartbeat) => driver.handle_input(Input::WatchKeepalive),
                Ok(WatchEvent::List(list)) => {
                    driver.handle_input(Input::EndpointList(list));
                    // A list may name thousands of members.
                    future::yield_now().await;
                }
                Ok(WatchEvent::Incomplete) => {}
                Err(error) => break error.to_string().into(),
            },
            Some(Ok(HttpEvent::End)) | None => break "ended".into(),
            Some(Err(error)) => break error,
        }
    };
    driver.handle_input(Input::WatchLost(error));
}

/// Requests the complete list once and passes it to the reducer. Fails after `watch_idle_timeout`.
async fn fetch(driver: Rc<Driver>, address: SocketAddr) {
    let timeout = Duration::from_nanos(driver.limits.watch_idle_timeout as u64);
    let timed_out = async {
        Timer::after(timeout).await;
        None
    };
    match future::or(read_list(&driver, address), timed_out).await {
        Some(list) => driver.handle_input(Input::EndpointList(list)),
        None => driver.handle_input(Input::FetchFailed),
    }
}

async fn read_list(driver: &Rc<Driver>, address: SocketAddr) -> Option<ListUpdate> {
    let mut events = pin!(request(driver.clone(), address, RequestedList::Complete));
    let mut body = Vec::new();
    loop {
        match events.next().await? {
            Ok(HttpEvent::Line(line)) if body.len() + line.len() > driver.limits.list_bytes => {
                return None;
            }
            Ok(HttpEvent::Line(line)) => body.extend(line),
            Ok(HttpEvent::End) => return parse_endpoint_list(&body).ok(),
            Err(_) => return None,
        }
    }
}
