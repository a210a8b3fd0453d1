//! Updates groups from the outcome of orders.

use super::{Phase, Planner};
use crate::Registry;
use fleet::{Epoch, GroupName, HostOrder, OrderKind};
use model::ids::HostId;
use std::time::Instant;

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// Its execution has begun.
    Begun,
    /// It is done, or the state already held.
    Done,
    /// It doesn't fit the host's state, or the host has seen a newer order.
    Conflict,
    /// Another backend server has the address.
    WrongHost,
    /// No answer arrived: the order may still be executed.
    NoAnswer,
    /// The connection was refused: the backend server has ended, or leaves and finishes its work.
    Unreachable,
}

/// An order and its result.
#[derive(Debug, Clone)]
pub struct OrderOutcome {
    /// The order.
    pub order: HostOrder,
    /// Its result.
    pub result: OrderResult,
}

impl OrderOutcome {
    /// The epoch of the group that the host has left by this order, if it has.
    pub fn left(&self) -> Option<Epoch> {
        match (&self.order.kind, self.result) {
            (OrderKind::Leave { epoch, .. }, OrderResult::Begun | OrderResult::Done) => {
                Some(*epoch)
            }
            _ => None,
        }
    }
}

impl Planner {
    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, outcome: &OrderOutcome, registry: &Registry, now: Instant) {
        let host = &outcome.order.host;
        self.pending.remove(host);
        let retry_at = now + self.limits.resend_delay;
        let leaves = registry.hosts().get(host).is_some_and(|status| status.report.leaving);
        let ended = match outcome.result {
            OrderResult::WrongHost => true,
            OrderResult::Unreachable => !leaves,
            _ => false,
        };
        let accepted = matches!(outcome.result, OrderResult::Begun | OrderResult::Done);
        if !accepted {
            self.backoff.insert(host.clone(), retry_at);
        }
        match &outcome.order.kind {
            OrderKind::Join { group, epoch, .. } => {
                self.record_join(group, *epoch, host, outcome.result, now);
            }
            OrderKind::Open { group, epoch } => {
                if let Some(current) = self.group_mut(group, *epoch) {
                    current.open_unconfirmed |= outcome.result == OrderResult::NoAnswer;
                    if accepted && current.phase == Phase::Forming {
                        current.phase = Phase::Opening;
                    }
                }
            }
            OrderKind::Close { group, .. } if ended => self.end_closed(group),
            OrderKind::Close { group, epoch, .. } => {
                let open_window = self.limits.resend_delay * 2;
                if let Some(current) = self.group_mut(group, *epoch) {
                    let may_open = current.open_sent.is_some_and(|at| now < at + open_window);
                    match outcome.result {
                        OrderResult::Done => current.closed = true,
                        OrderResult::Conflict => current.closed = !may_open,
                        _ => {}
                    }
                }
            }
            OrderKind::Leave { group, epoch } => {
                let has_left = accepted || ended;
                let is_head = self
                    .group_mut(group, *epoch)
                    .is_some_and(|current| current.members[0] == *host);
                if has_left && is_head {
                    self.end_closed(group);
                }
            }
            OrderKind::Stage { .. } => {
                if !accepted {
                    self.staging.remove(host);
                }
            }
            OrderKind::Probe => {}
        }
    }

    fn record_join(
        &mut self,
        group: &GroupName,
        epoch: Epoch,
        host: &HostId,
        result: OrderResult,
        now: Instant,
    ) {
        let retry_at = now + self.limits.formation_slack;
        let Some(current) = self.group_mut(group, epoch) else {
            return;
        };
        match result {
            OrderResult::Begun | OrderResult::Done => {
                current.acked.insert(host.clone());
            }
            OrderResult::NoAnswer => {}
            OrderResult::Conflict | OrderResult::WrongHost | OrderResult::Unreachable => {
                current.deadline = now;
                self.backoff.insert(host.clone(), retry_at);
            }
        }
    }
}
