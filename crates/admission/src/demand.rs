//! Measures how much callers ask for.

use model::ids::ModelId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The time over which the work asked for is averaged: a few cold starts of a group, as
/// groups are formed by it.
const WORK_OVER: Duration = Duration::from_secs(4);
/// The time over which requests are averaged: callers move to another entry within a second.
const ASKED_OVER: Duration = Duration::from_millis(600);

/// A rate a second, averaged with exponentially falling weight.
#[derive(Debug)]
struct Rate {
    /// The time constant of the average.
    over: Duration,
    value: f64,
    at: Option<Instant>,
}

impl Rate {
    fn new(over: Duration) -> Rate {
        Rate { over, value: 0.0, at: None }
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.get(now) + amount / self.over.as_secs_f64();
        self.at = Some(now);
    }

    fn get(&self, now: Instant) -> f64 {
        let passed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.value * (-passed.as_secs_f64() / self.over.as_secs_f64()).exp()
    }
}

/// What callers asked for lately, refused requests included.
#[derive(Debug)]
pub(crate) struct Demand {
    work: BTreeMap<ModelId, Rate>,
    asked: Rate,
}

impl Default for Demand {
    fn default() -> Demand {
        Demand { work: BTreeMap::new(), asked: Rate::new(ASKED_OVER) }
    }
}

impl Demand {
    /// Counts a request.
    pub(crate) fn add_request(&mut self, now: Instant) {
        self.asked.add(1.0, now);
    }

    /// Adds the work of a request, which takes `group_seconds` of a full group.
    pub(crate) fn add_work(&mut self, model: &ModelId, group_seconds: f64, now: Instant) {
        let rate = self.work.entry(model.clone()).or_insert_with(|| Rate::new(WORK_OVER));
        rate.add(group_seconds, now);
    }

    /// Requests a second.
    pub(crate) fn asked(&self, now: Instant) -> f64 {
        self.asked.get(now)
    }

    /// The groups that the work of each model would fill.
    pub(crate) fn work(&self, now: Instant) -> Vec<(ModelId, f64)> {
        self.work.iter().map(|(model, rate)| (model.clone(), rate.get(now))).collect()
    }
}
