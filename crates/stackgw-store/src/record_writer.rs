//! A thread that commits records in batches: the records that arrive during a commit form the next
//! batch.

use crate::durable_store::DurableStore;
use crate::error::StoreError;
use crate::worker::Worker;

use stackgw_sessions::Record;
use std::sync::mpsc::Receiver;

/// Maximum number of records in one commit.
const MAX_BATCH: usize = 4_096;

/// The outcome of a commit.
#[derive(Debug)]
pub enum CommitOutcome {
    /// The commit succeeded. The value is the total number of records that this writer has made
    /// durable.
    Stored(u64),
    /// The commit failed, and the store accepts no more records.
    Failed {
        /// Why the commit failed.
        error: StoreError,
        /// Whether the store has been quarantined, so that no later incarnation reads it.
        quarantined: bool,
    },
}

/// Queues records for the thread that commits them. The queue is unbounded; `stackgw-sessions`
/// limits the number of waiting records. Dropping the writer commits the queued records.
#[derive(Debug)]
pub struct RecordWriter(Worker<Record>);

impl RecordWriter {
    /// Starts the thread. It calls `on_outcome` after each commit, and ends after the first commit
    /// that fails.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start(
        store: impl DurableStore + 'static,
        on_outcome: impl Fn(CommitOutcome) + Send + 'static,
    ) -> Result<Self, StoreError> {
        Worker::start("store", "store", move |queue| {
            run(store, &queue, &on_outcome)
        })
        .map(RecordWriter)
    }

    /// Queues a record. After a failed commit, records are dropped.
    pub fn put(&self, record: Record) {
        self.0.put(record);
    }
}

fn run(
    mut store: impl DurableStore,
    queue: &Receiver<Record>,
    on_outcome: &impl Fn(CommitOutcome),
) {
    let mut stored = 0;
    while let Ok(first) = queue.recv() {
        let mut batch = vec![first];
        batch.extend(queue.try_iter().take(MAX_BATCH - 1));
        if let Err(error) = store.commit(&batch) {
            let quarantined = store.quarantine().is_ok();
            return on_outcome(CommitOutcome::Failed { error, quarantined });
        }
        stored += batch.len() as u64;
        on_outcome(CommitOutcome::Stored(stored));
    }
}
