//! The backend servers that an entry may use, and the work that it has given them.

use crate::{cold::ColdGate, demand::Demand};
use fleet::{Engine, GroupName, Manifest, Replica, RoutingView};
use model::ids::{DomainId, HostId, ModelId, ServiceId};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// How long a backend server that could not be reached gets nothing.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1000);
/// How long a backend server that was full gets nothing.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// Requests of a plain service that wait at one of its replicas, per running one.
const PLAIN_QUEUE: usize = 1;
/// Shortest time after which a refused caller should come back.
const RETRY_MIN: Duration = Duration::from_millis(800);
/// Most that is added to it, so that those who were refused together come back apart.
const RETRY_SPREAD: Duration = Duration::from_millis(800);

/// What a request needs.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// The service.
    pub service: ServiceId,
    /// The model, for a service with engines.
    pub model: Option<ModelId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer that are expected.
    pub answer_tokens: u64,
    /// Backend servers that have failed this request.
    pub avoid: Vec<HostId>,
}

/// A backend server for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The backend server.
    pub replica: Replica,
    /// Requests of this entry that run there, this one included.
    pub running: usize,
    /// Gives its place back.
    pub slot: SlotId,
}

/// A place of a request at a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotId {
    host: HostId,
    number: u64,
}

/// Why no backend server takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// No backend server offers what the request needs.
    NoServer,
    /// All places are taken; one is expected after this time.
    Full(Duration),
}

#[derive(Debug)]
struct Work {
    prompt_tokens: u64,
    sent: Instant,
    first_event: Option<Instant>,
}

#[derive(Debug)]
struct Place {
    replica: Replica,
    cold_until: Instant,
    avoid_until: Option<Instant>,
    work: BTreeMap<u64, Work>,
    progress: Option<Instant>,
    /// The number of the last request that it was chosen for.
    chosen: u64,
}

/// The backend servers that an entry may use.
#[derive(Debug, Default)]
pub struct Backends {
    manifest: Option<Arc<Manifest>>,
    places: BTreeMap<HostId, Place>,
    /// What cold hosts got lately, whatever group they were in or view they were missing from.
    cold: BTreeMap<HostId, ColdGate>,
    /// Entries that share the backend servers, this one included.
    entries: usize,
    /// This entry's part of the places, if control has told it.
    share: Option<f64>,
    domain: DomainId,
    /// Tells this entry from others, between 0 and 1.
    phase: f64,
    next: u64,
    refused: u32,
    demand: Demand,
}

impl Backends {
    /// The backend servers of an entry; `domain` is its own failure domain, and `phase`, between
    /// 0 and 1, tells it from other entries.
    pub fn new(domain: DomainId, phase: f64) -> Backends {
        Backends { entries: 1, domain, phase, ..Backends::default() }
    }

    /// Takes a new manifest.
    pub fn set_manifest(&mut self, manifest: Arc<Manifest>) {
        self.manifest = Some(manifest);
    }

    /// Takes this entry's part of the places at the backend servers, between 0 and 1.
    pub fn set_share(&mut self, part: f64) {
        self.share = Some(part);
    }

    /// Takes a new view.
    pub fn set_view(&mut self, view: RoutingView, now: Instant) {
        self.entries = view.senders.max(view.entries.len()).max(1);
        let named: BTreeSet<HostId> = view.replicas.iter().map(|r| r.host.clone()).collect();
        self.places.retain(|host, _| named.contains(host));
        self.cold.retain(|host, gate| named.contains(host) || !gate.is_over(now));
        for replica in view.replicas {
            let cold_until = now + replica.cold;
            match self.places.get_mut(&replica.host) {
                Some(place) if place.replica.group == replica.group => {
                    place.replica = replica;
                    place.cold_until = cold_until;
                }
                _ => {
                    let place = Place {
                        cold_until,
                        replica: replica.clone(),
                        avoid_until: None,
                        work: BTreeMap::new(),
                        progress: None,
                        chosen: 0,
                    };
                    self.places.insert(replica.host, place);
                }
            }
        }
    }

