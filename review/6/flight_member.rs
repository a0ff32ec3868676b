//! A database server that speaks Arrow Flight SQL, as far as a gateway uses it: GetFlightInfo runs the statement, DoGet brings
//! its answer. It ends as gRPC servers do: it closes its listener, tells each connection that no new calls are taken (GOAWAY),
//! finishes and answers what runs, then closes the connections. HTTP/2, gRPC and Arrow are written by hand, from their pages.
#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// A value that a statement brings, and what the server says of itself.
pub struct Outcome {
    pub value: Vec<u8>,
    pub role: &'static str,
    pub position_ms: u64,
}

/// Runs a statement; `None`: it is rejected without effect, as this is no primary.
pub type Run = Arc<dyn Fn(&str) -> Option<Outcome> + Send + Sync>;

pub struct FlightMember {
    listener: Mutex<Option<TcpListener>>,
    connections: Mutex<Vec<Arc<Connection>>>,
    in_flight: AtomicUsize,
    next_ticket: AtomicU32,
    /// Outcomes of statements that ran with GetFlightInfo, by ticket.
    outcomes: Mutex<HashMap<Vec<u8>, Outcome>>,
    run: Run,
}

struct Connection {
    writer: Mutex<TcpStream>,
    last_stream: AtomicU32,
    is_ending: AtomicBool,
}

impl Connection {
    fn send(&self, bytes: &[u8]) {
        let _ = lock(&self.writer).write_all(bytes);
    }
}

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const WINDOW_UPDATE: u8 = 8;
const ACK: u8 = 1;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

fn frame(kind: u8, flags: u8, stream: u32, body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes()[1..].to_vec();
    frame.push(kind);
    frame.push(flags);
    frame.extend(stream.to_be_bytes());
    frame.extend(body);
    frame
}

/// A header in HPACK, as a literal without indexing.
fn header(out: &mut Vec<u8>, name: &str, value: &str) {
    out.push(0);
    for text in [name, value] {
        out.push(text.len() as u8);
        out.extend(text.as_bytes());
    }
}

/// The headers of an answer: status 200 (an entry of HPACK's table) and what is given.
fn headers(more: &[(&str, &str)]) -> Vec<u8> {
    let mut out = vec![0x88];
    header(&mut out, "content-type", "application/grpc");
    more.iter().for_each(|(name, value)| header(&mut out, name, value));
    out
}

fn trailers(status: &str) -> Vec<u8> {
    let mut out = Vec::new();
    header(&mut out, "grpc-status", status);
    out
}

/// A field of a protocol buffer that holds bytes.
fn field(number: u8, bytes: &[u8]) -> Vec<u8> {
    let mut out = vec![number << 3 | 2];
    let mut length = bytes.len();
    while length >= 128 {
        out.push(length as u8 | 128);
        length >>= 7;
    }
    out.push(length as u8);
    out.extend(bytes);
    out
}

fn grpc(message: &[u8]) -> Vec<u8> {
    let mut out = vec![0];
    out.extend((message.len() as u32).to_be_bytes());
    out.extend(message);
    out
}

/// FlightData with the schema: one binary column `val`.
const SCHEMA: &str = "\
    126c1000000000000a000c000a00090004000a000000100000000001040008000800000004000800000004000000010000001400000010\
    00140010000e000f0004000000080010000000180000000c00000000000104100000000000000004000400040000000300000076616c00";
/// FlightData with a batch of one value of up to 64 bytes, here 8; its length stands at 147 and 163, the value at 223.
const BATCH: &str = "\
    129801100000000c001a0018001700040008000c000000200000008000000000000000000000000000000304000a0018000c0008000400\
    0a0000002c0000001000000001000000000000000000000001000000010000000000000000000000000000000000000003000000000000\
    000000000000000000000000000000000000000000080000000000000040000000000000000800000000000000c23e8001000000000800\
    00000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000\
    000000eeeeeeeeeeeeeeee0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000\
    000000000000000000000000";

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2).filter_map(|n| u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).ok()).collect()
}

fn batch(value: &[u8]) -> Vec<u8> {
    let mut batch = bytes(BATCH);
    batch[147] = value.len() as u8;
    batch[163] = value.len() as u8;
    batch[223..231].fill(0);
    batch[223..223 + value.len()].copy_from_slice(value);
    batch
}

impl FlightMember {
    pub fn start(run: Run) -> (Arc<Self>, std::net::SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let member = Arc::new(FlightMember {
            listener: Mutex::new(Some(listener)),
            connections: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            next_ticket: AtomicU32::new(1),
            outcomes: Mutex::default(),
            run,
        });
        let accepting = member.clone();
        std::thread::spawn(move || accepting.accept());
        (member, address)
    }

    fn accept(self: Arc<Self>) {
        loop {
            let accepted = match lock(&self.listener).as_ref() {
                Some(listener) => listener.accept().ok(),
                None => return,
            };
            let Some((socket, _)) = accepted else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = socket.set_nonblocking(false);
            let _ = socket.set_nodelay(true);
            let Ok(writer) = socket.try_clone() else { continue };
            let connection = Arc::new(Connection {
                writer: Mutex::new(writer),
                last_stream: AtomicU32::new(0),
                is_ending: AtomicBool::new(false),
            });
            lock(&self.connections).push(connection.clone());
            let member = self.clone();
            std::thread::spawn(move || member.serve(socket, &connection));
        }
    }

