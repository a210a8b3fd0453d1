//! Proxies one request: matches its route, checks its key, picks a backend server and retries.

use crate::{
    dialect::{Dialect, ForwardInfo, RequestInfo, ResponseKind},
    digest::request_digest,
    links::LinkMonitor,
    metrics::GatewayMetrics,
    refusal::Refusal,
    relay::{Answerer, RelayGuard, Relayed},
    state::GatewayState,
};
use admission::{
    Choice, KeyCheck, LinkState, Origin, Refused, Requirements, RouteTable, SlotId, Suspicion,
};
use async_io::Timer;
use base::{secret::Secret, sync::lock};
use bytes::Bytes;
use fleet::{Replica, Route, RouteKind};
use futures_lite::FutureExt;
use http::{
    Body, BodyError, Client, ClientError, Connection, Handler, HandlerFuture, Incoming, Limits,
    collect, full,
};
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    header::{self, HeaderName, HeaderValue},
};
use log::info;
use model::{
    ids::{HostId, RequestDigest, ServiceId, TeamId},
    verdict::Verdict,
};
use net::{Pool, with_timeout};
use quarantine::BrokenRequest;
use std::{
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

/// The `Retry-After` time if no backend server offers what a request requirements: about the time in
/// which a group is formed again.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// The `Retry-After` time if the bodies of all requests take too much memory: about the time that a
/// large body takes to arrive and to be answered.
const BODIES_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Longest wait for the response headers if the request may be retried at another backend
/// server: several times what a fully loaded engine takes for a long prompt.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without a response after which a request is a reason to probe the links.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);
/// Longest wait for a slot to retry a request that may have run: about the time in which a slot
/// becomes free in a fully loaded system.
const SLOT_WAIT: Duration = Duration::from_millis(600);
/// Interval at which such a request looks for a slot.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Time that a connection may be idle beyond the manifest's limit. Callers reuse connections
/// until shortly before that limit, and the connection must not close just as they do.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("proxy-connection"),
];

/// Proxies callers' requests to backend servers.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) client: Arc<Client>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) links: Arc<LinkMonitor>,
    /// The secret shared by the system's processes.
    pub(crate) relay_secret: Secret,
}

/// A request that is being proxied.
#[derive(Debug)]
pub(crate) struct ProxyRequest {
    /// The entry that passed it on, if it did not come from a caller.
    pub(crate) origin: Option<Origin>,
    pub(crate) info: RequestInfo,
    pub(crate) digest: RequestDigest,
    pub(crate) service: ServiceId,
    pub(crate) kind: RouteKind,
    pub(crate) team: Option<TeamId>,
    pub(crate) priority: u8,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) received_at: Instant,
    /// When the last attempt began.
    pub(crate) sent_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) attempts_left: u32,
    pub(crate) avoid: Vec<HostId>,
    /// The id of the last event that the caller has received.
    pub(crate) after_event: Option<u64>,
    /// Whether any attempt may have run.
    pub(crate) verdict: Verdict,
    pub(crate) attempts: u32,
}

impl ProxyRequest {
    pub(crate) fn requirements(&self) -> Requirements {
        Requirements {
            service: self.service.clone(),
            model: self.info.model.clone(),
            prompt_tokens: self.info.prompt_tokens,
            answer_tokens: self.info.answer_tokens,
            avoid: self.avoid.clone(),
            proven_since: None,
            origin: self.origin.clone(),
        }
    }

    /// The refusal if no backend server takes the request any more: `refusal`, unless it may have
    /// run.
    pub(crate) fn unserved(&self, refusal: Refusal) -> Refusal {
        match self.verdict {
            Verdict::NotRun => refusal,
            _ => Refusal::ResponseLost,
        }
    }

    /// The evidence that remains if a backend server closes the connection. `began` says whether
    /// it had begun to answer, `had_event` whether a part of the answer had arrived.
    pub(crate) fn broken(&self, began: bool, had_event: bool, now: Instant) -> BrokenRequest {
        let suspects = if had_event { Box::default() } else { self.info.shared_parts.clone() };
        let lasted = now.saturating_duration_since(self.sent_at);
        BrokenRequest { digest: self.digest, suspects, began, lasted }
    }
}

/// A slot at a backend server, released on drop.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    state: Arc<GatewayState>,
    pub(crate) slot_id: SlotId,
}

