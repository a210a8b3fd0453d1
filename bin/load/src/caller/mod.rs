//! Callers: they ask the directory, send requests and check every answer.

mod answer;
mod directory;
mod request;

pub use directory::Directory;

use crate::{
    mix::{Kind, Mix},
    record::{Outcome, Recorder, Sample},
};
use answer::{Reading, read_answer};
use directory::DirectoryCache;
use fastrand::Rng;
use http::{Client, ClientError, Connection};
use hyper::{Response, body::Incoming};
use model::request::RAN_HEADER;
use net::{Pool, with_timeout};
use request::{Expected, build};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How long a caller waits beyond the deadline before it gives up.
const PATIENCE: Duration = Duration::from_secs(5);

/// A number of callers with a directory answer each.
#[derive(Debug)]
pub struct Callers {
    client: Client,
    directories: Vec<DirectoryCache>,
    mix: Mix,
}

impl Callers {
    /// Callers that have asked nobody yet.
    pub fn new(pool: Pool, directory: Directory, count: usize, mix: Mix) -> Callers {
        let directories = (0..count.max(1))
            .map(|number| DirectoryCache::new(directory.clone(), number))
            .collect();
        Callers { client: Client::new(pool, None), directories, mix }
    }

    /// Sends one request that was due at `due`, and records its outcome.
    pub async fn send(&self, seed: u64, due: Instant, recorder: &Recorder) {
        let mut rng = Rng::with_seed(seed);
        let kind = self.mix.choose(&mut rng);
        let expected = Expected::new(&kind.ask, &mut rng);
        let caller = rng.usize(..self.directories.len());
        let limit = kind.deadline + PATIENCE;
        let attempt = self.attempt(caller, kind, &expected);
        let reading =
            with_timeout(limit, attempt).await.unwrap_or(Reading::of(Outcome::Unanswered));
        let latency = due.elapsed();
        let outcome = match reading.outcome {
            Outcome::Answered if latency > kind.deadline => Outcome::Late,
            outcome => outcome,
        };
        recorder.add(Sample {
            kind: kind.name.clone(),
            due,
            latency,
            first_byte: reading.first_byte.map(|at| at.saturating_duration_since(due)),
            outcome,
            booking: expected.booking().map(Into::into),
        });
    }

    /// Sends to the first address that can be reached: a connection that can't be made
    /// has carried nothing, so the next address may be tried.
    async fn attempt(&self, caller: usize, kind: &Kind, expected: &Expected) -> Reading {
        let addresses = self.directories[caller].addresses(&self.client).await;
        for address in addresses {
            match self.exchange(address, kind, expected).await {
                Ok((response, connection)) => {
                    let reading = self.judge(response, expected).await;
                    if reading.outcome == Outcome::Answered {
                        self.client.return_idle(address, connection);
                    }
                    return reading;
                }
                Err(ClientError::Connect(_)) => self.directories[caller].forget(),
                Err(_) => return Reading::of(Outcome::Broken),
            }
        }
        Reading::of(Outcome::Unreachable)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        kind: &Kind,
        expected: &Expected,
    ) -> Result<(Response<Incoming>, Connection), ClientError> {
        let fresh = expected.booking().is_some();
        let mut connection = if fresh {
            self.client.new_connection(address).await?
        } else {
            self.client.connection(address).await?
        };
        let outcome = connection.send(build(kind, expected, address)).await;
        match outcome {
            Ok(response) => Ok((response, connection)),
            // A kept connection that the entry has closed meanwhile.
            Err(_) if connection.is_reused() && !fresh => {
                let mut connection = self.client.new_connection(address).await?;
                let response = connection.send(build(kind, expected, address)).await?;
                Ok((response, connection))
            }
            Err(e) => Err(e),
        }
    }

    async fn judge(&self, response: Response<Incoming>, expected: &Expected) -> Reading {
        let ran = response.headers().get(RAN_HEADER).cloned();
        match ran {
            Some(ran) if ran == "no" => Reading::of(Outcome::RefusedNotRun),
            Some(_) => Reading::of(Outcome::RefusedUnknown),
            None => read_answer(response, expected).await,
        }
    }
}
