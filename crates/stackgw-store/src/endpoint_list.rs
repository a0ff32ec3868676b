//! The cached endpoint list: one file, which is replaced as a whole. A file that is damaged is
//! quarantined; a file of another list service is not used.

use crate::error::StoreError;
use crate::quarantine::{quarantine_file, unix_ms};
use crate::worker::Worker;
use serde::{Deserialize, Serialize};
use stackgw_bootstrap::{CachedEndpoints, EndpointUpdate};
use stackgw_router::api::{Time, MS};
use std::io::{ErrorKind, Write};
use std::path::Path;
use std::sync::mpsc::Receiver;

/// The version of the file's format.
const FORMAT_VERSION: u32 = 1;
/// Larger files are rejected without being read.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// The first line of the file. The second line is the list.
#[derive(Serialize, Deserialize)]
struct Header {
    version: u32,
    /// Name of the list service.
    service: String,
    /// When the service last confirmed the list, in Unix milliseconds.
    #[serde(rename = "said_ms")]
    confirmed_at_ms: i64,
    /// Requests per second that a warm member answered for this instance.
    #[serde(rename = "rate", default)]
    warm_throughput: f64,
    /// BLAKE3 of the second line, in hexadecimal digits.
    #[serde(rename = "sum")]
    checksum: String,
}

/// Reads the cached list of this list service. Returns `None` if there is no file, or if it belongs
/// to another service.
///
/// # Errors
/// If the file cannot be read, is not a regular file, is larger than 16 MiB, has another format
/// version or is damaged. In the last two cases the file has been quarantined, unless renaming it
/// failed.
pub fn read(path: &Path, service: &str) -> Result<Option<CachedEndpoints>, StoreError> {
    let io_error = |source| StoreError::ListIo {
        path: path.to_owned(),
        source,
    };
    let metadata = match std::fs::metadata(path) {
        Ok(metadata) => metadata,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(io_error(error)),
    };
    if !metadata.is_file() || metadata.len() > MAX_FILE_BYTES {
        return Err(StoreError::ListNotRegularOrTooLarge {
            path: path.to_owned(),
        });
    }
    let bytes = std::fs::read(path).map_err(io_error)?;
    let Some((header, list)) = parse(&bytes) else {
        let moved_to = quarantine_file(path).map_err(io_error)?;
        return Err(StoreError::ListDamaged {
            path: path.to_owned(),
            moved_to,
        });
    };
    Ok((header.service == service).then(|| cached_endpoints(&header, list)))
}

fn parse(bytes: &[u8]) -> Option<(Header, EndpointUpdate)> {
    let (header, list) = bytes.split_at(bytes.iter().position(|byte| *byte == b'\n')?);
    let list = list.strip_prefix(b"\n")?.strip_suffix(b"\n")?;
    let header: Header = serde_json::from_slice(header).ok()?;
    if header.version != FORMAT_VERSION || header.checksum != checksum(list) {
        return None;
    }
    let list: EndpointUpdate = serde_json::from_slice(list).ok()?;
    list.complete.then_some((header, list))
}

fn cached_endpoints(header: &Header, list: EndpointUpdate) -> CachedEndpoints {
    // If the clock was set back after the file was written, the time would lie in the future.
    let now_ms = i64::try_from(unix_ms()).unwrap_or(i64::MAX);
    let confirmed_at_ms = header.confirmed_at_ms.clamp(0, now_ms);
    let confirmed_at: Time = confirmed_at_ms.saturating_mul(MS);
    CachedEndpoints {
        list,
        confirmed_at,
        warm_throughput: header.warm_throughput,
    }
}

fn checksum(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

/// Writes a temporary file and renames it, so that a reader finds either the old or the new list.
fn write(path: &Path, service: &str, cached: &CachedEndpoints) -> std::io::Result<()> {
    let list = serde_json::to_vec(&cached.list)?;
    let header = Header {
        version: FORMAT_VERSION,
        service: service.to_owned(),
        confirmed_at_ms: cached.confirmed_at / MS,
        warm_throughput: cached.warm_throughput,
        checksum: checksum(&list),
    };
    let temporary = path.with_extension("new");
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(&serde_json::to_vec(&header)?)?;
    file.write_all(b"\n")?;
    file.write_all(&list)?;
    file.write_all(b"\n")?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)
}

/// A thread that writes the newest list. Lists that are superseded while it writes are skipped.
/// Dropping the writer waits until the newest list is written.
#[derive(Debug)]
pub struct EndpointListWriter(Worker<CachedEndpoints>);

impl EndpointListWriter {
    /// Starts the thread. It calls `on_error` for the first of consecutive failures.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start(
        path: &Path,
        service: &str,
        on_error: impl Fn(StoreError) + Send + 'static,
    ) -> Result<Self, StoreError> {
        let (path, service) = (path.to_owned(), service.to_owned());
        let run = move |queue| run(&path, &service, &queue, &on_error);
        Worker::start("list", "start.list", run).map(EndpointListWriter)
    }

    /// Queues a list; it replaces lists that are queued and not written yet.
    pub fn put(&self, cached: CachedEndpoints) {
        self.0.put(cached);
    }
}

fn run(
    path: &Path,
    service: &str,
    queue: &Receiver<CachedEndpoints>,
    on_error: &impl Fn(StoreError),
) {
    let mut is_failing = false;
    while let Ok(first) = queue.recv() {
        let newest = queue.try_iter().last().unwrap_or(first);
        match write(path, service, &newest) {
            Ok(()) => is_failing = false,
            Err(source) => {
                if !is_failing {
                    on_error(StoreError::ListNotWritten {
                        path: path.to_owned(),
                        source,
                    });
                }
                is_failing = true;
            }
        }
    }
}
