//! Locking for threads that may panic while they hold a lock.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, also after another thread has panicked with the lock in its hands: no data in this package is left half-changed by
/// that, and a failed test still has to stop its gateways.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