    /// Chooses a backend server, and takes a place there.
    ///
    /// # Errors
    ///
    /// Fails if none can take the request now.
    pub fn choose(&mut self, needs: &Requirements, now: Instant) -> Result<Choice, Refused> {
        let Some(manifest) = self.manifest.clone() else {
            return Err(Refused::NoServer);
        };
        let Some(service) = manifest.service(&needs.service) else {
            return Err(Refused::NoServer);
        };
        self.note_demand(needs, service.engine.as_ref(), now);
        let cold_share = service.cold.per_s / self.entries as f64;
        let mut has_cold_room = |host: &HostId| {
            let phase = (self.phase + spread_of(host)).fract();
            let gate = self.cold.entry(host.clone()).or_default();
            gate.has_room(cold_share, phase, now)
        };
        let mut offered = false;
        let mut best: Option<((f64, u64), HostId)> = None;
        let share = self.share.unwrap_or(1.0 / self.entries as f64);
        for place in self.places.values_mut() {
            if !place.offers(needs) {
                continue;
            }
            offered = true;
            let cold = place.cold_until > now;
            if place.avoid_until.is_some_and(|until| until > now)
                || (cold && !has_cold_room(&place.replica.host))
                || !place.has_room(service.engine.as_ref(), share)
            {
                continue;
            }
            let mut load = place.load(service.engine.as_ref());
            if cold {
                load += 1.0;
            }
            if place.replica.domain != self.domain {
                load += FAR_LOAD;
            }
            // Of equals, the one that was chosen least lately.
            let rank = (load, place.chosen);
            if best.as_ref().is_none_or(|(other, _)| rank < *other) {
                best = Some((rank, place.replica.host.clone()));
            }
        }
        let Some((_, host)) = best else {
            return Err(if offered {
                Refused::Full(self.retry_after())
            } else {
                Refused::NoServer
            });
        };
        self.next += 1;
        let number = self.next;
        let place = self.places.get_mut(&host).expect("it was just found");
        place.chosen = number;
        if place.cold_until > now {
            self.cold.entry(host.clone()).or_default().note(cold_share, now);
        }
        let work = Work { prompt_tokens: needs.prompt_tokens, sent: now, first_event: None };
        place.work.insert(number, work);
        Ok(Choice {
            replica: place.replica.clone(),
            running: place.work.len(),
            slot: SlotId { host, number },
        })
    }

    /// Counts the work of a request, unless it was counted at an earlier try.
    fn note_demand(&mut self, needs: &Requirements, engine: Option<&Engine>, now: Instant) {
        if !needs.avoid.is_empty() {
            return;
        }
        self.demand.add_request(now);
        let (Some(engine), Some(name)) = (engine, &needs.model) else {
            return;
        };
        if let Some(model) = engine.model(name) {
            let work = engine.group_seconds(model, needs.prompt_tokens, needs.answer_tokens);
            self.demand.add_work(name, work, now);
        }
    }

    /// The work that callers asked for lately, by model, in groups that it would fill.
    pub fn demand(&self, now: Instant) -> Vec<(ModelId, f64)> {
        self.demand.work(now)
    }

    /// Requests a second that callers asked for lately, refused ones included.
    pub fn request_rate(&self, now: Instant) -> f64 {
        self.demand.asked(now)
    }

    /// When the next refused caller should come back: spread evenly over the span.
    fn retry_after(&mut self) -> Duration {
        self.refused = self.refused.wrapping_add(1);
        // Multiples of the golden ratio fill the span evenly, whatever their number.
        let part = (f64::from(self.refused) * 0.618_033_988_75).fract();
        RETRY_MIN + RETRY_SPREAD.mul_f64(part)
    }

    /// Notes an event of a stream, or an answer.
    pub fn record_progress(&mut self, slot: &SlotId, now: Instant) {
        if let Some(place) = self.places.get_mut(&slot.host) {
            place.progress = Some(now);
            if let Some(work) = place.work.get_mut(&slot.number) {
                work.first_event.get_or_insert(now);
            }
        }
    }

