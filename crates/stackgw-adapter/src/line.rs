//! Lines of the wire protocol: a message name and `name=value` fields, parsed strictly. This module doesn't know what the fields
//! mean.

use thiserror::Error;

/// An error in the input and its place.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}, {field}: {problem}")]
pub struct InputError {
    /// The line's number, counted from 1.
    pub line: u64,
    /// The field at fault, or the message if no single field is.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

/// Fields whose text extends to the end of the line.
const TEXT_FIELDS: [&str; 2] = ["Conf", "NoteText"];

/// One line, split into its fields.
#[derive(Debug)]
pub struct Line<'a> {
    number: u64,
    /// The message's name.
    pub name: &'a str,
    fields: Vec<Field<'a>>,
}

/// A field of a line.
#[derive(Debug, Clone, Copy)]
struct Field<'a> {
    name: &'a str,
    text: &'a str,
}

impl<'a> Line<'a> {
    /// Splits a line, given without its line end, into fields.
    ///
    /// # Errors
    /// If the line has no message name, or a field is malformed or appears twice.
    pub fn parse(number: u64, text: &'a str) -> Result<Self, InputError> {
        let error = |field: &str, problem: &str| InputError {
            line: number,
            field: field.to_owned(),
            problem: problem.to_owned(),
        };
        let (name, mut rest) = split_at_space(text);
        if name.is_empty() {
            return Err(error("message", "the name is missing"));
        }
        let mut fields: Vec<Field> = Vec::new();
        while let Some(part) = rest {
            let Some((key, after)) = part.split_once('=') else {
                return Err(error(name, &format!("'{part}' is not name=value")));
            };
            if key.is_empty() || key.contains(' ') {
                return Err(error(name, &format!("'{key}' is not a valid field name")));
            }
            if fields.iter().any(|field| field.name == key) {
                return Err(error(key, "appears twice"));
            }
            let (text, next) = if TEXT_FIELDS.contains(&key) {
                (after, None)
            } else {
                split_at_space(after)
            };
            fields.push(Field { name: key, text });
            rest = next;
        }
        Ok(Line {
            number,
            name,
            fields,
        })
    }

    /// Returns an error about one field of this line.
    pub fn error(&self, field: &str, problem: impl Into<String>) -> InputError {
        InputError {
            line: self.number,
            field: field.to_owned(),
            problem: problem.into(),
        }
    }

    /// Returns the text of an optional field.
    pub fn optional_text(&self, field: &str) -> Option<&'a str> {
        let mut fields = self.fields.iter();
        fields.find(|f| f.name == field).map(|f| f.text)
    }

    /// Returns the text of a required field; an empty text is an error.
    pub fn text(&self, field: &str) -> Result<&'a str, InputError> {
        match self.optional_text(field) {
            None => Err(self.error(field, format!("missing in '{}'", self.name))),
            Some("") => Err(self.error(field, "empty")),
            Some(v) => Ok(v),
        }
    }

    /// Returns the integer in an optional field.
    pub fn optional_integer(&self, field: &str) -> Result<Option<i64>, InputError> {
        let parse = |v: &str| {
            v.parse()
                .map_err(|_| self.error(field, format!("'{v}' is not an integer")))
        };
        self.optional_text(field).map(parse).transpose()
    }

    /// Returns the integer in a required field.
    pub fn integer(&self, field: &str) -> Result<i64, InputError> {
        self.text(field)?;
        self.optional_integer(field)?
            .ok_or_else(|| self.error(field, "missing"))
    }

    /// Returns the integer from 0 to 2^32 - 1 in a required field.
    pub fn index(&self, field: &str) -> Result<u32, InputError> {
        let value = self.integer(field)?;
        u32::try_from(value).map_err(|_| self.error(field, format!("{value} is out of range")))
    }

    /// Returns the finite number in an optional field.
    pub fn optional_number(&self, field: &str) -> Result<Option<f64>, InputError> {
        self.optional_text(field)
            .map(|v| self.parse_number(field, v))
            .transpose()
    }

    /// Returns the boolean in an optional field; false if the field is absent.
    pub fn flag(&self, field: &str) -> Result<bool, InputError> {
        match self.optional_text(field) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(v) => Err(self.error(field, format!("'{v}' is neither 0 nor 1"))),
        }
    }

    /// Returns the `name:value` pairs of a load report.
    pub fn number_pairs(&self, field: &str) -> Result<Vec<(&'a str, f64)>, InputError> {
        let Some(text) = self.optional_text(field).filter(|t| !t.is_empty()) else {
            return Ok(Vec::new());
        };
        let pair = |p: &'a str| {
            let (name, value) = p
                .split_once(':')
                .ok_or_else(|| self.error(field, format!("'{p}' is not name:value")))?;
            Ok((name, self.parse_number(field, value)?))
        };
        text.split(',').map(pair).collect()
    }

    fn parse_number(&self, field: &str, text: &str) -> Result<f64, InputError> {
        let number = text.parse::<f64>().ok().filter(|n| n.is_finite());
        number.ok_or_else(|| self.error(field, format!("'{text}' is not a finite number")))
    }
}

/// Splits at the first space. The second part is `None` if there is no space.
fn split_at_space(text: &str) -> (&str, Option<&str>) {
    match text.split_once(' ') {
        Some((before, after)) => (before, Some(after)),
        None => (text, None),
    }
}
