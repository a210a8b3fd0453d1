//! Forwards a request to a backend server, and retries it where that is safe.

use crate::{
    entry_state::{Attempt, EntryState},
    refusal::CallerRefusal,
    stream,
};
use base::limits::RESPONSE_MAX;
use bytes::Bytes;
use http::{Body, Connection, Framing, Incoming, full};
use hyper::{
    Request, Response, StatusCode,
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

/// A request to forward to a backend server.
#[derive(Debug)]
pub struct ForwardRequest {
    /// The model or service that it addresses.
    pub target: Target,
    /// The caller's team.
    pub team: TeamId,
    /// The request line and headers of the caller's request.
    pub parts: Arc<Parts>,
    /// The request body.
    pub body: Bytes,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// Whether the caller requested an event stream.
    pub stream: bool,
    /// Hash of the start of the prompt, which selects the preferred group.
    pub prefix: Option<u64>,
    /// The time by which the caller needs the response.
    pub deadline: Instant,
}

/// An attempt that returned no complete response.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) verdict: Verdict,
    pub(crate) refusal: CallerRefusal,
    server: ServerId,
}

/// A response of a backend server whose body has not been read yet.
pub(crate) struct PendingResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) sent_at: Instant,
}

/// Forwards a request until there is a complete response or no further attempt is safe.
///
/// # Errors
///
/// Returns a refusal that says whether the request may have run.
pub async fn forward(
    state: &Arc<EntryState>,
    request: ForwardRequest,
) -> Result<Response<Body>, CallerRefusal> {
    state.budget().deposit();
    let mut avoid = None;
    let request = Arc::new(request);
    loop {
        let failed = match attempt_once(state, &request, avoid.take()).await? {
            Ok(response) => return Ok(response),
            Err(failed) => failed,
        };
        let now = state.clock.now();
        let decision =
            state.budget().decide(request.idempotent, failed.verdict, now, request.deadline);
        if decision != RetryDecision::Retry {
            return Err(failed.refusal);
        }
        state.metrics.retries.inc();
        avoid = Some(failed.server);
    }
}

/// Makes one attempt. The outer error is a refusal before the request was dispatched.
pub(crate) async fn attempt_once(
    state: &Arc<EntryState>,
    request: &Arc<ForwardRequest>,
    avoid: Option<ServerId>,
) -> Result<Result<Response<Body>, FailedAttempt>, CallerRefusal> {
    let submission = Submission {
        target: request.target.clone(),
        team: request.team.clone(),
        prefix: request.prefix,
        deadline: request.deadline,
        avoid,
    };
    let mut attempt = state.admit(submission).await?;
    let pending = match send(state, request, &mut attempt).await {
        Ok(pending) => pending,
        Err(failed) => return Ok(Err(failed)),
    };
    if request.stream && pending.response.status() == StatusCode::OK {
        return Ok(Ok(stream::relay(state.clone(), request.clone(), attempt, pending)));
    }
    Ok(collect_response(state, request, attempt, pending).await)
}

/// Sends the request and waits for the response headers.
pub(crate) async fn send(
    state: &Arc<EntryState>,
    request: &ForwardRequest,
    attempt: &mut Attempt,
) -> Result<PendingResponse, FailedAttempt> {
    let request_id: RequestId = format!("{:016x}", fastrand::u64(..)).into();
    let sent_at = state.clock.now();
    // The server may close a reused connection while the request is being written. Only on a new
    // connection does a failure to connect prove that the request has not run.
    let connection = if request.idempotent {
        state.client.connection(attempt.address).await
    } else {
        state.client.new_connection(attempt.address).await
    };
    let mut connection = match connection {
        Ok(connection) => connection,
        Err(e) => {
            attempt.record(Evidence::Broken);
            let refusal =
                CallerRefusal::retryable(StatusCode::BAD_GATEWAY, "unreachable", e.to_string());
            return Err(failed(attempt, Verdict::NotRun, refusal));
        }
    };
    let outgoing = build_request(request, attempt, &request_id);
    let left = request.deadline.saturating_duration_since(state.clock.now());
    match with_timeout(left, connection.send(outgoing)).await {
        Ok(Ok(response)) => {
            check_request_id(state, attempt, &request_id, &response)?;
            Ok(PendingResponse { response, connection, sent_at })
        }
        Ok(Err(e)) => {
            state.metrics.broken_answers.inc();
            attempt.record(Evidence::Broken);
            let verdict = e.verdict();
            let mut refusal =
                CallerRefusal::outcome_unknown(StatusCode::BAD_GATEWAY, "broken", e.to_string());
            refusal.verdict = verdict;
            Err(failed(attempt, verdict, refusal))
        }
        Err(_) => {
            let message = "the backend server did not answer within the deadline";
            let refusal =
                CallerRefusal::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, "deadline", message);
            Err(failed(attempt, Verdict::MayHaveRun, refusal))
        }
    }
}

