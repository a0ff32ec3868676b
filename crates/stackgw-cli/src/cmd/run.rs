//! `stackgw run`, and `stackgw` alone: a gateway in the foreground.

use crate::error::CommandResult;
#[cfg(feature = "flight")]
use crate::flight_frontend::flight_frontend;
use clap::Args;
use stackgw_gateway::config::Config;
#[cfg(not(feature = "flight"))]
use stackgw_gateway::FrontendFactory;
use std::path::PathBuf;

/// Run a gateway in the foreground.
#[derive(Args, Default)]
pub struct Run {
    /// The operator's file; without one everything in it is off.
    #[arg(long, value_name = "FILE")]
    file: Option<PathBuf>,
    /// The platform's JSON document, in place of the one that ROUTER_CONFIG names.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

impl Run {
    /// Serves until a signal ends it.
    ///
    /// # Errors
    /// Where the configuration can't be used, in one line that names file and field; or where the gateway can't serve.
    pub fn run(self) -> CommandResult {
        let Run { file, config } = self;
        let config = Config::from_env(|name| match &config {
            Some(path) if name == "ROUTER_CONFIG" => Some(path.display().to_string()),
            _ => std::env::var(name).ok(),
        })?;
        let config = match file {
            Some(file) => config.with_operator(&file)?,
            None => config,
        };
        let frontend = flight_frontend(&config)?;
        stackgw_gateway::run_with_frontend(config, frontend)?;
        Ok(())
    }
}

/// A build without Flight SQL says so where the operator's file turns it on.
#[cfg(not(feature = "flight"))]
fn flight_frontend(config: &Config) -> CommandResult<Option<FrontendFactory>> {
    match config.operator.flight {
        Some(_) => Err("flight: this build has no Arrow Flight SQL".into()),
        None => Ok(None),
    }
}
