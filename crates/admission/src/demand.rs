//! Measures the demand of callers: the rate of requests, and the work that they ask for.

use model::ids::ModelId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time constant of the average work. Groups are formed according to this average, so it spans
/// several cold starts of a group.
const WORK_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Time constant of the average request rate. Callers move to another entry within a second.
const REQUEST_TIME_CONSTANT: Duration = Duration::from_millis(600);

/// An exponentially weighted moving average of a rate per second.
#[derive(Debug)]
struct MovingRate {
    time_constant: Duration,
    value: f64,
    updated_at: Option<Instant>,
}

impl MovingRate {
    fn new(time_constant: Duration) -> MovingRate {
        MovingRate { time_constant, value: 0.0, updated_at: None }
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.get(now) + amount / self.time_constant.as_secs_f64();
        self.updated_at = Some(now);
    }

    fn get(&self, now: Instant) -> f64 {
        let elapsed =
            self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.value * (-elapsed.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}

/// The recent demand of callers, including refused requests.
#[derive(Debug)]
pub(crate) struct Demand {
    work: BTreeMap<ModelId, MovingRate>,
    requests: MovingRate,
}

impl Default for Demand {
    fn default() -> Demand {
        Demand { work: BTreeMap::new(), requests: MovingRate::new(REQUEST_TIME_CONSTANT) }
    }
}

impl Demand {
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.requests.add(1.0, now);
    }

    /// Adds the work of a request that takes `group_seconds` of a fully loaded group.
    pub(crate) fn record_work(&mut self, model: &ModelId, group_seconds: f64, now: Instant) {
        let rate =
            self.work.entry(model.clone()).or_insert_with(|| MovingRate::new(WORK_TIME_CONSTANT));
        rate.add(group_seconds, now);
    }

    /// Requests per second.
    pub(crate) fn request_rate(&self, now: Instant) -> f64 {
        self.requests.get(now)
    }

    /// For each model, the number of groups that its work would keep fully loaded.
    pub(crate) fn groups_by_model(&self, now: Instant) -> Vec<(ModelId, f64)> {
        self.work.iter().map(|(model, rate)| (model.clone(), rate.get(now))).collect()
    }
}
