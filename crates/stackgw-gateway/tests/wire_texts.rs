//! Messages of the PostgreSQL protocol that the gateway writes and parses, compared with fixtures.

mod common;

use common::fixtures::{compare, hex, line};
use common::*;
use stackgw_gateway::pg::{
    code, column_value, parse_load_report, write, Frame, FrameDecoder, Reply, ReplyOutcome,
    Statement,
};
use stackgw_gateway::reducer::{ClientId, Effect, Input};

fn written(build: impl FnOnce(&mut Vec<u8>)) -> String {
    let mut bytes = vec![0xaa];
    build(&mut bytes);
    hex(&bytes)
}

/// Error replies: whether each closes the connection, its code, text and detail.
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
fn messages_have_the_same_bytes() {
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
        written(|out| write::startup_response(out, 7, 0xdead_beef)),
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

/// Valid and invalid query texts.
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

fn statement_text(frame: Frame) -> String {
    let target_text =
        Statement::target(&frame).map(|target| format!("{},{}", target.key, target.writes));
    let is_empty = Statement::is_empty(&frame);
    let statement = match Statement::parse(frame) {
        Ok(parsed) => {
            let (id, key, class, after) = (
                &parsed.id,
                parsed.key(),
                &parsed.class,
                parsed.after_ms.unwrap_or(-1),
            );
            format!(
                "{id}|{key}|{class}|{}|{}|{after}|{}|{}|{}|{}",
                parsed.wait_ms,
                parsed.cluster,
                parsed.repeat,
                parsed.write,
                // The fixture counts a copy of the key, which is no longer kept.
                parsed.size_bytes() + parsed.key().len(),
                hex(&parsed.with_timeout(12_345))
            )
        }
        Err(error) => format!("error: {error}"),
    };
    format!("{}|{is_empty}|{statement}", target_text.unwrap_or_default())
}

#[test]
fn statements_are_parsed_and_forwarded_the_same() {
    let mut out = String::new();
    for (number, text) in STATEMENTS.iter().enumerate() {
        line(
            &mut out,
            &format!("statement {number}"),
            statement_text(query(text)),
        );
    }
    line(&mut out, "no end", statement_text(message(b'Q', b"SELECT")));
    line(
        &mut out,
        "no text",
        statement_text(message(b'Q', b"\xff\xfe\0")),
    );
    compare("statements.txt", &out);
}

/// All writes to a client in hexadecimal. A write that closes the connection ends with `close`.
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
    let mut harness = ReducerHarness::new(&three_members());
    harness.input(Input::ClientConnected(ClientId(1)));
    let welcome = client_writes(&harness.input(Input::ClientFrame(ClientId(1), startup())));
    // Left out: the 8 bytes of the random cancel key, and the 6 bytes of ReadyForQuery after it.
    line(
        &mut out,
        "startup",
        &welcome[..welcome.len().saturating_sub(2 * (8 + 6))],
    );
    for (number, text) in STATEMENTS.iter().enumerate().skip(5) {
        let mut harness = ReducerHarness::new(&three_members());
        let client = harness.client(1);
        let effects = harness.input(Input::ClientFrame(client, query(text)));
        line(
            &mut out,
            &format!("statement {number}"),
            client_writes(&effects),
        );
    }
    for kind in *b"PBDECHSFdcfpX" {
        let mut harness = ReducerHarness::new(&three_members());
        let client = harness.client(1);
        let effects = harness.input(Input::ClientFrame(client, message(kind, b"")));
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
        let mut harness = ReducerHarness::new(&three_members());
        let mut bytes = 9u32.to_be_bytes().to_vec();
        bytes.extend(startup_code.to_be_bytes());
        bytes.push(7);
        harness.input(Input::ClientConnected(ClientId(1)));
        let effects = harness.input(Input::ClientFrame(ClientId(1), Frame { kind: 0, bytes }));
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
        frame.has_terminated_parameters(),
        frame.is_startup()
    )
}

/// All frames decoded when the bytes are fed three at a time, then the numbers of pending and buffered bytes or the error.
fn frames_text(mut parser: FrameDecoder, bytes: &[u8]) -> String {
    let mut texts = Vec::new();
    for piece in bytes.chunks(3) {
        parser.feed(piece);
        while let Some(next) = parser.next_frame() {
            match next {
                Ok(frame) => texts.push(frame_text(&frame)),
                Err(error) => {
                    return format!(
                        "{} error: {error} left {}",
                        texts.join(" "),
                        parser.pending_bytes()
                    )
                }
            }
        }
    }
    let text = format!(
        "{} left {}/{}",
        texts.join(" "),
        parser.pending_bytes(),
        parser.buffered_bytes()
    );
    parser.clear();
    assert_eq!((parser.pending_bytes(), parser.buffered_bytes()), (0, 0));
    text
}

/// A member's complete response, a client's first messages, and short inputs that are valid or malformed.
fn frame_inputs() -> Vec<Vec<u8>> {
    let frames = [row(b"abc"), vec![status("node_role", "leader"), ready()]].concat();
    let response: Vec<u8> = frames
        .iter()
        .flat_map(|frame| frame.bytes.clone())
        .collect();
    let client = [
        startup().bytes,
        query("SELECT 1").bytes,
        b"X\0\0\0\x04".to_vec(),
    ]
    .concat();
    let mut inputs = vec![
        response.clone(),
        client.clone(),
        response[..response.len() - 3].to_vec(),
    ];
    inputs.extend([
        client[..20].to_vec(),
        [client.clone(), response.clone()].concat(),
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
    inputs.extend(short.iter().map(|bytes| bytes.to_vec()));
    inputs
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

fn outcome_text(outcome: Option<ReplyOutcome>) -> String {
    match outcome {
        None => "open".to_owned(),
        Some(ReplyOutcome::Row) => "row".to_owned(),
        Some(ReplyOutcome::Error(code)) => format!("error {}", String::from_utf8_lossy(&code)),
        Some(ReplyOutcome::NoRow) => "nothing".to_owned(),
    }
}

fn reply_text(frames: &[Frame]) -> String {
    let mut reply = Reply::default();
    let mut results = Vec::new();
    for frame in frames {
        match reply.add(frame, 64) {
            Ok(is_complete) => results.push(is_complete.to_string()),
            Err(error) => {
                results.push(error.to_string());
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
        results.join(","),
        outcome_text(reply.outcome()),
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

const LOAD_REPORT: &str = "inflight=7,queue=2,util=0.61,x0=1767225600.1239,x1=1,news=4";

/// Complete, incomplete and malformed replies.
fn reply_inputs() -> Vec<Vec<Frame>> {
    let good = row(b"abc");
    let role_and_position = [
        status("node_role", "leader"),
        status("replay_position", "1767225600123"),
    ];
    vec![
        [
            good.clone(),
            role_and_position.to_vec(),
            vec![status("server_load", LOAD_REPORT), ready()],
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
    ]
}

#[test]
fn replies_are_parsed_the_same() {
    let mut out = String::new();
    for (number, frames) in reply_inputs().iter().enumerate() {
        line(&mut out, &format!("reply {number}"), reply_text(frames));
    }
    load_report_lines(&mut out);
    column_lines(&mut out);
    compare("replies.txt", &out);
}

fn load_report_lines(out: &mut String) {
    for text in [
        LOAD_REPORT,
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
            out,
            &format!("load {text}"),
            position.map_or("unreadable".to_owned(), |at| at.to_string()),
        );
    }
}

fn column_lines(out: &mut String) {
    let good = row(b"abc");
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
        line(out, "value", column.unwrap_or("none".to_owned()));
    }
}
