//! The data that the gateway stores on disk if the operator's file configures it: session records and the endpoint list.

use super::driver::Driver;
use super::turn::Turn;
use crate::config::{Config, SessionSharingConfig};
use crate::reducer::{Incarnation, Input};
use async_channel::Receiver;
use slog::{info, Logger};
use stackgw_bootstrap::CachedEndpoints;
use stackgw_sessions::NodeId;
use stackgw_store::{
    CommitOutcome, EndpointListWriter, RecordWriter, StoreError, StoreFile, StoreOwner,
};
use std::path::Path;
use std::rc::Rc;

/// The open store of session records.
pub(super) struct SessionStore {
    pub(super) incarnation: Incarnation,
    pub(super) writer: RecordWriter,
    /// The outcomes of the commits of records.
    pub(super) results: Receiver<CommitOutcome>,
}

/// Opens the store of session records, if the operator's file names one.
///
/// A store that another process uses, or that can neither be used nor moved aside, is an error: otherwise a later incarnation
/// would treat it as complete, although it lacks the records of this one.
pub(super) fn open_session_store(
    config: &Config,
    log: &Logger,
) -> Result<Option<SessionStore>, StoreError> {
    let Some(session_sharing) = &config.session_sharing else {
        return Ok(None);
    };
    let Some(path) = &session_sharing.options.store else {
        return Ok(None);
    };
    let opened = StoreFile::open(path, &owner(config, session_sharing))?;
    if let Some(reason) = opened.quarantined {
        info!(log, "{reason}; starting with an empty session store");
    }
    let incarnation = Incarnation {
        number: opened.incarnation,
        recovered: Some(opened.recovered),
    };
    let (sender, results) = async_channel::unbounded();
    let writer = RecordWriter::start(opened.store, move |outcome| {
        drop(sender.send_blocking(outcome))
    })?;
    Ok(Some(SessionStore {
        incarnation,
        writer,
        results,
    }))
}

fn owner(config: &Config, session_sharing: &SessionSharingConfig) -> StoreOwner {
    StoreOwner {
        cluster: session_sharing.options.cluster.clone(),
        node: NodeId::of(&config.name),
        retention_ms: session_sharing.options.horizon.as_millis(),
    }
}

/// Passes the outcomes of commits to the reducer.
pub(super) async fn run(driver: Rc<Driver>, results: Receiver<CommitOutcome>) {
    let mut turn = Turn::default();
    while let Ok(outcome) = results.recv().await {
        driver.handle_input(Input::StoreEvent(outcome));
        turn.finish_step().await;
    }
}

/// The endpoint list read from disk, and the writer of later lists.
#[derive(Default)]
pub(super) struct EndpointListStore {
    pub(super) cached: Option<CachedEndpoints>,
    pub(super) writer: Option<EndpointListWriter>,
}

/// Opens the file of the endpoint list, if the operator's file names one. If it cannot be read or its writer cannot be started,
/// this is logged and the gateway still starts.
pub(super) fn open_endpoint_list(
    bootstrap: &stackgw_config::Bootstrap,
    log: &Logger,
) -> EndpointListStore {
    let Some(path) = &bootstrap.list else {
        return EndpointListStore::default();
    };
    let cached = read_endpoint_list(path, &bootstrap.service, log);
    let writer_log = log.clone();
    let log_failure = move |error: StoreError| info!(writer_log, "{error}");
    match EndpointListWriter::start(path, &bootstrap.service, log_failure) {
        Ok(writer) => EndpointListStore {
            cached,
            writer: Some(writer),
        },
        Err(error) => {
            info!(log, "{error}");
            EndpointListStore::default()
        }
    }
}

fn read_endpoint_list(path: &Path, service: &str, log: &Logger) -> Option<CachedEndpoints> {
    stackgw_store::read_endpoint_list(path, service).unwrap_or_else(|error| {
        info!(log, "{error}; starting without a stored endpoint list");
        None
    })
}
