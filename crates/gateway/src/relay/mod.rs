//! The way of requests over another entry, while this one reaches no backend server.
//!
//! The entry that took a request from its caller checks its route, its key and its body. The other
//! one chooses the backend server and sends it there, and never passes it on again.

mod head;
mod server;

pub(crate) use head::Answerer;
pub use server::RelayServer;

use crate::{
    dispatch::{
        AttemptError, BackendResponse, Gateway, ProxyRequest, ResponseSource, origin_form,
        strip_hop_by_hop_headers,
    },
    refusal::Refusal,
    state::GatewayState,
};
use admission::RelayChoice;
use base::sync::lock;
use head::{RELAY_HEADER, RelayedRequest, RelayedResponse, encode, take};
use http::{collect_response, full};
use hyper::Request;
use log::info;
use model::{order::SECRET_HEADER, verdict::Verdict};
use net::with_timeout;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// The `Retry-After` time if no entry reaches a backend server.
const NO_PATH_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Longest wait for the response headers of a relay if the request may be retried: the relay may
/// wait for two backend servers in turn.
const RELAY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of relays at which a request fails, besides those that take no requests.
const MAX_FAILURES: usize = 3;

/// Maximum number of failed backend servers that a relay is told, which bounds the header.
const MAX_AVOIDED: usize = 64;

/// A request at a relay, which counts in its load until it is dropped.
#[derive(Debug)]
pub(crate) struct RelayGuard {
    state: Arc<GatewayState>,
    address: SocketAddr,
}

impl RelayGuard {
    /// Records that the relay has sent a response or a part of one.
    pub(crate) fn record_progress(&self) {
        lock(&self.state.relays).record_answer(self.address, self.state.clock.now());
    }

    /// Records that a request has waited for the relay since `since`.
    pub(crate) fn mark_silent(&self, since: Instant) {
        let now = self.state.clock.now();
        lock(&self.state.relays).mark_silent(self.address, since, now);
    }

    /// Records that the relay could not be reached, or takes no requests.
    fn mark_unavailable(&self) {
        lock(&self.state.relays).mark_unavailable(self.address, self.state.clock.now());
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        lock(&self.state.relays).release(self.address);
    }
}

/// What came of offering a request to relays.
pub(crate) enum Relayed {
    /// A relay returned the response of a backend server.
    Answered(Box<BackendResponse>),
    /// No relay took it.
    Refused(Refusal),
}

/// Why a relay returned no response of a backend server.
enum RelayError {
    /// It refused the request, or a backend server failed it.
    Refused(Refusal),
    /// The way to the relay failed.
    Failed(AttemptError),
}

impl Gateway {
    /// Sends a request to one relay after another until one returns the response of a backend
    /// server.
    ///
    /// # Errors
    ///
    /// Fails if no further attempt is allowed.
    pub(crate) async fn relay(&self, request: &mut ProxyRequest) -> Result<Relayed, Refusal> {
        let mut refusal = Refusal::NoPath { retry_after: NO_PATH_RETRY_AFTER };
        if request.origin.is_some() {
            return Ok(Relayed::Refused(request.unserved(refusal)));
        }
        let mut tried = Vec::new();
        let mut failures = 0;
        while failures < MAX_FAILURES {
            let now = self.state.clock.now();
            if now >= request.deadline {
                return Err(Refusal::TimedOut { verdict: request.verdict });
            }
            self.check_quarantine(request)?;
            let chosen = lock(&self.state.relays).choose(&tried, now);
            let Some(relay) = chosen else {
                break;
            };
            tried.push(relay.address);
            request.attempts += 1;
            request.sent_at = now;
            info!(
                "event=relayed id={} relay={} try={} left_ms={}",
                request.info.id,
                relay.address,
                request.attempts,
                request.deadline.saturating_duration_since(now).as_millis()
            );
            let verdict = match self.relay_to(request, relay).await {
                Ok(response) => return Ok(Relayed::Answered(Box::new(response))),
                Err(RelayError::Refused(cause)) => {
                    info!(
                        "event=relay_refused id={} relay={} cause={} ran={}",
                        request.info.id,
                        relay.address,
                        cause.code(),
                        cause.verdict().header_value()
                    );
                    let verdict = cause.verdict();
                    if !cause.takes_no_requests() {
                        failures += 1;
                        refusal = cause;
                    }
                    verdict
                }
                Err(RelayError::Failed(error)) => {
                    info!(
                        "event=relay_failed id={} relay={} ran={} cause=\"{}\"",
                        request.info.id,
                        relay.address,
                        error.verdict.header_value(),
                        error.cause
                    );
                    failures += 1;
                    error.verdict
                }
            };
            if verdict == Verdict::MayHaveRun {
                request.verdict = Verdict::MayHaveRun;
                request.attempts_left = request.attempts_left.saturating_sub(1);
                self.authorize_retry(request)?;
            }
        }
        Ok(Relayed::Refused(request.unserved(refusal)))
    }

