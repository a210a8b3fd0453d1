//! Prometheus counters, gauges and histograms under the common prefix `kingcup`.

use crate::sync::lock;
use prometheus_client::{
    encoding::text::encode,
    metrics::{
        counter::Counter,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use std::{fmt, sync::Mutex};

/// The metrics of one process.
pub struct Metrics {
    registry: Mutex<Registry>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics { registry: Mutex::new(Registry::with_prefix("kingcup")) }
    }
}

impl Metrics {
    /// Registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.lock().register(name, help, counter.clone());
        counter
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.lock().register(name, help, gauge.clone());
        gauge
    }

    /// Registers a histogram of durations in seconds, with buckets from 1 ms to 16 s.
    pub fn histogram(&self, name: &str, help: &str) -> Histogram {
        let histogram = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        self.lock().register(name, help, histogram.clone());
        histogram
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.lock());
        text
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Registry> {
        lock(&self.registry)
    }
}
