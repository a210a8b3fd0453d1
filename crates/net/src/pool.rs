//! The worker thread pool that runs all tasks of a process.

use async_executor::Executor;
use std::{future::pending, io, thread};

/// The executor shared by all worker threads.
pub type Pool = &'static Executor<'static>;

/// Starts `workers` threads, at least one, which run until the process exits.
///
/// # Errors
///
/// Fails if a thread can't be started.
pub fn start_pool(workers: usize) -> io::Result<Pool> {
    let pool: Pool = Box::leak(Box::new(Executor::new()));
    for number in 0..workers.max(1) {
        thread::Builder::new()
            .name(format!("worker-{number}"))
            .spawn(move || async_io::block_on(pool.run(pending::<()>())))?;
    }
    Ok(pool)
}
