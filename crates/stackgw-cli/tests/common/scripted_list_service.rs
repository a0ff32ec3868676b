//! List services whose watches send what the test specifies.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};

const HEARTBEATS_PER_CHUNK: usize = 10_000;
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a list service whose watches send one list and then stay open.
pub fn start_list_service(list: String) -> SocketAddr {
    let (requests, _) = channel();
    start_recording_list_service(list, requests)
}

/// Starts a list service that accepts one watch. It sends the list, then each update, and closes the watch once the sender of
/// `updates` is dropped.
pub fn start_updating_list_service(list: String, updates: Receiver<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let Ok((mut socket, _)) = listener.accept() else {
            return;
        };
        let _ = socket.write_all(HEAD.as_bytes());
        for list in std::iter::once(list).chain(updates) {
            let _ = socket.write_all(list_chunk(&list).as_bytes());
        }
    });
    address
}

/// As [`start_list_service`], and sends the first line of each request to `requests`.
pub fn start_recording_list_service(list: String, requests: Sender<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut socket in listener.incoming().flatten() {
            let mut line = String::new();
            let _ = BufReader::new(&socket).read_line(&mut line);
            let _ = requests.send(line);
            let answer = format!("{HEAD}{}", list_chunk(&list));
            let _ = socket.write_all(answer.as_bytes());
            open.push(socket);
        }
    });
    address
}

/// Starts a list service whose watches send one list, then heartbeats without a pause until the connection ends.
pub fn start_endless_list_service(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let heartbeats = list_chunk(&"\n".repeat(HEARTBEATS_PER_CHUNK));
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let mut request = String::new();
            let _ = BufReader::new(&socket).read_line(&mut request);
            let _ = socket.write_all(format!("{HEAD}{}", list_chunk(&list)).as_bytes());
            let heartbeats = heartbeats.clone();
            std::thread::spawn(move || while socket.write_all(heartbeats.as_bytes()).is_ok() {});
        }
    });
    address
}

/// A list as one line in one HTTP chunk.
fn list_chunk(list: &str) -> String {
    let body = format!("{list}\n");
    format!("{:x}\r\n{body}\r\n", body.len())
}
