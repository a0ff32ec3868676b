//! The endpoint list as a JSON document.

use super::{ListEntry, ListUpdate};
use serde_json::Value;
use stackgw_bootstrap::MAX_UNIX_MS;
use stackgw_router::api::Lifecycle;

/// The size of a member whose entry has none.
const DEFAULT_SIZE: f64 = 1.0;
/// The start of a member whose entry has none: long ago.
const DEFAULT_UP_SINCE_MS: f64 = 0.0;

/// Why a document is no endpoint list. The text names the field.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// It is no JSON; the parser's message, with line and column.
    #[error("no JSON: {0}")]
    NotJson(String),
    /// The list's version is missing or no whole number.
    #[error("revision is no whole number")]
    Revision,
    /// Whether it names all members is not said.
    #[error("complete is neither true nor false")]
    Complete,
    /// It has no array of members.
    #[error("members is no list")]
    Members,
    /// A member's field is missing or no text.
    #[error("members: {0} is no text")]
    NotText(&'static str),
    /// A member's group, weight or start is missing or out of range.
    #[error("members: cell, size or up_since_ms is no number in range")]
    Number,
    /// A member's address is none.
    #[error("members: host_port is '{0}'")]
    Address(String),
    /// A member's phase is not one that is known.
    #[error("members: phase is '{0}'")]
    Phase(String),
}

/// Reads a list from its bytes.
///
/// # Errors
///
/// The first thing that is wrong with it.
pub fn parse_endpoint_list(bytes: &[u8]) -> Result<ListUpdate, ListError> {
    let value =
        serde_json::from_slice(bytes).map_err(|error| ListError::NotJson(error.to_string()))?;
    endpoint_list(&value)
}

/// Reads a list from its JSON value.
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

/// A number that may be left out; `None` where something else stands in its place.
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
