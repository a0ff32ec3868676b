//! The parsers with complete, split and mutated input.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stackgw_gateway::discovery::{parse_endpoint_list, HttpEvent, HttpLineReader};
use stackgw_gateway::pg::{
    parse_load_report, write, Frame, FrameDecoder, Reply, ReplyOutcome, Statement,
};
use stackgw_router::api::{MS, SECOND};

const MAX_BYTES: usize = 4096;

/// Splits bytes at the given positions.
fn split_at_cuts<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut ends: Vec<_> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut start = 0;
    ends.into_iter()
        .map(|end| &bytes[std::mem::replace(&mut start, end)..end])
        .collect()
}

fn decode_frames(mut parser: FrameDecoder, bytes: &[u8], cuts: &[usize]) -> (Vec<Frame>, bool) {
    let (mut frames, mut is_malformed) = (Vec::new(), false);
    for piece in split_at_cuts(bytes, cuts) {
        parser.feed(piece);
        while let Some(next) = parser.next_frame().filter(|_| !is_malformed) {
            match next {
                Ok(frame) => frames.push(frame),
                Err(_) => is_malformed = true,
            }
        }
    }
    (frames, is_malformed)
}

fn parse_http(bytes: &[u8], cuts: &[usize]) -> Result<Vec<HttpEvent>, String> {
    let mut parser = HttpLineReader::new(512, MAX_BYTES);
    let mut events = Vec::new();
    for piece in split_at_cuts(bytes, cuts) {
        events.extend(parser.feed(piece).map_err(|e| e.to_string())?);
    }
    Ok(events)
}

fn statement(key: &str, value: Option<&[u8]>, d: u64, extra: &str) -> String {
    let comment = format!("/* id=9b1f,c=look,d={d},cluster=2{extra} */");
    match value {
        None => format!("SELECT val FROM state WHERE uid = '{key}' {comment}"),
        Some(value) => {
            let hex: String = value.iter().map(|b| format!("{b:02x}")).collect();
            format!(
                "INSERT INTO state (uid, val) VALUES ('{key}', '\\x{hex}') RETURNING val {comment}"
            )
        }
    }
}

fn body() -> impl Strategy<Value = Vec<u8>> {
    proptest::collection::vec(any::<u8>(), 0..200)
}

