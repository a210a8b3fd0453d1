//! Selection of a backend server for a request, and the requests that this entry runs on each one.

use crate::{
    demand::Demand,
    notices::{Notice, Notices, Permit},
    rate::{RateLimit, RateLimiter},
};
use fleet::{Engine, GroupName, HostLimit, Incarnation, Manifest, RateShare, Replica, RoutingView};
use model::ids::{DomainId, EntryId, HostId, ModelId, ServiceId};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// How long a backend server is skipped after it could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1000);
/// How long a backend server is skipped after it reported that it was full. Each further time
/// without an answer in between doubles it, as each attempt there may cost a retry elsewhere.
const FULL_BACKOFF: Duration = Duration::from_millis(50);
/// How often `FULL_BACKOFF` is doubled at most.
const MAX_FULL_DOUBLINGS: u32 = 3;
/// How long a backend server that has answered on a new connection counts as reached.
const PROOF_TIME: Duration = Duration::from_secs(3);
/// Requests of a plain service that may queue at a replica, per slot.
const PLAIN_QUEUE_PER_SLOT: usize = 1;
/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Upper bound of the time added to `MIN_RETRY_AFTER`, so that callers refused together don't
/// retry together.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(800);
/// Load, in requests, added to a backend server in another failure domain.
const REMOTE_DOMAIN_LOAD: f64 = 2.0;
/// Load, in requests, of one chunk of prompt tokens that is still to be processed. Processing a
/// chunk holds up all other requests of the group, whereas one more request that generates tokens
/// hardly slows them down.
const PROMPT_CHUNK_LOAD: f64 = 8.0;

/// What a request requires of a backend server.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// The service.
    pub service: ServiceId,
    /// The model, for a service with engines.
    pub model: Option<ModelId>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Expected number of tokens in the answer.
    pub answer_tokens: u64,
    /// Backend servers to skip, because an earlier try of this request failed there.
    pub avoid: Vec<HostId>,
    /// If set, only backend servers will do that have answered on a new connection since this time,
    /// and of late.
    pub proven_since: Option<Instant>,
    /// The entry that passed the request on, if it did not come from a caller.
    pub origin: Option<Origin>,
}

/// An entry whose requests this one sends to backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Origin {
    /// Its name.
    pub entry: EntryId,
    /// The share of the slots of each backend server that its requests may take here, between 0
    /// and 1. They take none of this entry's own share.
    pub share: f64,
}

/// The backend server chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The backend server.
    pub replica: Replica,
    /// Requests that this entry runs there, including this one.
    pub running: usize,
    /// The slot taken by the request, to be passed to [`Backends::release`].
    pub slot: SlotId,
}

/// Identifies the slot that a request holds at a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotId {
    host: HostId,
    number: u64,
}

/// Why no backend server was chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// No backend server offers the service and model.
    NoServer,
    /// All backend servers that offer them are at a limit or skipped after a failure; the caller
    /// should retry after this time.
    Full(Duration),
}

#[derive(Debug)]
struct RunningRequest {
    /// The entry that passed it on, if it did not come from a caller.
    origin: Option<EntryId>,
    prompt_tokens: u64,
    sent_at: Instant,
    first_event_at: Option<Instant>,
}

#[derive(Debug)]
struct Backend {
    replica: Replica,
    cold_until: Instant,
    avoid_until: Option<Instant>,
    /// When it last answered on a new connection, unless it could not be reached since.
    proven_at: Option<Instant>,
    /// How often it has reported that it was full since its last answer.
    full_in_a_row: u32,
    /// Requests of this entry that run here, by slot number.
    running: BTreeMap<u64, RunningRequest>,
    last_progress: Option<Instant>,
    /// Slot number of the last request that was sent here.
    last_slot: u64,
}

/// The rate limiters of one host.
#[derive(Debug, Default)]
struct HostLimiters {
    /// For its cold start.
    cold: RateLimiter,
    /// For the limit that it has named.
    named: RateLimiter,
}

