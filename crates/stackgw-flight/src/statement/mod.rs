//! Conversion of Flight SQL clients' statements to statements of the PostgreSQL protocol.
//!
//! If a statement's comment and the headers of its call set the same option, the values must be
//! equal; of two timeouts, the shorter one applies. `?` is the placeholder for the key and for the
//! value.

mod comment;
mod error;
mod options;
mod parameters;
mod template;

pub use error::StatementError;
pub use options::RequestOptions;
pub use parameters::ParameterValue;
pub use template::StatementTemplate;
