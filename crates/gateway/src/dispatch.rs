//! The way of one request: route, key, place, tries, answer.

use crate::{
    dialect::{Dialect, ForwardInfo, RequestInfo, ResponseKind},
    metrics::GatewayMetrics,
    refusal::Refusal,
    shared::GatewayState,
};
use admission::{Choice, KeyCheck, Needs, Refused, Table, Ticket};
use async_io::Timer;
use base::sync::lock;
use bytes::Bytes;
use fleet::{Route, RouteKind};
use futures_lite::FutureExt;
use http::{
    Body, BodyFault, Client, ClientError, Connection, Handler, HandlerFuture, Limits, collect, full,
};
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    body::Incoming,
    header::{self, HeaderName, HeaderValue},
};
use log::info;
use model::{
    ids::{HostId, ServiceId, TeamId},
    verdict::Verdict,
};
use net::with_timeout;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// When to come back if no backend server offers what a request needs: about the time in
/// which a group forms again.
const NOBODY_RETRY: Duration = Duration::from_millis(1000);
/// Longest wait for the beginning of an answer if another backend server may be tried:
/// several times what a full engine needs for a long prompt.
const FIRST_WAIT: Duration = Duration::from_millis(1000);
/// Longest wait for a place of a request that was lost on its way: about the time in which a
/// place becomes free in a full system.
const AWAIT_PLACE: Duration = Duration::from_millis(600);
/// Pause between two looks for such a place.
const AWAIT_PLACE_PAUSE: Duration = Duration::from_millis(40);
/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("proxy-connection"),
];

/// Takes callers' requests.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) shared: Arc<GatewayState>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) client: Arc<Client>,
    pub(crate) counters: GatewayMetrics,
}

/// One request on its way.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) ask: RequestInfo,
    pub(crate) service: ServiceId,
    pub(crate) kind: RouteKind,
    pub(crate) team: Option<TeamId>,
    pub(crate) priority: u8,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) began: Instant,
    pub(crate) deadline: Instant,
    pub(crate) attempts_left: u32,
    pub(crate) avoid: Vec<HostId>,
    /// The last event that the caller has.
    pub(crate) after_event: Option<u64>,
    /// Whether some try may have run.
    pub(crate) verdict: Verdict,
    pub(crate) tries: u32,
}

/// A place at a backend server, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    shared: Arc<GatewayState>,
    pub(crate) ticket: Ticket,
}

impl Held {
    pub(crate) fn progress(&self) {
        lock(&self.shared.backends).progress(&self.ticket, self.shared.clock.now());
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        lock(&self.shared.backends).finish(&self.ticket);
    }
}

/// The head of a backend server's own answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) address: SocketAddr,
    pub(crate) host: HostId,
    pub(crate) held: Held,
}

/// Why a try brought no answer.
#[derive(Debug)]
pub(crate) struct TryFault {
    pub(crate) verdict: Verdict,
    pub(crate) cause: Box<str>,
}

impl Gateway {
    /// A gateway.
    pub fn new(
        shared: Arc<GatewayState>,
        dialect: Arc<dyn Dialect>,
        client: Arc<Client>,
        counters: GatewayMetrics,
    ) -> Gateway {
        Gateway { shared, dialect, client, counters }
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let began = self.shared.clock.now();
        let (parts, body) = req.into_parts();
        let ask = self.dialect.parse_request(&parts.headers);
        let id = ask.id.clone();
        self.counters.requests.inc();
        let outcome = match self.accept(parts, body, ask, began).await {
            Ok(job) if job.kind.is_stream() => self.clone().stream(job).await,
            Ok(job) => self.unary(job).await,
            Err(refusal) => Err(refusal),
        };
        match outcome {
            Ok(response) => {
                self.counters.answered.inc();
                response
            }
            Err(refusal) => {
                self.log_refusal(&id, &refusal, began);
                self.dialect.refusal_response(&refusal, &id)
            }
        }
    }

    fn log_refusal(&self, id: &str, refusal: &Refusal, began: Instant) {
        match refusal.verdict() {
            Verdict::NotRun => self.counters.refused.inc(),
            _ => self.counters.failed.inc(),
        };
        let took = self.shared.clock.now().saturating_duration_since(began);
        self.counters.refusal_seconds.observe(took.as_secs_f64());
        info!(
            "event=refused id={id} cause={} ran={} retry_ms={} took_ms={} view_age_ms={}",
            refusal.code(),
            refusal.verdict().header_value(),
            refusal.retry_after().map_or(0, |after| after.as_millis()),
            took.as_millis(),
            self.shared.view_age_ms()
        );
    }

