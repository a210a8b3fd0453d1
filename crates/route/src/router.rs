//! The router: admission, fair queues, slot shares and load balancing.

use crate::{
    affinity::{BalancingPolicy, Candidate, choose},
    fair::FairQueues,
    server::{Evidence, Server, ServerId, Temperature},
};
use fastrand::Rng;
use model::{
    ids::{EntryId, ModelId, ServiceId, TeamId},
    manifest::Manifest,
    view::{EntryStanding, EntryView, View},
};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Identifies a submitted request.
pub type TicketId = u64;
/// Identifies a dispatched try.
pub type DispatchId = u64;

/// What a request is addressed to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// A request to be dispatched to a backend server.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The model or service.
    pub target: Target,
    /// The caller's team.
    pub team: TeamId,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// When the request expires.
    pub deadline: Instant,
    /// A server where an earlier try failed; it is used only if no other has a free slot.
    pub avoid: Option<ServerId>,
}

/// Why a request was not dispatched. In each case it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// This entry has no lease on its view.
    NoLease,
    /// The view has no server of the model or service.
    NoServer,
    /// The team has the maximum number of waiting requests.
    TeamQueueFull,
    /// The request is expected to wait beyond its deadline.
    WaitTooLong,
    /// The deadline passed while the request waited.
    Expired,
    /// The manifest no longer has the team.
    UnknownTeam,
}

/// The result of [`Router::submit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Queued or dispatched; [`Router::take_outcomes`] returns the outcome.
    Accepted(TicketId),
    /// Refused immediately.
    Refused(Refusal),
}

/// The outcome of an accepted submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request may be sent.
    Dispatch {
        /// The request.
        ticket: TicketId,
        /// The try, which must be ended with [`Router::finish`].
        dispatch: DispatchId,
        /// The backend server.
        server: ServerId,
        /// The address to send it to.
        address: SocketAddr,
        /// The team's priority.
        priority: u32,
    },
    /// The request is refused.
    Refused {
        /// The request.
        ticket: TicketId,
        /// The reason.
        refusal: Refusal,
    },
}

/// Current sizes, for metrics and the admin dump.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Waiting requests.
    pub waiting: usize,
    /// Running requests.
    pub running: usize,
    /// Backend servers in the view.
    pub servers: usize,
    /// Backend servers treated as cold.
    pub cold: usize,
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: TicketId,
    submission: Submission,
}

#[derive(Debug)]
struct RunningTry {
    server: ServerId,
    target: Target,
    team: TeamId,
    started: Instant,
}

/// The servers of one model or service, and the requests that wait for them.
#[derive(Debug, Default)]
struct Pool {
    servers: BTreeMap<ServerId, Server>,
    queues: FairQueues<WaitingRequest>,
    /// Moving average of the time that a request holds its slot, in seconds.
    mean_hold_s: Option<f64>,
}

#[derive(Debug, Default)]
struct TeamLoad {
    waiting: u32,
    running: u32,
}

/// Weight of a new sample in the moving average of the time that a slot is held.
const HOLD_WEIGHT: f64 = 0.1;

/// Queues requests and decides which backend server each one is dispatched to.
#[derive(Debug)]
pub struct Router {
    entry: EntryId,
    policy: BalancingPolicy,
    rng: Rng,
    manifest: Option<Arc<Manifest>>,
    entries: BTreeMap<EntryId, EntryView>,
    pools: BTreeMap<Target, Pool>,
    teams: BTreeMap<TeamId, TeamLoad>,
    running: BTreeMap<DispatchId, RunningTry>,
    outcomes: Vec<Outcome>,
    next_id: u64,
}

impl Router {
    /// Creates the router of an entry. `rng` draws the candidates of load balancing.
    pub fn new(entry: EntryId, policy: BalancingPolicy, rng: Rng) -> Router {
        Router {
            entry,
            policy,
            rng,
            manifest: None,
            entries: BTreeMap::new(),
            pools: BTreeMap::new(),
            teams: BTreeMap::new(),
            running: BTreeMap::new(),
            outcomes: Vec::new(),
            next_id: 1,
        }
    }

