//! Simulated callers: they look up entries in the directory, send requests and verify the
//! responses.

mod directory;
mod request;
mod response;

pub use directory::Directory;

use crate::{
    mix::{Mix, RequestKind},
    record::{Outcome, Recorder, Sample},
};
use directory::DirectoryCache;
use fastrand::Rng;
use http::{Client, ClientError, Connection, Incoming};
use hyper::Response;
use model::request::RAN_HEADER;
use net::{Pool, with_timeout};
use request::{GeneratedRequest, build_http_request};
use response::{CheckedResponse, check_response};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How long after the deadline a caller gives up. Responses between the two count as late.
const LATE_RESPONSE_WAIT: Duration = Duration::from_secs(5);

/// A set of callers, each with its own cached copy of the directory.
#[derive(Debug)]
pub struct Callers {
    client: Client,
    directories: Vec<DirectoryCache>,
    mix: Mix,
}

impl Callers {
    /// Creates `count` callers, but at least one, whose caches are empty.
    pub fn new(pool: Pool, directory: Directory, count: usize, mix: Mix) -> Callers {
        let directories = (0..count.max(1))
            .map(|number| DirectoryCache::new(directory.clone(), number))
            .collect();
        Callers { client: Client::new(pool, None), directories, mix }
    }

    /// Sends one request that is due at `due`, and records its outcome. `seed` determines the
    /// request and the caller.
    pub async fn send(&self, seed: u64, due: Instant, recorder: &Recorder) {
        let mut rng = Rng::with_seed(seed);
        let kind = self.mix.choose(&mut rng);
        let request = GeneratedRequest::new(&kind.spec, &mut rng);
        let caller = rng.usize(..self.directories.len());
        let timeout = kind.deadline + LATE_RESPONSE_WAIT;
        let attempt = self.try_addresses(caller, kind, &request);
        let checked = with_timeout(timeout, attempt)
            .await
            .unwrap_or(CheckedResponse::without_body(Outcome::Unanswered));
        let latency = due.elapsed();
        let outcome = match checked.outcome {
            Outcome::Answered if latency > kind.deadline => Outcome::Late,
            outcome => outcome,
        };
        recorder.record(Sample {
            kind: kind.name.clone(),
            due,
            latency,
            first_byte: checked.first_byte.map(|instant| instant.saturating_duration_since(due)),
            outcome,
            booking: request.booking_key().map(Into::into),
        });
    }

    /// Sends a request to the first address that accepts a connection. A failed connection attempt
    /// has sent nothing, so trying the next address can't run the request twice.
    async fn try_addresses(
        &self,
        caller: usize,
        kind: &RequestKind,
        request: &GeneratedRequest,
    ) -> CheckedResponse {
        let addresses = self.directories[caller].addresses(&self.client).await;
        for address in addresses {
            match self.send_request(address, kind, request).await {
                Ok((response, connection)) => {
                    let checked = self.check(response, request).await;
                    if checked.outcome == Outcome::Answered {
                        self.client.return_idle(address, connection);
                    }
                    return checked;
                }
                Err(ClientError::Connect(_)) => self.directories[caller].clear(),
                Err(_) => return CheckedResponse::without_body(Outcome::Broken),
            }
        }
        CheckedResponse::without_body(Outcome::Unreachable)
    }

    /// Sends a request and waits for the head of the response.
    async fn send_request(
        &self,
        address: SocketAddr,
        kind: &RequestKind,
        request: &GeneratedRequest,
    ) -> Result<(Response<Incoming>, Connection), ClientError> {
        // A request on a pooled connection may have to be sent again, which a booking must not.
        let needs_new_connection = request.booking_key().is_some();
        let mut connection = if needs_new_connection {
            self.client.new_connection(address).await?
        } else {
            self.client.connection(address).await?
        };
        let result = connection.send(build_http_request(kind, request, address)).await;
        match result {
            Ok(response) => Ok((response, connection)),
            // The entry may have closed the pooled connection since its last use.
            Err(_) if connection.is_reused() && !needs_new_connection => {
                let mut connection = self.client.new_connection(address).await?;
                let response = connection.send(build_http_request(kind, request, address)).await?;
                Ok((response, connection))
            }
            Err(e) => Err(e),
        }
    }

    /// Determines the outcome of a response. Only refusals carry the `RAN_HEADER`.
    async fn check(
        &self,
        response: Response<Incoming>,
        request: &GeneratedRequest,
    ) -> CheckedResponse {
        let ran = response.headers().get(RAN_HEADER).cloned();
        match ran {
            Some(ran) if ran == "no" => CheckedResponse::without_body(Outcome::RefusedNotRun),
            Some(_) => CheckedResponse::without_body(Outcome::RefusedUnknown),
            None => check_response(response, request).await,
        }
    }
}
