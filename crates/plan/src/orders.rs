//! Which committed orders are to be sent now.

use crate::observations::Observations;
use base::limits::ORDER_LIMIT;
use model::{
    ids::{Fence, HostId},
    order::Order,
    verdict::Verdict,
};
use state::{HostRecord, State};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Wait before an order is sent again where that is safe.
const RESEND_AFTER: Duration = Duration::from_millis(1000);

/// An order to be sent, and where to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueOrder {
    /// Where the backend server takes orders.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
}

/// What became of the sending of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderOutcome {
    /// The host.
    pub host: HostId,
    /// The fence of the order.
    pub fence: Fence,
    /// Whether the order may have been obeyed.
    pub verdict: Verdict,
}

#[derive(Debug)]
struct Sending {
    fence: Fence,
    at: Instant,
    /// Set while the outcome of the last sending is not known to be `NotRun`.
    may_have_run: bool,
}

/// Remembers which orders this leader has sent.
#[derive(Debug, Default)]
pub struct OrderTracker {
    sent: BTreeMap<HostId, Sending>,
    present_since: BTreeMap<HostId, (Fence, Instant)>,
}

impl OrderTracker {
    /// The orders to send at `now`. `own_from` is the first log index of this leader:
    /// an older order to a host that ignores fences was sent, or not, by an earlier
    /// leader, and must not be repeated.
    pub fn due(
        &mut self,
        state: &State,
        seen: &Observations,
        own_from: u64,
        now: Instant,
    ) -> Vec<DueOrder> {
        self.forget_settled(state);
        let mut due = Vec::new();
        for (host, _, order) in state.outstanding_orders() {
            let fresh = seen.fresh(host);
            self.watch(host, order.fence, fresh.is_some(), now);
            let Some(announcement) = fresh else {
                continue;
            };
            if announcement.incarnation != order.incarnation {
                continue;
            }
            let repeatable = announcement.checks_fence;
            if !repeatable && order.fence < own_from {
                continue;
            }
            if !self.may_send(host, order.fence, repeatable, now) {
                continue;
            }
            self.sent
                .insert(host.clone(), Sending { fence: order.fence, at: now, may_have_run: true });
            let order =
                Order { host: host.clone(), fence: order.fence, action: order.action.clone() };
            due.push(DueOrder { address: announcement.address, order });
        }
        due
    }

    /// Takes the outcome of a sending.
    pub fn record_outcome(&mut self, outcome: &OrderOutcome) {
        if let Some(sending) = self.sent.get_mut(&outcome.host)
            && sending.fence == outcome.fence
        {
            sending.may_have_run = outcome.verdict != Verdict::NotRun;
        }
    }

    /// Notes since when a host has been present without showing the outcome of its order.
    /// A paused host obeys late what waits in its socket, so the time counts anew when it
    /// is back.
    fn watch(&mut self, host: &HostId, fence: Fence, is_present: bool, now: Instant) {
        let known = self.present_since.entry(host.clone()).or_insert((fence, now));
        if known.0 != fence || !is_present {
            *known = (fence, now);
        }
    }

    /// Whether a host has been present for longer than the time limit of its order without
    /// showing the outcome.
    pub(crate) fn is_overdue(&self, host: &HostId, record: &HostRecord, now: Instant) -> bool {
        let Some(order) = &record.order else {
            return false;
        };
        self.present_since.get(host).is_some_and(|(fence, since)| {
            *fence == order.fence && now.saturating_duration_since(*since) > ORDER_LIMIT
        })
    }

    fn may_send(&self, host: &HostId, fence: Fence, repeatable: bool, now: Instant) -> bool {
        let Some(sending) = self.sent.get(host).filter(|sending| sending.fence == fence) else {
            return true;
        };
        let waited = now.saturating_duration_since(sending.at) >= RESEND_AFTER;
        waited && (repeatable || !sending.may_have_run)
    }

    fn forget_settled(&mut self, state: &State) {
        let outstanding =
            |host: &HostId| state.hosts.get(host).is_some_and(|record| record.order.is_some());
        self.sent.retain(|host, _| outstanding(host));
        self.present_since.retain(|host, _| outstanding(host));
    }
}
