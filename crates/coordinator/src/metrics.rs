//! Metrics of a control process.

use base::metrics::Metrics;
use groups::HostUse;
use prometheus_client::metrics::{counter::Counter, gauge::Gauge, histogram::Histogram};
use std::{collections::BTreeMap, time::Duration};

/// Metrics of a control process.
#[derive(Debug, Clone)]
pub struct Counters {
    pub(crate) leads: Gauge,
    pub(crate) losses_tolerated: Gauge,
    pub(crate) parts_in_quarantine: Gauge,
    pub(crate) elections_won: Counter,
    pub(crate) syncs: Counter,
    pub(crate) log_bytes: Gauge,
    pub(crate) peer_sent_bytes: Gauge,
    pub(crate) peer_received_bytes: Gauge,
    pub(crate) manifests_sent: Counter,
    pub(crate) batch_interval_seconds: Histogram,
    pub(crate) reports: Counter,
    pub(crate) reports_stale: Counter,
    pub(crate) queries: Counter,
    pub(crate) orders: Counter,
    pub(crate) orders_failed: Counter,
    pub(crate) views: Counter,
    pub(crate) plan_seconds: Histogram,
    pub(crate) groups_serving: Gauge,
    pub(crate) sessions_refused: Counter,
    host_ms: BTreeMap<HostUse, Counter>,
}

impl Counters {
    /// Adds the time that `hosts` hosts spent in one use.
    pub(crate) fn add_host_time(&self, host_use: HostUse, hosts: usize, elapsed: Duration) {
        if let Some(counter) = self.host_ms.get(&host_use) {
            counter.inc_by(hosts as u64 * elapsed.as_millis() as u64);
        }
    }

    /// Registers the metrics.
    pub fn register(metrics: &Metrics) -> Counters {
        let counter = |name: &str, help: &str| metrics.counter(name, help);
        Counters {
            leads: metrics.gauge("leads", "1 while this process leads"),
            losses_tolerated: metrics
                .gauge("losses_tolerated", "voters of the log that may be lost at the same time"),
            parts_in_quarantine: metrics
                .gauge("parts_in_quarantine", "prompt parts and requests that are rejected"),
            elections_won: counter("elections_won", "elections won"),
            syncs: counter("log_syncs", "syncs of the log"),
            log_bytes: metrics.gauge("log_bytes", "size of the log file in bytes"),
            peer_sent_bytes: metrics
                .gauge("peer_sent_bytes", "bytes sent to other control processes and entries"),
            peer_received_bytes: metrics.gauge(
                "peer_received_bytes",
                "bytes received from other control processes and entries",
            ),
            manifests_sent: counter("manifests_sent", "manifests sent to entries"),
            batch_interval_seconds: metrics
                .histogram("batch_interval_seconds", "time between two batches of events"),
            reports: counter("host_reports", "reports of hosts taken"),
            reports_stale: counter("host_reports_stale", "reports that a later one overtook"),
            queries: counter("host_queries", "queries of the state of hosts"),
            orders: counter("orders_sent", "orders sent to hosts"),
            orders_failed: counter("orders_failed", "orders that were refused or not answered"),
            views: counter("views_published", "routing views published"),
            plan_seconds: metrics.histogram("plan_seconds", "time of a pass of the planner"),
            groups_serving: metrics.gauge("groups_serving", "groups that serve"),
            host_ms: HostUse::ALL
                .into_iter()
                .map(|host_use| {
                    let name = format!("host_{}_milliseconds", host_use.as_str());
                    (host_use, counter(&name, "time of engine hosts in this use, added up"))
                })
                .collect(),
            sessions_refused: counter("sessions_refused", "conversations refused"),
        }
    }
}
