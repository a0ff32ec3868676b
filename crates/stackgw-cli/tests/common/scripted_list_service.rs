//! List services whose watches send what a test tells them to.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a service whose watches send one list and then stay open.
pub fn start_list_service(list: String) -> SocketAddr {
    let (requests, _) = channel();
    start_recording_list_service(list, requests)
}

/// Starts a service whose one watch goes on with the updates that it gets, and ends with their sender.
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

/// Starts a service that passes on the first line of each request that it gets.
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

/// A list as a line in a chunk of its own.
fn list_chunk(list: &str) -> String {
    let body = format!("{list}\n");
    format!("{:x}\r\n{body}\r\n", body.len())
}
