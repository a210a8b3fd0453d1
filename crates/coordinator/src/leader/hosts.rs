//! Reports, state queries, order outcomes and uses of hosts.

use super::HOST_USE_INTERVAL;
use crate::{
    driver::Driver,
    events::{Event, Reply},
    ledger::Command,
};
use async_channel::Sender;
use fleet::{HostReport, HostState, Incarnation, OrderKind};
use groups::{HostUse, OrderOutcome, OrderResult};
use log::info;
use model::ids::HostId;
use std::{
    net::SocketAddr,
    time::{Instant, SystemTime},
};

impl Driver {
    /// Queries the state of all group members: they report only at intervals, and entries
    /// without a view wait for this leader.
    pub(super) fn query_members(&self) {
        for member in self.ledger.groups.values().flat_map(|record| &record.members) {
            self.query(member.host.clone(), member.address);
        }
    }

    /// Queries the hosts whose reports don't say for certain which group they are in.
    pub(super) fn query_unconfirmed(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let due = leader.planner.unconfirmed_hosts(&leader.registry, now);
        for (host, _) in &due {
            leader.registry.record_query(host, now);
        }
        for (host, address) in due {
            self.query(host, address);
        }
    }

    fn query(&self, host: HostId, address: SocketAddr) {
        let (term, queried_at) = (self.log.node.term(), self.clock.now());
        let answer = self.orders.query_state(&host, address);
        let handle = self.handle.clone();
        self.counters.queries.inc();
        self.pool
            .spawn(async move {
                let state = answer.await;
                handle.send(Event::HostState { term, host, queried_at, state });
            })
            .detach();
    }

    pub(crate) fn handle_host_state(
        &mut self,
        term: u64,
        host: &HostId,
        queried_at: Instant,
        state: Option<HostState>,
        now: Instant,
    ) {
        let own_term = self.log.node.term();
        let Some(leader) = self.leader_state.as_mut().filter(|_| term == own_term) else {
            return;
        };
        let Some(state) = state else {
            info!("event=host_asked host={host} answer=none");
            return;
        };
        let mut members = self.ledger.groups.values().flat_map(|record| &record.members);
        let member = members.find(|member| member.host == *host);
        let place = member.zip(leader.planner.engine_service());
        let membership = format!("{:?}", state.membership);
        let is_taken = leader.registry.record_state(host, place, state, queried_at, now);
        let answer = if is_taken { "taken" } else { "outdated" };
        info!("event=host_asked host={host} answer={answer} part=\"{membership}\"");
        leader.changed |= is_taken;
    }

    pub(crate) fn handle_report(&mut self, report: HostReport, reply: Sender<Reply>, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            let _ = reply.try_send(Reply::NotLeader(None));
            return;
        };
        self.counters.reports.inc();
        let leaving = report.leaving;
        let before = leader.registry.hosts().get(&report.host);
        let has_changed = before.is_none_or(|seen| {
            let old = &seen.report;
            old.incarnation != report.incarnation
                || old.membership != report.membership
                || old.leaving != report.leaving
                || old.staged != report.staged
        });
        let (host, incarnation) = (report.host.clone(), report.incarnation);
        let has_returned = leader.registry.has_returned(&report, now);
        let reported = report.membership.clone();
        if !leader.registry.record_report(report, now) {
            self.counters.reports_stale.inc();
        } else if has_changed {
            let status = &leader.registry.hosts()[&host];
            let report = &status.report;
            info!(
                "event=host host={host} leaving={leaving} fabric={:?} staged={:?} part=\"{:?}\" reported=\"{reported:?}\" certain={}",
                report.fabric,
                report.staged,
                report.membership,
                status.is_certain()
            );
            leader.changed = true;
        }
        if has_returned {
            info!("event=host_returned host={host} incarnation={incarnation}");
            leader.registry.mark_returned(&host);
            let _ = reply.try_send(Reply::Done);
            self.propose(&Command::HostReturned(host), None);
        } else if !leaving {
            let _ = reply.try_send(Reply::Done);
        } else if self.ledger.leaving.contains(&host, incarnation) {
            // A repeated report may come before the view that follows the first one.
            leader.replies_after_view.push(reply);
        } else {
            // A later leader may hear of it only from reports of before.
            leader.registry.mark_leaving(&host, incarnation);
            self.propose(&Command::HostLeaving(host, incarnation), Some(reply));
        }
    }

    pub(crate) fn handle_host_left(&mut self, host: &HostId, reply: Sender<Reply>) {
        let Some(leader) = &mut self.leader_state else {
            let _ = reply.try_send(Reply::NotLeader(None));
            return;
        };
        leader.changed = true;
        let known = leader.registry.hosts().get(host).map(|status| status.report.incarnation);
        let members = self.ledger.groups.values().flat_map(|record| &record.members);
        let of_member =
            members.filter(|member| member.host == *host).map(|member| member.incarnation).max();
        // The departure of a host that this leader has not heard of concerns any incarnation so far:
        // reports of before may still arrive. The time of day may be wrong.
        let latest = leader.registry.hosts().values().map(|status| status.report.incarnation).max();
        let so_far = || unix_millis(self.clock.wall()).max(latest.unwrap_or_default());
        let incarnation = known.max(of_member).unwrap_or_else(so_far);
        if self.ledger.departures.contains(host, incarnation) {
            leader.replies_after_view.push(reply);
            return;
        }
        info!("event=host_left host={host} incarnation={incarnation} known={}", known.is_some());
        leader.registry.mark_departed(host, incarnation);
        // A host says so only once, so a later leader must find it in the log.
        self.propose(&Command::HostLeft(host.clone(), incarnation), Some(reply));
    }

    pub(crate) fn handle_order_outcome(&mut self, outcome: &OrderOutcome, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let kind = outcome.order.kind.label();
        info!(
            "event=order_end host={} order={kind} result={:?}",
            outcome.order.host, outcome.result
        );
        if !matches!(outcome.result, OrderResult::Begun | OrderResult::Done) {
            self.counters.orders_failed.inc();
        }
        let unanswered = matches!(outcome.result, OrderResult::NoAnswer | OrderResult::Unreachable);
        if outcome.result == OrderResult::Unreachable {
            leader.quarantine.detector.record_unreachable(&outcome.order.host, now);
        }
        if outcome.order.kind == OrderKind::Probe && unanswered {
            leader.registry.suspect(&outcome.order.host);
        }
        leader.registry.record_order(&outcome.order.host, outcome.left(), now);
        // The outcome of an order of an earlier term must not complete one of this term.
        if outcome.order.fence == self.log.node.term() {
            leader.planner.record_outcome(outcome, &leader.registry, now);
            leader.changed = true;
        }
    }

    /// Records and logs the uses of hosts since the last call.
    pub(super) fn record_host_uses(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let elapsed = now.saturating_duration_since(leader.host_uses_at);
        if elapsed < HOST_USE_INTERVAL {
            return;
        }
        leader.host_uses_at = now;
        let uses = leader.planner.host_uses(&leader.registry, &self.ledger.domains_out, now);
        let mut line = String::new();
        for host_use in HostUse::ALL {
            let hosts = uses.values().filter(|other| **other == host_use).count();
            self.counters.add_host_time(host_use, hosts, elapsed);
            if hosts > 0 {
                line += &format!(" {}={hosts}", host_use.as_str());
            }
        }
        info!("event=hosts{line}");
    }
}

/// The incarnation of a host that starts at `time`.
fn unix_millis(time: SystemTime) -> Incarnation {
    let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(Incarnation::MAX)
}
