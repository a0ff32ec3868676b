//! A file for each sub-command.

pub mod check;
pub mod demo;
pub mod list;
pub mod measure;
#[cfg(feature = "flight")]
pub mod measure_flight;
pub mod measure_start;
#[cfg(feature = "flight")]
pub mod query;
pub mod run;
pub mod sessions;
