//! Statements with headers, tickets and statuses, without a server.

use stackgw_cluster::{Key, Keyring};
use stackgw_flight::*;
use stackgw_gateway::pg::{write, Frame, Statement};
use stackgw_gateway::reducer::FinalResponse;
use tonic::Code;
use tonic_types::StatusExt;

const SELECT: &str = "SELECT val FROM state WHERE uid = 'k1'";

fn headers() -> Headers {
    Headers {
        class: Some("look".to_owned()),
        group: Some("2".to_owned()),
        ..Headers::default()
    }
}

/// As the reducer reads it.
fn parsed(text: &str) -> Statement {
    let mut bytes = Vec::new();
    write::query(&mut bytes, text);
    Statement::parse(Frame { kind: b'Q', bytes }).expect("a statement of our first protocol")
}

#[test]
fn headers_and_comment_make_one_statement() {
    let asked =
        Asked::new(&format!("{SELECT}; /* c=look, after=77 */"), &headers()).expect("they agree");
    let statement = parsed(&asked.statement("id1", 500));
    assert_eq!(
        (
            statement.class.as_str(),
            statement.cluster,
            statement.key.as_str()
        ),
        ("look", 2, "k1")
    );
    assert_eq!(
        (statement.id.as_str(), statement.wait_ms, statement.after_ms),
        ("id1", 500, Some(77))
    );
    let own = Headers {
        id: Some("mine".to_owned()),
        wait_ms: Some(90),
        repeat: Some("1".to_owned()),
        ..headers()
    };
    let asked = Asked::new(&format!("{SELECT} /* d=120 */"), &own).expect("they agree");
    let statement = parsed(&asked.statement("id1", 500));
    assert_eq!(
        (statement.id.as_str(), statement.wait_ms, statement.repeat),
        ("mine", 90, true)
    );
    assert_eq!(parsed(&asked.without_id().statement("id2", 50)).wait_ms, 50);
}

#[test]
fn what_is_missing_twice_or_contradicts_is_named() {
    let none = Headers::default();
    for (text, headers, names) in [
        (SELECT.to_owned(), &none, "x-stackgw-class"),
        (format!("{SELECT} /* c=look */"), &none, "x-stackgw-group"),
        (format!("{SELECT} /* c=mine */"), &headers(), "contradict"),
        (
            format!("{SELECT} /* c=look, c=look */"),
            &headers(),
            "c twice",
        ),
        (
            format!("{SELECT} /* d=soon */"),
            &headers(),
            "d is no number",
        ),
        (format!("{SELECT} /* c=look"), &headers(), "no end"),
        (format!("{SELECT} /* look */"), &headers(), "no name=value"),
    ] {
        let Wrong(why) = Asked::new(&text, headers).expect_err(&text);
        assert!(why.contains(names) && !why.contains('\n'), "{text}: {why}");
    }
}

#[test]
fn no_header_writes_the_rest_of_the_statement_itself() {
    for bad in ["look */ DROP", "look,cluster=3", "lo ok", "", "'"] {
        let forged = Headers {
            class: Some(bad.to_owned()),
            ..headers()
        };
        assert!(Asked::new(SELECT, &forged).is_err(), "{bad}");
    }
}

#[test]
fn parameters_are_filled_in_and_cannot_break_out() {
    let insert = "INSERT INTO state (uid, val) VALUES (?, ?) RETURNING val";
    let asked = Asked::new(insert, &headers()).expect("good");
    assert_eq!((asked.parameters(), asked.writes()), (2, true));
    let bound = asked
        .bind(&[Value::Text("a?b".to_owned()), Value::Bytes(vec![1, 255])])
        .expect("they fit");
    assert_eq!(bound.parameters(), 0);
    let text = bound.statement("i", 9);
    assert!(text.contains("('a?b', '\\x01ff')"), "{text}");
    assert_eq!(parsed(&text).key, "a?b");
    assert!(asked.bind(&[Value::Text("a".to_owned())]).is_err());
    for bad in ["a'b", "a/*b", "a\0b"] {
        assert!(
            asked
                .bind(&[Value::Text(bad.to_owned()), Value::Bytes(vec![])])
                .is_err(),
            "{bad}"
        );
    }
}

#[test]
fn a_handle_is_ours_whole_and_in_time_or_refused() {
    let ring = |secret: &str| {
        Keyring::new(vec![
            Key::new("flight", secret.as_bytes()).expect("a secret")
        ])
        .expect("keys")
    };
    let (ours, theirs) = (ring("a secret of this test"), ring("another secret of it"));
    let ticket = Sealed::Ticket(
        Asked::new(
            &format!("{SELECT} /* x={} */", "y".repeat(5_000)),
            &headers(),
        )
        .expect("good"),
        7,
    );
    let sealed = ticket.seal(&ours, 1_000);
    assert_eq!(Sealed::open(&ours, &sealed, 999), Ok(ticket));
    assert_eq!(Sealed::open(&ours, &sealed, 1_000), Err(Unusable::Expired));
    assert_eq!(Sealed::open(&theirs, &sealed, 1), Err(Unusable::Foreign));
    for at in 0..sealed.len() {
        let mut forged = sealed.clone();
        forged[at] ^= 0x10;
        assert_eq!(
            Sealed::open(&ours, &forged, 1),
            Err(Unusable::Foreign),
            "byte {at}"
        );
        assert_eq!(
            Sealed::open(&ours, &sealed[..at], 1),
            Err(Unusable::Foreign)
        );
    }
    // A datagram between instances under the same key is no handle.
    assert_eq!(
        Sealed::open(&ours, &ours.sign(1, &sealed), 1),
        Err(Unusable::Foreign)
    );
}

#[test]
fn each_answer_has_its_status() {
    let refused = status(&FinalResponse::Rejected("not now", Some(250)));
    assert_eq!(refused.code(), Code::Unavailable);
    let wait = refused
        .get_details_retry_info()
        .and_then(|info| info.retry_delay);
    assert_eq!(wait.map(|wait| wait.as_millis()), Some(250));
    let codes = [
        (FinalResponse::Rejected("no", None), Code::Unavailable),
        (FinalResponse::Unavailable("no"), Code::Unavailable),
        (FinalResponse::Failed("no"), Code::Aborted),
        (FinalResponse::Malformed("no"), Code::InvalidArgument),
    ];
    for (ended, code) in codes {
        assert_eq!(status(&ended).code(), code);
    }
}

#[test]
fn a_file_of_users_is_read_or_named_with_its_line() {
    let file = std::env::temp_dir().join(format!("stackgw-users-{}", std::process::id()));
    for (text, problem) in [
        ("# nobody\n", "names nobody"),
        ("depot\n", "line 1: is no name:secret"),
        (
            "a:12345678\n\ndepot:short\n",
            "line 3: the name is empty, or the secret has fewer than 8 bytes",
        ),
        ("a:12345678\na:87654321\n", "line 2: names a user twice"),
    ] {
        std::fs::write(&file, text).expect("a file");
        let told =
            stackgw_flight::Users::read(stackgw_flight::AuthScheme::Basic, &file).expect_err(text);
        assert!(
            told.ends_with(problem) && told.contains(&file.display().to_string()),
            "{told}"
        );
    }
    std::fs::remove_file(&file).expect("it was there");
    assert!(stackgw_flight::Users::read(stackgw_flight::AuthScheme::Bearer, &file).is_err());
}
