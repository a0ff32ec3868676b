//! The options comment at the end of a statement: `/* name=value, name=value */`.

use super::error::StatementError;
use super::options::RequestOptions;

/// Splits a statement into its SQL and the options in its last comment.
pub(super) fn split_comment(text: &str) -> Result<(&str, RequestOptions), StatementError> {
    let Some(start) = text.rfind("/*") else {
        return Ok((text, RequestOptions::default()));
    };
    let (sql, comment) = text.split_at(start);
    let body = comment
        .trim()
        .strip_prefix("/*")
        .and_then(|rest| rest.strip_suffix("*/"))
        .ok_or(StatementError::UnterminatedComment)?;
    Ok((sql, parse_options(body)?))
}

fn parse_options(body: &str) -> Result<RequestOptions, StatementError> {
    let mut options = RequestOptions::default();
    for part in body.split(',').map(str::trim) {
        if part.is_empty() {
            continue;
        }
        let (name, value) = part
            .split_once('=')
            .ok_or(StatementError::OptionWithoutValue)?;
        set_option(&mut options, name, value)?;
    }
    Ok(options)
}

/// Sets one option; unknown names are ignored.
fn set_option(options: &mut RequestOptions, name: &str, value: &str) -> Result<(), StatementError> {
    let already_set = match name {
        "c" => options.class.replace(value.to_owned()).is_some(),
        "cluster" => options.group.replace(value.to_owned()).is_some(),
        "id" => options.id.replace(value.to_owned()).is_some(),
        "after" => options.after.replace(value.to_owned()).is_some(),
        "r" => options.retry.replace(value.to_owned()).is_some(),
        "d" => {
            let timeout_ms = value.parse().map_err(|_| StatementError::InvalidTimeout)?;
            options.timeout_ms.replace(timeout_ms).is_some()
        }
        _ => false,
    };
    if already_set {
        return Err(StatementError::RepeatedOption(name.to_owned()));
    }
    Ok(())
}