    /// Reads a request and checks it against the manifest.
    async fn accept(
        &self,
        parts: hyper::http::request::Parts,
        body: Incoming,
        ask: RequestInfo,
        began: Instant,
    ) -> Result<Job, Refusal> {
        let table = self.shared.table().ok_or(Refusal::NoManifest)?;
        let (route, team) = check(&table, &parts, &ask)?;
        let limit = table.manifest().limits.body_bytes;
        let timeout = ask.timeout.unwrap_or(route.timeout).min(route.timeout);
        let deadline = began + timeout;
        if !self.shared.accepts(deadline) {
            return Err(Refusal::Leaving);
        }
        let left = deadline.saturating_duration_since(self.shared.clock.now());
        let body = match with_timeout(left, collect(body, limit)).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyFault::TooLong { .. })) => return Err(Refusal::BodyTooLarge),
            Ok(Err(BodyFault::Broken(_))) => return Err(Refusal::BodyTruncated),
            Err(_) => return Err(Refusal::TimedOut { verdict: Verdict::NotRun }),
        };
        let service = pick_service(route);
        self.shared.count_request(&service);
        Ok(Job {
            after_event: ask.after_event,
            service,
            kind: route.kind,
            team: team.as_ref().map(|team| team.0.clone()),
            priority: team.and_then(|team| team.1).unwrap_or(route.priority),
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            began,
            deadline,
            attempts_left: route.attempts.max(1),
            avoid: Vec::new(),
            verdict: Verdict::NotRun,
            tries: 0,
            ask,
        })
    }

    /// Sends a request to backend servers until one gives an answer of its own, or no
    /// further try is allowed.
    pub(crate) async fn first_answer(&self, job: &mut Job) -> Result<Answer, Refusal> {
        loop {
            let now = self.shared.clock.now();
            if now >= job.deadline {
                return Err(Refusal::TimedOut { verdict: job.verdict });
            }
            let choice = match self.choose(job, now) {
                Err(Refusal::ResponseLost) if job.kind.may_repeat() => {
                    self.await_place(job).await?
                }
                choice => choice?,
            };
            job.tries += 1;
            let left = job.deadline - now;
            let limit = if job.kind.may_repeat() { left.min(FIRST_WAIT) } else { left };
            let host = choice.replica.host.clone();
            let tried = with_timeout(limit, self.try_once(job, choice)).await;
            let fault = match tried {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(fault)) => fault,
                Err(_) if limit < left => {
                    TryFault { verdict: Verdict::MayHaveRun, cause: "no answer yet".into() }
                }
                Err(_) => {
                    job.verdict = Verdict::MayHaveRun;
                    return Err(Refusal::TimedOut { verdict: Verdict::MayHaveRun });
                }
            };
            info!(
                "event=try_failed id={} host={host} try={} ran={} cause=\"{}\"",
                job.ask.id,
                job.tries,
                fault.verdict.header_value(),
                fault.cause
            );
            job.avoid.push(host);
            if fault.verdict == Verdict::MayHaveRun {
                job.verdict = Verdict::MayHaveRun;
                job.attempts_left -= 1;
            }
            self.permit_repeat(job)?;
        }
    }

    /// Waits a little for a place of a request whose first try was lost on its way: giving
    /// it up would waste what has been done for it.
    async fn await_place(&self, job: &Job) -> Result<Choice, Refusal> {
        let end = job.deadline.min(self.shared.clock.now() + AWAIT_PLACE);
        loop {
            Timer::after(AWAIT_PLACE_PAUSE).await;
            let now = self.shared.clock.now();
            match self.choose(job, now) {
                Err(Refusal::ResponseLost) if now < end => {}
                choice => return choice,
            }
        }
    }

    /// Whether one more try is allowed after one that failed.
    pub(crate) fn permit_repeat(&self, job: &Job) -> Result<(), Refusal> {
        let safe = job.verdict.permits_retry(job.kind.may_repeat());
        if safe && job.attempts_left > 0 && self.shared.try_repeat(&job.service) {
            self.counters.repeats.inc();
            return Ok(());
        }
        match job.verdict {
            Verdict::NotRun => Err(Refusal::NotRun { retry_after: NOBODY_RETRY / 4 }),
            _ => Err(Refusal::ResponseLost),
        }
    }

    fn choose(&self, job: &Job, now: Instant) -> Result<Choice, Refusal> {
        let needs = Needs {
            service: job.service.clone(),
            model: job.ask.model.clone(),
            prompt_tokens: job.ask.prompt_tokens,
            answer_tokens: job.ask.answer_tokens,
            avoid: job.avoid.clone(),
        };
        let chosen = lock(&self.shared.backends).choose(&needs, now);
        let refused = match chosen {
            Ok(choice) => {
                info!(
                    "event=placed id={} host={} group={} try={} running={} left_ms={} view_age_ms={}",
                    job.ask.id,
                    choice.replica.host,
                    choice.replica.group.as_ref().map_or("-", |(name, _)| name),
                    job.tries + 1,
                    choice.running,
                    job.deadline.saturating_duration_since(now).as_millis(),
                    self.shared.view_age_ms()
                );
                return Ok(choice);
            }
            Err(refused) => refused,
        };
        if job.verdict != Verdict::NotRun {
            return Err(Refusal::ResponseLost);
        }
        Err(match refused {
            Refused::Nobody => Refusal::NoServer { retry_after: NOBODY_RETRY },
            Refused::Full(retry_after) => Refusal::Full { retry_after },
        })
    }

    async fn try_once(&self, job: &Job, choice: Choice) -> Result<Answer, TryFault> {
        let Choice { replica, ticket, .. } = choice;
        let held = Held { shared: self.shared.clone(), ticket };
        let now = || self.shared.clock.now();
        let connection = match job.kind {
            // On a kept connection it may stay unknown whether the request arrived.
            RouteKind::NonIdempotent => self.client.fresh_connection(replica.address).await,
            _ => self.client.connection(replica.address).await,
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(e) => {
                lock(&self.shared.backends).unreachable(&replica.host, now());
                return Err(TryFault { verdict: Verdict::NotRun, cause: e.to_string().into() });
            }
        };
        let mut request = Request::new(full(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = origin_form(&job.uri);
        *request.headers_mut() = job.headers.clone();
        strip_hop_headers(request.headers_mut());
        let pass = ForwardInfo {
            host: &replica.host,
            team: job.team.as_ref(),
            timeout: job.deadline.saturating_duration_since(now()),
            after_event: job.after_event,
            priority: Some(job.priority.min(9)),
        };
        self.dialect.prepare_request(request.headers_mut(), &pass);
        self.shared.note_served();
        if job.tries == 1 {
            let placed = now().saturating_duration_since(job.began);
            self.counters.place_seconds.observe(placed.as_secs_f64());
        }
        let response = connection
            .send(request)
            .await
            .map_err(|e| TryFault { verdict: e.verdict(), cause: describe(&e).into() })?;
        match self.dialect.classify_response(response.status(), response.headers(), &job.ask.id) {
            ResponseKind::Own => {
                let (address, host) = (replica.address, replica.host);
                Ok(Answer { response, connection, address, host, held })
            }
            ResponseKind::Foreign => {
                self.counters.foreign.inc();
                Err(TryFault { verdict: Verdict::MayHaveRun, cause: "foreign answer".into() })
            }
            ResponseKind::NotRun => {
                lock(&self.shared.backends).full(&replica.host, now());
                let cause = format!("not run, status {}", response.status().as_u16());
                self.recycle(response, connection, replica.address).await;
                Err(TryFault { verdict: Verdict::NotRun, cause: cause.into() })
            }
            ResponseKind::WrongServer => {
                lock(&self.shared.backends).unreachable(&replica.host, now());
                Err(TryFault { verdict: Verdict::NotRun, cause: "wrong server".into() })
            }
        }
    }

    /// Keeps a connection whose answer is short and whole.
    async fn recycle(&self, response: Response<Incoming>, connection: Connection, to: SocketAddr) {
        let reusable = !closes(response.headers());
        let read = with_timeout(RECYCLE_LIMIT, collect(response.into_body(), RECYCLE_BYTES)).await;
        if reusable && matches!(read, Ok(Ok(_))) {
            self.client.keep(to, connection);
        }
    }
}

/// Longest time spent on reading the body of a refusal.
const RECYCLE_LIMIT: Duration = Duration::from_millis(50);
/// Longest body of a refusal that is read.
const RECYCLE_BYTES: usize = 4096;

/// What a connection may be idle beyond the manifest's limit: callers use one again until
/// shortly before it, and must not meet its end then.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

impl Handler for Gateway {
    fn limits(&self) -> Option<Limits> {
        let limits = self.shared.table()?.manifest().limits;
        Some(Limits {
            header_bytes: limits.header_bytes,
            body_bytes: limits.body_bytes,
            // One time bounds both an idle connection and a slow block of headers, and the
            // manifest allows the idle one longer.
            header_timeout: limits.idle_timeout.max(limits.header_timeout) + IDLE_MARGIN,
        })
    }

    fn handle(self: Arc<Self>, request: Request<Incoming>, _remote: SocketAddr) -> HandlerFuture {
        let leaving = self.shared.is_leaving();
        let answer = self.answer(request);
        async move {
            let mut response = answer.await;
            if leaving {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
        .boxed()
    }
}

type TeamOf = (TeamId, Option<u8>);

fn check<'a>(
    table: &'a Table,
    parts: &hyper::http::request::Parts,
    ask: &RequestInfo,
) -> Result<(&'a Route, Option<TeamOf>), Refusal> {
    let named = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = named.or(parts.uri.host()).unwrap_or_default();
    let route = table.route(host, parts.uri.path()).ok_or(Refusal::NoRoute)?;
    let team = match table.check_key(route, ask.key.as_deref()) {
        KeyCheck::Of(team) => Some((team.name.clone(), team.priority)),
        KeyCheck::NotNeeded => None,
        KeyCheck::Unknown => return Err(Refusal::UnknownKey),
    };
    Ok((route, team))
}

fn pick_service(route: &Route) -> ServiceId {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut at = fastrand::u64(0..total.max(1));
    for share in &route.shares {
        if at < u64::from(share.weight) {
            return share.service.clone();
        }
        at -= u64::from(share.weight);
    }
    route.shares.first().map(|share| share.service.clone()).unwrap_or_default()
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}

/// Removes the headers that concern one connection only.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

/// Whether the other side closes the connection after this message.
pub(crate) fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    values.iter().any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn describe(e: &ClientError) -> String {
    let text = e.to_string();
    text.replace('"', "'")
}
