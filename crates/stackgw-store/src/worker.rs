//! A thread with a line before it.

use crate::StoreError;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;

/// What is put in line is for the thread; the line is as long as its sender lets it grow.
#[derive(Debug)]
pub(crate) struct Worker<T> {
    line: Option<Sender<T>>,
    thread: Option<JoinHandle<()>>,
}

impl<T: Send + 'static> Worker<T> {
    /// Starts a thread of this name that takes from the line until that is over.
    pub(crate) fn start(
        name: &str,
        run: impl FnOnce(Receiver<T>) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (line, taken) = channel();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(taken))?;
        Ok(Worker {
            line: Some(line),
            thread: Some(thread),
        })
    }

    /// Adds to the line. Where the thread has ended it goes nowhere.
    pub(crate) fn put(&self, what: T) {
        if let Some(line) = &self.line {
            let _ = line.send(what);
        }
    }
}

impl<T> Worker<T> {
    /// What no thread was to be had for.
    pub(crate) fn failed(field: &str, e: &std::io::Error) -> StoreError {
        StoreError(format!("{field}: no thread: {e}"))
    }
}

impl<T> Drop for Worker<T> {
    /// What is in line is seen to first.
    fn drop(&mut self) {
        drop(self.line.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
