//! Load balancing over the backend servers that have a free slot.
//!
//! Prefix affinity uses rendezvous hashing (Thaler and Ravishankar, 1998) with bounded load
//! (Mirrokni, Thorup and Zadimoghaddam, 2016). A request without a prefix, or whose two preferred
//! servers are full or at the bound, goes to the less loaded of two random servers (Mitzenmacher,
//! 1996).

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How a backend server is chosen among those with a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// The server preferred by the prefix, within a bound on its load; otherwise the less loaded of
    /// two random servers.
    Affinity,
    /// A random server.
    Random,
    /// The server with the fewest running requests.
    LeastRunning,
}

/// A server that could take a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<Id> {
    pub(crate) id: Id,
    /// See `ServerId::stable_hash`.
    pub(crate) hash: u64,
    /// Requests of this entry that run on the server.
    pub(crate) running: u32,
    /// Slots of the server that this entry may use.
    pub(crate) share: u32,
    /// Unused slots of the share.
    pub(crate) free: u32,
}

/// The bound on the load of a preferred server, in percent of the mean load.
const LOAD_BOUND_PERCENT: u64 = 125;

/// Chooses a candidate with a free slot, in one pass over the candidates.
pub(crate) fn choose<Id: Copy>(
    candidates: impl Iterator<Item = Candidate<Id>>,
    prefix: Option<u64>,
    policy: BalancingPolicy,
    rng: &mut Rng,
) -> Option<Id> {
    match (policy, prefix) {
        (BalancingPolicy::Random, _) => {
            let mut sample = Sample::default();
            candidates.filter(|candidate| candidate.free > 0).for_each(|one| sample.add(one, rng));
            sample.first.map(|candidate| candidate.id)
        }
        (BalancingPolicy::LeastRunning, _) => candidates
            .filter(|candidate| candidate.free > 0)
            .min_by_key(|candidate| candidate.running)
            .map(|candidate| candidate.id),
        (BalancingPolicy::Affinity, prefix) => choose_by_affinity(candidates, prefix, rng),
    }
}

fn choose_by_affinity<Id: Copy>(
    candidates: impl Iterator<Item = Candidate<Id>>,
    prefix: Option<u64>,
    rng: &mut Rng,
) -> Option<Id> {
    let mut sample = Sample::default();
    let mut preferred = Preferred::default();
    let (mut running, mut count) = (0, 0);
    for candidate in candidates {
        running += u64::from(candidate.running);
        count += 1;
        if let Some(prefix) = prefix {
            preferred.add(candidate, score(prefix, candidate.hash));
        }
        if candidate.free > 0 {
            sample.add(candidate, rng);
        }
    }
    if count == 0 {
        return None;
    }
    let bound = (running + 1) * LOAD_BOUND_PERCENT / (100 * count) + 1;
    preferred.within(bound).or_else(|| sample.less_loaded())
}

/// The two servers with the highest rendezvous scores for a prefix.
#[derive(Debug)]
struct Preferred<Id> {
    first: Option<(u64, Candidate<Id>)>,
    second: Option<(u64, Candidate<Id>)>,
}

impl<Id> Default for Preferred<Id> {
    fn default() -> Preferred<Id> {
        Preferred { first: None, second: None }
    }
}

impl<Id: Copy> Preferred<Id> {
    fn add(&mut self, candidate: Candidate<Id>, score: u64) {
        let beats =
            |other: &Option<(u64, Candidate<Id>)>| other.is_none_or(|(best, _)| score > best);
        if beats(&self.first) {
            self.second = self.first.replace((score, candidate));
        } else if beats(&self.second) {
            self.second = Some((score, candidate));
        }
    }

    /// The first of the two that has a free slot and runs fewer than `bound` requests.
    fn within(&self, bound: u64) -> Option<Id> {
        let fits =
            |candidate: &Candidate<Id>| candidate.free > 0 && u64::from(candidate.running) < bound;
        [self.first, self.second]
            .into_iter()
            .flatten()
            .map(|(_, candidate)| candidate)
            .find(fits)
            .map(|candidate| candidate.id)
    }
}

/// Two servers drawn at random from a sequence of unknown length (reservoir sampling, Vitter,
/// 1985).
#[derive(Debug)]
struct Sample<Id> {
    seen: u64,
    first: Option<Candidate<Id>>,
    second: Option<Candidate<Id>>,
}

impl<Id> Default for Sample<Id> {
    fn default() -> Sample<Id> {
        Sample { seen: 0, first: None, second: None }
    }
}

impl<Id: Copy> Sample<Id> {
    fn add(&mut self, candidate: Candidate<Id>, rng: &mut Rng) {
        self.seen += 1;
        match rng.u64(..self.seen) {
            0 => self.second = self.first.replace(candidate),
            1 => self.second = Some(candidate),
            _ => {}
        }
    }

    /// The one of the two that uses the smaller part of its share.
    fn less_loaded(&self) -> Option<Id> {
        let (Some(first), Some(second)) = (self.first, self.second) else {
            return self.first.map(|candidate| candidate.id);
        };
        let (a, b) = (u64::from(first.running), u64::from(second.running));
        let first_is_less_loaded = a * u64::from(second.share) <= b * u64::from(first.share);
        Some(if first_is_less_loaded { first.id } else { second.id })
    }
}

fn score(prefix: u64, server: u64) -> u64 {
    xxh3_64_with_seed(&prefix.to_le_bytes(), server)
}
