//! What the gateway writes on its wires and says in its one-line errors, compared with fixtures: the texts in
//! `tests/fixtures/wire_texts/` were written by commit 1451fac and are not to change.

mod common;

use common::*;
use stackgw_gateway::config::{ClusterConfig, Config, SessionSharingConfig};
use stackgw_gateway::discovery::{
    endpoint_request, parse_endpoint_list, HttpEvent, HttpLineReader, ListUpdate, RequestedList,
    WatchError, WatchEvent, WatchParser,
};
use stackgw_gateway::limits::{Limits, Platform};
use stackgw_gateway::pg::{
    code, column_value, parse_load_report, write, Frame, FrameDecoder, Reply, ReplyOutcome,
    Statement,
};
use stackgw_gateway::reducer::{ClientId, Effect, Input};
use stackgw_router::api::Lifecycle;
use std::fmt::{Display, Write};
use std::path::{Path, PathBuf};

/// Compares lines with a fixture. With `WRITE_FIXTURES` set, which only 1451fac's code may run with, writes it.
fn compare(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/wire_texts")
        .join(name);
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        std::fs::write(&path, actual).expect("the fixture is written");
    }
    let expected = std::fs::read_to_string(&path).expect("the fixture is there");
    for (number, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(expected, actual, "{name}, line {}", number + 1);
    }
    assert_eq!(expected.lines().count(), actual.lines().count(), "{name}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// One line of a fixture.
fn line(out: &mut String, label: &str, text: impl Display) {
    writeln!(out, "{label}: {text}").expect("a string takes all");
}

fn written(build: impl FnOnce(&mut Vec<u8>)) -> String {
    let mut bytes = vec![0xaa];
    build(&mut bytes);
    hex(&bytes)
}

/// Every error reply that the gateway gives: whether it ends the connection, its code, text and detail.
const ERRORS: [(bool, &str, &str, Option<&str>); 18] = [
    (false, "53300", "no\0zero", Some("25")),
    (false, "53300", "too busy", None),
    (false, "57P03", "the gateway ends", None),
    (false, "58000", "nothing is promised", None),
    (false, "42601", "the comment has no id", None),
    (true, "42601", "the comment has no id", None),
    (false, "42601", "the class is unknown", None),
    (false, "42601", "the cluster is unknown", None),
    (
        false,
        "42601",
        "the class and the statement do not go together",
        None,
    ),
    (false, "42601", "a request with this id is open", None),
    (true, "08P01", "the message was not finished in time", None),
    (
        true,
        "08P01",
        "these bytes are no message of the protocol",
        None,
    ),
    (true, "53400", "too much was sent ahead", None),
    (false, "0A000", "only simple queries are spoken here", None),
    (true, "0A000", "this startup is not understood", None),
    (false, "57014", "cancelled on the client's request", None),
    (true, "53300", "too many connections", None),
    (false, "53300", "", Some("")),
];

#[test]
fn messages_are_the_same_bytes() {
    let mut out = String::new();
    line(&mut out, "row null", written(|out| write::row(out, None)));
    line(
        &mut out,
        "row empty",
        written(|out| write::row(out, Some(b""))),
    );
    line(
        &mut out,
        "row",
        written(|out| write::row(out, Some(&[0, 1, 0xff, b'v']))),
    );
    line(
        &mut out,
        "status",
        written(|out| write::status(out, "node_role", "leader")),
    );
    line(&mut out, "ready", written(write::ready));
    line(&mut out, "empty", written(write::empty));
    line(
        &mut out,
        "welcome",
        written(|out| write::welcome(out, 7, 0xdead_beef)),
    );
    line(&mut out, "negotiate", written(write::negotiate));
    line(
        &mut out,
        "query",
        written(|out| write::query(out, "SHOW server_load")),
    );
    line(
        &mut out,
        "startup",
        written(|out| write::startup(out, "stackgw", "core")),
    );
    for (fatal, sqlstate, text, detail) in ERRORS {
        let bytes = written(|out| write::error(out, fatal, sqlstate, text, detail));
        line(&mut out, &format!("error {sqlstate} {fatal}"), bytes);
    }
    line(
        &mut out,
        "codes",
        format!(
            "{} {} {} {}",
            code::VERSION_3,
            code::SSL,
            code::GSS,
            code::CANCEL
        ),
    );
    compare("messages.txt", &out);
}

/// Query texts, good and bad.
const STATEMENTS: [&str; 34] = [
    "SELECT val FROM state WHERE uid = '7f3a' /* id=9b1f,c=look,d=480,cluster=2 */",
    "select val from state where uid='7f3a'/*id=9b1f,c=look,d=480,cluster=2*/",
    "SELECT val FROM state WHERE uid = '7f3a' /* id=9b1f, c=look , d=00480,cluster=2,after=1767225600123,r=1,x=y */",
    "SELECT val FROM state WHERE uid = '7f3a' /* id=9b1f,c=look,d=480,cluster=2,after=0,r=2 */",
    "INSERT INTO state (uid, val) VALUES ('k', '\\x9f03') RETURNING val /* id=1,c=buy,d=4294967295,cluster=4294967295 */",
    "INSERT INTO state (uid, val) VALUES ('k', '\\x') RETURNING val /* id=1,c=buy,d=1,cluster=0 */",
    "INSERT INTO state (uid, val) VALUES ('k', '\\x9') RETURNING val /* id=1,c=buy,d=1,cluster=0 */",
    "INSERT INTO state (uid, val) VALUES ('k', '\\xzz') RETURNING val /* id=1,c=buy,d=1,cluster=0 */",
    "INSERT INTO state (uid, val) VALUES ('k', '9f') RETURNING val /* id=1,c=buy,d=1,cluster=0 */",
    "INSERT INTO state (uid) VALUES ('k') /* id=1,c=buy,d=1,cluster=0 */",
    "SELECT val FROM state WHERE uid = '' /* id=9b1f,c=look,d=480,cluster=2 */",
    "SELECT val FROM state WHERE uid = 'k' LIMIT 1 /* id=9b1f,c=look,d=480,cluster=2 */",
    "DELETE FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=480,cluster=2 */",
    "SELECT val FROM state WHERE uid = 'k'",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=480,cluster=2",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=480,cluster=2 */ */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=480,cluster */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=480,cluster=2,id=9 */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=480,cluster=2,after=1,after=1 */",
    "SELECT val FROM state WHERE uid = 'k' /* c=look,d=480,cluster=2 */",
    "SELECT val FROM state WHERE uid = 'k' /* id=,c=look,d=480,cluster=2 */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,d=480,cluster=2 */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,cluster=2 */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=x,cluster=2 */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=-1,cluster=2 */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=4294967296,cluster=2 */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=480 */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=480,cluster=x */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=480,cluster=4294967296 */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=480,cluster=2,after=y */",
    "SELECT val FROM state WHERE uid = 'k' /* id=9b1f,c=look,d=480,cluster=2,after=8796093022208 */",
    "SELECT val FROM state WHERE uid = 'k' /* */",
    "",
    " ; ",
];

fn parsed(frame: Frame) -> String {
    let begins =
        Statement::target(&frame).map(|target| format!("{},{}", target.key, target.writes));
    let empty = Statement::is_empty(&frame);
    let read = match Statement::parse(frame) {
        Ok(read) => {
            let (id, key, class, after) = (
                &read.id,
                &read.key,
                &read.class,
                read.after_ms.unwrap_or(-1),
            );
            format!(
                "{id}|{key}|{class}|{}|{}|{after}|{}|{}|{}|{}",
                read.wait_ms,
                read.cluster,
                read.repeat,
                read.write,
                read.size_bytes(),
                hex(&read.with_timeout(12_345))
            )
        }
        Err(malformed) => format!("error: {malformed}"),
    };
    format!("{}|{empty}|{read}", begins.unwrap_or_default())
}

#[test]
fn statements_are_read_and_passed_on_the_same() {
    let mut out = String::new();
    for (number, text) in STATEMENTS.iter().enumerate() {
        line(
            &mut out,
            &format!("statement {number}"),
            parsed(query(text)),
        );
    }
    line(&mut out, "no end", parsed(message(b'Q', b"SELECT")));
    line(&mut out, "no text", parsed(message(b'Q', b"\xff\xfe\0")));
    compare("statements.txt", &out);
}

/// What a client is answered, hexadecimal; a write that closes the connection ends with `close`.
fn client_writes(effects: &[Effect]) -> String {
    let written = effects.iter().filter_map(|effect| match effect {
        Effect::ClientWrite { bytes, close, .. } => {
            Some(hex(bytes) + if *close { " close" } else { "" })
        }
        _ => None,
    });
    written.collect::<Vec<_>>().join(", ")
}

#[test]
fn clients_are_answered_with_the_same_bytes() {
    let mut out = String::new();
    let mut rig = Rig::new(&three());
    rig.input(Input::ClientConnected(ClientId(1)));
    let welcome = client_writes(&rig.input(Input::ClientFrame(ClientId(1), startup())));
    // What follows is a key for cancelling, drawn at random.
    line(
        &mut out,
        "startup",
        &welcome[..welcome.len().saturating_sub(2 * (8 + 6))],
    );
    for (number, text) in STATEMENTS.iter().enumerate().skip(5) {
        let mut rig = Rig::new(&three());
        let client = rig.client(1);
        let effects = rig.input(Input::ClientFrame(client, query(text)));
        line(
            &mut out,
            &format!("statement {number}"),
            client_writes(&effects),
        );
    }
    for kind in *b"PBDECHSFdcfpX" {
        let mut rig = Rig::new(&three());
        let client = rig.client(1);
        let effects = rig.input(Input::ClientFrame(client, message(kind, b"")));
        line(
            &mut out,
            &format!("message {}", char::from(kind)),
            client_writes(&effects),
        );
    }
    for startup_code in [
        code::SSL,
        code::GSS,
        code::CANCEL,
        2 << 16,
        (3 << 16) + 2,
        code::VERSION_3,
    ] {
        let mut rig = Rig::new(&three());
        let mut bytes = 9u32.to_be_bytes().to_vec();
        bytes.extend(startup_code.to_be_bytes());
        bytes.push(7);
        rig.input(Input::ClientConnected(ClientId(1)));
        let effects = rig.input(Input::ClientFrame(ClientId(1), Frame { kind: 0, bytes }));
        line(
            &mut out,
            &format!("startup {startup_code}"),
            client_writes(&effects),
        );
    }
    compare("client_replies.txt", &out);
}

fn frame_text(frame: &Frame) -> String {
    format!(
        "{}:{}:{}:{}:{}",
        frame.kind,
        hex(&frame.bytes),
        frame.code().map_or("-".to_owned(), |code| code.to_string()),
        frame.has_parameters(),
        frame.is_startup()
    )
}

/// All frames that come out when the bytes are fed three at a time, and what is left.
fn frames_text(mut parser: FrameDecoder, bytes: &[u8]) -> String {
    let mut all = Vec::new();
    for piece in bytes.chunks(3) {
        parser.feed(piece);
        while let Some(next) = parser.next_frame() {
            match next {
                Ok(frame) => all.push(frame_text(&frame)),
                Err(bad) => {
                    return format!(
                        "{} error: {bad} left {}",
                        all.join(" "),
                        parser.pending_bytes()
                    )
                }
            }
        }
    }
    let left = format!(
        "{} left {}/{}",
        all.join(" "),
        parser.pending_bytes(),
        parser.buffered_bytes()
    );
    parser.clear();
    assert_eq!((parser.pending_bytes(), parser.buffered_bytes()), (0, 0));
    left
}

/// A server's whole answer and what each side may send first.
fn frame_inputs() -> Vec<Vec<u8>> {
    let whole = [row(b"abc"), vec![status("node_role", "leader"), ready()]].concat();
    let answer: Vec<u8> = whole.iter().flat_map(|frame| frame.bytes.clone()).collect();
    let client = [
        startup().bytes,
        query("SELECT 1").bytes,
        b"X\0\0\0\x04".to_vec(),
    ]
    .concat();
    let mut many = vec![
        answer.clone(),
        client.clone(),
        answer[..answer.len() - 3].to_vec(),
    ];
    many.extend([
        client[..20].to_vec(),
        [client.clone(), answer.clone()].concat(),
    ]);
    let short: [&[u8]; 20] = [
        b"?",
        b"Q",
        b"Z\0\0\0\x09",
        b"I\0\0\0\x05",
        b"I\0\0\0\x04",
        b"D\xb2\xd0\x5e\x04",
        b"D\0\0\0\x0c\0\x01\0\0\0\x09",
        b"D\0\0\0\x0c\0\x02\0\0\0\x02",
        b"D\0\0\0\x0c\0\x01\xff\xff\xff\xfe",
        b"D\0\0\0\x0c\0\x01\0\0\0\x02ab",
        b"D\0\0\0\x0a\0\x01\xff\xff\xff\xff",
        b"E\0\0\0\x03",
        b"C\0\0\x10\x01",
        b"\0\0\0\x07\0\0\0",
        b"\0\0\0\x08\x04\xd2\x16\x2f",
        b"\0\0\0\x08\x04\xd2\x16\x30\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\x01\0\0\0\x02",
        b"\0\0\0\x09\0\x03\0\0\0S\0\0\0\x04X\0\0\0\x04",
        b"\0\0\0\x09\0\x03\0\0\0X\0\0\0\x05",
        b"\0\0\0\x09\0\x03\0\0\0Z",
        b"\0\0\0\x65\0\x03\0\0",
    ];
    many.extend(short.iter().map(|bytes| bytes.to_vec()));
    many
}

#[test]
fn bytes_are_split_into_the_same_messages() {
    let mut out = String::new();
    for (number, bytes) in frame_inputs().iter().enumerate() {
        line(
            &mut out,
            &format!("server {number}"),
            frames_text(FrameDecoder::server(4096), bytes),
        );
        line(
            &mut out,
            &format!("client {number}"),
            frames_text(FrameDecoder::client(100, 4096), bytes),
        );
    }
    compare("frames.txt", &out);
}

fn ended_text(ended: Option<ReplyOutcome>) -> String {
    match ended {
        None => "open".to_owned(),
        Some(ReplyOutcome::Row) => "row".to_owned(),
        Some(ReplyOutcome::Error(code)) => format!("error {}", String::from_utf8_lossy(&code)),
        Some(ReplyOutcome::NoRow) => "nothing".to_owned(),
    }
}

fn reply_text(frames: &[Frame]) -> String {
    let mut reply = Reply::default();
    let mut taken = Vec::new();
    for frame in frames {
        match reply.take(frame, 64) {
            Ok(over) => taken.push(over.to_string()),
            Err(out_of_place) => {
                taken.push(out_of_place.to_string());
                break;
            }
        }
    }
    let primary = reply
        .primary
        .map_or("-".to_owned(), |primary| primary.to_string());
    let report = &reply.report;
    format!(
        "{} | {} whole={} {primary} {} {} {} | {} {} {} {} {}",
        taken.join(","),
        ended_text(reply.ended()),
        reply.is_complete(),
        reply.position.unwrap_or(-1),
        reply.column().unwrap_or("-"),
        hex(&reply.row),
        report.position.unwrap_or(-1),
        report
            .is_primary
            .map_or("-".to_owned(), |primary| primary.to_string()),
        report.in_flight.unwrap_or(-1.0),
        report.queued.unwrap_or(-1.0),
        report.utilisation.unwrap_or(-1.0),
    )
}

#[test]
fn replies_are_gathered_the_same() {
    let good = row(b"abc");
    let load = "inflight=7,queue=2,util=0.61,x0=1767225600.1239,x1=1,news=4";
    let signs = [
        status("node_role", "leader"),
        status("replay_position", "1767225600123"),
    ];
    let cases: Vec<Vec<Frame>> = vec![
        [
            good.clone(),
            signs.to_vec(),
            vec![status("server_load", load), ready()],
        ]
        .concat(),
        [
            good.clone(),
            vec![
                status("node_role", "follower"),
                status("replay_position", "0"),
            ],
        ]
        .concat(),
        vec![good[0].clone(), good[1].clone(), good[1].clone()],
        good[1..].to_vec(),
        vec![good[0].clone(), good[2].clone(), ready()],
        vec![error("25006"), ready()],
        vec![error("250"), ready()],
        vec![message(b'E', b"SERROR\0\0"), ready()],
        vec![message(b'I', b""), ready()],
        vec![
            message(b'N', b"x"),
            message(b'K', b"y"),
            message(b'A', b"z"),
            message(b'R', &[0; 4]),
        ],
        vec![message(b'R', &[0, 0, 0, 3])],
        vec![message(b'Z', b"X")],
        vec![
            good[0].clone(),
            message(b'D', &[0, 1, 0xff, 0xff, 0xff, 0xff]),
            good[2].clone(),
            ready(),
        ],
        vec![good[0].clone(), message(b'D', &[0, 1, 0, 0, 0, 60, 0])],
        row(&[7; 64]),
        vec![message(b'C', b"\0")],
        vec![message(b'?', b"")],
    ];
    let mut out = String::new();
    for (number, frames) in cases.iter().enumerate() {
        line(&mut out, &format!("reply {number}"), reply_text(frames));
    }
    for text in [
        load,
        "",
        "x0=1,x1",
        "x0=1,x0=2",
        "x1=7",
        "inflight=-1",
        "x0=1e9",
        "x0=1767225600.99999999999",
        "x0=-5",
    ] {
        let position = parse_load_report(text).map(|report| report.position.unwrap_or(-1));
        line(
            &mut out,
            &format!("load {text}"),
            position.map_or("unreadable".to_owned(), |at| at.to_string()),
        );
    }
    let bytes = |frames: &[Frame]| -> Vec<u8> {
        frames
            .iter()
            .flat_map(|frame| frame.bytes.clone())
            .collect()
    };
    let null = [
        good[0].clone(),
        message(b'D', &[0, 1, 0xff, 0xff, 0xff, 0xff]),
    ];
    for row in [bytes(&good), bytes(&null), bytes(&good[..1]), Vec::new()] {
        let column = column_value(&row).map(|value| value.map_or("null".to_owned(), hex));
        line(&mut out, "value", column.unwrap_or("none".to_owned()));
    }
    compare("replies.txt", &out);
}

#[test]
fn the_list_service_is_asked_with_the_same_bytes() {
    let mut out = String::new();
    for host in ["127.0.0.1:8500", "[::1]:80"] {
        let host = host.parse().expect("an address");
        for requested in [
            RequestedList::Complete,
            RequestedList::Watch(None),
            RequestedList::Watch(Some(0)),
            RequestedList::Watch(Some(u64::MAX)),
        ] {
            line(&mut out, "request", hex(&endpoint_request(host, requested)));
        }
    }
    compare("list_requests.txt", &out);
}

fn http_text(answer: &[u8], size: usize) -> String {
    let mut parser = HttpLineReader::new(100, 40);
    let mut all = Vec::new();
    let name = |piece: &HttpEvent| match piece {
        HttpEvent::Line(line) => format!("line {}", String::from_utf8_lossy(line)),
        HttpEvent::End => "end".to_owned(),
    };
    for bytes in answer.chunks(size) {
        match parser.feed(bytes) {
            Ok(pieces) => all.extend(pieces.iter().map(name)),
            Err(malformed) => {
                return format!(
                    "{} error: {malformed}, off {}",
                    all.join(", "),
                    parser.retry_after().unwrap_or(-1)
                );
            }
        }
    }
    let ended = match parser.finish() {
        Ok(pieces) => pieces.iter().map(name).collect::<Vec<_>>().join(", "),
        Err(malformed) => format!("error: {malformed}"),
    };
    format!(
        "{} then {ended}, off {}",
        all.join(", "),
        parser.retry_after().unwrap_or(-1)
    )
}

#[test]
fn answers_of_the_list_service_are_read_the_same() {
    let long = format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "x".repeat(100));
    let endless = "x".repeat(101);
    let long_line = format!("HTTP/1.1 200 OK\r\n\r\n{}", "y".repeat(41));
    let long_lines = format!("HTTP/1.1 200 OK\r\n\r\n{}\n", "y".repeat(41));
    let chunked =
        |body: &str| format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n{body}");
    let cases = [
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{}\r\n{}".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.0 200 OK\r\n\r\none\n\ntwo".to_owned(),
        chunked("3;a=b\r\na\nb\r\n1\r\n\n\r\n0\r\nX: y\r\n\r\n"),
        chunked("3\r\na\nb\r\n"),
        chunked("zz\r\n"),
        chunked("\r\n"),
        chunked("+3\r\n"),
        chunked("1\r\nab"),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}x".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n".to_owned(),
        "HTTP/1.1 503 Busy\r\nRetry-After: 3\r\n\r\n".to_owned(),
        "HTTP/1.1 503 Busy\r\nretry-after: Wed, 21 Oct 2015 07:28:00 GMT\r\n\r\n".to_owned(),
        "HTTP/1.1 429 Too Many Requests\r\n\r\n".to_owned(),
        "HTTP/1.1 404 Not Found\r\nRetry-After: 3\r\n\r\n".to_owned(),
        format!("HTTP/1.1 {}\r\n\r\n", "5".repeat(80)),
        "\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\n".to_owned(),
        long,
        endless,
        long_line,
        long_lines,
    ];
    let mut out = String::new();
    for (number, answer) in cases.iter().enumerate() {
        for size in [1, 7, 4096] {
            line(
                &mut out,
                &format!("answer {number} by {size}"),
                http_text(answer.as_bytes(), size),
            );
        }
    }
    let no_text = [b"HTTP/1.1 200 OK\r\nX: ", &b"\xff"[..], b"\r\n\r\n"].concat();
    line(&mut out, "no text", http_text(&no_text, 4096));
    compare("http.txt", &out);
}