    /// Replaces the view and the manifest. Running requests are not affected.
    pub fn set_view(&mut self, view: &View, manifest: Option<Arc<Manifest>>, now: Instant) {
        self.manifest = manifest;
        self.entries = view.entries.clone();
        let mut new_servers: BTreeMap<Target, BTreeMap<ServerId, Server>> = BTreeMap::new();
        for group in view.groups.values() {
            let id = ServerId::Group(group.group, group.fence);
            let target = Target::Model(group.model.clone());
            let mut server = self.existing_or(&target, &id, Server::of_group(&id, group));
            server.set_announced_cold(group.cold);
            new_servers.entry(target).or_default().insert(id, server);
        }
        for replica in view.services.values() {
            let id = ServerId::Replica(replica.host.clone(), replica.incarnation);
            let target = Target::Service(replica.service.clone());
            let server = self.existing_or(&target, &id, Server::of_replica(&id, replica));
            new_servers.entry(target).or_default().insert(id, server);
        }
        for target in new_servers.keys() {
            self.pools.entry(target.clone()).or_default();
        }
        for (target, pool) in &mut self.pools {
            pool.servers = new_servers.remove(target).unwrap_or_default();
        }
        self.pools.retain(|_, pool| !pool.servers.is_empty() || pool.queues.len() > 0);
        self.divide_slots();
        self.dispatch_waiting(now);
    }

    /// Queues a request for its team, and dispatches waiting requests of the target to free slots.
    pub fn submit(&mut self, submission: Submission, now: Instant) -> Admission {
        let Some(manifest) = self.manifest.clone() else {
            return Admission::Refused(Refusal::NoLease);
        };
        let Some(team) = manifest.teams.iter().find(|team| team.name == submission.team) else {
            return Admission::Refused(Refusal::UnknownTeam);
        };
        let waiting = self.teams.get(&submission.team).map_or(0, |load| load.waiting);
        let Some(pool) =
            self.pools.get_mut(&submission.target).filter(|pool| !pool.servers.is_empty())
        else {
            return Admission::Refused(Refusal::NoServer);
        };
        if pool.expected_wait(now) > submission.deadline.saturating_duration_since(now) {
            return Admission::Refused(Refusal::WaitTooLong);
        }
        if waiting >= team.max_waiting && !pool.has_free(now) {
            return Admission::Refused(Refusal::TeamQueueFull);
        }
        let ticket = self.next_id;
        self.next_id += 1;
        self.teams.entry(submission.team.clone()).or_default().waiting += 1;
        let target = submission.target.clone();
        pool.queues.push(&submission.team.clone(), WaitingRequest { ticket, submission });
        self.dispatch_target(&target, now);
        Admission::Accepted(ticket)
    }

    /// Withdraws a waiting request whose caller has disconnected.
    pub fn withdraw(&mut self, ticket: TicketId) {
        self.remove_waiting(|waiting| waiting.ticket == ticket);
        self.outcomes.retain(|outcome| {
            !matches!(outcome, Outcome::Refused { ticket: refused, .. } if *refused == ticket)
        });
    }

    /// Ends a try, frees its slot and updates the state of the server.
    pub fn finish(&mut self, dispatch: DispatchId, evidence: Evidence, now: Instant) {
        let Some(ended) = self.running.remove(&dispatch) else {
            return;
        };
        if let Some(load) = self.teams.get_mut(&ended.team) {
            load.running -= 1;
        }
        if let Some(pool) = self.pools.get_mut(&ended.target) {
            let held = now.saturating_duration_since(ended.started);
            pool.record_hold(held);
            if let Some(server) = pool.servers.get_mut(&ended.server) {
                server.running -= 1;
                server.record(evidence, now);
            }
        }
        self.dispatch_target(&ended.target, now);
    }

