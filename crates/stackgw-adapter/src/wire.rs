//! Lines of the wire: a message name and `name=value` fields, parsed without guessing.

use std::fmt;

/// What is wrong with the input, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    /// The line's number, from 1.
    pub line: u64,
    /// The field at fault, or the message where no field is.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, {}: {}", self.line, self.field, self.problem)
    }
}

impl std::error::Error for Malformed {}

/// Fields whose text runs to the end of the line.
const TEXT_FIELDS: [&str; 2] = ["Conf", "NoteText"];

/// One line, split into its fields.
#[derive(Debug)]
pub struct Line<'a> {
    number: u64,
    /// The message's name.
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line without its line end.
    pub fn parse(number: u64, text: &'a str) -> Result<Self, Malformed> {
        let wrong = |field: &str, problem: &str| Malformed {
            line: number,
            field: field.to_owned(),
            problem: problem.to_owned(),
        };
        let (name, mut rest) = text
            .split_once(' ')
            .map_or((text, None), |(n, r)| (n, Some(r)));
        if name.is_empty() {
            return Err(wrong("message", "no name"));
        }
        let mut fields: Vec<(&str, &str)> = Vec::new();
        while let Some(part) = rest {
            let Some((key, after)) = part.split_once('=') else {
                return Err(wrong(name, &format!("'{part}' is not name=value")));
            };
            if key.is_empty() || key.contains(' ') {
                return Err(wrong(name, &format!("'{key}' is no field name")));
            }
            if fields.iter().any(|(k, _)| *k == key) {
                return Err(wrong(key, "given twice"));
            }
            if TEXT_FIELDS.contains(&key) {
                fields.push((key, after));
                break;
            }
            let (value, next) = after
                .split_once(' ')
                .map_or((after, None), |(v, r)| (v, Some(r)));
            fields.push((key, value));
            rest = next;
        }
        Ok(Line {
            number,
            name,
            fields,
        })
    }

    /// An error about one field of this line.
    pub fn wrong(&self, field: &str, problem: impl Into<String>) -> Malformed {
        Malformed {
            line: self.number,
            field: field.to_owned(),
            problem: problem.into(),
        }
    }

    /// A field's text, if the line has it.
    pub fn get(&self, field: &str) -> Option<&'a str> {
        self.fields
            .iter()
            .find(|(k, _)| *k == field)
            .map(|(_, v)| *v)
    }

    /// A field's text; absent or empty is an error.
    pub fn text(&self, field: &str) -> Result<&'a str, Malformed> {
        match self.get(field) {
            None => Err(self.wrong(field, format!("missing in '{}'", self.name))),
            Some("") => Err(self.wrong(field, "empty")),
            Some(v) => Ok(v),
        }
    }

    /// A whole number, if the line has it.
    pub fn int(&self, field: &str) -> Result<Option<i64>, Malformed> {
        let parse = |v: &str| {
            v.parse()
                .map_err(|_| self.wrong(field, format!("'{v}' is no whole number")))
        };
        self.get(field).map(parse).transpose()
    }

    /// A whole number that must be there.
    pub fn need_int(&self, field: &str) -> Result<i64, Malformed> {
        self.text(field)?;
        self.int(field)?.ok_or_else(|| self.wrong(field, "missing"))
    }

    /// A number from 0 to 2^32 that must be there.
    pub fn need_index(&self, field: &str) -> Result<u32, Malformed> {
        let value = self.need_int(field)?;
        u32::try_from(value).map_err(|_| self.wrong(field, format!("{value} is out of range")))
    }

    /// A finite number, if the line has it.
    pub fn number(&self, field: &str) -> Result<Option<f64>, Malformed> {
        self.get(field).map(|v| self.finite(field, v)).transpose()
    }

    /// A truth value; absent is false.
    pub fn flag(&self, field: &str) -> Result<bool, Malformed> {
        match self.get(field) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(v) => Err(self.wrong(field, format!("'{v}' is neither 0 nor 1"))),
        }
    }

    /// The `name:value` pairs of a load report.
    pub fn pairs(&self, field: &str) -> Result<Vec<(&'a str, f64)>, Malformed> {
        let Some(text) = self.get(field).filter(|t| !t.is_empty()) else {
            return Ok(Vec::new());
        };
        let pair = |p: &'a str| {
            let (name, value) = p
                .split_once(':')
                .ok_or_else(|| self.wrong(field, format!("'{p}' is not name:value")))?;
            Ok((name, self.finite(field, value)?))
        };
        text.split(',').map(pair).collect()
    }

    fn finite(&self, field: &str, v: &str) -> Result<f64, Malformed> {
        let number = v.parse::<f64>().ok().filter(|n| n.is_finite());
        number.ok_or_else(|| self.wrong(field, format!("'{v}' is no number")))
    }
}
