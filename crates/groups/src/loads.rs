//! Keeps loads from the weight store within its limits.

use fleet::Engine;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The span over which starts of loads are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Counts loads that started lately.
#[derive(Debug, Default)]
pub(crate) struct LoadGate {
    starts: VecDeque<Instant>,
}

impl LoadGate {
    /// How many loads may start now, with `running` under way.
    pub(crate) fn room(&mut self, engine: &Engine, running: usize, now: Instant) -> usize {
        self.starts.retain(|start| now.saturating_duration_since(*start) < WINDOW);
        let per_window = (engine.loads_per_s * WINDOW.as_secs_f64()) as usize;
        let at_once = engine.loads_at_once as usize;
        per_window.saturating_sub(self.starts.len()).min(at_once.saturating_sub(running))
    }

    /// Notes a load that starts now.
    pub(crate) fn note(&mut self, now: Instant) {
        self.starts.push_back(now);
    }
}
