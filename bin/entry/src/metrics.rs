//! Metrics of the entry process.

use base::metrics::Metrics;
use prometheus_client::metrics::{counter::Counter, gauge::Gauge};

/// The counters and gauges of an entry.
#[derive(Debug, Clone)]
pub struct EntryMetrics {
    /// Requests of callers.
    pub requests: Counter,
    /// Complete responses forwarded to callers.
    pub answered: Counter,
    /// Refusals of requests that have not run.
    pub refused_not_run: Counter,
    /// Refusals of requests that may have run.
    pub refused_unknown: Counter,
    /// Attempts after the first.
    pub retries: Counter,
    /// Responses with the id of another request.
    pub foreign_answers: Counter,
    /// Responses and streams that broke off.
    pub broken_answers: Counter,
    /// Callers that disconnected before their response.
    pub callers_left: Counter,
    /// Malformed HTTP requests.
    pub malformed: Counter,
    /// Repeated requests answered with the response kept for their key.
    pub kept_answers: Counter,
    /// Announcements accepted.
    pub announcements: Counter,
    /// Announcements refused.
    pub announcements_refused: Counter,
    /// Announcements with a wrong secret and drain requests with a wrong token.
    pub secrets_refused: Counter,
    /// Times that the lease on the view expired.
    pub leases_lost: Counter,
    /// Requests that wait for a slot.
    pub waiting: Gauge,
    /// Requests that run at a backend server.
    pub running: Gauge,
    /// Hosts with a current announcement.
    pub hosts: Gauge,
    /// Bytes of messages sent to control.
    pub control_sent_bytes: Gauge,
    /// Bytes of messages received from control.
    pub control_received_bytes: Gauge,
}

impl EntryMetrics {
    /// Registers the metrics.
    pub fn register(metrics: &Metrics) -> EntryMetrics {
        EntryMetrics {
            requests: metrics.counter("requests", "Requests of callers"),
            answered: metrics.counter("answered", "Whole answers passed on"),
            refused_not_run: metrics
                .counter("refused_not_run", "Refusals of requests that have not run"),
            refused_unknown: metrics
                .counter("refused_unknown", "Refusals of requests that may have run"),
            retries: metrics.counter("retries", "Tries after the first"),
            foreign_answers: metrics
                .counter("foreign_answers", "Answers with another request's id"),
            broken_answers: metrics.counter("broken_answers", "Answers that broke off"),
            callers_left: metrics.counter("callers_left", "Callers that left before their answer"),
            malformed: metrics.counter("malformed_requests", "Malformed HTTP of callers"),
            kept_answers: metrics.counter("kept_answers", "Requests answered from a kept answer"),
            announcements: metrics.counter("announcements", "Announcements taken"),
            announcements_refused: metrics
                .counter("announcements_refused", "Announcements refused"),
            secrets_refused: metrics.counter("secrets_refused", "Messages with a wrong secret"),
            leases_lost: metrics.counter("leases_lost", "Times that the lease on the view ended"),
            waiting: metrics.gauge("waiting", "Requests that wait"),
            running: metrics.gauge("running", "Requests that run"),
            hosts: metrics.gauge("hosts", "Hosts whose announcements are held"),
            control_sent_bytes: metrics.gauge("control_sent_bytes", "Bytes sent to control"),
            control_received_bytes: metrics
                .gauge("control_received_bytes", "Bytes received from control"),
        }
    }
}
