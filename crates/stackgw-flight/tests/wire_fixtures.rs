//! The wire format matches recorded fixtures: sealed handles, statuses, and the parsing of
//! statements and headers.
//!
//! These tests never write the files under `tests/fixtures/`. If a result differs from its fixture,
//! the whole result is printed.

use stackgw_cluster::{Key, Keyring};
use stackgw_flight::{
    root_cause, to_status, ParameterValue, RequestOptions, SealedHandle, StatementTemplate,
    TicketError,
};
use stackgw_gateway::reducer::FinalResponse;
use std::fmt::Write;
use std::path::Path;

/// Expiry time of the fixtures' handles, in Unix milliseconds; later than [`NOW_MS`].
const EXPIRES_AT_MS: u64 = 1_900_000_000_000;
const NOW_MS: u64 = 1_700_000_000_000;

fn fixture(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name);
    std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{}: {error}", file.display()))
}

/// Compares with a fixture line by line, so that a failure shows the line that differs.
fn assert_equals_fixture(name: &str, actual: &str) {
    let expected = fixture(name);
    if expected == actual {
        return;
    }
    println!("{name} is now:\n{actual}");
    for (index, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(expected, actual, "{name}, line {}", index + 1);
    }
    panic!(
        "{name}: expected {} lines, found {}",
        expected.lines().count(),
        actual.lines().count()
    );
}

fn hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
}

fn unhex(text: &str) -> Vec<u8> {
    let byte = |at: usize| {
        u8::from_str_radix(&text[at..at + 2], 16).expect("the text consists of hexadecimal digits")
    };
    (0..text.len()).step_by(2).map(byte).collect()
}

fn key_ring() -> Keyring {
    let key = |secret: &str| Key::new("flight", secret.as_bytes()).expect("the secret is valid");
    Keyring::new(vec![
        key("the first secret of the fixtures"),
        key("the second secret of the fixtures"),
    ])
    .expect("the keys are a valid key ring")
}

fn headers(class: &str, group: &str) -> RequestOptions {
    RequestOptions {
        class: Some(class.to_owned()),
        group: Some(group.to_owned()),
        ..RequestOptions::default()
    }
}

fn all_headers() -> RequestOptions {
    RequestOptions {
        id: Some("id-1".to_owned()),
        after: Some("1700000000000".to_owned()),
        retry: Some("1".to_owned()),
        timeout_ms: Some(250),
        ..headers("stock-check", "2")
    }
}

const SELECT: &str = "SELECT val FROM state WHERE uid = 'k1'";
const INSERT: &str = "INSERT INTO state (uid, val) VALUES (?, ?) RETURNING val";

fn handles() -> Vec<(&'static str, SealedHandle)> {
    let read =
        StatementTemplate::parse(SELECT, &headers("look", "2")).expect("the statement is valid");
    let full = StatementTemplate::parse(&format!("{SELECT}; /* d=90 */"), &all_headers())
        .expect("the statement is valid");
    let open =
        StatementTemplate::parse(INSERT, &headers("buy", "3")).expect("the statement is valid");
    let values = [
        ParameterValue::Text("k1".to_owned()),
        ParameterValue::Bytes(vec![0, 1, 255]),
    ];
    let bound = open.bind(&values).expect("the values match the parameters");
    vec![
        (
            "ticket-of-a-read",
            SealedHandle::Ticket {
                statement: read,
                nonce: 7,
            },
        ),
        (
            "ticket-with-all-fields",
            SealedHandle::Ticket {
                statement: full,
                nonce: u64::MAX,
            },
        ),
        (
            "prepared-with-open-parameters",
            SealedHandle::Prepared(open),
        ),
        ("prepared-and-bound", SealedHandle::Prepared(bound)),
        ("bearer", SealedHandle::Bearer("depot".to_owned())),
    ]
}

