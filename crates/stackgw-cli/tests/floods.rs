//! Malicious clients of the Flight SQL server: truncated and oversized messages, floods of frames, header bombs. They may lose
//! their own connection; all other clients are served, and memory stays within the limits.
#![cfg(feature = "flight")]

mod common;

use common::group_fixture::GroupFixture;
use common::protocol_client::{served, ClientRequest};
use stackgw_testkit::Protocol;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const CONTINUATION: u8 = 9;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// An HTTP/2 connection whose frames the test writes itself.
struct RawConnection(TcpStream);

/// An HPACK header field, a literal without indexing.
fn header(name: &str, value: &str) -> Vec<u8> {
    let text = |out: &mut Vec<u8>, text: &str| {
        assert!(text.len() < 127);
        out.push(text.len() as u8);
        out.extend(text.as_bytes());
    };
    let mut out = vec![0];
    text(&mut out, name);
    text(&mut out, value);
    out
}

/// The headers of a gRPC call.
fn call(method: &str) -> Vec<u8> {
    let path = format!("/arrow.flight.protocol.FlightService/{method}");
    [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", &path),
        (":authority", "gateway"),
        ("content-type", "application/grpc"),
        ("te", "trailers"),
    ]
    .iter()
    .flat_map(|(name, value)| header(name, value))
    .collect()
}

impl RawConnection {
    fn new(at: SocketAddr) -> Self {
        let socket = TcpStream::connect(at).expect("a connection");
        socket
            .set_write_timeout(Some(Duration::from_secs(5)))
            .expect("a timeout");
        let mut raw = RawConnection(socket);
        raw.0
            .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
            .expect("the preface");
        raw.send(SETTINGS, 0, 0, &[]).expect("settings");
        raw
    }

    fn frame(kind: u8, flags: u8, stream: u32, body: &[u8]) -> Vec<u8> {
        let mut frame = (body.len() as u32).to_be_bytes()[1..].to_vec();
        frame.extend([kind, flags]);
        frame.extend(stream.to_be_bytes());
        frame.extend(body);
        frame
    }

    fn send(&mut self, kind: u8, flags: u8, stream: u32, body: &[u8]) -> std::io::Result<()> {
        self.0.write_all(&Self::frame(kind, flags, stream, body))
    }