fn list_text_of(list: &ListUpdate) -> String {
    let mut text = format!("{} {}", list.revision, list.complete);
    for entry in &list.members {
        let phase = match entry.phase {
            Lifecycle::Serving => 0,
            Lifecycle::Draining => 1,
            Lifecycle::Removed => 2,
        };
        write!(
            text,
            " [{} {} {} {} {phase} {} {} {}]",
            entry.id,
            entry.address,
            entry.locality,
            entry.cell,
            entry.size,
            entry.up_since_ms,
            entry.leader
        )
        .expect("a string takes all");
    }
    text
}

/// A good list, and what is replaced in it by what.
const LIST_CHANGES: [(&str, &str); 22] = [
    ("\"revision\":1", "\"revision\":18446744073709551615"),
    ("\"revision\":1", "\"revision\":-1"),
    ("\"revision\":1", "\"no\":1"),
    ("\"complete\":true", "\"complete\":1"),
    ("\"members\":[", "\"members\":7,\"x\":["),
    ("\"members\":[", "\"members\":[7,"),
    ("\"cell\":2", "\"cell\":4294967296"),
    ("\"cell\":2", "\"cell\":\"x\""),
    ("\"size\":1.0", "\"size\":-1.0"),
    ("\"size\":1.0", "\"size\":2.5"),
    ("\"size\":1.0,", ""),
    ("\"up_since_ms\":0", "\"up_since_ms\":1e14"),
    ("\"up_since_ms\":0", "\"up_since_ms\":1767225600123.9"),
    ("\"up_since_ms\":0", "\"up_since_ms\":null"),
    ("\"phase\":\"ready\"", "\"phase\":\"draining\""),
    ("\"phase\":\"ready\"", "\"phase\":\"gone\""),
    ("\"phase\":\"ready\"", "\"phase\":\"odd\""),
    ("\"phase\":\"ready\"", "\"phase\":7"),
    ("\"locality\":\"room\"", "\"locality\":7"),
    ("\"id\":\"m1\"", "\"id\":null"),
    ("127.0.0.1:7001", "localhost:7001"),
    ("\"members\"", "members"),
];

