//! Forwarding of one request to a backend server, with retries where they are safe.

use crate::{
    core::{Core, Try},
    refusal::CallerRefusal,
    stream,
};
use base::limits::ANSWER_MAX;
use bytes::Bytes;
use http::{Body, Connection, collect, full};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, TRANSFER_ENCODING},
    http::request::Parts,
};
use model::{
    ids::{RequestId, TeamId},
    request::{PRIORITY_HEADER, RAN_HEADER, REQUEST_ID_HEADER},
    verdict::Verdict,
};
use net::with_timeout;
use route::{Evidence, RetryDecision, ServerId, Submission, Target};
use std::{sync::Arc, time::Instant};

/// A request to be forwarded.
#[derive(Debug)]
pub struct Forward {
    /// What it is for.
    pub target: Target,
    /// The caller's team.
    pub team: TeamId,
    /// The head of the caller's request.
    pub parts: Arc<Parts>,
    /// Its body.
    pub body: Bytes,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether the caller wants a stream of events.
    pub stream: bool,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// When an answer is of no use any more.
    pub deadline: Instant,
}

/// A try that brought no whole answer.
#[derive(Debug)]
pub(crate) struct FailedTry {
    pub(crate) verdict: Verdict,
    pub(crate) refusal: CallerRefusal,
    server: ServerId,
}

/// The response of a backend server, whose head has arrived.
pub(crate) struct Opened {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) sent_at: Instant,
}

/// Forwards a request until it has a whole answer or no other try is safe.
///
/// # Errors
///
/// Fails with a truthful refusal.
pub async fn forward(core: &Arc<Core>, work: Forward) -> Result<Response<Body>, CallerRefusal> {
    core.budget().deposit();
    let mut avoid = None;
    let work = Arc::new(work);
    loop {
        let failed = match try_once(core, &work, avoid.take()).await? {
            Ok(response) => return Ok(response),
            Err(failed) => failed,
        };
        let now = core.clock.now();
        let decision = core.budget().decide(work.idempotent, failed.verdict, now, work.deadline);
        if decision != RetryDecision::Retry {
            return Err(failed.refusal);
        }
        core.metrics.retries.inc();
        avoid = Some(failed.server);
    }
}

/// Makes one try. The outer error is a refusal before any dispatch.
pub(crate) async fn try_once(
    core: &Arc<Core>,
    work: &Arc<Forward>,
    avoid: Option<ServerId>,
) -> Result<Result<Response<Body>, FailedTry>, CallerRefusal> {
    let submission = Submission {
        target: work.target.clone(),
        team: work.team.clone(),
        prefix: work.prefix,
        deadline: work.deadline,
        avoid,
    };
    let mut attempt = core.admit(submission).await?;
    let opened = match open(core, work, &mut attempt).await {
        Ok(opened) => opened,
        Err(failed) => return Ok(Err(failed)),
    };
    if work.stream && opened.response.status() == StatusCode::OK {
        return Ok(Ok(stream::pass_on(core.clone(), work.clone(), attempt, opened)));
    }
    Ok(whole_answer(core, work, attempt, opened).await)
}

/// Sends the request and waits for the head of the response.
pub(crate) async fn open(
    core: &Arc<Core>,
    work: &Forward,
    attempt: &mut Try,
) -> Result<Opened, FailedTry> {
    let request_id: RequestId = format!("{:016x}", fastrand::u64(..)).into();
    let sent_at = core.clock.now();
    // A kept connection may be closed by the server just as the request is written;
    // only on a fresh one is a failure to connect proof that nothing ran.
    let connection = if work.idempotent {
        core.client.connection(attempt.address).await
    } else {
        core.client.fresh_connection(attempt.address).await
    };
    let mut connection = match connection {
        Ok(connection) => connection,
        Err(e) => {
            attempt.note(Evidence::Broken);
            let refusal =
                CallerRefusal::later(StatusCode::BAD_GATEWAY, "unreachable", e.to_string());
            return Err(failed(attempt, Verdict::NotRun, refusal));
        }
    };
    let request = build_request(work, attempt, &request_id);
    let left = work.deadline.saturating_duration_since(core.clock.now());
    match with_timeout(left, connection.send(request)).await {
        Ok(Ok(response)) => {
            check_owner(core, attempt, &request_id, &response)?;
            Ok(Opened { response, connection, sent_at })
        }
        Ok(Err(e)) => {
            core.metrics.broken_answers.inc();
            attempt.note(Evidence::Broken);
            let verdict = e.verdict();
            let mut refusal =
                CallerRefusal::unknown(StatusCode::BAD_GATEWAY, "broken", e.to_string());
            refusal.verdict = verdict;
            Err(failed(attempt, verdict, refusal))
        }
        Err(_) => {
            let message = "the backend server did not answer within the deadline";
            let refusal = CallerRefusal::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline", message);
            Err(failed(attempt, Verdict::MayHaveRun, refusal))
        }
    }
}

