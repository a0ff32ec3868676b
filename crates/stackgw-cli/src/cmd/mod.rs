//! A file for each sub-command.

pub mod check;
pub mod demo;
pub mod measure;
pub mod run;
pub mod sessions;