#[test]
fn lists_are_read_the_same() {
    let mut out = String::new();
    let read = |text: &str| match parse_endpoint_list(text.as_bytes()) {
        Ok(list) => list_text_of(&list),
        Err(malformed) => format!("error: {malformed}"),
    };
    line(&mut out, "list", read(&three()));
    for (from, to) in LIST_CHANGES {
        assert!(three().contains(from), "{from}");
        line(&mut out, to, read(&three().replacen(from, to, 1)));
    }
    compare("lists.txt", &out);
}

fn watch_text(lines: &[&str], most: usize) -> String {
    let mut objects = WatchParser::new(most);
    let read = lines
        .iter()
        .map(|line| match objects.push_line(line.as_bytes().to_vec()) {
            Ok(WatchEvent::Heartbeat) => "alive".to_owned(),
            Ok(WatchEvent::List(list)) => format!("list {}", list_text_of(&list)),
            Ok(WatchEvent::Incomplete) => "more".to_owned(),
            Err(malformed) => format!("error: {malformed}"),
        });
    read.collect::<Vec<_>>().join("; ")
}

#[test]
fn lines_of_a_watch_are_read_the_same() {
    let one = list_text(7, false, &[entry(1, "ready", "leader")]);
    let odd = one.replace("\"room\"", "\"a } ] \\\" { \"");
    let many = one.replace(',', ",\n");
    let many: Vec<&str> = many.split('\n').collect();
    let mut out = String::new();
    line(&mut out, "one", watch_text(&["", &one, " ", &odd], 1 << 20));
    line(&mut out, "many", watch_text(&many, 1 << 20));
    line(
        &mut out,
        "blank inside",
        watch_text(&[many[0], ""], 1 << 20),
    );
    line(
        &mut out,
        "list inside",
        watch_text(&[many[0], &one], 1 << 20),
    );
    line(&mut out, "no list", watch_text(&["nonsense"], 1 << 20));
    line(&mut out, "no JSON", watch_text(&["{]"], 1 << 20));
    line(&mut out, "wrong list", watch_text(&["{}"], 1 << 20));
    line(&mut out, "too long", watch_text(&[&one], 20));
    let lost = [
        WatchError::from("ended"),
        WatchError::from("reset".to_owned()),
        WatchError {
            reason: "busy".into(),
            retry_after: Some(7),
        },
    ];
    for lost in lost {
        line(
            &mut out,
            "lost",
            format!("{} {}", lost.reason, lost.retry_after.unwrap_or(-1)),
        );
    }
    compare("watch.txt", &out);
}

