//! The operator's configuration file: its sections, their defaults and limits, its JSON Schema.
//!
//! The platform configures a gateway by a JSON document of its own (`stackgw-settings`). This YAML
//! file turns on what is specific to an installation: shared sessions, durable storage, Flight SQL,
//! a gentle bootstrap, a control socket. Without the file, or without a section, that part is off.
//!
//! One type, [`OperatorConfig`], is read, validated and handed down. A module for each section
//! holds its fields; fields are named as their YAML keys, since error messages show them. This
//! package opens no file but the one it is given: the paths in it are for others to open.

mod bootstrap;
mod cluster;
mod duration;
mod error;
mod flight;
mod log;
mod operator;
mod read;
mod sessions;
mod validation;

pub use bootstrap::Bootstrap;
pub use cluster::Cluster;
pub use duration::Duration;
pub use error::{ConfigError, Reason};
pub use flight::{Auth, Bulk, Flight};
pub use log::{Log, LogFormat};
pub use operator::OperatorConfig;
pub use read::{read, schema};
pub use sessions::Sessions;