impl SlotGuard {
    /// Records that the backend server has sent a part of the response.
    pub(crate) fn record_progress(&self) {
        lock(&self.state.backends).record_progress(&self.slot_id, self.state.clock.now());
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        lock(&self.state.backends).release(&self.slot_id);
    }
}

/// Where a response comes from, with what it holds there until its end.
#[derive(Debug)]
pub(crate) enum ResponseSource {
    /// A backend server.
    Server(SlotGuard),
    /// Another entry, which passes on the response of a backend server.
    Relay(RelayGuard),
}

impl ResponseSource {
    /// Records that a part of the response has arrived.
    pub(crate) fn record_progress(&self) {
        match self {
            ResponseSource::Server(slot) => slot.record_progress(),
            ResponseSource::Relay(relay) => relay.record_progress(),
        }
    }

    pub(crate) fn is_relay(&self) -> bool {
        matches!(self, ResponseSource::Relay(_))
    }
}

/// A backend server's response to this request, with its body still to be read.
#[derive(Debug)]
pub(crate) struct BackendResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    /// The other end of the connection.
    pub(crate) address: SocketAddr,
    pub(crate) answerer: Answerer,
    pub(crate) source: ResponseSource,
}

/// Why an attempt returned no response.
#[derive(Debug)]
pub(crate) struct AttemptError {
    pub(crate) verdict: Verdict,
    pub(crate) cause: Box<str>,
    /// How it may show that the links are lost.
    pub(crate) suspicion: Option<Suspicion>,
}

impl Gateway {
    /// Creates a gateway.
    pub fn new(
        state: Arc<GatewayState>,
        dialect: Arc<dyn Dialect>,
        client: Arc<Client>,
        metrics: GatewayMetrics,
        relay_secret: Secret,
        pool: Pool,
    ) -> Gateway {
        let links = Arc::new(LinkMonitor::new(
            pool,
            state.clone(),
            dialect.clone(),
            client.clone(),
            metrics.clone(),
        ));
        Gateway { state, dialect, client, metrics, links, relay_secret }
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let received_at = self.state.clock.now();
        let (parts, body) = req.into_parts();
        let info = self.dialect.parse_request(&parts.headers);
        let id = info.id.clone();
        self.metrics.requests.inc();
        let respond = async {
            match self.admit(parts, body, info, received_at).await {
                Ok(request) if request.kind.is_stream() => self.clone().stream(request).await,
                Ok(request) => self.unary(request).await,
                Err(refusal) => Err(refusal),
            }
        };
        let end = async {
            self.state.wait_for_end().await;
            Err(Refusal::Stopped)
        };
        match respond.or(end).await {
            Ok(response) => {
                self.metrics.answered.inc();
                response
            }
            Err(refusal) => {
                self.record_refusal(&id, &refusal, received_at);
                self.dialect.refusal_response(&refusal, &id)
            }
        }
    }

    fn record_refusal(&self, id: &str, refusal: &Refusal, received_at: Instant) {
        match refusal.verdict() {
            Verdict::NotRun => self.metrics.refused.inc(),
            _ => self.metrics.failed.inc(),
        };
        let took = self.state.clock.now().saturating_duration_since(received_at);
        self.metrics.refusal_seconds.observe(took.as_secs_f64());
        info!(
            "event=refused id={id} cause={} ran={} retry_ms={} took_ms={} view_age_ms={}",
            refusal.code(),
            refusal.verdict().header_value(),
            refusal.retry_after().map_or(0, |after| after.as_millis()),
            took.as_millis(),
            self.state.view_age_ms()
        );
    }

