//! A thread that commits records in batches: all that arrive during one commit go into the next
//! one.

use crate::durable_store::DurableStore;
use crate::error::StoreError;
use crate::worker::Worker;

use stackgw_sessions::Record;
use std::sync::mpsc::Receiver;

/// Maximum number of records in one commit.
const MAX_BATCH: usize = 4_096;

/// What became of records.
#[derive(Debug)]
pub enum CommitOutcome {
    /// So many records in all are durable.
    Stored(u64),
    /// The store takes no more.
    Failed {
        /// Why.
        error: StoreError,
        /// What was there has been quarantined: no later incarnation reads it. `false`: it could
        /// not be.
        quarantined: bool,
    },
}

/// Queues records for the thread that commits them; `stackgw-sessions` bounds what it lets wait.
/// Dropping the writer commits what is queued.
#[derive(Debug)]
pub struct RecordWriter(Worker<Record>);

impl RecordWriter {
    /// Starts the thread. It calls `on_outcome` after each commit, and ends with the first one that
    /// fails.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(
        store: impl DurableStore + 'static,
        on_outcome: impl Fn(CommitOutcome) + Send + 'static,
    ) -> Result<Self, StoreError> {
        Worker::start("store", "store", move |queue| {
            run(store, &queue, &on_outcome)
        })
        .map(RecordWriter)
    }

    /// Queues a record. After a commit that failed it is dropped.
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
