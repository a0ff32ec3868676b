//! The sub-commands, one module each. A command parses its arguments, calls a library and prints the result.

pub mod check;
pub mod demo;
pub mod list;
pub mod measure;
#[cfg(feature = "flight")]
pub mod query;
pub mod run;
pub mod sessions;