impl HostLimiters {
    /// When the limits in force permit the next request, at most `now` if they do now. `None` if
    /// they permit none of this entry.
    fn next_at(
        &mut self,
        cold: Option<RateLimit>,
        named: Option<RateLimit>,
        share: RateShare,
        offset: f64,
        now: Instant,
    ) -> Option<Instant> {
        let mut next = now;
        for (limiter, limit) in [(&mut self.cold, cold), (&mut self.named, named)] {
            if let Some(limit) = limit {
                limiter.set(limit, share, offset, now);
                next = next.max(limiter.next_at(now)?);
            }
        }
        Some(next)
    }
}

/// The backend servers that an entry may send requests to.
#[derive(Debug, Default)]
pub struct Backends {
    manifest: Option<Arc<Manifest>>,
    by_host: BTreeMap<HostId, Backend>,
    /// Rate limiters of hosts. They outlive a change of group and a short absence from the view, so
    /// that neither resets the limit.
    limiters: BTreeMap<HostId, HostLimiters>,
    notices: Notices,
    /// Number of entries that share the backend servers, including this one.
    entries: usize,
    /// This entry's share of the slots, once control has assigned one.
    share: Option<f64>,
    /// This entry's part of shared rates, once control has assigned one.
    rate_share: Option<RateShare>,
    domain: DomainId,
    /// Where the part of shared rates begins before control has assigned one.
    phase: f64,
    last_slot: u64,
    refusals: u32,
    demand: Demand,
}

impl Backends {
    /// Creates an empty set of backend servers for an entry in the failure domain `domain`.
    ///
    /// `phase`, between 0 and 1, should differ between entries: until control has assigned a part of
    /// shared rates, it decides which part the entry uses.
    pub fn new(domain: DomainId, phase: f64) -> Backends {
        Backends { entries: 1, domain, phase, ..Backends::default() }
    }

    /// Replaces the manifest.
    pub fn set_manifest(&mut self, manifest: Arc<Manifest>) {
        self.manifest = Some(manifest);
    }

