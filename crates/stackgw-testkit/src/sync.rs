//! Locking for threads that may panic while they hold a lock.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex, ignoring poisoning: no panic in this package leaves data half-changed, and a failed test still has to stop
/// its gateways.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
