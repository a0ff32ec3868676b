//! A thread that commits: all that has come while the last commit was written goes into the next one.

use crate::worker::Worker;
use crate::{Disk, StoreError};
use stackgw_sessions::Record;
use std::sync::mpsc::Receiver;

/// What became of records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// So many in all are on the disk.
    Stored(u64),
    /// The disk takes no more. What was there has been set aside, or (`quarantined` is false) could not be.
    Failed {
        /// Why, in one line.
        error: StoreError,
        /// A later life will not read it.
        quarantined: bool,
    },
}

/// Records wait in line for the thread that commits them; sessions bound what waits for the disk. Dropped, it commits what is
/// in line first.
#[derive(Debug)]
pub struct RecordWriter(Worker<Record>);

/// Records of one commit at most.
const BATCH: usize = 4_096;

impl RecordWriter {
    /// Starts the thread; `done` is called on it.
    pub fn start(
        disk: impl Disk + 'static,
        done: impl Fn(CommitOutcome) + Send + 'static,
    ) -> Result<Self, StoreError> {
        let worker = Worker::start("store", move |line| run(disk, &line, &done));
        worker
            .map(RecordWriter)
            .map_err(|e| Worker::<Record>::failed("store", &e))
    }

    /// Adds a record to the line. After a failure it goes nowhere: the thread ends only after it has said that the disk failed.
    pub fn put(&self, record: Record) {
        self.0.put(record);
    }
}

fn run(mut disk: impl Disk, line: &Receiver<Record>, done: &impl Fn(CommitOutcome)) {
    let mut stored = 0;
    while let Ok(first) = line.recv() {
        let mut batch = vec![first];
        batch.extend(line.try_iter().take(BATCH - 1));
        if let Err(why) = disk.commit(&batch) {
            let void = disk.set_aside();
            return done(CommitOutcome::Failed {
                error: why,
                quarantined: void,
            });
        }
        stored += batch.len() as u64;
        done(CommitOutcome::Stored(stored));
    }
}
