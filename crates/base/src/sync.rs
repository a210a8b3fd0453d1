//! Mutex helpers.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning. If a thread panicked while holding the lock, the data stay
/// as it left them; critical invariants are asserted where they are modified.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
