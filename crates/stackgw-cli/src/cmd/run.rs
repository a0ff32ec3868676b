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
        let fronts = fronts(&config)?;
        stackgw_gateway::run_with(config, fronts)
    }
}

/// The fronts beside the first protocol's that the operator's file turns on.
#[cfg(feature = "flight")]
fn fronts(config: &Config) -> Result<Vec<stackgw_gateway::Front>, String> {
    let Some((file, ring)) = config.operator.flight.clone() else { return Ok(Vec::new()) };
    let settings = stackgw_flight::Settings {
        listen: file.listen,
        ring,
        ticket_ms: file.ticket.as_millis(),
        wait_ms: file.wait.as_millis(),
        requests: file.requests,
        streams: file.streams,
    };
    Ok(vec![Box::new(move |door, log| {
        stackgw_flight::start(settings, door, log).map(|running| Box::new(running) as Box<dyn std::any::Any>)
    })])
}

/// A build without Flight SQL says so where it is asked for.
#[cfg(not(feature = "flight"))]
fn fronts(config: &Config) -> Result<Vec<stackgw_gateway::Front>, String> {
    match config.operator.flight {
        Some(_) => Err("flight: this build has no Arrow Flight SQL".to_owned()),
        None => Ok(Vec::new()),
    }
}
