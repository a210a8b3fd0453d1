//! Times of the planner.

use std::time::Duration;

/// Times of the planner.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Silence after which a member of a group counts as lost: two reports and a half,
    /// since a single report is often late.
    pub member_silence: Duration,
    /// Silence after which a plain replica leaves the routing view. Entries notice a dead
    /// one by themselves, so this only has to be longer than a late report.
    pub replica_silence: Duration,
    /// How long a new leader waits for the reports of all hosts: one interval, and the time
    /// that a host loses on a leader that has no power.
    pub discovery_period: Duration,
    /// How long a host that is gone is remembered, so that late reports don't revive it.
    pub forget: Duration,
    /// Wait before an order without a clear answer is sent again.
    pub resend: Duration,
    /// Shortest time between two rounds of probes to the members of one group.
    pub probe_pause: Duration,
    /// How long hosts must have been idle before their weights are replaced.
    pub stage_over_after: Duration,
    /// Time allowed for a join or an opening beyond the expected one.
    pub form_slack: Duration,
}

impl Limits {
    /// Limits for backend servers that report every `report_every`.
    pub fn new(report_every: Duration) -> Limits {
        Limits {
            member_silence: report_every * 5 / 2,
            replica_silence: report_every * 4,
            discovery_period: report_every + Duration::from_millis(1200),
            forget: Duration::from_secs(120),
            resend: Duration::from_millis(400),
            probe_pause: Duration::from_millis(1500),
            stage_over_after: Duration::from_secs(4),
            form_slack: Duration::from_secs(4),
        }
    }
}