    /// Refuses waiting requests whose deadline has passed, and dispatches others to free slots.
    pub fn tick(&mut self, now: Instant) {
        let expired = self.remove_waiting(|waiting| waiting.submission.deadline <= now);
        for ticket in expired {
            self.outcomes.push(Outcome::Refused { ticket, refusal: Refusal::Expired });
        }
        self.dispatch_waiting(now);
    }

    /// Refuses all waiting requests, because the lease on the view has expired.
    pub fn refuse_waiting(&mut self) {
        for ticket in self.remove_waiting(|_| true) {
            self.outcomes.push(Outcome::Refused { ticket, refusal: Refusal::NoLease });
        }
    }

    /// Takes the outcomes since the last call.
    pub fn take_outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Whether this entry runs no more requests on each server than its share of the slots.
    pub fn is_within_shares(&self) -> bool {
        let mut servers = self.pools.values().flat_map(|pool| pool.servers.values());
        servers.all(|server| server.running <= server.share())
    }

    /// Current sizes, for metrics and the admin dump.
    pub fn counts(&self) -> Counts {
        let servers = self.pools.values().flat_map(|pool| pool.servers.values());
        Counts {
            waiting: self.pools.values().map(|pool| pool.queues.len()).sum(),
            running: self.running.len(),
            servers: servers.clone().count(),
            cold: servers.filter(|server| server.temperature() == Temperature::Cold).count(),
        }
    }

    /// The state of a server that is already known. Otherwise `new`, with the requests that still
    /// run there: a server may leave the view and return while its requests run.
    fn existing_or(&self, target: &Target, id: &ServerId, new: Server) -> Server {
        let known = self.pools.get(target).and_then(|pool| pool.servers.get(id));
        known.cloned().unwrap_or_else(|| {
            let running = self.running.values().filter(|running| running.server == *id).count();
            new.with_running(running as u32)
        })
    }

    /// Removes the waiting requests for which `predicate` holds, and returns their tickets.
    fn remove_waiting(
        &mut self,
        mut predicate: impl FnMut(&WaitingRequest) -> bool,
    ) -> Vec<TicketId> {
        let mut tickets = Vec::new();
        for pool in self.pools.values_mut() {
            for waiting in pool.queues.remove_if(&mut predicate) {
                if let Some(load) = self.teams.get_mut(&waiting.submission.team) {
                    load.waiting -= 1;
                }
                tickets.push(waiting.ticket);
            }
        }
        tickets
    }

    /// Computes this entry's share of each server's slots. All entries divide the slots of the same
    /// view in the same way, so that their shares never add up to more than a server's slots.
    fn divide_slots(&mut self) {
        let Some(manifest) = self.manifest.clone() else {
            return;
        };
        let standing = self.entries.get(&self.entry).map(|own| own.standing);
        let may_use = standing.is_some_and(EntryStanding::uses_share);
        for (target, pool) in &mut self.pools {
            let (cold, warm) = match target {
                Target::Model(name) => manifest
                    .model(name)
                    .map_or((0, 0), |model| (model.cold_slots, model.warm_slots)),
                Target::Service(name) => {
                    manifest.service(name).map_or((0, 0), |service| (service.slots, service.slots))
                }
            };
            for (id, server) in &mut pool.servers {
                let rank = rank_of(&self.entry, &self.entries, id);
                let count = self.entries.len() as u32;
                let share = |slots: u32| if may_use { share_of(slots, rank, count) } else { 0 };
                server.cold_share = share(cold);
                server.warm_share = share(warm);
            }
        }
    }

    fn dispatch_waiting(&mut self, now: Instant) {
        let targets: Vec<Target> = self.pools.keys().cloned().collect();
        for target in targets {
            self.dispatch_target(&target, now);
        }
    }

