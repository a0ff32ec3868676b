//! What can be wrong with a statement and its options.

use thiserror::Error;

/// What is wrong with a call. Each is one line that names what is at fault, for the client.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StatementError {
    /// The statement is longer than any that the gateway takes.
    #[error("the statement is too long")]
    TooLong,
    /// The comment does not end the statement.
    #[error("the statement's comment has no end")]
    UnterminatedComment,
    /// An option of the comment has no `=`.
    #[error("the comment holds no name=value")]
    OptionWithoutValue,
    /// The comment's timeout is no number.
    #[error("d is no number of milliseconds")]
    InvalidTimeout,
    /// The comment sets an option twice.
    #[error("the comment names {0} twice")]
    RepeatedOption(String),
    /// Comment and header set an option to different values.
    #[error("x-stackgw-{0} and the statement's comment contradict each other")]
    Contradiction(&'static str),
    /// Neither comment nor header sets an option that is needed.
    #[error("x-stackgw-{header} is missing, and so is {comment} in the statement's comment")]
    MissingOption {
        /// The header's name behind `x-stackgw-`.
        header: &'static str,
        /// The option's name in the comment.
        comment: &'static str,
    },
    /// An option has a value that is not allowed in a comment.
    #[error("'{}' is no name or number", .0.escape_default())]
    InvalidOption(String),
    /// The number of bound values is not that of the parameters.
    #[error("{bound} parameters are bound, {expected} are wanted")]
    ParameterCount {
        /// Values that were bound.
        bound: usize,
        /// Parameters that the statement leaves open.
        expected: usize,
    },
    /// A key has characters that would break out of its quotes.
    #[error("a key holds a quote, a comment or a zero")]
    InvalidKey,
}