    /// Reads until the peer closes, sends nothing for 2 s, or sends a frame of this type; returns the types of all frames.
    fn read_frame_kinds(&mut self, until: u8) -> Vec<u8> {
        self.0
            .set_read_timeout(Some(Duration::from_secs(2)))
            .expect("a timeout");
        let (mut kinds, mut received, mut buffer) = (Vec::new(), Vec::new(), [0; 16 << 10]);
        loop {
            while received.len() >= 9 {
                let length =
                    u32::from_be_bytes([0, received[0], received[1], received[2]]) as usize;
                if received.len() < 9 + length {
                    break;
                }
                kinds.push(received[3]);
                received.drain(..9 + length);
            }
            if kinds.contains(&until) {
                return kinds;
            }
            match self.0.read(&mut buffer) {
                Ok(0) => return kinds,
                Ok(n) => received.extend(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return kinds,
            }
        }
    }
}

/// Runs `flood` against a gateway, then checks, with the returned connection still open, that other clients are served within 3 s
/// in total and that peak memory stays below 96 MiB.
fn check_others_are_served(name: &str, flood: impl FnOnce(SocketAddr) -> Option<RawConnection>) {
    let fixture = GroupFixture::new(name, &[20], Protocol::Postgres);
    let mut client = fixture.client(0, Protocol::FlightSql);
    assert_eq!(
        client.send_with_retries(&ClientRequest::write("k", 1)),
        served(1)
    );
    let _open = flood(fixture.flight_address(0));
    let since = Instant::now();
    assert_eq!(
        client.send_with_retries(&ClientRequest::write("k", 2)),
        served(2)
    );
    assert_eq!(
        client.send_with_retries(&ClientRequest::read("mine", "k")),
        served(2)
    );
    assert_eq!(
        fixture
            .client(0, Protocol::Postgres)
            .send_with_retries(&ClientRequest::read("mine", "k")),
        served(2)
    );
    assert!(
        since.elapsed() < Duration::from_secs(3),
        "{name}: other clients were served only after {:?}",
        since.elapsed()
    );
    let mb = fixture.peak_memory_mib(0);
    assert!(mb < 96, "{name}: peak memory {mb} MiB");
}

#[test]
fn a_truncated_message_is_an_error_of_its_call() {
    check_others_are_served("truncated", |at| {
        let mut raw = RawConnection::new(at);
        raw.send(HEADERS, END_HEADERS, 1, &call("GetFlightInfo"))
            .expect("written");
        raw.send(DATA, END_STREAM, 1, &[0, 0, 0, 0, 100, 1, 2, 3])
            .expect("written");
        let kinds = raw.read_frame_kinds(HEADERS);
        assert!(
            kinds.contains(&HEADERS) && !kinds.contains(&GOAWAY),
            "{kinds:?}"
        );
        Some(raw)
    });
}

#[test]
fn a_message_that_claims_a_gigabyte_is_rejected_at_its_head() {
    check_others_are_served("oversized", |at| {
        let mut raw = RawConnection::new(at);
        raw.send(HEADERS, END_HEADERS, 1, &call("GetFlightInfo"))
            .expect("written");
        raw.send(DATA, 0, 1, &[&[0, 0x40, 0, 0, 0][..], &[7; 8_000]].concat())
            .expect("written");
        let kinds = raw.read_frame_kinds(HEADERS);
        assert!(kinds.contains(&HEADERS), "{kinds:?}");
        Some(raw)
    });
}

#[test]
fn endless_headers_end_their_connection_or_their_call() {
    check_others_are_served("bomb", |at| {
        let mut raw = RawConnection::new(at);
        raw.send(HEADERS, 0, 1, &call("GetFlightInfo"))
            .expect("written");
        let more: Vec<u8> = (0..60)
            .flat_map(|n| header(&format!("x-{n}"), &"y".repeat(100)))
            .collect();
        // About 100 MB, if the gateway accepted all of it.
        let ended = (0..16_000).any(|_| raw.send(CONTINUATION, 0, 1, &more).is_err());
        assert!(ended, "the gateway accepted all headers");
        None
    });
}

#[test]
fn rapidly_reset_streams_execute_nothing() {
    check_others_are_served("resets", |at| {
        let mut raw = RawConnection::new(at);
        let headers = call("DoGet");
        for n in 0..20_000_u32 {
            let stream = 2 * n + 1;
            let opened = raw.send(HEADERS, END_HEADERS, stream, &headers);
            let reset = raw.send(RST_STREAM, 0, stream, &8_u32.to_be_bytes());
            if opened.is_err() || reset.is_err() {
                return None;
            }
        }
        Some(raw)
    });
}

#[test]
fn floods_of_settings_and_pings_do_not_delay_others() {
    for (name, kind, body) in [
        ("settings", SETTINGS, &[][..]),
        ("pings", PING, &[1; 8][..]),
    ] {
        check_others_are_served(name, |at| {
            let mut raw = RawConnection::new(at);
            // The test does not read the answers.
            raw.0
                .set_write_timeout(Some(Duration::from_millis(500)))
                .expect("a timeout");
            let many = RawConnection::frame(kind, 0, 0, body).repeat(1_000);
            let _ = (0..1_000).all(|_| raw.0.write_all(&many).is_ok());
            Some(raw)
        });
    }
}

#[test]
fn noise_and_idle_connections_affect_no_other_client() {
    check_others_are_served("noise", |at| {
        let mut noise = TcpStream::connect(at).expect("a connection");
        noise
            .write_all(&b"GET / HTTP/1.0\r\n\r\n".repeat(1_000))
            .expect("written");
        let silent: Vec<_> = (0..50)
            .map(|_| TcpStream::connect(at).expect("a connection"))
            .collect();
        drop(silent);
        Some(RawConnection::new(at))
    });
}
