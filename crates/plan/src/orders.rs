//! Selects the committed orders that have to be sent.

use crate::observations::Observations;
use base::limits::ORDER_OUTCOME_TIMEOUT;
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

/// Delay before an order is sent again, where a repetition is safe.
const RESEND_AFTER: Duration = Duration::from_millis(1000);

/// An order to send, and its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueOrder {
    /// Where the backend server accepts orders.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
}

/// The outcome of sending an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderOutcome {
    /// The host.
    pub host: HostId,
    /// The fence of the order.
    pub fence: Fence,
    /// Whether the order may have been executed.
    pub verdict: Verdict,
}

#[derive(Debug)]
struct SentOrder {
    fence: Fence,
    sent_at: Instant,
    /// Set unless the outcome of the last attempt is known to be `NotRun`.
    may_have_run: bool,
}

/// Tracks the orders that this leader has sent.
#[derive(Debug, Default)]
pub struct OrderTracker {
    sent: BTreeMap<HostId, SentOrder>,
    present_since: BTreeMap<HostId, (Fence, Instant)>,
}

impl OrderTracker {
    /// The orders to send at `now`. `own_from` is the first log index of this leader: an
    /// earlier leader may have sent an older order, so that order must not be repeated to a
    /// host that ignores fences.
    pub fn due(
        &mut self,
        state: &State,
        observations: &Observations,
        own_from: u64,
        now: Instant,
    ) -> Vec<DueOrder> {
        self.forget_settled(state);
        let mut due = Vec::new();
        for (host, _, order) in state.outstanding_orders() {
            let fresh = observations.fresh(host);
            self.track_presence(host, order.fence, fresh.is_some(), now);
            let Some(announcement) = fresh else {
                continue;
            };
            if announcement.incarnation != order.incarnation {
                continue;
            }
            let is_repeatable = announcement.checks_fence;
            if !is_repeatable && order.fence < own_from {
                continue;
            }
            if !self.may_send(host, order.fence, is_repeatable, now) {
                continue;
            }
            let sent = SentOrder { fence: order.fence, sent_at: now, may_have_run: true };
            self.sent.insert(host.clone(), sent);
            let order =
                Order { host: host.clone(), fence: order.fence, action: order.action.clone() };
            due.push(DueOrder { address: announcement.address, order });
        }
        due
    }

    /// Records the outcome of sending an order.
    pub fn record_outcome(&mut self, outcome: &OrderOutcome) {
        if let Some(sent) = self.sent.get_mut(&outcome.host)
            && sent.fence == outcome.fence
        {
            sent.may_have_run = outcome.verdict != Verdict::NotRun;
        }
    }

    /// Tracks since when a host has been present without showing the outcome of its order. A
    /// paused host executes what waits in its socket only after it resumes, so the time
    /// restarts when it is back.
    fn track_presence(&mut self, host: &HostId, fence: Fence, is_present: bool, now: Instant) {
        let tracked = self.present_since.entry(host.clone()).or_insert((fence, now));
        if tracked.0 != fence || !is_present {
            *tracked = (fence, now);
        }
    }

    /// Whether a host has been present for longer than the time limit of its order without
    /// showing the outcome.
    pub(crate) fn is_overdue(&self, host: &HostId, record: &HostRecord, now: Instant) -> bool {
        let Some(order) = &record.order else {
            return false;
        };
        self.present_since.get(host).is_some_and(|(fence, since)| {
            *fence == order.fence && now.saturating_duration_since(*since) > ORDER_OUTCOME_TIMEOUT
        })
    }

    fn may_send(&self, host: &HostId, fence: Fence, is_repeatable: bool, now: Instant) -> bool {
        let Some(sent) = self.sent.get(host).filter(|sent| sent.fence == fence) else {
            return true;
        };
        let waited = now.saturating_duration_since(sent.sent_at) >= RESEND_AFTER;
        waited && (is_repeatable || !sent.may_have_run)
    }

    fn forget_settled(&mut self, state: &State) {
        let is_outstanding =
            |host: &HostId| state.hosts.get(host).is_some_and(|record| record.order.is_some());
        self.sent.retain(|host, _| is_outstanding(host));
        self.present_since.retain(|host, _| is_outstanding(host));
    }
}
