//! Fixtures: files of lines that were written by commit 1451fac and are not to change.

use stackgw_gateway::discovery::ListUpdate;
use stackgw_router::api::Lifecycle;
use std::fmt::{Display, Write};
use std::path::Path;

/// Messages that have been reworded since the fixtures were written: the text in the fixture and
/// the text of today.
pub const REWORDED_MESSAGES: &[(&str, &str)] = &[
    (
        "settings: AimNs is no whole number",
        "settings: AimNs is missing or not an integer",
    ),
    (
        "settings: Classes holds a name that is no text",
        "settings: Classes contains a name that is not a string",
    ),
    (
        "settings: StalenessBoundNs holds one that is not above 0",
        "settings: StalenessBoundNs contains a bound that is not above 0",
    ),
    (
        "settings: Behind holds 'odd'",
        "settings: Behind has the unknown value 'odd'",
    ),
    (
        "settings: Effect holds 'odd'",
        "settings: Effect has the unknown value 'odd'",
    ),
    (
        "settings: Zones holds a name that is no text",
        "settings: Zones contains a name that is not a string",
    ),
];

/// An expected line with reworded messages replaced.
fn reworded(line: &str) -> String {
    REWORDED_MESSAGES
        .iter()
        .fold(line.to_owned(), |line, (old, new)| line.replace(old, new))
}

/// Compares lines with a fixture, with reworded messages replaced in the expected lines.
pub fn compare(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/wire_texts")
        .join(name);
    let expected = std::fs::read_to_string(&path).expect("the fixture is there");
    for (number, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(reworded(expected), actual, "{name}, line {}", number + 1);
    }
    assert_eq!(expected.lines().count(), actual.lines().count(), "{name}");
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// One line of a fixture.
pub fn line(out: &mut String, label: &str, text: impl Display) {
    writeln!(out, "{label}: {text}").expect("a string takes all");
}

pub fn list_text_of(list: &ListUpdate) -> String {
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
