//! The list of members on a disk: one file, replaced whole. A damaged one, or another service's, is not believed.

use crate::store_file::{free_name, unix_ms};
use crate::worker::Worker;
use crate::StoreError;
use serde::{Deserialize, Serialize};
use stackgw_bootstrap::{CachedEndpoints, EndpointUpdate};
use stackgw_router::api::{Time, MS};
use std::io::Write;
use std::path::Path;
use std::sync::mpsc::Receiver;

/// The form of the file.
const VERSION: u32 = 1;
/// It is smaller than this.
const FILE_MOST: u64 = 16 << 20;

/// The file's first line; the list follows on the second.
#[derive(Serialize, Deserialize)]
struct Head {
    version: u32,
    /// The list service's name.
    service: String,
    /// When the service last vouched for it, in Unix milliseconds.
    said_ms: i64,
    /// Requests a second that a warm member answered this instance.
    #[serde(default)]
    rate: f64,
    /// BLAKE3 over the second line.
    sum: String,
}

/// What a file kept of this service's list; `None`: there is none, or another service's. One that is damaged is set aside.
pub fn read(path: &Path, service: &str) -> Result<Option<CachedEndpoints>, StoreError> {
    let wrong =
        |why: &dyn std::fmt::Display| StoreError(format!("start.list: {}: {why}", path.display()));
    let about = match std::fs::metadata(path) {
        Ok(about) => about,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(wrong(&e)),
    };
    if !about.is_file() || about.len() > FILE_MOST {
        return Err(wrong(&"no plain file, or too large a one"));
    }
    let text = std::fs::read(path).map_err(|e| wrong(&e))?;
    match parse(&text) {
        Some((head, list)) if head.service == service => {
            // A clock may have been set back since.
            let said = head
                .said_ms
                .clamp(0, i64::try_from(unix_ms()).unwrap_or(i64::MAX));
            Ok(Some(CachedEndpoints {
                list,
                confirmed_at: said.saturating_mul(MS) as Time,
                warm_throughput: head.rate,
            }))
        }
        Some(_) => Ok(None),
        None => {
            let aside = free_name(path);
            std::fs::rename(path, &aside).map_err(|e| wrong(&e))?;
            Err(wrong(&format!(
                "is damaged; set aside as {}",
                aside.display()
            )))
        }
    }
}

fn parse(text: &[u8]) -> Option<(Head, EndpointUpdate)> {
    let (head, list) = text.split_at(text.iter().position(|b| *b == b'\n')?);
    let list = list.strip_prefix(b"\n")?.strip_suffix(b"\n")?;
    let head: Head = serde_json::from_slice(head).ok()?;
    let whole = head.version == VERSION && head.sum == blake3::hash(list).to_hex().as_str();
    let list: EndpointUpdate = serde_json::from_slice(list).ok().filter(|_| whole)?;
    list.complete.then_some((head, list))
}

/// Writes the file beside its place and moves it there, so that a start finds the old one or the new one.
fn write(path: &Path, service: &str, kept: &CachedEndpoints) -> std::io::Result<()> {
    let list = serde_json::to_vec(&kept.list)?;
    let sum = blake3::hash(&list).to_hex().to_string();
    let head = Head {
        version: VERSION,
        service: service.to_owned(),
        said_ms: kept.confirmed_at / MS,
        rate: kept.warm_throughput,
        sum,
    };
    let beside = path.with_extension("new");
    let mut file = std::fs::File::create(&beside)?;
    file.write_all(&serde_json::to_vec(&head)?)?;
    file.write_all(b"\n")?;
    file.write_all(&list)?;
    file.write_all(b"\n")?;
    file.sync_all()?;
    std::fs::rename(&beside, path)
}

/// A thread that keeps the newest list; what came while it wrote and is no longer the newest is passed over. Dropped, it writes
/// the newest first.
#[derive(Debug)]
pub struct EndpointListWriter(Worker<CachedEndpoints>);

impl EndpointListWriter {
    /// Starts the thread; `said` is told, on it, of the first failure in a row.
    pub fn start(
        path: &Path,
        service: &str,
        said: impl Fn(StoreError) + Send + 'static,
    ) -> Result<Self, StoreError> {
        let (path, service) = (path.to_owned(), service.to_owned());
        let worker = Worker::start("list", move |line| run(&path, &service, &line, &said));
        worker
            .map(EndpointListWriter)
            .map_err(|e| Worker::<CachedEndpoints>::failed("start.list", &e))
    }

    /// Keeps this one from now on.
    pub fn put(&self, kept: CachedEndpoints) {
        self.0.put(kept);
    }
}

fn run(path: &Path, service: &str, line: &Receiver<CachedEndpoints>, said: &impl Fn(StoreError)) {
    let mut failing = false;
    while let Ok(first) = line.recv() {
        let newest = line.try_iter().last().unwrap_or(first);
        let done = write(path, service, &newest);
        if let (Err(e), false) = (&done, failing) {
            said(StoreError(format!(
                "start.list: {}: {e}; the list is not kept",
                path.display()
            )));
        }
        failing = done.is_err();
    }
}
