//! A simulated backend server: sends announcements and executes orders.

use model::{
    announce::{Announcement, LoadPhase, Membership, Offer},
    ids::{DomainId, FabricId, Fence, HostId, Incarnation},
    order::{Order, OrderAction},
};
use std::net::SocketAddr;

/// Fixed properties of a simulated host.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Host name.
    pub host: HostId,
    /// Address that accepts requests and orders.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Fabric domain.
    pub fabric: FabricId,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether the host refuses orders with an old fence.
    pub checks_fence: bool,
}

/// A simulated host and the model it runs.
#[derive(Debug, Clone)]
pub struct FakeHost {
    /// Fixed properties of the host.
    pub spec: HostSpec,
    /// Changes at each restart.
    pub incarnation: Incarnation,
    /// Time in milliseconds until which the host is down.
    pub down_until_ms: u64,
    /// Time in milliseconds until which the host neither announces itself nor executes orders.
    pub paused_until_ms: u64,
    membership: Option<Membership>,
    ready_at_ms: u64,
    last_fence: Fence,
    sequence: u64,
}

impl FakeHost {
    /// Creates an idle host.
    pub fn new(spec: HostSpec) -> FakeHost {
        FakeHost {
            spec,
            incarnation: 1,
            down_until_ms: 0,
            paused_until_ms: 0,
            membership: None,
            ready_at_ms: 0,
            last_fence: 0,
            sequence: 0,
        }
    }

    /// Returns whether the host is up and not paused.
    pub fn is_up(&self, now_ms: u64) -> bool {
        self.down_until_ms <= now_ms && self.paused_until_ms <= now_ms
    }

    /// Stops the host until `until_ms`. It restarts idle, as another incarnation.
    pub fn kill(&mut self, until_ms: u64) {
        self.down_until_ms = self.down_until_ms.max(until_ms);
        self.incarnation += 1;
        self.membership = None;
        self.last_fence = 0;
        self.sequence = 0;
    }

    /// Returns the next announcement.
    pub fn next_announcement(&mut self, now_ms: u64) -> Announcement {
        self.sequence += 1;
        if let Some(membership) = &mut self.membership
            && self.ready_at_ms <= now_ms
        {
            membership.phase = LoadPhase::Ready;
        }
        Announcement {
            host: self.spec.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            address: self.spec.address,
            failure_domain: self.spec.domain.clone(),
            fabric_domain: self.spec.fabric.clone(),
            offer: Offer::Accelerators(self.spec.accelerators),
            membership: self.membership.clone(),
            running: 0,
            leaving: false,
            checks_fence: self.spec.checks_fence,
        }
    }

    /// Executes an order, unless the host checks fences and the fence of the order is old.
    pub fn execute(&mut self, order: &Order, now_ms: u64, load_ms: u64) {
        let is_old = order.fence < self.last_fence;
        if is_old && self.spec.checks_fence {
            return;
        }
        self.last_fence = order.fence;
        match &order.action {
            OrderAction::Unload => self.membership = None,
            OrderAction::Load { group, model, .. } => {
                let current = self.membership.as_ref();
                let is_loaded = current.is_some_and(|membership| {
                    membership.model == *model && membership.phase == LoadPhase::Ready
                });
                self.ready_at_ms = now_ms + if is_loaded { load_ms / 4 } else { load_ms };
                self.membership = Some(Membership {
                    group: *group,
                    fence: order.fence,
                    model: model.clone(),
                    phase: LoadPhase::Loading,
                    cold: true,
                });
            }
        }
    }
}