fn failed(attempt: &Try, verdict: Verdict, refusal: CallerRefusal) -> FailedTry {
    FailedTry { verdict, refusal, server: attempt.server.clone() }
}

/// An answer with another request's id is not ours, whatever it says.
fn check_owner(
    core: &Core,
    attempt: &mut Try,
    request_id: &RequestId,
    response: &Response<Incoming>,
) -> Result<(), FailedTry> {
    let echoed = response.headers().get(REQUEST_ID_HEADER);
    if echoed.is_some_and(|echoed| echoed.as_bytes() == request_id.as_bytes()) {
        return Ok(());
    }
    core.metrics.foreign_answers.inc();
    attempt.note(Evidence::Broken);
    let message = "the backend server answered another request";
    let refusal = CallerRefusal::unknown(StatusCode::BAD_GATEWAY, "foreign_answer", message);
    Err(failed(attempt, Verdict::MayHaveRun, refusal))
}

async fn whole_answer(
    core: &Arc<Core>,
    work: &Forward,
    mut attempt: Try,
    opened: Opened,
) -> Result<Response<Body>, FailedTry> {
    let Opened { response, connection, sent_at, .. } = opened;
    let first_byte = core.clock.now().saturating_duration_since(sent_at);
    let (head, body) = response.into_parts();
    let left = work.deadline.saturating_duration_since(core.clock.now());
    let bytes = match with_timeout(left, collect(body, ANSWER_MAX)).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(fault)) => {
            core.metrics.broken_answers.inc();
            attempt.note(Evidence::Broken);
            let refusal =
                CallerRefusal::unknown(StatusCode::BAD_GATEWAY, "broken", fault.to_string());
            return Err(failed(&attempt, Verdict::MayHaveRun, refusal));
        }
        Err(_) => {
            let message = "the answer was not whole within the deadline";
            let refusal = CallerRefusal::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline", message);
            return Err(failed(&attempt, Verdict::MayHaveRun, refusal));
        }
    };
    let says_not_run = head.headers.get(RAN_HEADER).is_some_and(|value| value == "no");
    if head.status == StatusCode::SERVICE_UNAVAILABLE && says_not_run {
        attempt.note(Evidence::Overloaded);
        let message = "the backend server refused the request";
        let refusal = CallerRefusal::later(StatusCode::SERVICE_UNAVAILABLE, "refused", message);
        return Err(failed(&attempt, Verdict::NotRun, refusal));
    }
    attempt.note(Evidence::Answered { first_byte });
    core.client.keep(attempt.address, connection);
    core.metrics.answered.inc();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = head.status;
    if let Some(media) = head.headers.get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, media.clone());
    }
    Ok(response)
}

fn build_request(work: &Forward, attempt: &Try, request_id: &RequestId) -> Request<Body> {
    let path = work.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder().method(work.parts.method.clone()).uri(path);
    for (name, value) in &work.parts.headers {
        if !is_of_this_hop(name) {
            request = request.header(name, value);
        }
    }
    request
        .header(HOST, attempt.address.to_string())
        .header(REQUEST_ID_HEADER, &**request_id)
        .header(PRIORITY_HEADER, attempt.priority)
        .body(full(work.body.clone()))
        .expect("parts of a parsed request make a request")
}

/// Headers that concern one connection, or that only the system may set.
fn is_of_this_hop(name: &HeaderName) -> bool {
    let own = [HOST, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING];
    own.contains(name) || name.as_str().starts_with("kingcup-")
}
