//! Metrics of an entry.

use base::metrics::Metrics;
use prometheus_client::metrics::{counter::Counter, gauge::Gauge, histogram::Histogram};

/// The counters, gauges and histograms of an entry.
#[derive(Debug, Clone)]
pub struct GatewayMetrics {
    pub(crate) requests: Counter,
    pub(crate) answered: Counter,
    pub(crate) refused: Counter,
    pub(crate) failed: Counter,
    pub(crate) retries: Counter,
    pub(crate) relayed: Counter,
    pub(crate) relay_requests: Counter,
    pub(crate) link_probes: Counter,
    pub(crate) links_down: Gauge,
    pub(crate) streams_resumed: Counter,
    pub(crate) foreign_responses: Counter,
    pub(crate) callers_left: Counter,
    pub(crate) parts_in_quarantine: Gauge,
    pub(crate) view_replicas: Gauge,
    pub(crate) first_event_seconds: Histogram,
    pub(crate) answer_seconds: Histogram,
    pub(crate) refusal_seconds: Histogram,
    pub(crate) dispatch_seconds: Histogram,
}

impl GatewayMetrics {
    /// Registers the metrics.
    pub fn register(metrics: &Metrics) -> GatewayMetrics {
        let counter = |name: &str, help: &str| metrics.counter(name, help);
        GatewayMetrics {
            requests: counter("requests", "requests of callers"),
            answered: counter("answered", "answers of backend servers passed on"),
            refused: counter("refused", "requests refused that have not run"),
            failed: counter("failed", "requests that failed and may have run"),
            retries: counter("repeats", "requests sent to one more backend server"),
            relayed: counter("relayed", "requests passed on to another entry"),
            relay_requests: counter("relay_requests", "requests taken from other entries"),
            link_probes: counter("link_probes", "probes of backend servers after failed requests"),
            links_down: metrics.gauge("links_down", "1 if this entry reaches no backend server"),
            streams_resumed: counter(
                "streams_resumed",
                "streams that another backend server went on with",
            ),
            foreign_responses: counter("foreign_answers", "answers that belong to another request"),
            callers_left: counter(
                "callers_left",
                "callers that left before the end of their answer",
            ),
            parts_in_quarantine: metrics
                .gauge("parts_in_quarantine", "prompt parts and requests that are rejected"),
            view_replicas: metrics.gauge("view_replicas", "backend servers in the routing view"),
            first_event_seconds: metrics.histogram(
                "first_event_seconds",
                "time from a request's arrival to the first event of its stream",
            ),
            answer_seconds: metrics.histogram(
                "answer_seconds",
                "time from a request's arrival to the end of its answer",
            ),
            refusal_seconds: metrics.histogram(
                "refusal_seconds",
                "time from a request's arrival to its refusal or failure",
            ),
            dispatch_seconds: metrics.histogram(
                "place_seconds",
                "time from a request's arrival until it is sent to a backend server",
            ),
        }
    }
}
