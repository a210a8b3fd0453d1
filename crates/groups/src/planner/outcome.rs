//! What the end of an order says of a group.

use super::{Phase, Planner};
use fleet::{Epoch, GroupName, HostOrder, OrderKind};
use model::ids::HostId;
use std::time::Instant;

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// It has begun.
    Begun,
    /// It is done, or the state already held.
    Done,
    /// It doesn't fit the host's state, or the host has seen a newer one.
    Conflict,
    /// Another backend server has the address.
    WrongHost,
    /// No answer came: it may be carried out.
    NoAnswer,
    /// The connection was refused: the backend server has ended.
    Unreachable,
}

/// The end of an order.
#[derive(Debug, Clone)]
pub struct OrderOutcome {
    /// The order.
    pub order: HostOrder,
    /// How it ended.
    pub result: OrderResult,
}

impl Planner {
    /// Notes the end of an order.
    pub fn record_outcome(&mut self, outcome: &OrderOutcome, now: Instant) {
        let host = &outcome.order.host;
        self.pending.remove(host);
        let resend = now + self.limits.resend_delay;
        let gone = matches!(outcome.result, OrderResult::Unreachable | OrderResult::WrongHost);
        let accepted = matches!(outcome.result, OrderResult::Begun | OrderResult::Done);
        if !accepted {
            self.backoff.insert(host.clone(), resend);
        }
        match &outcome.order.kind {
            OrderKind::Join { group, epoch, .. } => {
                self.join_ended(group, *epoch, host, outcome.result, now);
            }
            OrderKind::Open { group, epoch } => {
                if let Some(current) = self.group_mut(group, *epoch) {
                    current.open_unsure |= outcome.result == OrderResult::NoAnswer;
                    if accepted && current.phase == Phase::Forming {
                        current.phase = Phase::Opening;
                    }
                }
            }
            OrderKind::Close { group, .. } if gone => self.end_closed(group),
            OrderKind::Close { group, epoch, .. } => {
                let form_slack = self.limits.resend_delay * 2;
                if let Some(current) = self.group_mut(group, *epoch) {
                    let opening = current.open_asked.is_some_and(|at| now < at + form_slack);
                    match outcome.result {
                        OrderResult::Done => current.closed = true,
                        OrderResult::Conflict => current.closed = !opening,
                        _ => {}
                    }
                }
            }
            OrderKind::Leave { group, epoch } => {
                let left = accepted || gone;
                let head = self
                    .group_mut(group, *epoch)
                    .is_some_and(|current| current.members[0] == *host);
                if left && head {
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

    fn join_ended(
        &mut self,
        group: &GroupName,
        epoch: Epoch,
        host: &HostId,
        result: OrderResult,
        now: Instant,
    ) {
        let pause = now + self.limits.formation_slack;
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
                self.backoff.insert(host.clone(), pause);
            }
        }
    }
}
