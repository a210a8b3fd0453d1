//! Metrics of the control process.

use base::metrics::Metrics;
use prometheus_client::metrics::{counter::Counter, gauge::Gauge};

/// Metrics of the control process.
#[derive(Debug, Clone)]
pub struct ControlMetrics {
    /// Sessions refused because of a wrong secret or path.
    pub peers_refused: Counter,
    /// Operators' calls refused because of a wrong token.
    pub tokens_refused: Counter,
    /// Malformed requests of operators.
    pub malformed: Counter,
    /// Records applied.
    pub records_applied: Counter,
    /// Syncs of the log file.
    pub syncs: Counter,
    /// Orders sent.
    pub orders_sent: Counter,
    /// Orders that were refused or not answered.
    pub orders_failed: Counter,
    /// Views published.
    pub views_published: Counter,
    /// Leases granted to entries.
    pub leases_granted: Counter,
    /// Times that this process became the leader.
    pub elections_won: Counter,
    /// Whether this process leads.
    pub leads: Gauge,
    /// Groups in service.
    pub groups_serving: Gauge,
    /// The size of the log file in bytes.
    pub log_bytes: Gauge,
    /// Bytes of messages received from the system's own processes.
    pub peer_received_bytes: Gauge,
    /// Bytes of messages sent to the system's own processes.
    pub peer_sent_bytes: Gauge,
}

impl ControlMetrics {
    /// Registers the metrics.
    pub fn register(metrics: &Metrics) -> ControlMetrics {
        ControlMetrics {
            peers_refused: metrics.counter("peers_refused", "Conversations refused"),
            tokens_refused: metrics
                .counter("tokens_refused", "Operators' calls with a wrong token"),
            malformed: metrics.counter("malformed_requests", "Malformed requests of operators"),
            records_applied: metrics.counter("records_applied", "Log records applied"),
            syncs: metrics.counter("syncs", "Syncs of the log file"),
            orders_sent: metrics.counter("orders_sent", "Orders sent to backend servers"),
            orders_failed: metrics.counter("orders_failed", "Orders refused or without an answer"),
            views_published: metrics.counter("views_published", "Views published to entries"),
            leases_granted: metrics.counter("leases_granted", "View leases granted to entries"),
            elections_won: metrics.counter("elections_won", "Elections won by this process"),
            leads: metrics.gauge("leads", "1 while this process leads"),
            groups_serving: metrics.gauge("groups_serving", "Groups that serve"),
            log_bytes: metrics.gauge("log_bytes", "Size of the log file in bytes"),
            peer_received_bytes: metrics.gauge("peer_received_bytes", "Bytes received from peers"),
            peer_sent_bytes: metrics.gauge("peer_sent_bytes", "Bytes sent to peers"),
        }
    }
}
