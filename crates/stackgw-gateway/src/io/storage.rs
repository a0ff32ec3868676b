//! The operator's cluster: its start, and the disk's word.

use super::Shell;
use crate::config::Config;
use crate::reducer::{Incarnation, Input};
use async_channel::Receiver;
use async_io::Async;
use slog::{info, Logger};
use stackgw_sessions::NodeId;
use stackgw_store::{CommitOutcome, EndpointListWriter, RecordWriter, StoreFile, StoreOwner};
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// What turns sessions across instances on.
pub(super) struct Start {
    pub(super) socket: Rc<Async<UdpSocket>>,
    pub(super) life: Incarnation,
    pub(super) writer: Option<RecordWriter>,
    pub(super) disk: Option<Receiver<CommitOutcome>>,
}

/// Binds the socket and opens the store, if the operator's file asks for them. A store that another process has, or that can
/// neither be used nor set aside, ends the start: a later life would take it for whole.
pub(super) fn start(config: &Config, log: &Logger) -> Result<Option<Start>, String> {
    let Some(cluster) = &config.cluster else {
        return Ok(None);
    };
    let at = cluster.options.listen;
    let field = if config.session_sharing.is_some() {
        "sessions.listen"
    } else {
        "cluster.listen"
    };
    let socket = Async::<UdpSocket>::bind(at).map_err(|e| format!("{field}: {at}: {e}"))?;
    let socket = Rc::new(socket);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let mut life = Incarnation {
        number: u64::try_from(now).unwrap_or(u64::MAX),
        recovered: None,
    };
    let (mut writer, mut disk) = (None, None);
    let file = config
        .session_sharing
        .as_ref()
        .map(|session_sharing| &session_sharing.options);
    if let Some((file, path)) = file.and_then(|file| Some((file, file.store.as_ref()?))) {
        let node = NodeId::of(&config.name);
        let owner = StoreOwner {
            cluster: file.cluster.clone(),
            node,
            retention_ms: file.horizon.as_millis(),
        };
        let opened = StoreFile::open(path, &owner).map_err(|failed| failed.to_string())?;
        if let Some(said) = opened.quarantined {
            info!(log, "{said}; starting cautiously");
        }
        life = Incarnation {
            number: opened.incarnation,
            recovered: Some(opened.recovered),
        };
        let (told, word) = async_channel::unbounded();
        let done = move |done| drop(told.send_blocking(done));
        writer =
            Some(RecordWriter::start(opened.store, done).map_err(|failed| failed.to_string())?);
        disk = Some(word);
    }
    Ok(Some(Start {
        socket,
        life,
        writer,
        disk,
    }))
}

/// The list as the disk kept it, and what keeps it from now on, if the operator's file names a place. What cannot be read is
/// said, and costs a start no more than that.
pub(super) fn kept(
    start: &stackgw_config::Bootstrap,
    log: &Logger,
) -> Option<(
    Option<stackgw_bootstrap::CachedEndpoints>,
    EndpointListWriter,
)> {
    let path = start.list.as_ref()?;
    let kept = stackgw_store::read_endpoint_list(path, &start.service).unwrap_or_else(|failed| {
        info!(log, "{failed}; starting without it");
        None
    });
    let told = log.clone();
    let said = move |failed: stackgw_store::StoreError| info!(told, "{failed}");
    match EndpointListWriter::start(path, &start.service, said) {
        Ok(writer) => Some((kept, writer)),
        Err(failed) => {
            info!(log, "{failed}");
            None
        }
    }
}

/// Hands over the disk's word.
pub(super) async fn disk(shell: Rc<Shell>, word: Receiver<CommitOutcome>) {
    while let Ok(done) = word.recv().await {
        shell.input(Input::StoreEvent(done));
    }
}
