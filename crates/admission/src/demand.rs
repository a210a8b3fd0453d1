//! Measures how much work callers ask for.

use model::ids::ModelId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The time constant of the average.
const AVERAGE_OVER: Duration = Duration::from_secs(4);

/// The work asked for by model, averaged with exponentially falling weight.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    rates: BTreeMap<ModelId, f64>,
    at: Option<Instant>,
}

impl Demand {
    /// Adds a request that takes `group_seconds` of a full group.
    pub(crate) fn add(&mut self, model: &ModelId, group_seconds: f64, now: Instant) {
        self.decay(now);
        *self.rates.entry(model.clone()).or_default() += group_seconds / AVERAGE_OVER.as_secs_f64();
    }

    /// The groups that the work of each model would fill.
    pub(crate) fn rates(&mut self, now: Instant) -> Vec<(ModelId, f64)> {
        self.decay(now);
        self.rates.iter().map(|(model, rate)| (model.clone(), *rate)).collect()
    }

    fn decay(&mut self, now: Instant) {
        let passed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.at = Some(now);
        let factor = (-passed.as_secs_f64() / AVERAGE_OVER.as_secs_f64()).exp();
        for rate in self.rates.values_mut() {
            *rate *= factor;
        }
    }
}
