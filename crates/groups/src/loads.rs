//! Keeps loads from the weight store within its limits.

use fleet::Engine;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The span over which starts of loads are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Counts loads that started, and those under way.
#[derive(Debug, Default)]
pub(crate) struct LoadGate {
    starts: VecDeque<(Instant, Instant)>,
}

impl LoadGate {
    /// How many loads may start now.
    pub(crate) fn room(&mut self, engine: &Engine, now: Instant) -> usize {
        let recent = |start: Instant| now.saturating_duration_since(start) < WINDOW;
        self.starts.retain(|(start, end)| recent(*start) || *end > now);
        let started = self.starts.iter().filter(|(start, _)| recent(*start)).count();
        let running = self.starts.iter().filter(|(_, end)| *end > now).count();
        let per_window = (engine.loads_per_s * WINDOW.as_secs_f64()) as usize;
        let at_once = engine.loads_at_once as usize;
        per_window.saturating_sub(started).min(at_once.saturating_sub(running))
    }

    /// Notes a load that starts now and takes `time`.
    pub(crate) fn note(&mut self, time: Duration, now: Instant) {
        self.starts.push_back((now, now + time));
    }
}
