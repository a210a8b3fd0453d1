//! The router: admission, queues, slots and the choice of a backend server.

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

/// Identifies a request that was submitted.
pub type TicketId = u64;
/// Identifies a try that was dispatched.
pub type DispatchId = u64;

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// A request that wants a backend server.
#[derive(Debug, Clone)]
pub struct Submission {
    /// What it is for.
    pub target: Target,
    /// The caller's team.
    pub team: TeamId,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// When an answer is of no use any more.
    pub deadline: Instant,
    /// A server that failed an earlier try, to be avoided if another one is free.
    pub avoid: Option<ServerId>,
}

/// Why a request gets no backend server. None of these has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// This entry holds no lease on its view.
    NoLease,
    /// No server of the model or service serves.
    NoServer,
    /// Too many requests of the team wait.
    TeamQueueFull,
    /// The expected wait passes the deadline.
    WaitTooLong,
    /// The deadline passed in the queue.
    Expired,
    /// The team is not in the manifest any more.
    UnknownTeam,
}

/// The answer to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// An outcome follows from [`Router::take_outcomes`].
    Accepted(TicketId),
    /// Refused at once.
    Refused(Refusal),
}

/// The outcome of an accepted submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request may be sent.
    Dispatch {
        /// The request.
        ticket: TicketId,
        /// The try; it must be ended by [`Router::finish`].
        dispatch: DispatchId,
        /// The backend server.
        server: ServerId,
        /// Where to send it.
        address: SocketAddr,
        /// The team's priority.
        priority: u32,
    },
    /// The request is refused.
    Refused {
        /// The request.
        ticket: TicketId,
        /// Why.
        refusal: Refusal,
    },
}

/// Numbers for metrics and dump.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
    /// Backend servers known.
    pub servers: usize,
    /// Backend servers that count as cold.
    pub cold: usize,
}

#[derive(Debug)]
struct Waiting {
    ticket: TicketId,
    submission: Submission,
}

#[derive(Debug)]
struct Running {
    server: ServerId,
    target: Target,
    team: TeamId,
    started: Instant,
}

#[derive(Debug, Default)]
struct Pool {
    servers: BTreeMap<ServerId, Server>,
    queues: FairQueues<Waiting>,
    /// The usual time that a request holds its slot, in seconds.
    usual_hold: Option<f64>,
}

#[derive(Debug, Default)]
struct TeamLoad {
    waiting: u32,
    running: u32,
}

/// Weight of the newest time in the usual time that a slot is held.
const HOLD_WEIGHT: f64 = 0.1;

/// Decides which request goes to which backend server.
#[derive(Debug)]
pub struct Router {
    entry: EntryId,
    choice: BalancingPolicy,
    rng: Rng,
    manifest: Option<Arc<Manifest>>,
    entries: BTreeMap<EntryId, EntryView>,
    pools: BTreeMap<Target, Pool>,
    teams: BTreeMap<TeamId, TeamLoad>,
    running: BTreeMap<DispatchId, Running>,
    outcomes: Vec<Outcome>,
    next_id: u64,
}

