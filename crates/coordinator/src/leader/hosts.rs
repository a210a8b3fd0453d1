//! What hosts report, answer, and are used for.

use super::ACCOUNT_EVERY;
use crate::{
    driver::Driver,
    events::{Event, Reply},
};
use async_channel::Sender;
use fleet::{GroupMember, HostReport, HostState, OrderKind};
use groups::{HostUse, OrderOutcome, OrderResult};
use log::info;
use model::ids::HostId;
use std::time::Instant;

impl Driver {
    /// Asks the members of all groups how they are: they report in their own time, and
    /// entries that know nothing wait for this leader.
    pub(super) fn ask_members(&self) {
        let term = self.log.node.term();
        for member in self.ledger.groups.values().flat_map(|record| &record.members).cloned() {
            let asked = self.orders.ask(&member.host, member.address);
            let handle = self.handle.clone();
            self.pool
                .spawn(async move {
                    let state = asked.await;
                    handle.send(Event::MemberSeen { term, member, state });
                })
                .detach();
        }
    }

    pub(crate) fn take_state(
        &mut self,
        term: u64,
        member: &GroupMember,
        state: Option<HostState>,
        now: Instant,
    ) {
        let own_term = self.log.node.term();
        let Some(leading) = self.leading.as_mut().filter(|_| term == own_term) else {
            return;
        };
        let Some(state) = state else {
            info!("event=host_asked host={} answer=none", member.host);
            return;
        };
        let part = format!("{:?}", state.membership);
        if let Some(service) = leading.planner.engine_service()
            && leading.registry.record_state(member, service, state, now)
        {
            info!("event=host_asked host={} answer=taken part=\"{part}\"", member.host);
            leading.changed = true;
        }
    }

    pub(crate) fn take_report(&mut self, report: HostReport, reply: Sender<Reply>, now: Instant) {
        let Some(leading) = &mut self.leading else {
            let _ = reply.try_send(Reply::NotLeader(None));
            return;
        };
        self.counters.reports.inc();
        let leaving = report.leaving;
        let before = leading.registry.hosts().get(&report.host);
        let news = before.is_none_or(|seen| {
            let old = &seen.report;
            old.born != report.born
                || old.membership != report.membership
                || old.leaving != report.leaving
                || old.staged != report.staged
        });
        let host = report.host.clone();
        if !leading.registry.record_report(report, now) {
            self.counters.reports_stale.inc();
        } else if news {
            let report = &leading.registry.hosts()[&host].report;
            info!(
                "event=host host={host} leaving={leaving} fabric={:?} staged={:?} part=\"{:?}\"",
                report.fabric, report.staged, report.membership
            );
            leading.changed = true;
        }
        if leaving && news {
            leading.after_view.push(reply);
        } else {
            let _ = reply.try_send(Reply::Done);
        }
    }

    pub(crate) fn take_left(&mut self, host: &HostId, reply: Sender<Reply>) {
        let Some(leading) = &mut self.leading else {
            let _ = reply.try_send(Reply::NotLeader(None));
            return;
        };
        if leading.registry.mark_departed(host) {
            info!("event=host_left host={host}");
        }
        leading.changed = true;
        leading.after_view.push(reply);
    }

    pub(crate) fn take_outcome(&mut self, outcome: &OrderOutcome, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let word = outcome.order.kind.word();
        info!(
            "event=order_end host={} order={word} result={:?}",
            outcome.order.host, outcome.result
        );
        if !matches!(outcome.result, OrderResult::Begun | OrderResult::Done) {
            self.counters.orders_failed.inc();
        }
        let unanswered = matches!(outcome.result, OrderResult::NoAnswer | OrderResult::Unreachable);
        if outcome.order.kind == OrderKind::Probe && unanswered {
            leading.registry.suspect(&outcome.order.host);
        }
        // An order of an earlier term must not settle one of this term.
        if outcome.order.fence == self.log.node.term() {
            leading.planner.record_outcome(outcome, now);
            leading.changed = true;
        }
    }

    /// Counts and logs what hosts were used for since the last time.
    pub(super) fn account(&mut self, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let passed = now.saturating_duration_since(leading.account_at);
        if passed < ACCOUNT_EVERY {
            return;
        }
        leading.account_at = now;
        let uses = leading.planner.host_uses(&leading.registry, &self.ledger.domains_out, now);
        let mut line = String::new();
        for what in HostUse::ALL {
            let hosts = uses.values().filter(|other| **other == what).count();
            self.counters.count_hosts(what, hosts, passed);
            if hosts > 0 {
                line += &format!(" {}={hosts}", what.as_str());
            }
        }
        info!("event=hosts{line}");
    }
}