/// What is replaced in the configuration by what.
const CONFIG_CHANGES: [(&str, &str); 40] = [
    ("{\"name\"", "[{\"name\""),
    ("\"g0\"", "7"),
    ("\"name\":\"g0\",", ""),
    ("\"listen\":\"127.0.0.1:0\"", "\"listen\":null"),
    ("\"127.0.0.1:0\"", "\"here\""),
    ("\"127.0.0.1:8500\"", "\"agent\""),
    ("\"discovery\"", "\"agent\""),
    ("\"seed\":\"8c1f\"", "\"seed\":\"xyz\""),
    ("\"seed\":\"8c1f\"", "\"seed\":[]"),
    ("\"seed\":\"8c1f\",", ""),
    ("\"seed\":\"8c1f\"", "\"seed\":18446744073709551615"),
    ("\"memory_mb\":64", "\"memory_mb\":\"x\""),
    ("\"memory_mb\":64", "\"memory_mb\":0.5"),
    ("\"sockets\":128", "\"sockets\":8"),
    ("\"sockets\":128", "\"sockets\":-8"),
    ("\"limits\"", "\"no\""),
    ("\"settings\"", "\"no\""),
    ("\"peer_listen\":null", "\"peer_listen\":7"),
    ("\"peer_listen\":null", "\"peer_listen\":\"x:y\""),
    ("\"peers\":[", "\"peers\":[3,"),
    ("\"peers\":[", "\"peers\":[\"p\","),
    ("\"peers\":[", "\"peers\":7,\"no\":["),
    ("\"127.0.0.1:7999\"", "\"all\""),
    ("\"127.0.0.1:7999\"", "[]"),
    ("\"AimNs\"", "\"Aim\""),
    ("\"look\"", "7"),
    ("\"phase\":\"ready\"", "\"phase\":\"odd\""),
    ("127.0.0.1:7001", "here"),
    ("\"revision\":1", "\"revision\":\"1\""),
    (
        "\"StalenessBoundNs\":[1000000000,",
        "\"StalenessBoundNs\":[0,",
    ),
    ("\"DeadlineNs\":1000000000", "\"DeadlineNs\":-5"),
    ("\"Worth\":1.0", "\"Worth\":-1.0"),
    ("\"QuantumNs\":5000000", "\"QuantumNs\":-1"),
    ("\"DialTimeoutNs\":250000000", "\"DialTimeoutNs\":0"),
    ("\"FleetSize\":2", "\"FleetSize\":0"),
    ("\"ConnIdleNs\":20000000000", "\"ConnIdleNs\":-1"),
    ("\"MaxOpen\":1000", "\"MaxOpen\":-1"),
    ("\"Behind\":\"silent\"", "\"Behind\":\"odd\""),
    ("\"Effect\":\"retryable\"", "\"Effect\":\"odd\""),
    ("\"Zones\":[\"room\"]", "\"Zones\":[7]"),
];

