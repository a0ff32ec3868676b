//! Builds the Flight SQL server and back end settings from the operator's file.

use crate::error::CommandResult;
use stackgw_config::Auth;
use stackgw_flight::{AuthScheme, BackendConfig, ServerConfig, StreamLimits, Users};
use stackgw_gateway::config::Config;
use stackgw_gateway::FrontendFactory;
use stackgw_router::api::{Span, MS};
use std::any::Any;

const KIB_BITS: u32 = 10;

/// The factory of the Flight SQL server; `None` if the operator's file doesn't enable it.
///
/// # Errors
/// If the users file can't be read or is invalid.
pub fn flight_frontend(config: &Config) -> CommandResult<Option<FrontendFactory>> {
    let Some(flight) = config.operator.flight.clone() else {
        return Ok(None);
    };
    let (options, key_ring) = (flight.options, flight.keyring);
    let bulk = &options.bulk;
    let users = match &options.auth {
        None => None,
        Some(Auth::Basic(users)) => Some(Users::read(AuthScheme::Basic, users)?),
        Some(Auth::Bearer(users)) => Some(Users::read(AuthScheme::Bearer, users)?),
    };
    let limits = &config.limits;
    let settings = ServerConfig {
        listen: options.listen,
        key_ring,
        ticket_lifetime_ms: options.ticket.as_millis(),
        request_timeout_ms: options.wait.as_millis(),
        max_requests: options.requests,
        max_streams_per_connection: options.streams,
        worker_threads: options.threads,
        stream_limits: StreamLimits {
            max_streams: bulk.streams,
            bytes_per_stream: bulk.each_kib << KIB_BITS,
            bytes_total: bulk.all_kib << KIB_BITS,
            reader_timeout: span(bulk.stall),
            member_timeout: span(bulk.silence),
        },
        backend: BackendConfig {
            connect_timeout_ms: whole_ms(limits.connect_timeout).max(1),
            requests_per_channel: bulk.per_channel,
            max_message_bytes: bulk.message_kib << KIB_BITS,
            max_value_bytes: limits.answer_bytes,
            write_outcome_timeout_ms: options.wait.as_millis(),
        },
        flight_groups: options.groups.clone(),
        answer_slack_ms: whole_ms(config.settings.router.obligations.answer_slack),
        users,
    };
    Ok(Some(Box::new(move |requests, backend, log| {
        stackgw_flight::start(settings, requests, backend, log)
            .map(|server| Box::new(server) as Box<dyn Any>)
            .map_err(Into::into)
    })))
}

/// Converts a duration of the operator's file to the router's time span.
fn span(duration: stackgw_config::Duration) -> Span {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX) * MS
}

/// A span in whole milliseconds; 0 if it is negative.
fn whole_ms(span: Span) -> u64 {
    u64::try_from(span / MS).unwrap_or(0)
}