    /// Sets this entry's share of the slots of each backend server, between 0 and 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = Some(share);
    }

    /// Sets this entry's part of the rates that all entries share.
    pub fn set_rate_share(&mut self, share: RateShare) {
        self.rate_share = Some(share);
    }

    /// Replaces the view. A backend server that stays in the same group keeps its running
    /// requests.
    pub fn set_view(&mut self, view: RoutingView, now: Instant) {
        self.entries = view.senders.max(view.entries.len()).max(1);
        let hosts: BTreeSet<HostId> = view.replicas.iter().map(|r| r.host.clone()).collect();
        self.by_host.retain(|host, _| hosts.contains(host));
        let is_free = |limiters: &HostLimiters| {
            limiters.cold.is_expired(now) && limiters.named.is_expired(now)
        };
        self.limiters.retain(|host, limiters| hosts.contains(host) || !is_free(limiters));
        self.notices.set_view(&view.replicas, now);
        for replica in view.replicas {
            let cold_until = now + replica.cold_remaining;
            match self.by_host.get_mut(&replica.host) {
                Some(backend) if backend.replica.group == replica.group => {
                    backend.replica = replica;
                    backend.cold_until = cold_until;
                }
                _ => {
                    let backend = Backend {
                        cold_until,
                        replica: replica.clone(),
                        avoid_until: None,
                        proven_at: None,
                        full_in_a_row: 0,
                        running: BTreeMap::new(),
                        last_progress: None,
                        last_slot: 0,
                    };
                    self.by_host.insert(replica.host, backend);
                }
            }
        }
    }

    /// Chooses the least loaded backend server that may take the request, and takes a slot there.
    ///
    /// # Errors
    ///
    /// Fails if no backend server offers the service and model, or if none of those that do can
    /// take the request now.
    pub fn choose(&mut self, requirements: &Requirements, now: Instant) -> Result<Choice, Refused> {
        let Some(manifest) = self.manifest.clone() else {
            return Err(Refused::NoServer);
        };
        let Some(service) = manifest.service(&requirements.service) else {
            return Err(Refused::NoServer);
        };
        self.record_demand(requirements, service.engine.as_ref(), now);
        let cold_limit = RateLimit::cold(service.cold_limit.per_s);
        let even = RateShare { start: self.phase, size: 1.0 / self.entries as f64 };
        let rate_share = self.rate_share.unwrap_or(even);
        let mut offered = false;
        // When the first of the backend servers may be sent a request again.
        let mut opens_at: Option<Instant> = None;
        let mut best: Option<((f64, u64), HostId)> = None;
        let origin = requirements.origin.as_ref();
        let share = origin.map_or_else(|| self.share(), |origin| origin.share);
        let origin = origin.map(|origin| &origin.entry);
        for backend in self.by_host.values_mut() {
            if !backend.offers(requirements) {
                continue;
            }
            offered = true;
            if requirements.proven_since.is_some_and(|since| !backend.is_proven(since, now)) {
                continue;
            }
            match self.notices.permit(&backend.replica, now) {
                Permit::Now => {}
                Permit::From(at) => {
                    opens_at = earlier(opens_at, Some(at));
                    continue;
                }
                Permit::Never => continue,
            }
            let host = &backend.replica.host;
            let cold = backend.cold_until > now;
            let cold_limit = cold.then_some(cold_limit);
            let named_limit = self.notices.limit_per_s(&backend.replica).and_then(RateLimit::named);
            if cold_limit.is_some() || named_limit.is_some() {
                let limiters = self.limiters.entry(host.clone()).or_default();
                let offset = host_offset(host);
                let next = limiters.next_at(cold_limit, named_limit, rate_share, offset, now);
                if next.is_none_or(|at| at > now) {
                    opens_at = earlier(opens_at, next);
                    continue;
                }
            }
            opens_at = Some(now);
            if backend.avoid_until.is_some_and(|until| until > now)
                || !backend.has_free_slot(service.engine.as_ref(), share, origin)
            {
                continue;
            }
            let mut load = backend.load(service.engine.as_ref());
            if cold {
                load += 1.0;
            }
            if backend.replica.domain != self.domain {
                load += REMOTE_DOMAIN_LOAD;
            }
            // Ties go to the least recently chosen backend server.
            let rank = (load, backend.last_slot);
            if best.as_ref().is_none_or(|(other, _)| rank < *other) {
                best = Some((rank, backend.replica.host.clone()));
            }
        }
        let Some((_, host)) = best else {
            return Err(if offered {
                let closed_for =
                    opens_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
                Refused::Full(self.retry_after(closed_for))
            } else {
                Refused::NoServer
            });
        };
        self.last_slot += 1;
        let number = self.last_slot;
        let backend = self.by_host.get_mut(&host).expect("the chosen host is in the map");
        backend.last_slot = number;
        if let Some(limiters) = self.limiters.get_mut(&host) {
            limiters.cold.record(now);
            limiters.named.record(now);
        }
        let request = RunningRequest {
            origin: origin.cloned(),
            prompt_tokens: requirements.prompt_tokens,
            sent_at: now,
            first_event_at: None,
        };
        backend.running.insert(number, request);
        Ok(Choice {
            replica: backend.replica.clone(),
            running: backend.running.len(),
            slot: SlotId { host, number },
        })
    }

    /// This entry's share of the slots of each backend server.
    pub fn share(&self) -> f64 {
        self.share.unwrap_or(1.0 / self.entries as f64)
    }

    /// Adds a request to the measured demand, unless an earlier try of it was already counted, or
    /// the entry that it came from counts it.
    fn record_demand(
        &mut self,
        requirements: &Requirements,
        engine: Option<&Engine>,
        now: Instant,
    ) {
        if !requirements.avoid.is_empty() || requirements.origin.is_some() {
            return;
        }
        self.demand.record_request(now);
        let (Some(engine), Some(name)) = (engine, &requirements.model) else {
            return;
        };
        if let Some(model) = engine.model(name) {
            let work =
                engine.group_seconds(model, requirements.prompt_tokens, requirements.answer_tokens);
            self.demand.record_work(name, work, now);
        }
    }

    /// Recent demand by model, as the number of groups that it would keep fully loaded.
    pub fn demand(&self, now: Instant) -> Vec<(ModelId, f64)> {
        self.demand.groups_by_model(now)
    }

    /// Recent requests per second from callers, including refused ones.
    pub fn request_rate(&self, now: Instant) -> f64 {
        self.demand.request_rate(now)
    }

    /// When the next refused caller should retry, spread evenly over the permitted range, if no
    /// backend server takes a request for `closed_for`.
    fn retry_after(&mut self, closed_for: Duration) -> Duration {
        self.refusals = self.refusals.wrapping_add(1);
        // Multiples of the golden ratio modulo 1 are evenly spread for any number of refusals.
        let fraction = (f64::from(self.refusals) * 0.618_033_988_75).fract();
        MIN_RETRY_AFTER.max(closed_for) + RETRY_AFTER_SPREAD.mul_f64(fraction)
    }

    /// Records that a backend server sent an event of a stream, or an answer.
    pub fn record_progress(&mut self, slot: &SlotId, now: Instant) {
        if let Some(backend) = self.by_host.get_mut(&slot.host) {
            backend.last_progress = Some(now);
            backend.full_in_a_row = 0;
            if let Some(request) = backend.running.get_mut(&slot.number) {
                request.first_event_at.get_or_insert(now);
            }
        }
    }

    /// Frees the slot of a request that has ended.
    pub fn release(&mut self, slot: &SlotId) {
        if let Some(backend) = self.by_host.get_mut(&slot.host) {
            backend.running.remove(&slot.number);
        }
    }

    /// Records what a backend server said of itself in a response. `replica` is the view's entry
    /// for it at the time of the request, which was sent at `sent_at`. Returns whether the notice
    /// was news.
    pub fn record_notice(
        &mut self,
        replica: &Replica,
        notice: &Notice,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        self.notices.record(replica, notice, sent_at, now)
    }

    /// What backend servers have said to this entry of their rate limits.
    pub fn limits(&self, now: Instant) -> Vec<HostLimit> {
        self.notices.limits(now)
    }

    /// Skips a backend server for `UNREACHABLE_BACKOFF`, because it could not be reached.
    pub fn mark_unreachable(&mut self, host: &HostId, now: Instant) {
        if let Some(backend) = self.by_host.get_mut(host) {
            backend.proven_at = None;
        }
        self.avoid(host, now + UNREACHABLE_BACKOFF);
    }

    /// Records that a backend server has answered on a new connection.
    pub fn mark_proven(&mut self, host: &HostId, now: Instant) {
        if let Some(backend) = self.by_host.get_mut(host) {
            backend.proven_at = Some(now);
        }
    }

    /// Skips a backend server for `FULL_BACKOFF` or a multiple, because it reported that it was full.
    pub fn mark_full(&mut self, host: &HostId, now: Instant) {
        let Some(backend) = self.by_host.get_mut(host) else {
            return;
        };
        let doublings = backend.full_in_a_row.min(MAX_FULL_DOUBLINGS);
        backend.full_in_a_row += 1;
        self.avoid(host, now + FULL_BACKOFF * 2_u32.pow(doublings));
    }

    fn avoid(&mut self, host: &HostId, until: Instant) {
        if let Some(backend) = self.by_host.get_mut(host) {
            backend.avoid_until = Some(until);
        }
    }

    /// Groups whose head has sent an event or an answer to this entry within `within`.
    pub fn progressing(&self, within: Duration, now: Instant) -> Vec<GroupName> {
        let recent = |backend: &&Backend| {
            backend.last_progress.is_some_and(|at| now.saturating_duration_since(at) <= within)
        };
        let groups = self.by_host.values().filter(recent);
        groups
            .filter_map(|backend| backend.replica.group.as_ref())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Groups that have run a request of this entry for at least `after`, and whose head has sent
    /// nothing to this entry in that time.
    pub fn stalled(&self, after: Duration, now: Instant) -> Vec<GroupName> {
        let is_stalled = |backend: &&Backend| {
            let silent =
                backend.last_progress.is_none_or(|at| now.saturating_duration_since(at) >= after);
            let oldest = backend.running.values().map(|request| request.sent_at).min();
            let overdue = oldest.is_some_and(|at| now.saturating_duration_since(at) >= after);
            silent && overdue
        };
        let groups = self.by_host.values().filter(is_stalled);
        groups
            .filter_map(|backend| backend.replica.group.as_ref())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Backend servers at which to find out whether this entry reaches any: at most `count`, drawn
    /// with `pick`, in as many failure domains as possible, and none that wants no requests now.
    pub fn probe_targets(
        &self,
        count: usize,
        now: Instant,
        mut pick: impl FnMut(usize) -> usize,
    ) -> Vec<(HostId, SocketAddr)> {
        let mut by_domain: BTreeMap<&DomainId, Vec<&Replica>> = BTreeMap::new();
        let replicas = self.by_host.values().map(|backend| &backend.replica);
        for replica in replicas.filter(|r| self.notices.permit(r, now) == Permit::Now) {
            by_domain.entry(&replica.domain).or_default().push(replica);
        }
        let mut domains: VecDeque<Vec<&Replica>> = by_domain.into_values().collect();
        if !domains.is_empty() {
            domains.rotate_left(pick(domains.len()));
        }
        let mut targets = Vec::new();
        while targets.len() < count
            && let Some(mut replicas) = domains.pop_front()
        {
            let replica = replicas.swap_remove(pick(replicas.len()));
            targets.push((replica.host.clone(), replica.address));
            if !replicas.is_empty() {
                domains.push_back(replicas);
            }
        }
        targets
    }

    /// The entry of the view for an incarnation of a backend server.
    pub fn replica(&self, host: &HostId, incarnation: Incarnation) -> Option<&Replica> {
        let replica = &self.by_host.get(host)?.replica;
        (replica.incarnation == incarnation).then_some(replica)
    }

    /// The number of requests that this entry runs on each backend server.
    pub fn running(&self) -> impl Iterator<Item = (&HostId, usize)> {
        self.by_host.iter().map(|(host, backend)| (host, backend.running.len()))
    }
}

/// The earlier of two times, of which either may not be known.
fn earlier(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    a.into_iter().chain(b).min()
}

/// Offset of a host's shared rate, between 0 and 1. All entries compute the same one, so that each
/// entry has parts of the rates of some hosts.
fn host_offset(host: &HostId) -> f64 {
    xxh3_64(host.as_bytes()) as f64 / u64::MAX as f64
}

impl Backend {
    fn is_proven(&self, since: Instant, now: Instant) -> bool {
        let is_valid = |at| at >= since && now.saturating_duration_since(at) < PROOF_TIME;
        self.proven_at.is_some_and(is_valid)
    }

    fn offers(&self, requirements: &Requirements) -> bool {
        self.replica.service == requirements.service
            && !requirements.avoid.contains(&self.replica.host)
            && match (&self.replica.group, &requirements.model) {
                (Some((_, model)), Some(wanted)) => model == wanted,
                (None, _) => true,
                (Some(_), None) => true,
            }
    }

    /// Whether fewer requests of one origin run than its share of the slots allows.
    fn has_free_slot(&self, engine: Option<&Engine>, share: f64, origin: Option<&EntryId>) -> bool {
        let slots = match engine {
            Some(engine) => engine.slots as usize,
            None => self.replica.slots as usize * (1 + PLAIN_QUEUE_PER_SLOT),
        };
        // At least one slot: an entry with few callers has a small share, and could otherwise
        // serve none of them.
        let of_origin = |request: &&RunningRequest| request.origin.as_ref() == origin;
        let running = self.running.values().filter(of_origin).count();
        running < (slots as f64 * share).ceil().max(1.0) as usize
    }

    /// Number of running requests, plus the load of prompts that are still to be processed, in
    /// proportion to their length.
    fn load(&self, engine: Option<&Engine>) -> f64 {
        let running = self.running.len() as f64;
        let Some(engine) = engine else {
            return running;
        };
        let pending_prompt_tokens: u64 = self
            .running
            .values()
            .filter(|request| request.first_event_at.is_none())
            .map(|request| request.prompt_tokens)
            .sum();
        running + PROMPT_CHUNK_LOAD * pending_prompt_tokens as f64 / f64::from(engine.chunk)
    }
}
