//! The two forms of SQL that the gateway forwards: a read of one key, and an insert of one value.

/// The key that a statement reads or writes, from its SQL without the comment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatementTarget<'a> {
    /// The quoted key.
    pub key: &'a str,
    /// Whether the statement writes the key.
    pub writes: bool,
}

/// Parses a statement without its comment; returns `None` if it has neither form, or its key is empty.
pub(super) fn parse_target(sql: &str) -> Option<StatementTarget<'_>> {
    let mut rest = Tokens(sql);
    let first = rest.word()?;
    let target = if first.eq_ignore_ascii_case("select") {
        StatementTarget {
            key: parse_select(&mut rest)?,
            writes: false,
        }
    } else if first.eq_ignore_ascii_case("insert") {
        StatementTarget {
            key: parse_insert(&mut rest)?,
            writes: true,
        }
    } else {
        return None;
    };
    (rest.is_empty() && !target.key.is_empty()).then_some(target)
}

/// Parses the rest of `SELECT column FROM table WHERE column = 'key'` after its first word, and returns the key.
fn parse_select<'a>(rest: &mut Tokens<'a>) -> Option<&'a str> {
    rest.word()?;
    rest.keyword("from")?;
    rest.word()?;
    rest.keyword("where")?;
    rest.word()?;
    rest.symbol('=')?;
    rest.quoted()
}

/// Parses the rest of `INSERT INTO table (column, column) VALUES ('key', '\xhex') RETURNING column` after its first word, and
/// returns the key.
fn parse_insert<'a>(rest: &mut Tokens<'a>) -> Option<&'a str> {
    rest.keyword("into")?;
    rest.word()?;
    rest.symbol('(')?;
    rest.word()?;
    rest.symbol(',')?;
    rest.word()?;
    rest.symbol(')')?;
    rest.keyword("values")?;
    rest.symbol('(')?;
    let key = rest.quoted()?;
    rest.symbol(',')?;
    let digits = rest.quoted()?.strip_prefix("\\x")?;
    if digits.len() % 2 != 0 || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    rest.symbol(')')?;
    rest.keyword("returning")?;
    rest.word()?;
    Some(key)
}

/// The text that has not been parsed yet.
struct Tokens<'a>(&'a str);

impl<'a> Tokens<'a> {
    /// Returns the next word, which consists of letters, digits and underscores.
    fn word(&mut self) -> Option<&'a str> {
        let text = self.0.trim_start();
        let ends = |c: char| !c.is_ascii_alphanumeric() && c != '_';
        let (word, rest) = text.split_at(text.find(ends).unwrap_or(text.len()));
        self.0 = rest;
        (!word.is_empty()).then_some(word)
    }

    fn keyword(&mut self, keyword: &str) -> Option<()> {
        self.word()?.eq_ignore_ascii_case(keyword).then_some(())
    }

    fn symbol(&mut self, symbol: char) -> Option<()> {
        self.0 = self.0.trim_start().strip_prefix(symbol)?;
        Some(())
    }

    /// Returns the text in single quotes that comes next. Escaped quotes are not supported.
    fn quoted(&mut self) -> Option<&'a str> {
        self.symbol('\'')?;
        let (inner, rest) = self.0.split_once('\'')?;
        self.0 = rest;
        Some(inner)
    }

    fn is_empty(&self) -> bool {
        self.0.trim().is_empty()
    }
}