    /// Matches a request against the manifest and reads its body.
    async fn admit(
        &self,
        parts: hyper::http::request::Parts,
        body: Incoming,
        info: RequestInfo,
        received_at: Instant,
    ) -> Result<ProxyRequest, Refusal> {
        let table = self.state.table().ok_or(Refusal::NoManifest)?;
        let (route, team) = match_route(&table, &parts, &info)?;
        if let Some(retry_after) = self.state.parts_blocked_for(&info.shared_parts) {
            return Err(Refusal::Quarantined { retry_after });
        }
        let limit = table.manifest().limits.body_bytes;
        let timeout = info.timeout.unwrap_or(route.timeout).min(route.timeout);
        let deadline = received_at + timeout;
        if !self.state.accepts(deadline) {
            return Err(Refusal::Leaving);
        }
        let body = self.read_body(body, limit, deadline).await?;
        let caller = team.as_ref().map(|team| &team.0);
        let digest = request_digest(host_of(&parts), &parts.method, &parts.uri, caller, &body);
        if let Some(retry_after) = self.state.request_blocked_for(digest) {
            return Err(Refusal::Quarantined { retry_after });
        }
        let service = pick_service(route);
        self.state.count_request(&service);
        Ok(ProxyRequest {
            origin: None,
            digest,
            after_event: info.after_event,
            service,
            kind: route.kind,
            team: caller.cloned(),
            priority: team.and_then(|team| team.1).unwrap_or(route.priority),
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            received_at,
            sent_at: received_at,
            deadline,
            attempts_left: route.attempts.max(1),
            avoid: Vec::new(),
            verdict: Verdict::NotRun,
            attempts: 0,
            info,
        })
    }

