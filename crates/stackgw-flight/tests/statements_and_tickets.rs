//! Statements with headers, sealed handles, statuses and the users file, without a server.

use stackgw_cluster::{Key, Keyring};
use stackgw_flight::{
    to_status, AuthScheme, ParameterValue, RequestOptions, SealedHandle, StatementTemplate,
    TicketError, Users,
};
use stackgw_gateway::pg::{write, Frame, Statement};
use stackgw_gateway::reducer::FinalResponse;
use tonic::Code;
use tonic_types::StatusExt;

const SELECT: &str = "SELECT val FROM state WHERE uid = 'k1'";

fn headers() -> RequestOptions {
    RequestOptions {
        class: Some("look".to_owned()),
        group: Some("2".to_owned()),
        ..RequestOptions::default()
    }
}

/// Parses a rendered statement as the reducer does.
fn parse_rendered(text: &str) -> Statement {
    let mut bytes = Vec::new();
    write::query(&mut bytes, text);
    Statement::parse(Frame { kind: b'Q', bytes })
        .expect("the text is a statement of the PostgreSQL protocol")
}

#[test]
fn headers_and_comment_make_one_statement() {
    let template =
        StatementTemplate::parse(&format!("{SELECT}; /* c=look, after=77 */"), &headers())
            .expect("comment and headers agree");
    let statement = parse_rendered(&template.render("id1", 500));
    assert_eq!(
        (statement.class.as_str(), statement.cluster, statement.key()),
        ("look", 2, "k1")
    );
    assert_eq!(
        (statement.id.as_str(), statement.wait_ms, statement.after_ms),
        ("id1", 500, Some(77))
    );
    let headers_with_id = RequestOptions {
        id: Some("mine".to_owned()),
        timeout_ms: Some(90),
        retry: Some("1".to_owned()),
        ..headers()
    };
    let template = StatementTemplate::parse(&format!("{SELECT} /* d=120 */"), &headers_with_id)
        .expect("comment and headers agree");
    let statement = parse_rendered(&template.render("id1", 500));
    assert_eq!(
        (statement.id.as_str(), statement.wait_ms, statement.repeat),
        ("mine", 90, true)
    );
    assert_eq!(
        parse_rendered(&template.without_id().render("id2", 50)).wait_ms,
        50
    );
}

#[test]
fn missing_repeated_and_contradictory_options_are_named() {
    let none = RequestOptions::default();
    for (text, headers, expected) in [
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
        let error = StatementTemplate::parse(&text, headers)
            .expect_err(&text)
            .to_string();
        assert!(
            error.contains(expected) && !error.contains('\n'),
            "{text}: {error}"
        );
    }
}

#[test]
fn headers_cannot_inject_sql() {
    for bad in ["look */ DROP", "look,cluster=3", "lo ok", "", "'"] {
        let forged = RequestOptions {
            class: Some(bad.to_owned()),
            ..headers()
        };
        assert!(
            StatementTemplate::parse(SELECT, &forged).is_err(),
            "the class {bad:?} must be rejected"
        );
    }
}

#[test]
fn bound_parameters_cannot_inject_sql() {
    let insert = "INSERT INTO state (uid, val) VALUES (?, ?) RETURNING val";
    let template = StatementTemplate::parse(insert, &headers()).expect("the statement is valid");
    assert_eq!(
        (template.unbound_parameters(), template.is_write()),
        (2, true)
    );
    let bound = template
        .bind(&[
            ParameterValue::Text("a?b".to_owned()),
            ParameterValue::Bytes(vec![1, 255]),
        ])
        .expect("the values match the parameters");
    assert_eq!(bound.unbound_parameters(), 0);
    let text = bound.render("i", 9);
    assert!(text.contains("('a?b', '\\x01ff')"), "{text}");
    assert_eq!(parse_rendered(&text).key(), "a?b");
    assert!(template
        .bind(&[ParameterValue::Text("a".to_owned())])
        .is_err());
    for bad in ["a'b", "a/*b", "a\0b"] {
        assert!(
            template
                .bind(&[
                    ParameterValue::Text(bad.to_owned()),
                    ParameterValue::Bytes(vec![])
                ])
                .is_err(),
            "the key {bad:?} must be rejected"
        );
    }
}