    /// Ends gracefully.
    pub fn end(&self) {
        drop(lock(&self.listener).take());
        for connection in lock(&self.connections).iter() {
            connection.is_ending.store(true, SeqCst);
            let mut body = connection.last_stream.load(SeqCst).to_be_bytes().to_vec();
            body.extend([0; 4]);
            connection.send(&frame(GOAWAY, 0, 0, &body));
        }
        while self.in_flight.load(SeqCst) > 0 {
            std::thread::sleep(Duration::from_millis(1));
        }
        for connection in lock(&self.connections).iter() {
            let _ = lock(&connection.writer).shutdown(Shutdown::Both);
        }
    }

    fn serve(self: Arc<Self>, mut socket: TcpStream, connection: &Arc<Connection>) -> Option<()> {
        let mut preface = [0; 24];
        socket.read_exact(&mut preface).ok()?;
        connection.send(&frame(SETTINGS, 0, 0, &[]));
        let mut bodies = HashMap::<u32, Vec<u8>>::new();
        loop {
            let mut head = [0; 9];
            socket.read_exact(&mut head).ok()?;
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
            let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
            let mut body = vec![0; length];
            socket.read_exact(&mut body).ok()?;
            match head[3] {
                SETTINGS if head[4] & ACK == 0 => connection.send(&frame(SETTINGS, ACK, 0, &[])),
                PING if head[4] & ACK == 0 => connection.send(&frame(PING, ACK, 0, &body)),
                HEADERS if !connection.is_ending.load(SeqCst) => {
                    connection.last_stream.fetch_max(stream, SeqCst);
                }
                DATA if stream <= connection.last_stream.load(SeqCst) => {
                    if length > 0 {
                        connection.send(&frame(WINDOW_UPDATE, 0, 0, &(length as u32).to_be_bytes()));
                    }
                    bodies.entry(stream).or_default().extend(body);
                    if head[4] & END_STREAM != 0 {
                        let message = bodies.remove(&stream)?.get(5..)?.to_vec();
                        let (member, connection) = (self.clone(), connection.clone());
                        self.in_flight.fetch_add(1, SeqCst);
                        std::thread::spawn(move || {
                            let answer = member.answer(stream, &message);
                            connection.send(&answer);
                            member.in_flight.fetch_sub(1, SeqCst);
                        });
                    }
                }
                _ => {}
            }
        }
    }

    fn answer(&self, stream: u32, message: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(message);
        if text.contains("CommandStatementQuery") {
            let starts = ["INSERT", "SELECT", "SHOW"].iter().filter_map(|word| text.find(word)).min();
            return self.flight_info(stream, starts.map_or("", |start| &text[start..]));
        }
        // A ticket: field 1 with this server's own bytes.
        let ticket = message.get(2..).unwrap_or_default();
        match lock(&self.outcomes).remove(ticket) {
            Some(outcome) => flight_data(stream, &outcome),
            None => error(stream, "5", &[]),
        }
    }

    /// GetFlightInfo: runs the statement and keeps its outcome for the ticket.
    fn flight_info(&self, stream: u32, statement: &str) -> Vec<u8> {
        let Some(outcome) = (self.run)(statement) else {
            return error(stream, "9", &[("x-stackgw-ran", "never"), ("x-stackgw-role", "follower")]);
        };
        let ticket = format!("t{}", self.next_ticket.fetch_add(1, SeqCst)).into_bytes();
        let endpoint = field(1, &field(1, &ticket));
        lock(&self.outcomes).insert(ticket, outcome);
        let mut out = frame(HEADERS, END_HEADERS, stream, &headers(&[]));
        out.extend(frame(DATA, 0, stream, &grpc(&field(3, &endpoint))));
        out.extend(frame(HEADERS, END_HEADERS | END_STREAM, stream, &trailers("0")));
        out
    }
}

/// DoGet: the schema, one batch with one value, and the end.
fn flight_data(stream: u32, outcome: &Outcome) -> Vec<u8> {
    let position = outcome.position_ms.to_string();
    let about = [("x-stackgw-role", outcome.role), ("x-stackgw-position", position.as_str())];
    let mut out = frame(HEADERS, END_HEADERS, stream, &headers(&about));
    for message in [bytes(SCHEMA), batch(&outcome.value)] {
        out.extend(frame(DATA, 0, stream, &grpc(&message)));
    }
    out.extend(frame(HEADERS, END_HEADERS | END_STREAM, stream, &trailers("0")));
    out
}

/// An error without an answer.
fn error(stream: u32, status: &str, more: &[(&str, &str)]) -> Vec<u8> {
    let mut all = vec![("grpc-status", status)];
    all.extend(more);
    frame(HEADERS, END_HEADERS | END_STREAM, stream, &headers(&all))
}