    /// Reads the whole body of a request until its deadline.
    pub(crate) async fn read_body(
        &self,
        body: Incoming,
        limit: usize,
        deadline: Instant,
    ) -> Result<Bytes, Refusal> {
        let left = deadline.saturating_duration_since(self.state.clock.now());
        match with_timeout(left, collect(body, limit)).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(BodyError::TooLong { .. })) => Err(Refusal::BodyTooLarge),
            Ok(Err(BodyError::Broken(_) | BodyError::Unproductive(_))) => {
                Err(Refusal::BodyTruncated)
            }
            Ok(Err(BodyError::OverBudget { .. })) => {
                Err(Refusal::BodiesFull { retry_after: BODIES_RETRY_AFTER })
            }
            Ok(Err(BodyError::TimedOut)) | Err(_) => {
                Err(Refusal::TimedOut { verdict: Verdict::NotRun })
            }
        }
    }

    /// Sends a request to one backend server after another until one responds or no further
    /// attempt is allowed.
    pub(crate) async fn dispatch(
        &self,
        request: &mut ProxyRequest,
    ) -> Result<BackendResponse, Refusal> {
        loop {
            let mut now = self.state.clock.now();
            if now >= request.deadline {
                return Err(Refusal::TimedOut { verdict: request.verdict });
            }
            self.check_quarantine(request)?;
            let (links, down_since) = self.state.links();
            let proven = down_since.and_then(|since| self.choose_proven(request, since, now));
            let should_relay = match links {
                LinkState::Up => false,
                // A request that has failed over these links takes another way.
                LinkState::Suspect => request.attempts > 0 && request.origin.is_none(),
                LinkState::Down => proven.is_none(),
            };
            if should_relay {
                match self.relay(request).await? {
                    Relayed::Answered(response) => return Ok(*response),
                    Relayed::Refused(refusal) if links == LinkState::Down => return Err(refusal),
                    Relayed::Refused(_) => now = self.state.clock.now(),
                }
            }
            let choice = match proven {
                Some(choice) => choice,
                None => self.choose_or_wait(request, now).await?,
            };
            request.attempts += 1;
            request.sent_at = now;
            let remaining = request.deadline - now;
            let timeout = if request.kind.may_retry() {
                remaining.min(FIRST_RESPONSE_TIMEOUT)
            } else {
                remaining
            };
            let host = choice.replica.host.clone();
            let result = {
                let mut attempt = pin!(self.attempt(request, choice));
                let first = timeout.min(SUSPECT_AFTER);
                match with_timeout(first, attempt.as_mut()).await {
                    Ok(result) => Ok(result),
                    Err(_) => {
                        self.links.suspect(&host, Suspicion::Silence(now));
                        with_timeout(timeout - first, attempt).await
                    }
                }
            };
            let error = match result {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(error)) => error,
                Err(_) if timeout < remaining => AttemptError {
                    verdict: Verdict::MayHaveRun,
                    cause: "no response in time".into(),
                    suspicion: Some(Suspicion::Silence(now)),
                },
                Err(_) => {
                    request.verdict = Verdict::MayHaveRun;
                    return Err(Refusal::TimedOut { verdict: Verdict::MayHaveRun });
                }
            };
            info!(
                "event=try_failed id={} host={host} try={} ran={} request={:x} parts={:x?} cause=\"{}\"",
                request.info.id,
                request.attempts,
                error.verdict.header_value(),
                request.digest,
                request.info.shared_parts,
                error.cause
            );
            request.avoid.push(host.clone());
            if error.verdict == Verdict::MayHaveRun {
                request.verdict = Verdict::MayHaveRun;
                request.attempts_left -= 1;
            }
            let may_retry = request.verdict.permits_retry(request.kind.may_retry());
            if let Some(suspicion) = error.suspicion.filter(|_| may_retry)
                && self.links.check(&host, suspicion).await != LinkState::Up
                && error.verdict == Verdict::NotRun
            {
                // Nothing has arrived at any backend server, so this attempt costs no retry.
                continue;
            }
            self.authorize_retry(request)?;
        }
    }

    async fn choose_or_wait(
        &self,
        request: &ProxyRequest,
        now: Instant,
    ) -> Result<Choice, Refusal> {
        match self.choose_backend(request, now) {
            Err(Refusal::ResponseLost) if request.kind.may_retry() => {
                self.wait_for_slot(request).await
            }
            choice => choice,
        }
    }

    /// Waits up to `SLOT_WAIT` for a slot to retry a request that may have run. Failing it at
    /// once would waste the work already done for it.
    async fn wait_for_slot(&self, request: &ProxyRequest) -> Result<Choice, Refusal> {
        let end = request.deadline.min(self.state.clock.now() + SLOT_WAIT);
        loop {
            Timer::after(SLOT_POLL_INTERVAL).await;
            self.check_quarantine(request)?;
            let now = self.state.clock.now();
            match self.choose_backend(request, now) {
                Err(Refusal::ResponseLost) if now < end => {}
                choice => return choice,
            }
        }
    }

    /// Checks that neither the request nor a part of its prompt is in quarantine.
    pub(crate) fn check_quarantine(&self, request: &ProxyRequest) -> Result<(), Refusal> {
        let parts_blocked_for = self.state.parts_blocked_for(&request.info.shared_parts);
        let blocked_for = self.state.request_blocked_for(request.digest).max(parts_blocked_for);
        match (blocked_for, request.verdict) {
            (None, _) => Ok(()),
            (Some(retry_after), Verdict::NotRun) => Err(Refusal::Quarantined { retry_after }),
            (Some(_), _) => Err(Refusal::ResponseLost),
        }
    }

    /// Checks that a failed request may be retried, and charges its service's retry budget.
    pub(crate) fn authorize_retry(&self, request: &ProxyRequest) -> Result<(), Refusal> {
        let safe = request.verdict.permits_retry(request.kind.may_retry());
        if safe && request.attempts_left > 0 && self.state.take_retry(&request.service) {
            self.metrics.retries.inc();
            return Ok(());
        }
        match request.verdict {
            Verdict::NotRun => Err(Refusal::NotRun { retry_after: NO_SERVER_RETRY_AFTER / 4 }),
            _ => Err(Refusal::ResponseLost),
        }
    }

    /// Chooses among the backend servers that this entry still reaches while its links are down.
    fn choose_proven(
        &self,
        request: &ProxyRequest,
        down_since: Instant,
        now: Instant,
    ) -> Option<Choice> {
        let requirements =
            Requirements { proven_since: Some(down_since), ..request.requirements() };
        let choice = lock(&self.state.backends).choose(&requirements, now).ok()?;
        self.log_choice(request, &choice, now);
        Some(choice)
    }

    fn choose_backend(&self, request: &ProxyRequest, now: Instant) -> Result<Choice, Refusal> {
        let chosen = lock(&self.state.backends).choose(&request.requirements(), now);
        let refused = match chosen {
            Ok(choice) => {
                self.log_choice(request, &choice, now);
                return Ok(choice);
            }
            Err(refused) => refused,
        };
        Err(request.unserved(match refused {
            Refused::NoServer => Refusal::NoServer { retry_after: NO_SERVER_RETRY_AFTER },
            Refused::Full(retry_after) => Refusal::Full { retry_after },
        }))
    }

    fn log_choice(&self, request: &ProxyRequest, choice: &Choice, now: Instant) {
        info!(
            "event=placed id={} host={} group={} try={} running={} left_ms={} view_age_ms={}",
            request.info.id,
            choice.replica.host,
            choice.replica.group.as_ref().map_or("-", |(name, _)| name),
            request.attempts + 1,
            choice.running,
            request.deadline.saturating_duration_since(now).as_millis(),
            self.state.view_age_ms()
        );
    }

    async fn attempt(
        &self,
        request: &ProxyRequest,
        choice: Choice,
    ) -> Result<BackendResponse, AttemptError> {
        let Choice { replica, slot: slot_id, .. } = choice;
        let slot = SlotGuard { state: self.state.clone(), slot_id };
        let now = || self.state.clock.now();
        // If a reused connection fails, it can be unknown whether the request arrived.
        let connection = if request.kind.may_retry() {
            self.client.connection(replica.address).await
        } else {
            self.client.new_connection(replica.address).await
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(e) => {
                lock(&self.state.backends).mark_unreachable(&replica.host, now());
                if e.is_refused() {
                    self.record_failure(&Answerer::of(&replica), None).await;
                }
                return Err(AttemptError {
                    verdict: Verdict::NotRun,
                    cause: e.to_string().into(),
                    suspicion: Some(Suspicion::Connection),
                });
            }
        };
        let mut outgoing = Request::new(full(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = origin_form(&request.uri);
        *outgoing.headers_mut() = request.headers.clone();
        strip_hop_by_hop_headers(outgoing.headers_mut());
        let forward_info = ForwardInfo {
            host: &replica.host,
            team: request.team.as_ref(),
            timeout: request.deadline.saturating_duration_since(now()),
            after_event: request.after_event,
            priority: Some(request.priority.min(9)),
        };
        self.dialect.prepare_request(outgoing.headers_mut(), &forward_info);
        self.state.count_forwarded();
        if request.attempts == 1 {
            let elapsed = now().saturating_duration_since(request.received_at);
            self.metrics.dispatch_seconds.observe(elapsed.as_secs_f64());
        }
        let response = match connection.send(outgoing).await {
            Ok(response) => response,
            Err(e) => {
                if e.is_closed_by_peer() {
                    let broken = request.broken(false, false, now());
                    let server = Answerer::of(&replica);
                    self.record_broken(&server, replica.address, request.kind, broken).await;
                }
                let suspicion = e.is_closed_by_peer().then_some(Suspicion::Connection);
                let cause = describe(&e).into();
                return Err(AttemptError { verdict: e.verdict(), cause, suspicion });
            }
        };
        lock(&self.state.links).record_answer(now());
        if !connection.is_reused() {
            lock(&self.state.backends).mark_proven(&replica.host, now());
        }
        let kind = self.dialect.classify_response(
            response.status(),
            response.headers(),
            &request.info.id,
            !connection.is_reused(),
        );
        if matches!(kind, ResponseKind::Own | ResponseKind::NotRun) {
            self.record_notice(request, &replica, &response);
        }
        match kind {
            ResponseKind::Own => {
                let (address, answerer) = (replica.address, Answerer::of(&replica));
                let source = ResponseSource::Server(slot);
                Ok(BackendResponse { response, connection, address, answerer, source })
            }
            ResponseKind::Foreign => {
                self.metrics.foreign_responses.inc();
                Err(AttemptError {
                    verdict: Verdict::MayHaveRun,
                    cause: "response to another request".into(),
                    suspicion: None,
                })
            }
            ResponseKind::NotRun => {
                // The connection is not reused: a faulty server may send the refusal again.
                lock(&self.state.backends).mark_full(&replica.host, now());
                let cause = format!("not run, status {}", response.status().as_u16());
                Err(AttemptError { verdict: Verdict::NotRun, cause: cause.into(), suspicion: None })
            }
            ResponseKind::WrongServer => {
                lock(&self.state.backends).mark_unreachable(&replica.host, now());
                Err(AttemptError {
                    verdict: Verdict::NotRun,
                    cause: "wrong server".into(),
                    suspicion: None,
                })
            }
        }
    }

    /// Records what a backend server says of itself in a response.
    pub(crate) fn record_notice(
        &self,
        request: &ProxyRequest,
        replica: &Replica,
        response: &Response<Incoming>,
    ) {
        let notice = self.dialect.parse_notice(response.status(), response.headers());
        let now = self.state.clock.now();
        let is_news =
            lock(&self.state.backends).record_notice(replica, &notice, request.sent_at, now);
        if is_news {
            info!(
                "event=server_notice id={} host={} leaving={} closed_ms={} limit_per_s={:?}",
                request.info.id,
                replica.host,
                notice.leaving,
                notice.closed_for.map_or(0, |time| time.as_millis()),
                notice.limit_per_s
            );
        }
    }

    /// Records that a backend server closed the connection of a request, and whether it still runs.
    pub(crate) async fn record_broken(
        &self,
        server: &Answerer,
        address: SocketAddr,
        kind: RouteKind,
        broken: BrokenRequest,
    ) {
        self.record_failure(server, Some(broken)).await;
        self.is_running(server, address, kind).await;
    }

    /// Records that a backend server closed the connection of `broken`, or refused one. If the links
    /// are not up, it may not have, which it can show to other entries.
    async fn record_failure(&self, server: &Answerer, broken: Option<BrokenRequest>) {
        let Answerer { host, incarnation } = server;
        let now = self.state.clock.now();
        let links = self.links.check(host, Suspicion::Connection).await;
        let has_relays = !lock(&self.state.relays).is_empty();
        let mut evidence = lock(&self.state.evidence);
        match broken {
            broken if links != LinkState::Up && has_relays => {
                evidence.hold(host, *incarnation, broken, now);
            }
            Some(broken) => evidence.record_broken(host, broken, now),
            None => evidence.record_unreachable(host, now),
        }
    }

    /// Whether a backend server accepts a new connection, after one that it closed: the server may
    /// have ended with it.
    pub(crate) async fn is_running(
        &self,
        server: &Answerer,
        address: SocketAddr,
        kind: RouteKind,
    ) -> bool {
        match self.client.new_connection(address).await {
            Ok(connection) => {
                if kind.may_retry() {
                    self.client.return_idle(address, connection);
                }
                true
            }
            Err(e) => {
                if e.is_refused() {
                    self.record_failure(server, None).await;
                }
                false
            }
        }
    }
}

impl Handler for Gateway {
    fn limits(&self) -> Option<Limits> {
        let limits = self.state.table()?.manifest().limits;
        Some(Limits {
            header_bytes: limits.header_bytes,
            body_bytes: limits.body_bytes,
            // This one timeout covers idle connections and slow headers, and the manifest allows
            // idle connections the longer time.
            header_timeout: limits.idle_timeout.max(limits.header_timeout) + IDLE_MARGIN,
        })
    }

    fn handle(self: Arc<Self>, request: Request<Incoming>, _remote: SocketAddr) -> HandlerFuture {
        let leaving = self.state.is_leaving();
        let response = self.answer(request);
        async move {
            let mut response = response.await;
            if leaving {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
        .boxed()
    }
}

/// A team and its priority, if it has one of its own.
type TeamPriority = (TeamId, Option<u8>);

/// Finds the route of a request and checks its key.
fn match_route<'a>(
    table: &'a RouteTable,
    parts: &hyper::http::request::Parts,
    info: &RequestInfo,
) -> Result<(&'a Route, Option<TeamPriority>), Refusal> {
    let route = table.route(host_of(parts), parts.uri.path()).ok_or(Refusal::NoRoute)?;
    let team = match table.check_key(route, info.key.as_deref()) {
        KeyCheck::Team(team) => Some((team.name.clone(), team.priority)),
        KeyCheck::NotNeeded => None,
        KeyCheck::Unknown => return Err(Refusal::UnknownKey),
    };
    Ok((route, team))
}

/// The name of the host that a request addresses.
fn host_of(parts: &hyper::http::request::Parts) -> &str {
    let header = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    header.or(parts.uri.host()).unwrap_or_default()
}

/// Picks a service at random, in proportion to the weights of the route.
fn pick_service(route: &Route) -> ServiceId {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut point = fastrand::u64(0..total.max(1));
    for share in &route.shares {
        if point < u64::from(share.weight) {
            return share.service.clone();
        }
        point -= u64::from(share.weight);
    }
    route.shares.first().map(|share| share.service.clone()).unwrap_or_default()
}

/// The path and query of a request.
pub(crate) fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}

/// Removes the headers that apply to a single connection.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

/// Whether the peer closes the connection after this message.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    values.iter().any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// The error text with double quotes replaced, as log values are quoted with them.
fn describe(e: &ClientError) -> String {
    e.to_string().replace('"', "'")
}
