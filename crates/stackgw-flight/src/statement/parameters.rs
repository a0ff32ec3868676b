//! Parameters of prepared statements.

use super::error::StatementError;

/// The value of a parameter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParameterValue {
    /// A string, for the key.
    Text(String),
    /// A byte string, for the value.
    Bytes(Vec<u8>),
}

/// Number of a statement's unbound parameters.
pub(super) fn count_placeholders(sql: &str) -> usize {
    placeholders(sql).count()
}

/// Returns the statement with its placeholders replaced by literals.
pub(super) fn bind(sql: &str, values: &[ParameterValue]) -> Result<String, StatementError> {
    let expected = count_placeholders(sql);
    if values.len() != expected {
        return Err(StatementError::ParameterCount {
            bound: values.len(),
            expected,
        });
    }
    let mut bound = String::new();
    let mut copied_to = 0;
    for (position, value) in placeholders(sql).zip(values) {
        bound += &sql[copied_to..position];
        bound += &literal(value)?;
        copied_to = position + 1;
    }
    bound += &sql[copied_to..];
    Ok(bound)
}

/// Byte offsets of the placeholders: question marks outside quotes.
fn placeholders(sql: &str) -> impl Iterator<Item = usize> + '_ {
    let mut quoted = false;
    sql.bytes().enumerate().filter_map(move |(position, byte)| {
        quoted ^= byte == b'\'';
        (byte == b'?' && !quoted).then_some(position)
    })
}

fn literal(value: &ParameterValue) -> Result<String, StatementError> {
    match value {
        // Without this check, a key could terminate its literal or begin a comment, and so inject
        // SQL into the statement.
        ParameterValue::Text(text) if text.contains(['\'', '\0']) || text.contains("/*") => {
            Err(StatementError::InvalidKey)
        }
        ParameterValue::Text(text) => Ok(format!("'{text}'")),
        ParameterValue::Bytes(bytes) => {
            let mut literal = String::from("'\\x");
            for byte in bytes {
                literal += &format!("{byte:02x}");
            }
            Ok(literal + "'")
        }
    }
}
