//! What the gateway sends to the list service, and how it reads the answers, compared with fixtures.

mod common;

use common::fixtures::{compare, hex, line, list_text_of};
use common::*;
use stackgw_gateway::discovery::{
    endpoint_request, parse_endpoint_list, HttpEvent, HttpLineReader, RequestedList, WatchError,
    WatchEvent, WatchParser,
};

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
    line(&mut out, "list", read(&three_members()));
    for (from, to) in LIST_CHANGES {
        assert!(three_members().contains(from), "{from}");
        line(&mut out, to, read(&three_members().replacen(from, to, 1)));
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
