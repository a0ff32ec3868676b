//! The operator's configuration file: its sections, their defaults and limits, and its JSON Schema.
//!
//! The platform configures a gateway with a separate JSON document (`stackgw-settings`). This YAML
//! file turns on features that are specific to an installation: shared sessions, durable storage,
//! Flight SQL, a bootstrap that does not overload the list service, and a control socket. Without
//! the file, all of them are off; without a section, its feature is off.
//!
//! The file is read into one type, [`OperatorConfig`], and validated. Each section has a module of
//! its own. Fields have the names of their YAML keys, because error messages show them. This
//! package opens only the configuration file itself; callers open the paths that it names.

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
