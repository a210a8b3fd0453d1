//! The choice among backend servers that have a free slot.
//!
//! Prefix affinity is rendezvous hashing (Thaler and Ravishankar, 1998) with bounded
//! load (Mirrokni, Thorup and Zadimoghaddam, 2016); without a prefix, or when the bound
//! is reached, it takes the less loaded of two (Mitzenmacher, 1996).

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How a backend server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// Prefix affinity with bounded load, then the less loaded of two.
    Affinity,
    /// Any server with a free slot.
    Random,
    /// The server with the fewest requests running.
    LeastRunning,
}

/// A server that could take a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<Id> {
    pub(crate) id: Id,
    /// A stable hash of the server's identity.
    pub(crate) hash: u64,
    pub(crate) running: u32,
    pub(crate) share: u32,
    pub(crate) free: u32,
}

/// Load above the mean, in percent, up to which affinity holds.
const BOUND_PERCENT: u64 = 125;

/// Chooses one of the candidates that has a free slot, in one pass over them.
pub(crate) fn choose<Id: Copy>(
    candidates: impl Iterator<Item = Candidate<Id>>,
    prefix: Option<u64>,
    choice: BalancingPolicy,
    rng: &mut Rng,
) -> Option<Id> {
    match (choice, prefix) {
        (BalancingPolicy::Random, _) => {
            let mut sample = Sample::default();
            candidates.filter(|candidate| candidate.free > 0).for_each(|one| sample.add(one, rng));
            sample.first.map(|candidate| candidate.id)
        }
        (BalancingPolicy::LeastRunning, _) => candidates
            .filter(|candidate| candidate.free > 0)
            .min_by_key(|candidate| candidate.running)
            .map(|candidate| candidate.id),
        (BalancingPolicy::Affinity, prefix) => affine_or_lighter(candidates, prefix, rng),
    }
}

fn affine_or_lighter<Id: Copy>(
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
    let bound = (running + 1) * BOUND_PERCENT / (100 * count) + 1;
    preferred.within(bound).or_else(|| sample.lighter())
}

/// The two servers that come first in a prefix's own order.
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
        let leads =
            |place: &Option<(u64, Candidate<Id>)>| place.is_none_or(|(best, _)| score > best);
        if leads(&self.first) {
            self.second = self.first.replace((score, candidate));
        } else if leads(&self.second) {
            self.second = Some((score, candidate));
        }
    }

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

/// Two servers drawn at random from a sequence of unknown length (reservoir sampling,
/// Vitter, 1985).
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

    fn lighter(&self) -> Option<Id> {
        let (Some(first), Some(second)) = (self.first, self.second) else {
            return self.first.map(|candidate| candidate.id);
        };
        let (a, b) = (u64::from(first.running), u64::from(second.running));
        let first_is_lighter = a * u64::from(second.share) <= b * u64::from(first.share);
        Some(if first_is_lighter { first.id } else { second.id })
    }
}

fn score(prefix: u64, server: u64) -> u64 {
    xxh3_64_with_seed(&prefix.to_le_bytes(), server)
}