fn config_line(config: Result<Config, impl Display>) -> String {
    let config = match config {
        Ok(config) => config,
        Err(problem) => return format!("error: {problem}"),
    };
    let peers = config
        .peers
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(" ");
    format!(
        "{}|{}|{}|{}|{}|{peers}|{}|{}|{}",
        config.name,
        config.listen,
        config.discovery,
        config.seed,
        config
            .peer_listen
            .map_or("-".to_owned(), |at| at.to_string()),
        config.peers_all.map_or("-".to_owned(), |at| at.to_string()),
        config
            .initial_endpoints
            .as_ref()
            .map_or("-".to_owned(), list_text_of),
        config.limits.clients,
    )
}

#[test]
fn the_configuration_is_read_with_the_same_errors() {
    let mut out = String::new();
    let whole = config_text(&three());
    line(
        &mut out,
        "whole",
        config_line(Config::from_text(&whole, |_| None)),
    );
    for (from, to) in CONFIG_CHANGES {
        assert!(whole.contains(from), "{from}");
        line(
            &mut out,
            to,
            config_line(Config::from_text(&whole.replacen(from, to, 1), |_| None)),
        );
    }
    for name in [
        "ROUTER_NAME",
        "ROUTER_LISTEN",
        "ROUTER_DISCOVERY",
        "ROUTER_SEED",
    ] {
        let var = |asked: &str| (asked == name).then(|| "10.0.0.1:99".to_owned());
        line(&mut out, name, config_line(Config::from_text(&whole, var)));
        let var = |asked: &str| (asked == name).then(|| "nowhere".to_owned());
        line(&mut out, name, config_line(Config::from_text(&whole, var)));
    }
    compare("config.txt", &out);
}

