//! The requests to the list service and the parsed responses, compared with fixtures.

mod common;

use common::fixtures::{compare, hex, line, list_text_of};
use common::*;
use stackgw_gateway::discovery::{
    endpoint_request, parse_endpoint_list, HttpEvent, HttpLineReader, RequestedList, WatchError,
    WatchEvent, WatchParser,
};

#[test]
fn requests_to_the_list_service_have_the_same_bytes() {
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

fn http_text(response: &[u8], chunk_size: usize) -> String {
    let mut parser = HttpLineReader::new(100, 40);
    let mut texts = Vec::new();
    let event_text = |event: &HttpEvent| match event {
        HttpEvent::Line(line) => format!("line {}", String::from_utf8_lossy(line)),
        HttpEvent::End => "end".to_owned(),
    };
    for bytes in response.chunks(chunk_size) {
        match parser.feed(bytes) {
            Ok(events) => texts.extend(events.iter().map(event_text)),
            Err(error) => {
                return format!(
                    "{} error: {error}, off {}",
                    texts.join(", "),
                    parser.retry_after().unwrap_or(-1)
                );
            }
        }
    }
    let end_text = match parser.finish() {
        Ok(events) => events.iter().map(event_text).collect::<Vec<_>>().join(", "),
        Err(error) => format!("error: {error}"),
    };
    format!(
        "{} then {end_text}, off {}",
        texts.join(", "),
        parser.retry_after().unwrap_or(-1)
    )
}

#[test]
fn responses_of_the_list_service_are_parsed_the_same() {
    let long_header = format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "x".repeat(100));
    let unterminated = "x".repeat(101);
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
        long_header,
        unterminated,
        long_line,
        long_lines,
    ];
    let mut out = String::new();
    for (number, response) in cases.iter().enumerate() {
        for chunk_size in [1, 7, 4096] {
            line(
                &mut out,
                &format!("answer {number} by {chunk_size}"),
                http_text(response.as_bytes(), chunk_size),
            );
        }
    }
    let invalid_utf8 = [b"HTTP/1.1 200 OK\r\nX: ", &b"\xff"[..], b"\r\n\r\n"].concat();
    line(&mut out, "no text", http_text(&invalid_utf8, 4096));
    compare("http.txt", &out);
}

/// Replacements in a valid list: the original text and the new one.
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
fn lists_are_parsed_the_same() {
    let mut out = String::new();
    let parsed = |text: &str| match parse_endpoint_list(text.as_bytes()) {
        Ok(list) => list_text_of(&list),
        Err(error) => format!("error: {error}"),
    };
    line(&mut out, "list", parsed(&three_members()));
    for (from, to) in LIST_CHANGES {
        assert!(three_members().contains(from), "{from}");
        line(&mut out, to, parsed(&three_members().replacen(from, to, 1)));
    }
    compare("lists.txt", &out);
}

fn watch_text(lines: &[&str], max_bytes: usize) -> String {
    let mut parser = WatchParser::new(max_bytes);
    let texts = lines
        .iter()
        .map(|line| match parser.push_line(line.as_bytes().to_vec()) {
            Ok(WatchEvent::Heartbeat) => "alive".to_owned(),
            Ok(WatchEvent::List(list)) => format!("list {}", list_text_of(&list)),
            Ok(WatchEvent::Incomplete) => "more".to_owned(),
            Err(error) => format!("error: {error}"),
        });
    texts.collect::<Vec<_>>().join("; ")
}

#[test]
fn lines_of_a_watch_are_parsed_the_same() {
    let single_line = list_text(7, false, &[entry(1, "ready", "leader")]);
    let with_brackets = single_line.replace("\"room\"", "\"a } ] \\\" { \"");
    let multi_line = single_line.replace(',', ",\n");
    let lines: Vec<&str> = multi_line.split('\n').collect();
    let mut out = String::new();
    line(
        &mut out,
        "one",
        watch_text(&["", &single_line, " ", &with_brackets], 1 << 20),
    );
    line(&mut out, "many", watch_text(&lines, 1 << 20));
    line(
        &mut out,
        "blank inside",
        watch_text(&[lines[0], ""], 1 << 20),
    );
    line(
        &mut out,
        "list inside",
        watch_text(&[lines[0], &single_line], 1 << 20),
    );
    line(&mut out, "no list", watch_text(&["nonsense"], 1 << 20));
    line(&mut out, "no JSON", watch_text(&["{]"], 1 << 20));
    line(&mut out, "wrong list", watch_text(&["{}"], 1 << 20));
    line(&mut out, "too long", watch_text(&[&single_line], 20));
    let errors = [
        WatchError::from("ended"),
        WatchError::from("reset".to_owned()),
        WatchError {
            reason: "busy".into(),
            retry_after: Some(7),
        },
    ];
    for error in errors {
        line(
            &mut out,
            "lost",
            format!("{} {}", error.reason, error.retry_after.unwrap_or(-1)),
        );
    }
    compare("watch.txt", &out);
}
