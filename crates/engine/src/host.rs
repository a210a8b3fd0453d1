//! One engine host.

use fleet::{Engine, Epoch, GroupName, HostReport, MemberState, Membership};
use model::ids::{DomainId, FabricId, HostId, ModelId, ServiceId};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time of a join if the host's last group had the same model.
const REJOIN: Duration = Duration::from_millis(200);

/// A host's part in a group.
#[derive(Debug, Clone)]
pub(crate) struct Part {
    pub(crate) group: GroupName,
    pub(crate) epoch: Epoch,
    pub(crate) model: ModelId,
    pub(crate) members: Vec<HostId>,
    pub(crate) state: MemberState,
    /// When the join, the opening or the break that is under way is done.
    pub(crate) until: Option<Instant>,
}

/// One engine host.
#[derive(Debug, Clone)]
pub struct Host {
    /// Its name.
    pub id: HostId,
    /// When this life began.
    pub born: u64,
    /// Whether it has power.
    pub alive: bool,
    /// Whether control can hear and reach it.
    pub reachable: bool,
    /// Whether it has told that it leaves.
    pub leaving: bool,
    /// Whether it has work, as a head.
    pub busy: bool,
    /// How often running work was cut off.
    pub cuts: usize,
    pub(crate) address: SocketAddr,
    pub(crate) domain: DomainId,
    pub(crate) fabric: FabricId,
    pub(crate) sequence: u64,
    pub(crate) staged: Option<ModelId>,
    pub(crate) staging: Option<(ModelId, Instant)>,
    pub(crate) last_model: Option<ModelId>,
    pub(crate) part: Option<Part>,
    pub(crate) epoch_seen: Epoch,
    pub(crate) fence_seen: u64,
}

impl Host {
    pub(crate) fn new(
        id: HostId,
        born: u64,
        address: SocketAddr,
        domain: DomainId,
        fabric: FabricId,
    ) -> Host {
        Host {
            id,
            born,
            alive: true,
            reachable: true,
            leaving: false,
            busy: false,
            cuts: 0,
            address,
            domain,
            fabric,
            sequence: 0,
            staged: None,
            staging: None,
            last_model: None,
            part: None,
            epoch_seen: 0,
            fence_seen: 0,
        }
    }

    /// Loses all but the weights on the host's disk.
    pub(crate) fn restart(&mut self, born: u64) {
        self.born = born;
        self.alive = true;
        self.leaving = false;
        self.sequence = 0;
        self.staging = None;
        self.last_model = None;
        self.part = None;
        self.epoch_seen = 0;
        self.fence_seen = 0;
    }

    /// Whether it is the head of a group and takes or finishes work.
    pub fn serves(&self) -> bool {
        self.part.as_ref().is_some_and(|part| {
            part.members[0] == self.id
                && matches!(part.state, MemberState::Open | MemberState::Closing)
        })
    }

    /// How long a join takes, and whether it loads weights from the store.
    pub(crate) fn join_time(&self, engine: &Engine, name: &ModelId) -> (Duration, bool) {
        let Some(model) = engine.model(name) else {
            return (Duration::ZERO, false);
        };
        if self.last_model.as_ref() == Some(name) {
            (REJOIN, false)
        } else if self.staged.as_ref() == Some(name) {
            (model.warmup, false)
        } else {
            (model.load, true)
        }
    }

    /// What the host says of itself now.
    pub(crate) fn report(&mut self, service: &ServiceId) -> HostReport {
        self.sequence += 1;
        let membership = self.part.as_ref().map(|part| Membership {
            group: part.group.clone(),
            epoch: part.epoch,
            rank: part.members.iter().position(|member| *member == self.id).unwrap_or(0),
            state: part.state,
        });
        HostReport {
            host: self.id.clone(),
            incarnation: self.born,
            sequence: self.sequence,
            service: service.clone(),
            address: self.address,
            domain: self.domain.clone(),
            fabric: self.fabric.clone(),
            leaving: self.leaving,
            cold_remaining: Duration::ZERO,
            slots: 26,
            staged: self.staged.iter().cloned().collect(),
            last_model: self.last_model.clone(),
            membership,
        }
    }
}
