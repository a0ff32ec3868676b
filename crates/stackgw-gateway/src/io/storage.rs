//! What the gateway keeps on a disk, where the operator's file asks for that: records of sessions, and the endpoint list.

use super::driver::Driver;
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

/// The store of sessions' records, open.
pub(super) struct SessionStore {
    pub(super) incarnation: Incarnation,
    pub(super) writer: RecordWriter,
    /// What became of the records.
    pub(super) results: Receiver<CommitOutcome>,
}

/// Opens the store of sessions' records, if the operator's file names one.
///
/// A store that another process has, or that can neither be used nor set aside, is an error: a later incarnation would take it
/// for complete.
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
        info!(log, "{reason}; starting cautiously");
    }
    let incarnation = Incarnation {
        number: opened.incarnation,
        recovered: Some(opened.recovered),
    };
    let (sender, results) = async_channel::unbounded();
    let writer = RecordWriter::start(opened.store, move |done| drop(sender.send_blocking(done)))?;
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

/// Hands over what became of records.
pub(super) async fn run(driver: Rc<Driver>, results: Receiver<CommitOutcome>) {
    while let Ok(done) = results.recv().await {
        driver.handle_input(Input::StoreEvent(done));
    }
}

/// The endpoint list as the disk has it, and what keeps it from now on.
#[derive(Default)]
pub(super) struct EndpointListStore {
    pub(super) cached: Option<CachedEndpoints>,
    pub(super) writer: Option<EndpointListWriter>,
}

/// Opens the file of the endpoint list, if the operator's file names one. What cannot be read is logged, and costs a start no
/// more than that.
pub(super) fn open_endpoint_list(
    bootstrap: &stackgw_config::Bootstrap,
    log: &Logger,
) -> EndpointListStore {
    let Some(path) = &bootstrap.list else {
        return EndpointListStore::default();
    };
    let cached = read_endpoint_list(path, &bootstrap.service, log);
    let writer_log = log.clone();
    let log_failure = move |failed: StoreError| info!(writer_log, "{failed}");
    match EndpointListWriter::start(path, &bootstrap.service, log_failure) {
        Ok(writer) => EndpointListStore {
            cached,
            writer: Some(writer),
        },
        Err(failed) => {
            info!(log, "{failed}");
            EndpointListStore::default()
        }
    }
}

fn read_endpoint_list(path: &Path, service: &str, log: &Logger) -> Option<CachedEndpoints> {
    stackgw_store::read_endpoint_list(path, service).unwrap_or_else(|failed| {
        info!(log, "{failed}; starting without it");
        None
    })
}
