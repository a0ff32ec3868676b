//! Parsing of a call's headers.

use crate::protocol::{
    AFTER_HEADER, CLASS_HEADER, GROUP_HEADER, ID_HEADER, RETRY_HEADER, TIMEOUT_HEADER,
};
use crate::statement::RequestOptions;
use tonic::metadata::MetadataMap;
use tonic::Status;

/// Maximum number of digits of a timeout, as specified by gRPC.
const MAX_TIMEOUT_DIGITS: usize = 8;

/// The request options in the headers of a call.
pub(super) fn request_options(
    headers: &MetadataMap,
    answer_slack_ms: u64,
) -> Result<RequestOptions, Status> {
    Ok(RequestOptions {
        class: text(headers, CLASS_HEADER)?,
        group: text(headers, GROUP_HEADER)?,
        id: text(headers, ID_HEADER)?,
        after: text(headers, AFTER_HEADER)?,
        retry: text(headers, RETRY_HEADER)?,
        timeout_ms: timeout_ms(headers, answer_slack_ms)?,
    })
}

/// The client's timeout in milliseconds, reduced by `answer_slack_ms` or by half of the timeout,
/// whichever is shorter; `None` if the client set no timeout. The client's timeout runs until the
/// response has arrived, so some of it is reserved for sending the response.
pub(super) fn timeout_ms(
    headers: &MetadataMap,
    answer_slack_ms: u64,
) -> Result<Option<u64>, Status> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let timeout_ms = value.to_str().ok().and_then(parse_timeout_ms);
    let timeout_ms =
        timeout_ms.ok_or_else(|| Status::invalid_argument("grpc-timeout is no time"))?;
    Ok(Some(timeout_ms - answer_slack_ms.min(timeout_ms / 2)))
}

/// Parses up to 8 digits followed by a unit to milliseconds, rounded down.
fn parse_timeout_ms(text: &str) -> Option<u64> {
    let unit_at = text.len().checked_sub(1)?;
    let (digits, unit) = text.split_at_checked(unit_at)?;
    if digits.len() > MAX_TIMEOUT_DIGITS || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    match unit {
        "H" => Some(number * 3_600_000),
        "M" => Some(number * 60_000),
        "S" => Some(number * 1_000),
        "m" => Some(number),
        "u" => Some(number / 1_000),
        "n" => Some(number / 1_000_000),
        _ => None,
    }
}

fn text(headers: &MetadataMap, name: &str) -> Result<Option<String>, Status> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    let text = text.map_err(|_| Status::invalid_argument(format!("{name} is no text")))?;
    Ok(Some(text.to_owned()))
}