#[test]
fn sealed_handles_keep_their_bytes_and_their_contents() {
    let mut actual = String::new();
    for (name, sealed) in handles() {
        writeln!(
            actual,
            "{name} {}",
            hex(&sealed.seal(&key_ring(), EXPIRES_AT_MS))
        )
        .expect("writing to a string succeeds");
    }
    assert_equals_fixture("handles.txt", &actual);
    for (line, (name, sealed)) in fixture("handles.txt").lines().zip(handles()) {
        let (recorded_name, handle) = line
            .split_once(' ')
            .expect("the line is a name and a handle");
        assert_eq!(
            recorded_name, name,
            "the fixture lists the handles in order"
        );
        assert_eq!(
            SealedHandle::open(&key_ring(), &unhex(handle), NOW_MS),
            Ok(sealed),
            "the contents of the recorded handle {name}"
        );
        assert_eq!(
            SealedHandle::open(&key_ring(), &unhex(handle), EXPIRES_AT_MS),
            Err(TicketError::Expired),
            "the recorded handle {name} has expired"
        );
    }
}

#[test]
fn statuses_keep_their_codes_texts_and_details() {
    let outcomes = [
        ("served", FinalResponse::Served(b"row".to_vec())),
        (
            "refused",
            FinalResponse::Rejected("too many requests are open", None),
        ),
        (
            "refused-with-a-time",
            FinalResponse::Rejected("too many requests are open", Some(250)),
        ),
        (
            "refused-with-a-negative-time",
            FinalResponse::Rejected("not now", Some(-1)),
        ),
        ("not-yet", FinalResponse::Unavailable("the gateway ends")),
        ("failed", FinalResponse::Failed("nothing is promised")),
        (
            "malformed",
            FinalResponse::Malformed("the class is not known"),
        ),
    ];
    let mut actual = String::new();
    for (name, outcome) in outcomes {
        let status = to_status(&outcome);
        let (code, details) = (i32::from(status.code()), hex(status.details()));
        writeln!(
            actual,
            "{name} code={code} text={:?} details={details}",
            status.message()
        )
        .expect("writing to a string succeeds");
    }
    for (name, error) in [
        ("foreign", TicketError::Foreign),
        ("expired", TicketError::Expired),
        ("other", TicketError::WrongKind),
    ] {
        writeln!(actual, "handle-{name} text={:?}", error.to_string())
            .expect("writing to a string succeeds");
    }
    let inner = std::io::Error::other("the innermost");
    let outer = std::io::Error::other(inner);
    writeln!(actual, "root text={:?}", root_cause(&outer)).expect("writing to a string succeeds");
    assert_equals_fixture("statuses.txt", &actual);
}

/// Statements with the headers of their calls.
fn calls() -> Vec<(String, RequestOptions)> {
    let look = || headers("look", "2");
    let forged = |class: &str| headers(class, "2");
    let statement = |rest: &str| format!("{SELECT}{rest}");
    vec![
        (statement(""), look()),
        (statement(" ;; "), look()),
        (statement(""), all_headers()),
        (statement("; /* d=90 */"), all_headers()),
        (statement(" /* d=900 */"), all_headers()),
        (
            statement(" /* c=stock-check, cluster=2, id=id-1, after=1700000000000, r=1 */"),
            all_headers(),
        ),
        (
            statement(" /* c=look,cluster=7,id=a.b_c-d,after=5,r=0,d=4,other=8,, */"),
            RequestOptions::default(),
        ),
        (
            statement(" /* first */ /* c=look,cluster=2 */"),
            RequestOptions::default(),
        ),
        (statement(""), RequestOptions::default()),
        (statement(" /* c=look */"), RequestOptions::default()),
        (statement(" /* c=mine */"), look()),
        (statement(" /* cluster=3 */"), look()),
        (statement(" /* id=id-2 */"), all_headers()),
        (statement(" /* after=1 */"), all_headers()),
        (statement(" /* r=0 */"), all_headers()),
        (statement(" /* c=look,c=look */"), look()),
        (statement(" /* cluster=2,cluster=2 */"), look()),
        (statement(" /* id=1,id=1 */"), look()),
        (statement(" /* after=1,after=1 */"), look()),
        (statement(" /* r=1,r=1 */"), look()),
        (statement(" /* d=1,d=1 */"), look()),
        (statement(" /* d=soon */"), look()),
        (statement(" /* d=-1 */"), look()),
        (statement(" /* look */"), look()),
        (statement(" /* c=look"), look()),
        (statement(" /* c=look */ and more"), look()),
        (statement(" /* c= */"), RequestOptions::default()),
        (statement(""), forged("look */ DROP")),
        (statement(""), forged("look,cluster=3")),
        (statement(""), forged("lo ok")),
        (statement(""), forged("")),
        (statement(""), forged("'")),
        (statement(""), forged("l\u{f6}\u{f6}k\n")),
        (statement(""), headers("look", "two")),
        (INSERT.to_owned(), headers("buy", "3")),
        (INSERT.to_lowercase(), headers("buy", "3")),
        (
            "INSERT INTO state VALUES ('a?b', ?)".to_owned(),
            headers("buy", "3"),
        ),
        ("SELECT val FROM state WHERE uid = ?".to_owned(), look()),
        ("ins".to_owned(), look()),
        (String::new(), look()),
        ("x".repeat(136 << 10), look()),
        ("x".repeat((136 << 10) + 1), look()),
    ]
}

