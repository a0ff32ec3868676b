//! Errors in statements and their options.

use thiserror::Error;

/// An error in a statement or its options. Each message is one line, for the client.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StatementError {
    /// The statement exceeds the gateway's size limit.
    #[error("the statement is too long")]
    TooLong,
    /// The comment is not terminated, or is not at the end of the statement.
    #[error("the statement's comment has no end")]
    UnterminatedComment,
    /// An option of the comment has no `=`.
    #[error("the comment holds no name=value")]
    OptionWithoutValue,
    /// The comment's timeout is not a number.
    #[error("d is no number of milliseconds")]
    InvalidTimeout,
    /// The comment sets an option twice.
    #[error("the comment names {0} twice")]
    RepeatedOption(String),
    /// The comment and a header set an option to different values.
    #[error("x-stackgw-{0} and the statement's comment contradict each other")]
    Contradiction(&'static str),
    /// Neither the comment nor a header sets a required option.
    #[error("x-stackgw-{header} is missing, and so is {comment} in the statement's comment")]
    MissingOption {
        /// The header's name without the prefix `x-stackgw-`.
        header: &'static str,
        /// The option's name in the comment.
        comment: &'static str,
    },
    /// An option's value is empty or has characters that are not allowed in a comment.
    #[error("'{}' is no name or number", .0.escape_default())]
    InvalidOption(String),
    /// The number of bound values differs from the number of parameters.
    #[error("{bound} parameters are bound, {expected} are wanted")]
    ParameterCount {
        /// Number of bound values.
        bound: usize,
        /// Number of the statement's unbound parameters.
        expected: usize,
    },
    /// A key contains characters that would terminate its literal or begin a comment.
    #[error("a key holds a quote, a comment or a zero")]
    InvalidKey,
}