impl Router {
    /// A router of the entry of this name; `rng` breaks ties.
    pub fn new(entry: EntryId, choice: BalancingPolicy, rng: Rng) -> Router {
        Router {
            entry,
            choice,
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

    /// Takes a new view. Requests that run stay where they are.
    pub fn set_view(&mut self, view: &View, manifest: Option<Arc<Manifest>>, now: Instant) {
        self.manifest = manifest;
        self.entries = view.entries.clone();
        let mut fresh: BTreeMap<Target, BTreeMap<ServerId, Server>> = BTreeMap::new();
        for group in view.groups.values() {
            let id = ServerId::Group(group.group, group.fence);
            let target = Target::Model(group.model.clone());
            let mut server = self.known_or(&target, &id, Server::of_group(&id, group));
            server.announce_cold(group.cold);
            fresh.entry(target).or_default().insert(id, server);
        }
        for replica in view.services.values() {
            let id = ServerId::Replica(replica.host.clone(), replica.incarnation);
            let target = Target::Service(replica.service.clone());
            let server = self.known_or(&target, &id, Server::of_replica(&id, replica));
            fresh.entry(target).or_default().insert(id, server);
        }
        for target in fresh.keys() {
            self.pools.entry(target.clone()).or_default();
        }
        for (target, pool) in &mut self.pools {
            pool.servers = fresh.remove(target).unwrap_or_default();
        }
        self.pools.retain(|_, pool| !pool.servers.is_empty() || pool.queues.len() > 0);
        self.divide_slots();
        self.pump(now);
    }

    /// Submits a request.
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
        pool.queues.push(&submission.team.clone(), Waiting { ticket, submission });
        self.pump_target(&target, now);
        Admission::Accepted(ticket)
    }

    /// Withdraws a request that waits, because its caller left.
    pub fn withdraw(&mut self, ticket: TicketId) {
        self.remove_waiting(|waiting| waiting.ticket == ticket);
        self.outcomes.retain(|outcome| {
            !matches!(outcome, Outcome::Refused { ticket: refused, .. } if *refused == ticket)
        });
    }

    /// Ends a try and frees its slot.
    pub fn finish(&mut self, dispatch: DispatchId, evidence: Evidence, now: Instant) {
        let Some(ended) = self.running.remove(&dispatch) else {
            return;
        };
        if let Some(load) = self.teams.get_mut(&ended.team) {
            load.running -= 1;
        }
        if let Some(pool) = self.pools.get_mut(&ended.target) {
            let held = now.saturating_duration_since(ended.started);
            pool.note_hold(held);
            if let Some(server) = pool.servers.get_mut(&ended.server) {
                server.running -= 1;
                server.learn(evidence, now);
            }
        }
        self.pump_target(&ended.target, now);
    }

    /// Refuses requests whose deadline has passed, and dispatches what is due.
    pub fn tick(&mut self, now: Instant) {
        let expired = self.remove_waiting(|waiting| waiting.submission.deadline <= now);
        for ticket in expired {
            self.outcomes.push(Outcome::Refused { ticket, refusal: Refusal::Expired });
        }
        self.pump(now);
    }

    /// Refuses all requests that wait, because the lease on the view has ended.
    pub fn refuse_waiting(&mut self) {
        for ticket in self.remove_waiting(|_| true) {
            self.outcomes.push(Outcome::Refused { ticket, refusal: Refusal::NoLease });
        }
    }

    /// Takes the outcomes of submissions.
    pub fn take_outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Whether no server runs more requests of this entry than its share.
    pub fn is_within_shares(&self) -> bool {
        let mut servers = self.pools.values().flat_map(|pool| pool.servers.values());
        servers.all(|server| server.running <= server.share())
    }

    /// Numbers for metrics and dump.
    pub fn counts(&self) -> Counts {
        let servers = self.pools.values().flat_map(|pool| pool.servers.values());
        Counts {
            waiting: self.pools.values().map(|pool| pool.queues.len()).sum(),
            running: self.running.len(),
            servers: servers.clone().count(),
            cold: servers.filter(|server| server.temperature() == Temperature::Cold).count(),
        }
    }

    /// What was learned of a server, or a new one with the requests that still run there:
    /// a server may leave the view and come back while they do.
    fn known_or(&self, target: &Target, id: &ServerId, new: Server) -> Server {
        let known = self.pools.get(target).and_then(|pool| pool.servers.get(id));
        known.cloned().unwrap_or_else(|| {
            let running = self.running.values().filter(|running| running.server == *id).count();
            new.with_running(running as u32)
        })
    }

    fn remove_waiting(&mut self, mut leaves: impl FnMut(&Waiting) -> bool) -> Vec<TicketId> {
        let mut tickets = Vec::new();
        for pool in self.pools.values_mut() {
            for waiting in pool.queues.remove_if(&mut leaves) {
                if let Some(load) = self.teams.get_mut(&waiting.submission.team) {
                    load.waiting -= 1;
                }
                tickets.push(waiting.ticket);
            }
        }
        tickets
    }

    /// Gives this entry its share of each server's slots. All entries divide alike from
    /// the same view, so that together they never exceed what a server bears.
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

    fn pump(&mut self, now: Instant) {
        let targets: Vec<Target> = self.pools.keys().cloned().collect();
        for target in targets {
            self.pump_target(&target, now);
        }
    }

    /// Dispatches waiting requests of one target while slots are free.
    fn pump_target(&mut self, target: &Target, now: Instant) {
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
            let chosen = pool.choose(&waiting.submission, self.choice, &mut self.rng, now);
            let id = chosen.expect("a server has a free slot");
            let server = pool.servers.get_mut(&id).expect("a chosen server is in the pool");
            server.running += 1;
            assert!(server.running <= server.share(), "more requests than slots at {id:?}");
            let load = self.teams.entry(waiting.submission.team.clone()).or_default();
            load.waiting -= 1;
            load.running += 1;
            let dispatch = self.next_id;
            self.next_id += 1;
            let running = Running {
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

    fn note_hold(&mut self, held: Duration) {
        let seconds = held.as_secs_f64();
        let usual = self.usual_hold.unwrap_or(seconds);
        self.usual_hold = Some(usual + (seconds - usual) * HOLD_WEIGHT);
    }

    /// The expected wait of a request that joins the queues now.
    fn expected_wait(&self, now: Instant) -> Duration {
        if self.has_free(now) {
            return Duration::ZERO;
        }
        let shares: u32 = self.servers.values().map(Server::share).sum();
        let Some(hold) = self.usual_hold.filter(|_| shares > 0) else {
            return Duration::ZERO;
        };
        let ahead = self.queues.len() as f64 + 1.0;
        Duration::from_secs_f64(ahead * hold / f64::from(shares))
    }

    fn choose(
        &self,
        submission: &Submission,
        choice: BalancingPolicy,
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
        choose(others, submission.prefix, choice, rng)
            .or_else(|| choose(candidates(), submission.prefix, choice, rng))
            .cloned()
    }
}

/// The position of an entry in a server's own order of all entries.
fn rank_of(own: &EntryId, entries: &BTreeMap<EntryId, EntryView>, server: &ServerId) -> u32 {
    let hash = server.stable_hash();
    let score = |entry: &EntryId| xxhash_rust::xxh3::xxh3_64_with_seed(entry.as_bytes(), hash);
    let own_score = score(own);
    entries.keys().filter(|entry| score(entry) > own_score).count() as u32
}

/// The share of the entry at `rank` of `count`: the first ranks get what is left over.
fn share_of(slots: u32, rank: u32, count: u32) -> u32 {
    if count == 0 {
        return 0;
    }
    slots / count + u32::from(rank < slots % count)
}
