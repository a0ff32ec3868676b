//! A file for each sub-command.

pub mod check;
pub mod demo;
pub mod run;
pub mod sessions;
