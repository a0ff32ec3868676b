//! The endpoint list as a JSON document.

use super::{ListEntry, ListUpdate};
use serde_json::Value;
use stackgw_bootstrap::MAX_UNIX_MS;
use stackgw_router::api::Lifecycle;

/// The size of a member whose entry has none.
const DEFAULT_SIZE: f64 = 1.0;
/// The start time of a member whose entry has none: the Unix epoch, so that the member does not appear newly started.
const DEFAULT_UP_SINCE_MS: f64 = 0.0;

/// An error in an endpoint list. The message names the field, unless the list is not valid JSON.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The document is not valid JSON; holds the parser's message, with line and column.
    #[error("not valid JSON: {0}")]
    NotJson(String),
    /// The revision is missing or not an unsigned integer.
    #[error("revision is not an unsigned integer")]
    Revision,
    /// The field that says whether the list names all members is missing or not a boolean.
    #[error("complete is neither true nor false")]
    Complete,
    /// The members are missing or not an array.
    #[error("members is not a list")]
    Members,
    /// A member's field is missing or not a string.
    #[error("members: {0} is not a string")]
    NotText(&'static str),
    /// A member's group is missing, or its group, size or start time is not a number in range.
    #[error("members: cell, size or up_since_ms is not a number in range")]
    Number,
    /// A member's address is not an address and port.
    #[error("members: host_port '{0}' is not an address and port")]
    Address(String),
    /// A member's phase is unknown.
    #[error("members: phase '{0}' is unknown")]
    Phase(String),
}

/// Parses a list from its bytes.
///
/// # Errors
///
/// The list is not valid JSON, or a field is missing or malformed.
pub fn parse_endpoint_list(bytes: &[u8]) -> Result<ListUpdate, ListError> {
    let value =
        serde_json::from_slice(bytes).map_err(|error| ListError::NotJson(error.to_string()))?;
    endpoint_list(&value)
}

/// Parses a list from its JSON value.
///
/// # Errors
///
/// The first field that is missing or malformed.
pub fn endpoint_list(value: &Value) -> Result<ListUpdate, ListError> {
    let revision = value
        .get("revision")
        .and_then(Value::as_u64)
        .ok_or(ListError::Revision)?;
    let complete = value
        .get("complete")
        .and_then(Value::as_bool)
        .ok_or(ListError::Complete)?;
    let members = value
        .get("members")
        .and_then(Value::as_array)
        .ok_or(ListError::Members)?;
    let members = members.iter().map(list_entry).collect::<Result<_, _>>()?;
    Ok(ListUpdate {
        revision,
        complete,
        members,
    })
}

fn list_entry(value: &Value) -> Result<ListEntry, ListError> {
    let cell = value
        .get("cell")
        .and_then(Value::as_u64)
        .and_then(|cell| u32::try_from(cell).ok());
    let size =
        number_or(value, "size", DEFAULT_SIZE).filter(|size| size.is_finite() && *size >= 0.0);
    let up_since_ms = number_or(value, "up_since_ms", DEFAULT_UP_SINCE_MS);
    let up_since_ms = up_since_ms.filter(|ms| (0.0..MAX_UNIX_MS as f64).contains(ms));
    let (Some(cell), Some(size), Some(up_since_ms)) = (cell, size, up_since_ms) else {
        return Err(ListError::Number);
    };
    let address = text(value, "host_port")?;
    Ok(ListEntry {
        id: text(value, "id")?.to_owned(),
        address: address
            .parse()
            .map_err(|_| ListError::Address(address.to_owned()))?,
        locality: value
            .get("locality")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned(),
        cell,
        phase: lifecycle(text(value, "phase")?)?,
        size,
        up_since_ms: up_since_ms as i64,
        leader: value.get("role").and_then(Value::as_str) == Some("leader"),
    })
}

/// Returns a number, or the default if the key is missing; `None` if the value is null or otherwise not a number.
fn number_or(value: &Value, key: &str, default: f64) -> Option<f64> {
    value.get(key).map_or(Some(default), Value::as_f64)
}

fn text<'a>(value: &'a Value, key: &'static str) -> Result<&'a str, ListError> {
    value
        .get(key)
        .and_then(Value::as_str)
        .ok_or(ListError::NotText(key))
}

fn lifecycle(phase: &str) -> Result<Lifecycle, ListError> {
    match phase {
        "ready" => Ok(Lifecycle::Serving),
        "draining" => Ok(Lifecycle::Draining),
        "gone" => Ok(Lifecycle::Removed),
        other => Err(ListError::Phase(other.to_owned())),
    }
}
