//! The hosts that have said that they end.

use crate::Incarnation;
use model::ids::HostId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of departures that are kept; those of the incarnations that started first are dropped.
const MAX_DEPARTURES: usize = 1024;

/// The hosts that have said that they end, with the incarnation that did. They say so once, and
/// some serve for seconds afterwards.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures(BTreeMap<HostId, Incarnation>);

impl Departures {
    /// Records the departure of an incarnation of a host.
    pub fn record(&mut self, host: HostId, incarnation: Incarnation) {
        let departed = self.0.entry(host).or_insert(incarnation);
        *departed = incarnation.max(*departed);
        if self.0.len() > MAX_DEPARTURES
            && let Some(first) = self.0.iter().min_by_key(|(_, incarnation)| **incarnation)
        {
            let host = first.0.clone();
            self.0.remove(&host);
        }
    }

    /// Forgets the departure of a host.
    pub fn remove(&mut self, host: &HostId) {
        self.0.remove(host);
    }

    /// Whether an incarnation of a host has departed.
    pub fn contains(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.0.get(host).is_some_and(|departed| incarnation <= *departed)
    }
}
