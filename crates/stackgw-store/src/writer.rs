//! A thread that commits: all that has come while the last commit was written goes into the next one.

use crate::{Disk, Failed};
use stackgw_sessions::Record;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;

/// What became of records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Done {
    /// So many in all are on the disk.
    Stored(u64),
    /// The disk takes no more. What was there has been set aside, or (`void` is false) could not be.
    Failed {
        /// Why, in one line.
        why: Failed,
        /// A later life will not read it.
        void: bool,
    },
}

/// Records wait in line for the thread that commits them. The line is as long as its sender lets it grow: sessions bound what
/// waits for the disk.
#[derive(Debug)]
pub struct Writer {
    records: Option<Sender<Record>>,
    thread: Option<JoinHandle<()>>,
}

/// Records of one commit at most.
const BATCH: usize = 4_096;

impl Writer {
    /// Starts the thread; `done` is called on it.
    pub fn start(disk: impl Disk + 'static, done: impl Fn(Done) + Send + 'static) -> Result<Self, Failed> {
        let (records, line) = channel();
        let thread = std::thread::Builder::new().name("store".to_owned());
        let thread = thread.spawn(move || run(disk, &line, &done));
        let thread = thread.map_err(|e| Failed(format!("store: no thread: {e}")))?;
        Ok(Writer { records: Some(records), thread: Some(thread) })
    }

    /// Adds a record to the line. After a failure it goes nowhere.
    pub fn put(&self, record: Record) {
        if let Some(records) = &self.records {
            // The thread ends only after it has said that the disk failed.
            let _ = records.send(record);
        }
    }
}

impl Drop for Writer {
    /// What is in line is committed first.
    fn drop(&mut self) {
        drop(self.records.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(mut disk: impl Disk, line: &Receiver<Record>, done: &impl Fn(Done)) {
    let mut stored = 0;
    while let Ok(first) = line.recv() {
        let mut batch = vec![first];
        batch.extend(line.try_iter().take(BATCH - 1));
        if let Err(why) = disk.commit(&batch) {
            let void = disk.set_aside();
            return done(Done::Failed { why, void });
        }
        stored += batch.len() as u64;
        done(Done::Stored(stored));
    }
}