    /// Gives a place back.
    pub fn release(&mut self, slot: &SlotId) {
        if let Some(place) = self.places.get_mut(&slot.host) {
            place.work.remove(&slot.number);
        }
    }

    /// Notes that a backend server can't be reached.
    pub fn mark_unreachable(&mut self, host: &HostId, now: Instant) {
        self.avoid(host, now + UNREACHABLE_PAUSE);
    }

    /// Notes that a backend server was full.
    pub fn mark_full(&mut self, host: &HostId, now: Instant) {
        self.avoid(host, now + FULL_PAUSE);
    }

    fn avoid(&mut self, host: &HostId, until: Instant) {
        if let Some(place) = self.places.get_mut(host) {
            place.avoid_until = Some(until);
        }
    }

    /// Groups whose head answered within `within`.
    pub fn progressing(&self, within: Duration, now: Instant) -> Vec<GroupName> {
        let recent = |place: &&Place| {
            place.progress.is_some_and(|at| now.saturating_duration_since(at) <= within)
        };
        let groups = self.places.values().filter(recent);
        groups
            .filter_map(|place| place.replica.group.as_ref())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Groups that have had work of this entry for at least `after`, and whose head has
    /// produced nothing in that time.
    pub fn stalled(&self, after: Duration, now: Instant) -> Vec<GroupName> {
        let stuck = |place: &&Place| {
            let quiet = place.progress.is_none_or(|at| now.saturating_duration_since(at) >= after);
            let oldest = place.work.values().map(|work| work.sent).min();
            let waits = oldest.is_some_and(|at| now.saturating_duration_since(at) >= after);
            quiet && waits
        };
        let groups = self.places.values().filter(stuck);
        groups
            .filter_map(|place| place.replica.group.as_ref())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The number of requests under way, by backend server.
    pub fn work(&self) -> impl Iterator<Item = (&HostId, usize)> {
        self.places.iter().map(|(host, place)| (host, place.work.len()))
    }
}

/// What a backend server in another failure domain counts as more loaded than a near one,
/// in requests.
const FAR_LOAD: f64 = 2.0;

/// What a step's worth of prompt that is still to be read counts, in running requests: all
/// others wait while it is read, and hardly for one request more that writes.
const UNREAD_LOAD: f64 = 8.0;

/// A number between 0 and 1 for a host, the same at all entries, so that the order in which
/// entries send differs from host to host.
fn spread_of(host: &HostId) -> f64 {
    xxh3_64(host.as_bytes()) as f64 / u64::MAX as f64
}

impl Place {
    fn offers(&self, needs: &Requirements) -> bool {
        self.replica.service == needs.service
            && !needs.avoid.contains(&self.replica.host)
            && match (&self.replica.group, &needs.model) {
                (Some((_, model)), Some(wanted)) => model == wanted,
                (None, _) => true,
                (Some(_), None) => true,
            }
    }

    /// Whether this entry's part of the places has room.
    fn has_room(&self, engine: Option<&Engine>, share: f64) -> bool {
        let slots = match engine {
            Some(engine) => engine.slots as usize,
            None => self.replica.slots as usize * (1 + PLAIN_QUEUE),
        };
        // At least one place, or an entry with few callers could serve none of them.
        self.work.len() < (slots as f64 * share).ceil().max(1.0) as usize
    }

    /// Running requests, with prompts that are still to be read counted by their length.
    fn load(&self, engine: Option<&Engine>) -> f64 {
        let running = self.work.len() as f64;
        let Some(engine) = engine else {
            return running;
        };
        let unread: u64 = self
            .work
            .values()
            .filter(|work| work.first_event.is_none())
            .map(|work| work.prompt_tokens)
            .sum();
        running + UNREAD_LOAD * unread as f64 / f64::from(engine.chunk)
    }
}