fn failed(attempt: &Attempt, verdict: Verdict, refusal: CallerRefusal) -> FailedAttempt {
    FailedAttempt { verdict, refusal, server: attempt.server.clone() }
}

/// Rejects a response whose request id is not that of this attempt: it belongs to another request.
fn check_request_id(
    state: &EntryState,
    attempt: &mut Attempt,
    request_id: &RequestId,
    response: &Response<Incoming>,
) -> Result<(), FailedAttempt> {
    let echoed = response.headers().get(REQUEST_ID_HEADER);
    if echoed.is_some_and(|echoed| echoed.as_bytes() == request_id.as_bytes()) {
        return Ok(());
    }
    state.metrics.foreign_answers.inc();
    attempt.record(Evidence::Broken);
    let message = "the backend server answered another request";
    let refusal =
        CallerRefusal::outcome_unknown(StatusCode::BAD_GATEWAY, "foreign_answer", message);
    Err(failed(attempt, Verdict::MayHaveRun, refusal))
}

/// Buffers the body, and keeps the connection for reuse.
async fn collect_response(
    state: &Arc<EntryState>,
    request: &ForwardRequest,
    mut attempt: Attempt,
    head: PendingResponse,
) -> Result<Response<Body>, FailedAttempt> {
    let PendingResponse { response, connection, sent_at, .. } = head;
    let first_byte = state.clock.now().saturating_duration_since(sent_at);
    let (head, body) = response.into_parts();
    let framing = Framing::of(&head.headers, &body);
    let left = request.deadline.saturating_duration_since(state.clock.now());
    let collected = http::collect_response(body, RESPONSE_MAX);
    let bytes = match with_timeout(left, collected).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(fault)) => {
            state.metrics.broken_answers.inc();
            attempt.record(Evidence::Broken);
            let refusal = CallerRefusal::outcome_unknown(
                StatusCode::BAD_GATEWAY,
                "broken",
                fault.to_string(),
            );
            return Err(failed(&attempt, Verdict::MayHaveRun, refusal));
        }
        Err(_) => {
            let message = "the answer was not whole within the deadline";
            let refusal =
                CallerRefusal::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, "deadline", message);
            return Err(failed(&attempt, Verdict::MayHaveRun, refusal));
        }
    };
    if framing == Framing::Connection && !is_running(state, request, &attempt).await {
        state.metrics.broken_answers.inc();
        attempt.record(Evidence::Broken);
        let message = "the backend server ended with its answer";
        let refusal = CallerRefusal::outcome_unknown(StatusCode::BAD_GATEWAY, "broken", message);
        return Err(failed(&attempt, Verdict::MayHaveRun, refusal));
    }
    let says_not_run = head.headers.get(RAN_HEADER).is_some_and(|value| value == "no");
    if head.status == StatusCode::SERVICE_UNAVAILABLE && says_not_run {
        attempt.record(Evidence::Overloaded);
        let message = "the backend server refused the request";
        let refusal = CallerRefusal::retryable(StatusCode::SERVICE_UNAVAILABLE, "refused", message);
        return Err(failed(&attempt, Verdict::NotRun, refusal));
    }
    attempt.record(Evidence::Answered { first_byte });
    state.client.return_idle(attempt.address, connection);
    state.metrics.answered.inc();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = head.status;
    if let Some(content_type) = head.headers.get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, content_type.clone());
    }
    Ok(response)
}

/// Whether the backend server accepts a new connection, after an answer that ended with its
/// connection: it may have ended with its server.
async fn is_running(state: &EntryState, request: &ForwardRequest, attempt: &Attempt) -> bool {
    match state.client.new_connection(attempt.address).await {
        Ok(connection) => {
            if request.idempotent {
                state.client.return_idle(attempt.address, connection);
            }
            true
        }
        Err(_) => false,
    }
}

fn build_request(
    request: &ForwardRequest,
    attempt: &Attempt,
    request_id: &RequestId,
) -> Request<Body> {
    let path = request.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut builder = Request::builder().method(request.parts.method.clone()).uri(path);
    for (name, value) in &request.parts.headers {
        if !is_not_forwarded(name) {
            builder = builder.header(name, value);
        }
    }
    builder
        .header(HOST, attempt.address.to_string())
        .header(REQUEST_ID_HEADER, &**request_id)
        .header(PRIORITY_HEADER, attempt.priority)
        .body(full(request.body.clone()))
        .expect("a parsed request has a valid method, path and headers")
}

/// Whether a header concerns one connection only, or may be set by the system only.
fn is_not_forwarded(name: &HeaderName) -> bool {
    let hop_by_hop = [HOST, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING];
    hop_by_hop.contains(name) || name.as_str().starts_with("kingcup-")
}
