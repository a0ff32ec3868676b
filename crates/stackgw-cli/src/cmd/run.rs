//! `stackgw run`, and `stackgw` alone.

use crate::error::CommandResult;
use clap::Args;
use stackgw_gateway::config::Config;
use stackgw_gateway::FrontendFactory;
#[cfg(feature = "flight")]
use stackgw_router::api::MS;
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
        let front = front(&config)?;
        stackgw_gateway::run_with_frontend(config, front)?;
        Ok(())
    }
}

/// The front beside the first protocol's, and the back, that the operator's file turns on.
#[cfg(feature = "flight")]
fn front(config: &Config) -> CommandResult<Option<FrontendFactory>> {
    let Some(flight) = config.operator.flight.clone() else {
        return Ok(None);
    };
    let (file, ring) = (flight.options, flight.keyring);
    let ms = |duration: stackgw_config::Duration| {
        i64::try_from(duration.as_millis()).unwrap_or(i64::MAX) * MS
    };
    let bulk = &file.bulk;
    let users = match &file.auth {
        None => None,
        Some(stackgw_config::Auth::Basic(users)) => {
            Some((stackgw_flight::AuthScheme::Basic, users))
        }
        Some(stackgw_config::Auth::Bearer(users)) => {
            Some((stackgw_flight::AuthScheme::Bearer, users))
        }
    };
    let users = users
        .map(|(way, users)| stackgw_flight::Users::read(way, users))
        .transpose()?;
    let settings = stackgw_flight::ServerConfig {
        listen: file.listen,
        ring,
        ticket_ms: file.ticket.as_millis(),
        wait_ms: file.wait.as_millis(),
        requests: file.requests,
        streams: file.streams,
        threads: file.threads,
        bulk: stackgw_flight::StreamLimits {
            streams: bulk.streams,
            each: bulk.each_kib << 10,
            all: bulk.all_kib << 10,
            stall: ms(bulk.stall),
            silence: ms(bulk.silence),
        },
        members: stackgw_flight::BackendConfig {
            connect_ms: u64::try_from(config.limits.connect_timeout / MS)
                .unwrap_or(1)
                .max(1),
            per_channel: bulk.per_channel,
            message_bytes: bulk.message_kib << 10,
            value_bytes: config.limits.answer_bytes,
            outcome_ms: file.wait.as_millis(),
        },
        groups: file.groups.clone(),
        slack_ms: u64::try_from(config.settings.router.obligations.answer_slack / MS).unwrap_or(0),
        users,
    };
    Ok(Some(Box::new(move |door, behind, log| {
        stackgw_flight::start(settings, door, behind, log)
            .map(|running| Box::new(running) as Box<dyn std::any::Any>)
            .map_err(Into::into)
    })))
}

/// A build without Flight SQL says so where it is asked for.
#[cfg(not(feature = "flight"))]
fn front(config: &Config) -> CommandResult<Option<FrontendFactory>> {
    match config.operator.flight {
        Some(_) => Err("flight: this build has no Arrow Flight SQL".into()),
        None => Ok(None),
    }
}
