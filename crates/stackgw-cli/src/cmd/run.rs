//! `stackgw run`, and `stackgw` without a sub-command: runs a gateway in the foreground.

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
    /// The operator's file; without it, all features that it configures are off.
    #[arg(long, value_name = "FILE")]
    file: Option<PathBuf>,
    /// The platform's JSON configuration; overrides ROUTER_CONFIG.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

impl Run {
    /// Serves until a signal stops the process.
    ///
    /// # Errors
    /// If the configuration is invalid, with one line that names the file and the field, or if the gateway can't serve.
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

/// Rejects an operator's file that enables Flight SQL, which this build doesn't include.
#[cfg(not(feature = "flight"))]
fn flight_frontend(config: &Config) -> CommandResult<Option<FrontendFactory>> {
    match config.operator.flight {
        Some(_) => Err("flight: this build does not include Arrow Flight SQL".into()),
        None => Ok(None),
    }
}
