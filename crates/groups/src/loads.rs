//! Rate and concurrency limits for loads from the weight store.

use fleet::Engine;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The sliding window over which the starts of loads are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Limits how many loads start within [`WINDOW`] and how many run at once.
#[derive(Debug, Default)]
pub(crate) struct LoadLimiter {
    starts: VecDeque<Instant>,
}

impl LoadLimiter {
    /// The number of loads that may start now, given that `running` are in progress.
    pub(crate) fn available(&mut self, engine: &Engine, running: usize, now: Instant) -> usize {
        self.starts.retain(|start| now.saturating_duration_since(*start) < WINDOW);
        let per_window = (engine.loads_per_s * WINDOW.as_secs_f64()) as usize;
        let at_once = engine.loads_at_once as usize;
        per_window.saturating_sub(self.starts.len()).min(at_once.saturating_sub(running))
    }

    /// Records a load that starts now.
    pub(crate) fn record_start(&mut self, now: Instant) {
        self.starts.push_back(now);
    }
}