/// The first and last 100 bytes of a text and its length, or the whole text up to 300 bytes.
fn abbreviate(text: &str) -> String {
    if text.len() <= 300 {
        return format!("{text:?}");
    }
    format!(
        "{:?}...{:?} length={}",
        &text[..100],
        &text[text.len() - 100..],
        text.len()
    )
}

/// Describes all properties of a statement in one line.
fn describe(template: &StatementTemplate) -> String {
    format!(
        "writes={} parameters={} group2={} group3={} wait={:?},{:?} text={} fresh={}",
        template.is_write(),
        template.unbound_parameters(),
        template.is_for_group(2),
        template.is_for_group(3),
        template.timeout_ms(None),
        template.timeout_ms(Some(100)),
        abbreviate(&template.render("made-id", 500)),
        abbreviate(&template.clone().without_id().render("made-id", 50)),
    )
}

#[test]
fn statements_and_headers_parse_as_recorded() {
    let mut actual = String::new();
    for (number, (statement, headers)) in calls().iter().enumerate() {
        let line = match StatementTemplate::parse(statement, headers) {
            Ok(template) => describe(&template),
            Err(error) => format!("error={:?}", error.to_string()),
        };
        writeln!(actual, "{number} {line}").expect("writing to a string succeeds");
    }
    assert_equals_fixture("statements.txt", &actual);
}

#[test]
fn parameters_bind_as_recorded() {
    let text = |text: &str| ParameterValue::Text(text.to_owned());
    let insert =
        StatementTemplate::parse(INSERT, &headers("buy", "3")).expect("the statement is valid");
    let quoted = StatementTemplate::parse("SELECT '?' WHERE uid = ?", &headers("look", "2"))
        .expect("the statement is valid");
    let cases = [
        (
            &insert,
            vec![text("k1"), ParameterValue::Bytes(vec![0, 16, 255])],
        ),
        (&insert, vec![text("a?b"), ParameterValue::Bytes(vec![])]),
        (&insert, vec![text("a"), text("b")]),
        (&insert, vec![text("a")]),
        (&insert, vec![]),
        (&insert, vec![text("a'b"), ParameterValue::Bytes(vec![1])]),
        (&insert, vec![text("a/*b"), ParameterValue::Bytes(vec![1])]),
        (&insert, vec![text("a\0b"), ParameterValue::Bytes(vec![1])]),
        (&quoted, vec![text("k")]),
        (&quoted, vec![text("k"), text("l")]),
    ];
    let mut actual = String::new();
    for (number, (template, values)) in cases.iter().enumerate() {
        let line = match template.bind(values) {
            Ok(bound) => describe(&bound),
            Err(error) => format!("error={:?}", error.to_string()),
        };
        writeln!(actual, "{number} {line}").expect("writing to a string succeeds");
    }
    assert_equals_fixture("bindings.txt", &actual);
}
