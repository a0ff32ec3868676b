//! A member's load report: `name=value` pairs in a parameter of its responses.

use stackgw_router::api::{LoadReport, Time};
use stackgw_settings::record_load_field;

/// Exclusive upper bound of `inflight`, `queue` and `util`; no member has as many requests.
const MAX_LOAD: f64 = 1e6;
/// Exclusive upper bound of a position, in Unix seconds: a time in the year 2223, later than any clock shows.
const MAX_UNIX_SECONDS: Time = 8_000_000_000;
const NANOSECONDS_PER_SECOND: Time = 1_000_000_000;
/// Number of significant digits of a fraction of a second.
const NANOSECOND_DIGITS: usize = 9;

/// Parses `name=value` pairs. Returns `None` if any pair is malformed or duplicated, or has a value that is impossible for a
/// member. Pairs with unknown names must have a number as value, and are otherwise ignored.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    let mut names = Vec::new();
    for pair in text.split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=')?;
        let number = value
            .parse::<f64>()
            .ok()
            .filter(|number| number.is_finite())?;
        if names.contains(&name) {
            return None;
        }
        names.push(name);
        match name {
            "x0" => report.position = Some(parse_nanoseconds(value)?),
            "x1" if number != 0.0 && number != 1.0 => return None,
            "inflight" | "queue" | "util" if !(0.0..MAX_LOAD).contains(&number) => return None,
            _ => record_load_field(&mut report, name, number),
        }
    }
    Some(report)
}

/// Parses seconds as a decimal number and truncates them (never rounding up) to whole nanoseconds; a floating-point number is
/// too imprecise for Unix times. It is used only for other notations, such as one with an exponent.
fn parse_nanoseconds(text: &str) -> Option<Time> {
    let (seconds, fraction) = text.split_once('.').unwrap_or((text, ""));
    let is_decimal = |digits: &str| digits.bytes().all(|byte| byte.is_ascii_digit());
    if !is_decimal(seconds) || !is_decimal(fraction) || seconds.is_empty() {
        return parse_float_seconds(text);
    }
    let fraction = fraction.get(..fraction.len().min(NANOSECOND_DIGITS))?;
    let nanoseconds = format!("{fraction:0<NANOSECOND_DIGITS$}")
        .parse::<Time>()
        .ok()?;
    let seconds = seconds
        .parse::<Time>()
        .ok()
        .filter(|seconds| *seconds < MAX_UNIX_SECONDS)?;
    Some(seconds * NANOSECONDS_PER_SECOND + nanoseconds)
}

fn parse_float_seconds(text: &str) -> Option<Time> {
    let seconds = text.parse::<f64>().ok()?;
    let in_range = (0.0..MAX_UNIX_SECONDS as f64).contains(&seconds);
    in_range.then(|| (seconds * NANOSECONDS_PER_SECOND as f64).floor() as Time)
}
