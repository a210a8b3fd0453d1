//! A simulated engine host.

use fleet::{Engine, Epoch, GroupName, HostReport, MemberState, Membership};
use model::ids::{DomainId, FabricId, HostId, ModelId, ServiceId};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Duration of a join if the host's previous group had the same model.
const WARM_REJOIN_TIME: Duration = Duration::from_millis(200);

/// A host's assignment to a group.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub(crate) group: GroupName,
    pub(crate) epoch: Epoch,
    pub(crate) model: ModelId,
    pub(crate) members: Vec<HostId>,
    pub(crate) state: MemberState,
    /// When the pending transition completes: the join, the opening or, after a stall, the failure.
    pub(crate) due_at: Option<Instant>,
}

/// A simulated engine host.
#[derive(Debug, Clone)]
pub struct Host {
    /// The host's name.
    pub id: HostId,
    /// A number that increases with each restart.
    pub incarnation: u64,
    /// Whether it is powered on.
    pub alive: bool,
    /// Whether it and control can reach each other.
    pub reachable: bool,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Whether it has stopped listening. A host that leaves finishes its requests afterwards.
    pub refuses_connections: bool,
    /// Whether it has requests in progress, as a head.
    pub busy: bool,
    /// How often requests in progress were cut off.
    pub cut_requests: usize,
    pub(crate) address: SocketAddr,
    pub(crate) domain: DomainId,
    pub(crate) fabric: FabricId,
    pub(crate) sequence: u64,
    pub(crate) staged: Option<ModelId>,
    pub(crate) staging: Option<(ModelId, Instant)>,
    pub(crate) last_model: Option<ModelId>,
    pub(crate) assignment: Option<Assignment>,
    pub(crate) highest_epoch: Epoch,
    pub(crate) highest_fence: u64,
}

impl Host {
    pub(crate) fn new(
        id: HostId,
        incarnation: u64,
        address: SocketAddr,
        domain: DomainId,
        fabric: FabricId,
    ) -> Host {
        Host {
            id,
            incarnation,
            alive: true,
            reachable: true,
            leaving: false,
            refuses_connections: false,
            busy: false,
            cut_requests: 0,
            address,
            domain,
            fabric,
            sequence: 0,
            staged: None,
            staging: None,
            last_model: None,
            assignment: None,
            highest_epoch: 0,
            highest_fence: 0,
        }
    }

    /// Resets all state except the weights on the host's disk.
    pub(crate) fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.alive = true;
        self.leaving = false;
        self.refuses_connections = false;
        self.sequence = 0;
        self.staging = None;
        self.last_model = None;
        self.assignment = None;
        self.highest_epoch = 0;
        self.highest_fence = 0;
    }

    /// Whether it is the head of a group and accepts or finishes requests.
    pub fn serves(&self) -> bool {
        self.assignment.as_ref().is_some_and(|assignment| {
            assignment.members[0] == self.id
                && matches!(assignment.state, MemberState::Open | MemberState::Closing)
        })
    }

    /// The duration of a join, and whether it loads weights from the weight store.
    pub(crate) fn join_time(&self, engine: &Engine, name: &ModelId) -> (Duration, bool) {
        let Some(model) = engine.model(name) else {
            return (Duration::ZERO, false);
        };
        if self.last_model.as_ref() == Some(name) {
            (WARM_REJOIN_TIME, false)
        } else if self.staged.as_ref() == Some(name) {
            (model.warmup, false)
        } else {
            (model.load, true)
        }
    }

    /// The host's report of its current state.
    pub(crate) fn report(&mut self, service: &ServiceId) -> HostReport {
        self.sequence += 1;
        let membership = self.assignment.as_ref().map(|assignment| Membership {
            group: assignment.group.clone(),
            epoch: assignment.epoch,
            rank: assignment.members.iter().position(|member| *member == self.id).unwrap_or(0),
            state: assignment.state,
        });
        HostReport {
            host: self.id.clone(),
            incarnation: self.incarnation,
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