fn cuts() -> impl Strategy<Value = Vec<usize>> {
    proptest::collection::vec(0usize..4000, 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn frames_are_complete_however_they_are_split(
        bodies in proptest::collection::vec((any::<usize>(), body()), 0..8), cuts in cuts()
    ) {
        // The message types with bodies of variable length that each side may send.
        let frames_of = |kinds: &[u8]| -> Vec<Frame> {
            bodies.iter().map(|(n, body)| message(kinds[n % kinds.len()], body)).collect()
        };
        let joined = |frames: &[Frame]| -> Vec<u8> { frames.iter().flat_map(|f| f.bytes.clone()).collect() };
        let expected = frames_of(b"RSKTCENAv");
        prop_assert_eq!(&decode_frames(FrameDecoder::server(MAX_BYTES), &joined(&expected), &cuts).0, &expected);
        let expected = frames_of(b"QPBDECFdfp");
        let bytes = [startup().bytes, joined(&expected)].concat();
        let (decoded, is_malformed) = decode_frames(FrameDecoder::client(MAX_BYTES, MAX_BYTES), &bytes, &cuts);
        prop_assert!(!is_malformed);
        prop_assert_eq!(&decoded[0], &startup());
        prop_assert_eq!(&decoded[1..], &expected[..]);
    }

    #[test]
    fn any_bytes_give_the_same_frames_however_they_are_split(bytes in body(), cuts in cuts()) {
        let whole = decode_frames(FrameDecoder::client(64, 100), &bytes, &[]);
        prop_assert_eq!(&decode_frames(FrameDecoder::client(64, 100), &bytes, &cuts), &whole);
        prop_assert!(whole.0.iter().all(|f| f.bytes.len() <= 101));
    }

    #[test]
    fn a_forwarded_statement_differs_only_in_its_timeout(
        key in "[0-9a-f]{1,32}", value in proptest::option::of(body()), d in 0u64..100_000, timeout_ms in 1u64..100_000,
        after in proptest::option::of(1i64..1 << 42), repeat in any::<bool>()
    ) {
        let mut extra = after.map_or(String::new(), |ms| format!(",after={ms}"));
        extra += if repeat { ",r=1,other=7" } else { "" };
        let text = statement(&key, value.as_deref(), d, &extra);
        let parsed = Statement::parse(query(&text)).expect("well formed");
        prop_assert_eq!((parsed.key(), parsed.wait_ms, parsed.cluster), (key.as_str(), d, 2));
        prop_assert_eq!((parsed.after_ms, parsed.repeat, parsed.write), (after, repeat, value.is_some()));
        let expected = query(&statement(&key, value.as_deref(), timeout_ms, &extra));
        prop_assert_eq!(parsed.with_timeout(timeout_ms), expected.bytes);
    }

    #[test]
    fn a_mutated_statement_is_an_error_or_still_one_statement(at in 0usize..200, byte in any::<u8>()) {
        let mut bytes = query(&statement("7f3a", Some(b"\x01"), 480, "")).bytes;
        let at = 5 + at % (bytes.len() - 5);
        bytes[at] = byte;
        if let Ok(parsed) = Statement::parse(frame(bytes.clone())) {
            let forwarded = Statement::parse(frame(parsed.with_timeout(7))).expect("the forwarded statement is well formed");
            prop_assert_eq!(forwarded.wait_ms, 7);
            prop_assert_eq!(forwarded.key(), parsed.key());
        }
    }

    #[test]
    fn a_reply_stays_within_its_limit_for_any_bytes(kinds in proptest::collection::vec((any::<u8>(), body()), 0..10)) {
        let mut reply = Reply::default();
        for (kind, body) in kinds {
            if reply.add(&message(kind, &body), MAX_BYTES).is_err() {
                break;
            }
        }
        let _ = (reply.outcome(), reply.column());
        prop_assert!(reply.row.len() <= MAX_BYTES + 300);
    }

    #[test]
    fn lines_of_a_watch_are_complete_however_they_are_split(
        lines in proptest::collection::vec("[a-z{}:,\"]{0,80}", 0..8), cuts in cuts(), size in 1usize..40
    ) {
        let body: String = lines.iter().map(|l| format!("{l}\n")).collect();
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for chunk in body.as_bytes().chunks(size) {
            bytes.extend(format!("{:x};x=y\r\n", chunk.len()).bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend(b"\r\n");
        }
        bytes.extend(b"0\r\n\r\n");
        let mut expected: Vec<_> = lines.iter().map(|l| HttpEvent::Line(l.as_bytes().to_vec())).collect();
        expected.push(HttpEvent::End);
        prop_assert_eq!(parse_http(&bytes, &cuts), Ok(expected));
    }

    #[test]
    fn any_http_bytes_are_parsed_the_same_however_they_are_split(bytes in body(), cuts in cuts(), has_valid_head in any::<bool>()) {
        let mut response = if has_valid_head { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec() } else { Vec::new() };
        response.extend(bytes);
        let (whole, split) = (parse_http(&response, &[]), parse_http(&response, &cuts));
        prop_assert_eq!(whole.is_ok(), split.is_ok());
        if whole.is_ok() {
            prop_assert_eq!(whole, split);
        }
    }

    #[test]
    fn a_mutated_list_is_an_error_or_a_list(at in 0usize..600, byte in any::<u8>()) {
        let mut bytes = three_members().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(list) = parse_endpoint_list(&bytes) {
            prop_assert!(list.members.iter().all(|m| m.size >= 0.0 && m.up_since_ms >= 0));
        }
    }
}

#[test]
fn a_length_out_of_range_is_an_error_before_its_bytes_arrive() {
    let mut bytes = vec![b'Q'];
    bytes.extend(((MAX_BYTES + 1) as u32).to_be_bytes());
    assert!(decode_frames(FrameDecoder::server(MAX_BYTES), &bytes, &[]).1);
    assert!(decode_frames(FrameDecoder::server(MAX_BYTES), b"Q\0\0\0\x03", &[]).1);
    assert!(
        decode_frames(
            FrameDecoder::client(MAX_BYTES, MAX_BYTES),
            &[0, 0, 0, 7],
            &[]
        )
        .1
    );
    assert!(
        decode_frames(
            FrameDecoder::client(MAX_BYTES, MAX_BYTES),
            &[0xff, 0, 0, 7],
            &[]
        )
        .1
    );
}

#[test]
fn a_buffer_does_not_grow_when_it_is_never_empty() {
    let (mut parser, bytes) = (
        FrameDecoder::server(MAX_BYTES),
        message(b'C', &[7; 100]).bytes,
    );
    parser.feed(&bytes[..50]);
    for _ in 0..1000 {
        parser.feed(&bytes[50..]);
        parser.feed(&bytes[..50]);
        assert!(parser.next_frame().is_some_and(|f| f.is_ok()) && parser.next_frame().is_none());
        assert!(
            parser.buffered_bytes() < 400,
            "{} bytes are buffered",
            parser.buffered_bytes()
        );
    }
}

#[test]
fn a_body_with_a_length_is_one_document() {
    let expected = vec![HttpEvent::Line(b"{}".to_vec()), HttpEvent::End];
    assert_eq!(
        parse_http(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            &[5, 20, 41]
        ),
        Ok(expected)
    );
    assert!(parse_http(b"HTTP/1.1 503 Busy\r\n\r\n", &[]).is_err());
    assert!(parse_http(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        &[]
    )
    .is_err());
    assert!(
        parse_http(&[b'x'; 600], &[]).is_err(),
        "a head without an end must be an error above the size limit"
    );
    let mut long = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
    long.extend(vec![b'x'; MAX_BYTES + 1]);
    assert!(
        parse_http(&long, &[]).is_err(),
        "a line without an end must be an error above the size limit"
    );
}

#[test]
fn a_reply_gives_role_position_and_load_report() {
    let mut reply = Reply::default();
    let mut frames = row(b"v");
    frames.extend([
        status("node_role", "leader"),
        status("replay_position", "1767225600123"),
        status(
            "server_load",
            "inflight=7,util=0.61,x0=1767225600.1239,x1=1,news=4",
        ),
        status("other", "thing"),
    ]);
    assert!(frames.iter().all(|f| reply.add(f, MAX_BYTES) == Ok(false)));
    assert_eq!(reply.add(&ready(), MAX_BYTES), Ok(true));
    assert_eq!(
        (reply.outcome(), reply.primary),
        (Some(ReplyOutcome::Row), Some(true))
    );
    assert_eq!(reply.position, Some(1_767_225_600_123 * MS));
    assert_eq!(
        reply.report.position,
        Some(1_767_225_600 * SECOND + 123_900_000)
    );
    assert_eq!(
        (reply.report.is_primary, reply.report.in_flight),
        (Some(true), Some(7.0))
    );
    let expected: Vec<u8> = row(b"v").into_iter().flat_map(|f| f.bytes).collect();
    assert_eq!(reply.row, expected);
    assert_eq!(reply.column(), Some("v"));
}

#[test]
fn a_position_of_a_load_report_is_never_rounded_up() {
    let position = |text: &str| parse_load_report(text).and_then(|r| r.position);
    assert_eq!(
        position("x0=1767225600.9999999999"),
        Some(1_767_225_600_999_999_999)
    );
    assert_eq!(position("x0=1767225600"), Some(1_767_225_600 * SECOND));
    assert_eq!(position("x0=soon"), None);
    assert_eq!(
        position("x0=9999999999.9"),
        None,
        "a position later than any valid time must be malformed"
    );
    assert_eq!(position("x0=1e300"), None);
    assert_eq!(parse_load_report("x0=1,x1"), None);
}

#[test]
fn a_row_is_accepted_when_a_parameter_status_is_malformed() {
    let mut reply = Reply::default();
    let malformed = [
        status("node_role", "?"),
        status("replay_position", "-"),
        status("server_load", "x0=,x1"),
    ];
    let frames = [
        row(b"v"),
        malformed.to_vec(),
        vec![message(b'S', &[0xff, 0, 0xfe])],
    ]
    .concat();
    assert!(frames.iter().all(|f| reply.add(f, MAX_BYTES) == Ok(false)));
    assert_eq!(
        (reply.outcome(), reply.primary, reply.position),
        (Some(ReplyOutcome::Row), None, None)
    );
}

#[test]
fn a_list_is_malformed_when_a_start_time_is_out_of_range() {
    let text = three_members().replacen("\"up_since_ms\":0", "\"up_since_ms\":1e14", 1);
    assert!(parse_endpoint_list(text.as_bytes()).is_err());
}

#[test]
fn a_row_is_accepted_only_when_it_is_one_complete_column() {
    let parse_reply = |frames: &[Frame]| {
        frames
            .iter()
            .try_fold(Reply::default(), |mut reply, frame| {
                reply.add(frame, MAX_BYTES).map(|_| reply)
            })
    };
    let good = row(b"abc");
    assert_eq!(
        parse_reply(&good).expect("a row").outcome(),
        Some(ReplyOutcome::Row)
    );
    assert_eq!(
        parse_reply(&good[..2]).expect("valid so far").outcome(),
        None,
        "a reply without its completion must have no outcome"
    );
    assert!(
        parse_reply(&[good[0].clone(), good[1].clone(), good[1].clone()]).is_err(),
        "a reply with two rows must be malformed"
    );
    assert!(
        parse_reply(&good[1..]).is_err(),
        "a row without a description must be malformed"
    );
    let short = message(b'D', &[0, 1, 0, 0, 0, 9, b'a']);
    assert!(
        parse_reply(&[good[0].clone(), short]).is_err(),
        "a column shorter than its length must be malformed"
    );
    assert_eq!(
        parse_reply(&[good[0].clone(), good[2].clone()])
            .expect("no row")
            .outcome(),
        Some(ReplyOutcome::NoRow)
    );
    assert_eq!(
        parse_reply(&[error("25006")]).expect("an error").outcome(),
        Some(ReplyOutcome::Error(*b"25006"))
    );
    let long = Frame {
        kind: b'D',
        bytes: row(&[7; MAX_BYTES]).remove(1).bytes,
    };
    assert!(
        parse_reply(&[good[0].clone(), long]).is_err(),
        "a row over the size limit must be malformed"
    );
}

#[test]
fn an_empty_query_is_not_a_statement() {
    assert!(Statement::is_empty(&query("")) && Statement::is_empty(&query(" ;\n")));
    assert!(!Statement::is_empty(&query("SELECT 1")));
    let mut rejection = Vec::new();
    write::error(&mut rejection, false, "53300", "no\0w", Some("25"));
    assert_eq!(&rejection[5..], b"SERROR\0VERROR\0C53300\0Mnow\0D25\0\0");
}

/// A message is checked before its body arrives. Otherwise the other side could make the gateway wait for the body indefinitely.
#[test]
fn a_message_is_checked_by_its_type_and_length_before_it_is_complete() {
    let is_malformed = |mut parser: FrameDecoder, bytes: &[u8]| {
        parser.feed(bytes);
        parser.next_frame().is_some_and(|frame| frame.is_err())
    };
    let server = || FrameDecoder::server(1 << 16);
    assert!(is_malformed(server(), b"?"), "a type that no server sends");
    assert!(is_malformed(server(), b"Q"), "a client's message");
    assert!(is_malformed(server(), b"Z\0\0\0\x09"));
    assert!(is_malformed(server(), b"I\0\0\0\x05"));
    assert!(is_malformed(server(), b"D\xb2\xd0\x5e\x04"), "3 GB");
    assert!(
        is_malformed(server(), b"D\0\0\0\x0c\0\x01\0\0\0\x09"),
        "a column longer than its row"
    );
    assert!(
        is_malformed(server(), b"D\0\0\0\x0c\0\x02\0\0\0\x02"),
        "two columns"
    );
    assert!(
        is_malformed(server(), b"D\0\0\0\x0c\0\x01\xff\xff\xff\xfe"),
        "a negative length"
    );
    assert!(!is_malformed(server(), b"D\0\0\0\x0c\0\x01\0\0\0\x02"));
    assert!(
        !is_malformed(server(), b"D\0\0\0\x0a\0\x01\xff\xff\xff\xff"),
        "no value"
    );
    let client = || {
        let mut parser = FrameDecoder::client(100, 1 << 16);
        parser.feed(&startup().bytes);
        assert!(parser.next_frame().is_some_and(|frame| frame.is_ok()));
        parser
    };
    assert!(is_malformed(client(), b"\xff"));
    assert!(is_malformed(client(), b"Z"), "a server's message");
    assert!(is_malformed(client(), b"X\0\0\0\x05"));
    assert!(is_malformed(client(), b"Q\xff\xff\xff\xff"));
    assert!(!is_malformed(client(), b"Q\0\0\xff\xff"));
}

#[test]
fn a_load_report_is_malformed_when_one_value_is_invalid() {
    for text in [
        "x0=1,x0=2",
        "x1=7",
        "inflight=-1",
        "util=1e9",
        "queue=inf",
        "x0=1,x1=",
        "x0=-5",
    ] {
        assert_eq!(parse_load_report(text), None, "{text}");
    }
    assert!(parse_load_report("x0=1767225600.1,x1=0,inflight=7,util=0.61").is_some());
}
