//! A backend server as control sees it: announcements out, orders in.

use model::{
    announce::{Announcement, LoadPhase, Membership, Offer},
    ids::{DomainId, FabricId, Fence, HostId, Incarnation},
    order::{Order, OrderAction},
};
use std::net::SocketAddr;

/// Where a host stands and what it has.
#[derive(Debug, Clone)]
pub struct Site {
    /// Its name.
    pub host: HostId,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its fabric domain.
    pub fabric: FabricId,
    /// Its accelerators.
    pub accelerators: u32,
    /// Whether it refuses orders with an old fence.
    pub checks_fence: bool,
}

/// A host and what it runs.
#[derive(Debug, Clone)]
pub struct FakeHost {
    /// Where it stands.
    pub site: Site,
    /// Chosen anew at each start.
    pub incarnation: Incarnation,
    /// Milliseconds at which it is up again, if it is down.
    pub down_until_ms: u64,
    /// Milliseconds until which it neither announces nor obeys.
    pub paused_until_ms: u64,
    runs: Option<Membership>,
    ready_at_ms: u64,
    last_fence: Fence,
    sequence: u64,
}

impl FakeHost {
    /// An idle host.
    pub fn new(site: Site) -> FakeHost {
        FakeHost {
            site,
            incarnation: 1,
            down_until_ms: 0,
            paused_until_ms: 0,
            runs: None,
            ready_at_ms: 0,
            last_fence: 0,
            sequence: 0,
        }
    }

    /// Whether it is up and not paused.
    pub fn is_up(&self, now_ms: u64) -> bool {
        self.down_until_ms <= now_ms && self.paused_until_ms <= now_ms
    }

    /// Kills it; it comes back idle, as another incarnation.
    pub fn kill(&mut self, until_ms: u64) {
        self.down_until_ms = self.down_until_ms.max(until_ms);
        self.incarnation += 1;
        self.runs = None;
        self.last_fence = 0;
        self.sequence = 0;
    }

    /// Its next announcement.
    pub fn announce(&mut self, now_ms: u64) -> Announcement {
        self.sequence += 1;
        if let Some(runs) = &mut self.runs
            && self.ready_at_ms <= now_ms
        {
            runs.phase = LoadPhase::Ready;
        }
        Announcement {
            host: self.site.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            address: self.site.address,
            failure_domain: self.site.domain.clone(),
            fabric_domain: self.site.fabric.clone(),
            offer: Offer::Accelerators(self.site.accelerators),
            membership: self.runs.clone(),
            running: 0,
            leaving: false,
            checks_fence: self.site.checks_fence,
        }
    }

    /// Obeys an order, unless it checks fences and the order's is old.
    pub fn obey(&mut self, order: &Order, now_ms: u64, load_ms: u64) {
        let old = order.fence < self.last_fence;
        if old && self.site.checks_fence {
            return;
        }
        self.last_fence = order.fence;
        match &order.action {
            OrderAction::Unload => self.runs = None,
            OrderAction::Load { group, model, .. } => {
                let known = self.runs.as_ref();
                let loaded = known
                    .is_some_and(|runs| runs.model == *model && runs.phase == LoadPhase::Ready);
                self.ready_at_ms = now_ms + if loaded { load_ms / 4 } else { load_ms };
                self.runs = Some(Membership {
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