    async fn relay_to(
        &self,
        request: &ProxyRequest,
        relay: RelayChoice,
    ) -> Result<BackendResponse, RelayError> {
        let guard = RelayGuard { state: self.state.clone(), address: relay.address };
        let remaining = request.deadline.saturating_duration_since(request.sent_at);
        let timeout = match request.kind.may_retry() {
            true => remaining.min(RELAY_RESPONSE_TIMEOUT),
            false => remaining,
        };
        match with_timeout(timeout, self.exchange_with_relay(request, relay, guard)).await {
            Ok(outcome) => outcome,
            Err(_) => {
                let now = self.state.clock.now();
                lock(&self.state.relays).mark_silent(relay.address, request.sent_at, now);
                Err(RelayError::Failed(AttemptError {
                    verdict: Verdict::MayHaveRun,
                    cause: "no response of the relay in time".into(),
                    suspicion: None,
                }))
            }
        }
    }

    async fn exchange_with_relay(
        &self,
        request: &ProxyRequest,
        relay: RelayChoice,
        guard: RelayGuard,
    ) -> Result<BackendResponse, RelayError> {
        let failed = |verdict, cause: Box<str>| {
            RelayError::Failed(AttemptError { verdict, cause, suspicion: None })
        };
        let outgoing = self
            .relayed_request(request, relay)
            .ok_or_else(|| failed(Verdict::NotRun, "the request can't be encoded".into()))?;
        let connection = if request.kind.may_retry() {
            self.client.connection(relay.address).await
        } else {
            self.client.new_connection(relay.address).await
        };
        let mut connection = connection.map_err(|e| {
            guard.mark_unavailable();
            failed(Verdict::NotRun, e.to_string().into())
        })?;
        self.metrics.relayed.inc();
        let response = connection.send(outgoing).await;
        let mut response =
            response.map_err(|e| failed(e.verdict(), e.to_string().replace('"', "'").into()))?;
        guard.record_progress();
        match take(response.headers_mut()) {
            Some(RelayedResponse::Answered(answerer)) => {
                self.record_relayed_notice(request, &answerer, &response);
                lock(&self.state.evidence).record_running(
                    &answerer.host,
                    answerer.incarnation,
                    request.sent_at,
                );
                Ok(BackendResponse {
                    response,
                    connection,
                    address: relay.address,
                    answerer,
                    source: ResponseSource::Relay(guard),
                })
            }
            Some(RelayedResponse::Refused(refusal)) => {
                if refusal.takes_no_requests() {
                    guard.mark_unavailable();
                }
                // The refusal has a short body, which must be read before the connection is reused.
                if collect_response(response.into_body(), 0).await.is_ok() {
                    self.client.return_idle(relay.address, connection);
                }
                Err(RelayError::Refused(refusal))
            }
            None => Err(failed(Verdict::MayHaveRun, "the response is not that of a relay".into())),
        }
    }

    /// The request as it is sent to a relay: without the caller's key.
    fn relayed_request(
        &self,
        request: &ProxyRequest,
        relay: RelayChoice,
    ) -> Option<Request<http::Body>> {
        let now = self.state.clock.now();
        let share = lock(&self.state.backends).share();
        let head = RelayedRequest {
            entry: self.state.name.clone(),
            share: share / relay.candidates.max(1) as f64,
            service: request.service.clone(),
            kind: request.kind,
            team: request.team.clone(),
            priority: request.priority,
            digest: request.digest,
            timeout: request.deadline.saturating_duration_since(now),
            attempts_left: request.attempts_left,
            avoid: request.avoid.iter().rev().take(MAX_AVOIDED).cloned().collect(),
            after_event: request.after_event,
        };
        let mut outgoing = Request::new(full(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = origin_form(&request.uri);
        *outgoing.headers_mut() = request.headers.clone();
        let headers = outgoing.headers_mut();
        strip_hop_by_hop_headers(headers);
        self.dialect.remove_key(headers);
        headers.insert(RELAY_HEADER, encode(&head)?);
        headers.insert(SECRET_HEADER, self.relay_secret.text().parse().ok()?);
        Some(outgoing)
    }

    /// Records what a backend server says of itself in a response that came over a relay. It holds
    /// for this entry too, which passes the response on.
    fn record_relayed_notice(
        &self,
        request: &ProxyRequest,
        answerer: &Answerer,
        response: &hyper::Response<http::Incoming>,
    ) {
        let backends = lock(&self.state.backends);
        let replica = backends.replica(&answerer.host, answerer.incarnation).cloned();
        drop(backends);
        if let Some(replica) = replica {
            self.record_notice(request, &replica, response);
        }
    }
}
