//! The sub-commands, a file each. A command parses its arguments, calls a library, and prints what comes of it.

pub mod check;
pub mod demo;
pub mod list;
pub mod measure;
#[cfg(feature = "flight")]
pub mod query;
pub mod run;
pub mod sessions;