/// A folder of its own, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("stackgw-wire-texts-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// The text with this folder's path replaced by a fixed one.
    fn fixed(&self, text: &str) -> String {
        text.replace(&self.0.display().to_string(), "/folder")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn files_are_read_with_the_same_errors() {
    let folder = Folder::new("files");
    let mut out = String::new();
    let mut say = |label: &str, config: Result<Config, String>| {
        let text = config.map_or_else(|problem| format!("error: {problem}"), |config| config.name);
        line(&mut out, label, folder.fixed(&text));
    };
    let from_env = |path: Option<&Path>| {
        let path = path.map(|path| path.display().to_string());
        Config::from_env(|name| path.clone().filter(|_| name == "ROUTER_CONFIG"))
            .map_err(|e| e.to_string())
    };
    say("no variable", from_env(None));
    say("no file", from_env(Some(&folder.0.join("none.json"))));
    say("folder", from_env(Some(&folder.0)));
    say("no JSON", from_env(Some(&folder.file("no.json", "{"))));
    let path = folder.file("good.json", &config_text("null"));
    say("good", from_env(Some(&path)));
    let good = from_env(Some(&path)).expect("a configuration");
    // What runs already: the file wins.
    let again = good.reloader();
    let read = || again.reload().map_err(|e| e.to_string());
    say("read again", read());
    folder.file(
        "good.json",
        &config_text("null").replacen("\"name\":\"g0\",", "", 1),
    );
    say("read again without a name", read());
    folder.file(
        "good.json",
        &config_text("null").replacen("\"g0\"", "\"g9\"", 1),
    );
    say("read again with another name", read());
    folder.file("good.json", "{}");
    say("read again without limits", read());
    std::fs::remove_file(&path).expect("it is there");
    say("read again without a file", read());
    let unnamed = Config::from_text(&config_text("null"), |_| None).expect("a configuration");
    say(
        "read again where none was named",
        unnamed.reloader().reload().map_err(|e| e.to_string()),
    );
    compare("files.txt", &out);
}

#[test]
fn the_operators_file_is_read_with_the_same_errors() {
    let folder = Folder::new("operator");
    let mut out = String::new();
    let good = folder
        .file("key", "0123456789abcdef0123\n")
        .display()
        .to_string();
    let short = folder
        .file("short", "0123456789abcde\n")
        .display()
        .to_string();
    let large = folder
        .file("large", &"x".repeat(5_000))
        .display()
        .to_string();
    let none = folder.0.join("none").display().to_string();
    let directory = folder.0.display().to_string();
    let keys = [good.as_str(), &short, &large, &none, &directory];
    let sessions = |key: &str| {
        format!("sessions:\n  cluster: c\n  listen: 127.0.0.1:1\n  keepers: [g0, g1]\n  keys: [{key}]\n")
    };
    let cluster =
        |key: &str| format!("cluster:\n  name: c\n  listen: 127.0.0.1:1\n  keys: [{key}]\n");
    let flight = |key: &str| format!("flight:\n  listen: 127.0.0.1:2\n  keys: [{key}]\n");
    let mut texts = vec![
        "# nothing".to_owned(),
        "nonsense: 1\n".to_owned(),
        "control: /run/x\n".to_owned(),
    ];
    for key in keys {
        texts.extend([sessions(key), cluster(key), flight(key)]);
    }
    for (number, text) in texts.iter().enumerate() {
        let path = folder.file("operator.yaml", text);
        let read = config("null").with_operator(&path);
        let said = match read {
            Err(problem) => format!("error: {problem}"),
            Ok(Config {
                operator,
                session_sharing,
                cluster,
                bootstrap,
                ..
            }) => {
                let sessions = session_sharing
                    .as_ref()
                    .map(|SessionSharingConfig { options: file, .. }| file.cluster.clone());
                let cluster = cluster.as_ref().map(|ClusterConfig { options: file, .. }| {
                    format!("{} {}", file.name, file.listen)
                });
                format!(
                    "{} {} {} {} {}",
                    operator
                        .control
                        .map_or("-".to_owned(), |path| path.display().to_string()),
                    operator
                        .flight
                        .map_or("-".to_owned(), |flight| flight.options.listen.to_string()),
                    sessions.unwrap_or("-".to_owned()),
                    cluster.unwrap_or("-".to_owned()),
                    bootstrap.is_some(),
                )
            }
        };
        line(&mut out, &format!("file {number}"), folder.fixed(&said));
    }
    let missing = config("null").with_operator(&folder.0.join("none.yaml"));
    line(
        &mut out,
        "no file",
        folder.fixed(
            &missing
                .err()
                .map_or(String::new(), |problem| problem.to_string()),
        ),
    );
    compare("operator.txt", &out);
}

/// Each limit under a name of its own that stays.
fn limits_text(limits: &Limits) -> String {
    let counts = [
        ("clients", limits.clients),
        ("client_reserve", limits.client_reserve),
        ("member_connections", limits.member_connections),
        ("clients_wanted", limits.client_soft_limit),
        ("requests", limits.requests),
        ("members", limits.members),
        ("startup_bytes", limits.startup_bytes),
        ("statement_bytes", limits.statement_bytes),
        ("ahead_bytes", limits.read_ahead_bytes),
        ("answer_bytes", limits.answer_bytes),
        ("head_bytes", limits.head_bytes),
        ("list_bytes", limits.list_bytes),
        ("datagram_bytes", limits.datagram_bytes),
        ("read_bytes", limits.read_bytes),
        ("client_bytes", limits.client_bytes),
        ("member_bytes", limits.member_bytes),
        ("unread_bytes", limits.pending_write_bytes),
        ("linger_bytes", limits.linger_bytes),
        (
            "client_malformed",
            limits.max_consecutive_malformed as usize,
        ),
        ("client_line", limits.max_pipelined_statements),
        ("client_turn", limits.messages_per_turn),
        ("leave_turn", limits.disconnect_poll_batch),
        ("accept_turn", limits.accept_batch),
        ("backlog", limits.backlog as usize),
    ];
    let spans = [
        ("linger_idle", limits.soft_limit_idle),
        ("evict_after", limits.eviction_idle),
        ("evict_fresh", limits.eviction_grace),
        ("drain_grace", limits.drain_grace),
        ("only_drains_bind", i64::from(limits.removal_is_advisory)),
        ("connect", limits.connect_timeout),
        ("connect_late", limits.late_connect_timeout),
        ("probe", limits.health_check_timeout),
        ("answer_stall", limits.answer_stall_timeout),
        ("clock_slack", limits.max_clock_skew),
        ("idle", limits.member_idle_timeout),
        ("sweep", limits.sweep_interval),
        ("client_first", limits.first_request_timeout),
        ("client_partial", limits.partial_message_timeout),
        ("client_stall", limits.client_write_timeout),
        ("linger", limits.linger_timeout),
        ("leave_pace", limits.disconnect_poll_interval),
        ("wait_most", limits.max_request_wait),
        ("watch_dial", limits.watch_connect_timeout),
        ("watch_first", limits.watch_first_line_timeout),
        ("watch_silence", limits.watch_idle_timeout),
        ("watch_pause", limits.watch_min_backoff),
        ("watch_pause_most", limits.watch_max_backoff),
        ("error_pause", limits.error_backoff),
        ("drain_accept", limits.shutdown_accept),
        ("drain_serve", limits.shutdown_serve),
        ("drain_pace", limits.shutdown_sweep_interval),
        ("drain_refuse", limits.shutdown_reject),
        ("drain_end", limits.shutdown_deadline),
    ];
    let counts = counts.map(|(name, count)| format!("{name}={count}"));
    let spans = spans.map(|(name, span)| format!("{name}={span}"));
    [&counts[..], &spans[..]].concat().join(" ")
}

#[test]
fn limits_are_computed_the_same() {
    let mut out = String::new();
    let settings = config("null").settings;
    for (memory_mb, sockets) in [(64, 128), (192, 1024), (32, 64), (2048, 65_536), (1, 1)] {
        let limits = Limits::new(Platform { memory_mb, sockets }, &settings);
        line(
            &mut out,
            &format!("{memory_mb} {sockets}"),
            limits_text(&limits),
        );
    }
    let mut none = settings.clone();
    none.router.classes.clear();
    none.member_idle_timeout = 0;
    line(
        &mut out,
        "no classes",
        limits_text(&Limits::new(
            Platform {
                memory_mb: 64,
                sockets: 128,
            },
            &none,
        )),
    );
    compare("limits.txt", &out);
}
