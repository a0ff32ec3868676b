//! A worker thread with a queue.

use crate::error::StoreError;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;

/// A thread and its queue. The queue is unbounded; its senders limit how much they add. Dropping
/// the worker waits until the queue has been processed.
#[derive(Debug)]
pub(crate) struct Worker<T> {
    queue: Option<Sender<T>>,
    thread: Option<JoinHandle<()>>,
}

impl<T: Send + 'static> Worker<T> {
    /// Starts a thread with this name, which receives from the queue until it is closed. `field` is
    /// the operator's field that requires the thread.
    pub(crate) fn start(
        name: &str,
        field: &'static str,
        run: impl FnOnce(Receiver<T>) + Send + 'static,
    ) -> Result<Self, StoreError> {
        let (queue, work) = channel();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(work));
        let thread = thread.map_err(|source| StoreError::Thread { field, source })?;
        Ok(Worker {
            queue: Some(queue),
            thread: Some(thread),
        })
    }

    /// Adds to the queue. If the thread has ended, the work is dropped.
    pub(crate) fn put(&self, work: T) {
        if let Some(queue) = &self.queue {
            let _ = queue.send(work);
        }
    }
}

impl<T> Drop for Worker<T> {
    fn drop(&mut self) {
        drop(self.queue.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