#[test]
fn forged_foreign_and_expired_handles_are_rejected() {
    let ring = |secret: &str| {
        Keyring::new(vec![
            Key::new("flight", secret.as_bytes()).expect("the secret is valid")
        ])
        .expect("the keys are a valid key ring")
    };
    let (ours, theirs) = (ring("a secret of this test"), ring("another secret of it"));
    // The comment's unknown option of 5,000 bytes is ignored and does not become part of the
    // ticket.
    let ticket = SealedHandle::Ticket {
        statement: StatementTemplate::parse(
            &format!("{SELECT} /* x={} */", "y".repeat(5_000)),
            &headers(),
        )
        .expect("the statement is valid"),
        nonce: 7,
    };
    let sealed = ticket.seal(&ours, 1_000);
    assert_eq!(SealedHandle::open(&ours, &sealed, 999), Ok(ticket));
    assert_eq!(
        SealedHandle::open(&ours, &sealed, 1_000),
        Err(TicketError::Expired)
    );
    assert_eq!(
        SealedHandle::open(&theirs, &sealed, 1),
        Err(TicketError::Foreign)
    );
    for at in 0..sealed.len() {
        let mut forged = sealed.clone();
        forged[at] ^= 0x10;
        assert_eq!(
            SealedHandle::open(&ours, &forged, 1),
            Err(TicketError::Foreign),
            "a handle with byte {at} changed is not accepted"
        );
        assert_eq!(
            SealedHandle::open(&ours, &sealed[..at], 1),
            Err(TicketError::Foreign),
            "a handle cut to {at} bytes is not accepted"
        );
    }
    // A datagram between instances, signed with the same key, is not accepted as a handle.
    assert_eq!(
        SealedHandle::open(&ours, &ours.sign(1, &sealed), 1),
        Err(TicketError::Foreign)
    );
}

#[test]
fn each_outcome_has_its_status() {
    let rejected = to_status(&FinalResponse::Rejected("not now", Some(250)));
    assert_eq!(rejected.code(), Code::Unavailable);
    let retry_after = rejected
        .get_details_retry_info()
        .and_then(|info| info.retry_delay);
    assert_eq!(retry_after.map(|delay| delay.as_millis()), Some(250));
    let codes = [
        (FinalResponse::Rejected("no", None), Code::Unavailable),
        (FinalResponse::Unavailable("no"), Code::Unavailable),
        (FinalResponse::Failed("no"), Code::Aborted),
        (FinalResponse::Malformed("no"), Code::InvalidArgument),
    ];
    for (outcome, code) in codes {
        assert_eq!(to_status(&outcome).code(), code, "the code of {outcome:?}");
    }
}

#[test]
fn errors_in_a_users_file_name_the_file_and_the_line() {
    let file = std::env::temp_dir().join(format!("stackgw-users-{}", std::process::id()));
    for (text, problem) in [
        ("# nobody\n", "contains no users"),
        ("depot\n", "line 1: is not of the form name:secret"),
        (
            "a:12345678\n\ndepot:short\n",
            "line 3: the name is empty, or the secret has fewer than 8 bytes",
        ),
        ("a:12345678\na:87654321\n", "line 2: duplicate user name"),
    ] {
        std::fs::write(&file, text).expect("the file is written");
        let error = Users::read(AuthScheme::Basic, &file)
            .expect_err(text)
            .to_string();
        assert!(
            error.ends_with(problem) && error.contains(&file.display().to_string()),
            "{error}"
        );
    }
    std::fs::remove_file(&file).expect("the file exists");
    assert!(
        Users::read(AuthScheme::Bearer, &file).is_err(),
        "reading a file that does not exist must fail"
    );
}
