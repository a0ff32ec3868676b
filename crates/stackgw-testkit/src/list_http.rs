//! The HTTP side of the list service, with one request per connection. The answer is the list, or a watch that stays open and
//! sends a line with each change and an empty line at intervals.

use crate::list_service::{ListService, PollOutcome, ServiceState, Watch};
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const LAST_CHUNK: &str = "0\r\n\r\n";

/// Starts a service with this many listeners that lists members at these addresses.
pub(crate) fn start(
    member_addresses: &[SocketAddr],
    listeners: usize,
) -> io::Result<Arc<ListService>> {
    let listeners: Vec<_> = (0..listeners)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    let addresses = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<_, _>>()?;
    let service = Arc::new(ListService::new(member_addresses, addresses));
    for (index, listener) in listeners.into_iter().enumerate() {
        let service = service.clone();
        std::thread::spawn(move || accept(&service, index, &listener));
    }
    Ok(service)
}

/// Serves each connection of a listener on its own thread.
fn accept(service: &Arc<ListService>, index: usize, listener: &TcpListener) {
    for socket in listener.incoming().flatten() {
        let service = service.clone();
        std::thread::spawn(move || serve(&service, index, socket));
    }
}

/// Serves one connection of a listener until it ends.
fn serve(service: &ListService, listener: usize, mut socket: TcpStream) {
    let admission = service.admit(listener);
    if admission.outcome == PollOutcome::Unreachable {
        return;
    }
    let mut request_line = String::new();
    let _ = BufReader::new(&socket).read_line(&mut request_line);
    if admission.outcome == PollOutcome::Rejected {
        let _ = socket.write_all(rejection(admission.queue_wait).as_bytes());
        return;
    }
    std::thread::sleep(admission.queue_wait);
    let request = ListRequest::parse(&request_line);
    let (state, answer) = service.answer(listener, request.after);
    let text = match state {
        ServiceState::Silent => String::new(),
        ServiceState::FirstByteOnly => HEAD[..1].to_owned(),
        ServiceState::Truncated => {
            format!("{HEAD}{}", chunk(&answer.json[..answer.json.len() / 2]))
        }
        _ if request.is_watch => format!("{HEAD}{}", line(&answer.json)),
        _ => format!("{HEAD}{}{LAST_CHUNK}", line(&answer.json)),
    };
    let sent = socket.write_all(text.as_bytes());
    if sent.is_err() || state == ServiceState::Truncated {
        return;
    }
    if request.is_watch || state.is_hanging() {
        let watch = Watch {
            listener,
            revision: answer.revision,
            is_hanging: state.is_hanging(),
        };
        send_changes(service, watch, &mut socket);
    }
}

/// Sends each change to a watch until the listener is down or the client has disconnected.
fn send_changes(service: &ListService, mut watch: Watch, socket: &mut TcpStream) {
    loop {
        let client = &*socket;
        let Some(change) = service.wait_for_change(&watch, || is_closed(client)) else {
            return;
        };
        let text = if change.revision > watch.revision {
            line(&change.json)
        } else {
            line("")
        };
        watch.revision = watch.revision.max(change.revision);
        if socket.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// A request for the list, parsed from its first line.
struct ListRequest {
    is_watch: bool,
    /// The revision that the client has; 0: none.
    after: u64,
}

impl ListRequest {
    fn parse(line: &str) -> Self {
        let after = line.split("after=").nth(1).and_then(|rest| {
            let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
            digits.parse().ok()
        });
        ListRequest {
            is_watch: line.contains("watch"),
            after: after.unwrap_or(0),
        }
    }
}

fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

/// A line as one chunk.
fn line(text: &str) -> String {
    chunk(&format!("{text}\n"))
}

fn rejection(queue_wait: Duration) -> String {
    let seconds = queue_wait.as_secs() + 1;
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Whether the client has closed the connection. It must not send anything after its request: bytes from it count as closed.
fn is_closed(socket: &TcpStream) -> bool {
    let mut byte = [0];
    let peeked = socket
        .set_nonblocking(true)
        .and_then(|()| socket.peek(&mut byte));
    let _ = socket.set_nonblocking(false);
    !matches!(&peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
}
