//! Parameters of prepared statements.

use super::error::StatementError;

/// The value of a parameter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParameterValue {
    /// A text: the key.
    Text(String),
    /// Bytes: the value.
    Bytes(Vec<u8>),
}

/// Number of parameters that a statement leaves open.
pub(super) fn count_placeholders(sql: &str) -> usize {
    placeholders(sql).count()
}

/// The statement with its placeholders replaced by literals.
pub(super) fn bind(sql: &str, values: &[ParameterValue]) -> Result<String, StatementError> {
    let expected = count_placeholders(sql);
    if values.len() != expected {
        return Err(StatementError::ParameterCount {
            bound: values.len(),
            expected,
        });
    }
    let mut bound = String::new();
    let mut copied = 0;
    for (position, value) in placeholders(sql).zip(values) {
        bound += &sql[copied..position];
        bound += &literal(value)?;
        copied = position + 1;
    }
    bound += &sql[copied..];
    Ok(bound)
}

/// Byte positions of the placeholders: question marks outside quotes.
fn placeholders(sql: &str) -> impl Iterator<Item = usize> + '_ {
    let mut quoted = false;
    sql.bytes().enumerate().filter_map(move |(position, byte)| {
        quoted ^= byte == b'\'';
        (byte == b'?' && !quoted).then_some(position)
    })
}

fn literal(value: &ParameterValue) -> Result<String, StatementError> {
    match value {
        // Danger: such a key would end its quotes or begin a comment, and so write the rest of the
        // statement itself.
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
