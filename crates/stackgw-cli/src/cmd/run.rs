//! `stackgw run`, and `stackgw` alone.

use clap::Args;
use stackgw_gateway::config::Config;
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
    /// Serves until it is told to end.
    pub fn run(self) -> Result<(), String> {
        let Run { file, config } = self;
        let config = Config::from_env(|name| match &config {
            Some(path) if name == "ROUTER_CONFIG" => Some(path.display().to_string()),
            _ => std::env::var(name).ok(),
        })?;
        let config = match file {
            Some(file) => config.with_operator(&file)?,
            None => config,
        };
        stackgw_gateway::run(config)
    }
}
