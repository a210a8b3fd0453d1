//! Request rates that all entries share.

use crate::Incarnation;
use model::ids::HostId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The part of each shared rate that an entry may use: an interval of a circle of length 1. The
/// intervals of all entries don't overlap.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateShare {
    /// Where the interval begins, between 0 and 1.
    pub start: f64,
    /// Its length, between 0 and 1.
    pub size: f64,
}

impl RateShare {
    /// Whether a position on the circle lies in the interval.
    pub fn contains(&self, position: f64) -> bool {
        (position - self.start).rem_euclid(1.0) < self.size
    }
}

/// What a backend server last said of its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The requests per second that it takes from all entries together, or `None` if it has
    /// stopped naming a limit.
    pub per_s: Option<f64>,
    /// Time since it said so.
    pub age: Duration,
}

/// What an incarnation of a backend server last said to an entry of its rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostLimit {
    /// The host.
    pub host: HostId,
    /// The incarnation of the backend server.
    pub incarnation: Incarnation,
    /// What it said.
    pub limit: LimitReport,
}
