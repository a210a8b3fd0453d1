//! Timeouts and intervals of the planner.

use std::time::Duration;

/// Timeouts and intervals of the planner.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Time without a report after which a member of a group counts as lost: 2.5 report
    /// intervals, since single reports are often late.
    pub member_timeout: Duration,
    /// Time without a report after which a replica of a plain service leaves the routing
    /// view. Entries detect dead replicas themselves, so this only has to exceed the delay
    /// of a late report.
    pub replica_timeout: Duration,
    /// How long a new leader waits for the reports of all hosts: one report interval, plus
    /// the time that a host loses on trying a leader that has no power.
    pub discovery_period: Duration,
    /// How long a host is remembered after its last report, so that delayed reports do not
    /// bring back a host that has ended.
    pub host_retention: Duration,
    /// Delay before an order without a clear answer is sent again.
    pub resend_delay: Duration,
    /// Minimum time between two rounds of probes to the members of a group.
    pub probe_interval: Duration,
    /// How long hosts must have been idle before their weights are replaced.
    pub replace_weights_after: Duration,
    /// Time allowed for a join or an opening beyond its expected duration.
    pub formation_slack: Duration,
}

impl Limits {
    /// Limits for backend servers that report every `report_every`.
    pub fn new(report_every: Duration) -> Limits {
        Limits {
            member_timeout: report_every * 5 / 2,
            replica_timeout: report_every * 4,
            discovery_period: report_every + Duration::from_millis(1200),
            host_retention: Duration::from_secs(120),
            resend_delay: Duration::from_millis(400),
            probe_interval: Duration::from_millis(1500),
            replace_weights_after: Duration::from_secs(4),
            formation_slack: Duration::from_secs(4),
        }
    }
}