    /// Dispatches the waiting requests of one target while it has free slots.
    fn dispatch_target(&mut self, target: &Target, now: Instant) {
        let Some(manifest) = self.manifest.clone() else {
            return;
        };
        let Some(pool) = self.pools.get_mut(target) else {
            return;
        };
        while pool.queues.len() > 0 && pool.has_free(now) {
            let team_of = |name: &TeamId| manifest.teams.iter().find(|team| team.name == *name);
            let may_run = |name: &TeamId| {
                let running = self.teams.get(name).map_or(0, |load| load.running);
                team_of(name).is_none_or(|team| running < team.max_running)
            };
            let weight = |name: &TeamId| team_of(name).map_or(1, |team| team.weight);
            let Some(waiting) = pool.queues.pop(&may_run, &weight) else {
                return;
            };
            let priority = team_of(&waiting.submission.team).map_or(0, |team| team.priority);
            let chosen = pool.choose(&waiting.submission, self.policy, &mut self.rng, now);
            let id = chosen.expect("the pool has a free slot");
            let server = pool.servers.get_mut(&id).expect("the chosen server is in the pool");
            server.running += 1;
            assert!(server.running <= server.share(), "more requests than slots at {id:?}");
            let load = self.teams.entry(waiting.submission.team.clone()).or_default();
            load.waiting -= 1;
            load.running += 1;
            let dispatch = self.next_id;
            self.next_id += 1;
            let running = RunningTry {
                server: id.clone(),
                target: target.clone(),
                team: waiting.submission.team,
                started: now,
            };
            self.running.insert(dispatch, running);
            self.outcomes.push(Outcome::Dispatch {
                ticket: waiting.ticket,
                dispatch,
                server: id,
                address: server.address,
                priority,
            });
        }
    }
}

impl Pool {
    fn has_free(&self, now: Instant) -> bool {
        self.servers.values().any(|server| server.free(now) > 0)
    }

    fn record_hold(&mut self, held: Duration) {
        let seconds = held.as_secs_f64();
        let mean = self.mean_hold_s.unwrap_or(seconds);
        self.mean_hold_s = Some(mean + (seconds - mean) * HOLD_WEIGHT);
    }

    /// Expected wait of a request that is queued now.
    fn expected_wait(&self, now: Instant) -> Duration {
        if self.has_free(now) {
            return Duration::ZERO;
        }
        let shares: u32 = self.servers.values().map(Server::share).sum();
        let Some(hold) = self.mean_hold_s.filter(|_| shares > 0) else {
            return Duration::ZERO;
        };
        let ahead = self.queues.len() as f64 + 1.0;
        Duration::from_secs_f64(ahead * hold / f64::from(shares))
    }

    fn choose(
        &self,
        submission: &Submission,
        policy: BalancingPolicy,
        rng: &mut Rng,
        now: Instant,
    ) -> Option<ServerId> {
        let candidates = || {
            self.servers.iter().map(|(id, server)| Candidate {
                id,
                hash: server.hash,
                running: server.running,
                share: server.share(),
                free: server.free(now),
            })
        };
        let avoid = submission.avoid.as_ref();
        let others = candidates().filter(|candidate| Some(candidate.id) != avoid);
        choose(others, submission.prefix, policy, rng)
            .or_else(|| choose(candidates(), submission.prefix, policy, rng))
            .cloned()
    }
}

/// The position of an entry among all entries, in an order that differs from server to server.
fn rank_of(own: &EntryId, entries: &BTreeMap<EntryId, EntryView>, server: &ServerId) -> u32 {
    let hash = server.stable_hash();
    let score = |entry: &EntryId| xxhash_rust::xxh3::xxh3_64_with_seed(entry.as_bytes(), hash);
    let own_score = score(own);
    entries.keys().filter(|entry| score(entry) > own_score).count() as u32
}

/// The share of the entry at position `rank` of `count`. The remainder goes to the first positions.
fn share_of(slots: u32, rank: u32, count: u32) -> u32 {
    if count == 0 {
        return 0;
    }
    slots / count + u32::from(rank < slots % count)
}
