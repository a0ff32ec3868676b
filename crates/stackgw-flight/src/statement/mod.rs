//! Statements of Flight SQL clients, and how they become statements of the PostgreSQL protocol.
//!
//! A statement's comment and the headers of its call may both name the same options; then they must
//! agree. Parameters stand as `?` in place of the key and of the value.

mod comment;
mod error;
mod options;
mod parameters;
mod template;

pub use error::StatementError;
pub use options::RequestOptions;
pub use parameters::ParameterValue;
pub use template::StatementTemplate;
