//! The state that an entry keeps of one backend server.

use model::{
    ids::{Fence, GroupId, HostId, Incarnation},
    view::{GroupView, ServiceView},
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a backend server. A group under a new fence and a replica in a new incarnation are
/// distinct servers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServerId {
    /// A group under a fence.
    Group(GroupId, Fence),
    /// A replica of a service.
    Replica(HostId, Incarnation),
}

impl ServerId {
    /// A hash that stays the same when a group is repaired or a replica restarts, so that requests
    /// with the same prefix keep preferring that server.
    pub fn stable_hash(&self) -> u64 {
        match self {
            ServerId::Group(group, _) => xxh3_64(&group.to_le_bytes()),
            ServerId::Replica(host, _) => xxh3_64(host.as_bytes()),
        }
    }
}

/// Whether a backend server is in its cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Temperature {
    /// Only its cold slots may be used.
    Cold,
    /// All its slots may be used.
    Warm,
}

/// What a try revealed about the state of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It sent a complete answer.
    Answered {
        /// Time from dispatch to the first byte.
        first_byte: Duration,
    },
    /// It could not be reached, or the connection broke.
    Broken,
    /// It refused the request for lack of capacity.
    Overloaded,
    /// Nothing, for instance because the caller disconnected.
    Nothing,
}

/// How long a server gets no new requests after it could not be reached or a connection to it
/// broke.
const SUSPECT_PERIOD: Duration = Duration::from_millis(1000);
/// Number of answers after which a server counts as warm again, if it showed signs of a cold start
/// that it had not announced.
const WARM_AFTER_ANSWERS: u32 = 8;
/// A time to first byte above the mean by this factor is a sign of a cold start.
const SLOW_FACTOR: f64 = 8.0;
/// A time to first byte below this is never a sign of a cold start.
const MIN_SLOW_FIRST_BYTE: Duration = Duration::from_millis(500);
/// Weight of a new sample in the moving average of the time to first byte.
const FIRST_BYTE_WEIGHT: f64 = 0.1;

#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) hash: u64,
    pub(crate) address: SocketAddr,
    /// Requests of this entry that run on the server.
    pub(crate) running: u32,
    /// Slots that this entry may use while the server is cold.
    pub(crate) cold_share: u32,
    /// Slots that this entry may use while the server is warm.
    pub(crate) warm_share: u32,
    announced_cold: bool,
    /// Answers still required, after signs of a cold start, until the server counts as warm.
    answers_until_warm: u32,
    suspect_until: Option<Instant>,
    /// Moving average of the time to first byte, in seconds.
    mean_first_byte_s: Option<f64>,
}

impl Server {
    pub(crate) fn of_group(id: &ServerId, view: &GroupView) -> Server {
        Server::new(id, view.address, view.cold)
    }

    pub(crate) fn of_replica(id: &ServerId, view: &ServiceView) -> Server {
        Server::new(id, view.address, false)
    }

    fn new(id: &ServerId, address: SocketAddr, cold: bool) -> Server {
        Server {
            hash: id.stable_hash(),
            address,
            running: 0,
            cold_share: 0,
            warm_share: 0,
            announced_cold: cold,
            answers_until_warm: 0,
            suspect_until: None,
            mean_first_byte_s: None,
        }
    }

    pub(crate) fn with_running(self, running: u32) -> Server {
        Server { running, ..self }
    }

    pub(crate) fn set_announced_cold(&mut self, cold: bool) {
        self.announced_cold = cold;
    }

    pub(crate) fn temperature(&self) -> Temperature {
        if self.announced_cold || self.answers_until_warm > 0 {
            Temperature::Cold
        } else {
            Temperature::Warm
        }
    }

    /// Slots that this entry may use now.
    pub(crate) fn share(&self) -> u32 {
        match self.temperature() {
            Temperature::Cold => self.cold_share,
            Temperature::Warm => self.warm_share,
        }
    }

    /// Unused slots of this entry's share; none while the server is suspect.
    pub(crate) fn free(&self, now: Instant) -> u32 {
        if self.is_suspect(now) { 0 } else { self.share().saturating_sub(self.running) }
    }

    pub(crate) fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    pub(crate) fn record(&mut self, evidence: Evidence, now: Instant) {
        match evidence {
            Evidence::Answered { first_byte } => self.record_answer(first_byte),
            Evidence::Broken => {
                self.suspect_until = Some(now + SUSPECT_PERIOD);
                self.answers_until_warm = WARM_AFTER_ANSWERS;
            }
            Evidence::Overloaded => self.answers_until_warm = WARM_AFTER_ANSWERS,
            Evidence::Nothing => {}
        }
    }

    fn record_answer(&mut self, first_byte: Duration) {
        let seconds = first_byte.as_secs_f64();
        let mean = *self.mean_first_byte_s.get_or_insert(seconds);
        let slow = first_byte >= MIN_SLOW_FIRST_BYTE && seconds > mean * SLOW_FACTOR;
        if slow {
            self.answers_until_warm = WARM_AFTER_ANSWERS;
            return;
        }
        self.answers_until_warm = self.answers_until_warm.saturating_sub(1);
        self.mean_first_byte_s = Some(mean + (seconds - mean) * FIRST_BYTE_WEIGHT);
    }
}
