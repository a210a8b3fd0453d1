//! Requests with a key: the key is claimed in the replicated log before the request is dispatched.

use crate::{
    control::ControlClient,
    dispatch::{ForwardRequest, forward},
    entry_state::EntryState,
    refusal::CallerRefusal,
};
use async_io::Timer;
use base::limits::{COMMIT_TIMEOUT, KEPT_ANSWER_MAX};
use http::{Body, full};
use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use model::verdict::Verdict;
use net::with_timeout;
use peer::EntryToControl;
use route::Target;
use state::{Claim, ClaimKey, ClaimState, KeptAnswer, Reply};
use std::{sync::Arc, time::Duration};
use xxhash_rust::xxh3::Xxh3;

/// Attempts to release or close a claim before giving up.
const CLOSE_ATTEMPTS: u32 = 50;
/// Delay between two attempts to release or close a claim.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay between two attempts to claim a key.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request that carries an idempotency key.
#[derive(Debug)]
pub struct KeyedRequest {
    /// The key that the caller gave.
    pub key: Box<str>,
    /// The request.
    pub request: ForwardRequest,
}

/// Serves requests with a key, claiming the keys through control.
#[derive(Debug)]
pub struct ClaimService {
    control: Arc<ControlClient>,
}

impl ClaimService {
    /// Creates a service that claims keys through `control`.
    pub fn new(control: Arc<ControlClient>) -> ClaimService {
        ClaimService { control }
    }

    /// Dispatches a request at most once per key. A repeated request gets the kept response.
    ///
    /// # Errors
    ///
    /// Returns a refusal that says whether the request may have run.
    pub async fn serve(
        &self,
        state: &Arc<EntryState>,
        keyed: KeyedRequest,
    ) -> Result<Response<Body>, CallerRefusal> {
        let Target::Service(service) = &keyed.request.target else {
            return Err(CallerRefusal::invalid(
                StatusCode::BAD_REQUEST,
                "no_service",
                "models take no key",
            ));
        };
        let key = ClaimKey { service: service.clone(), key: keyed.key };
        let digest = request_digest(&keyed.request);
        let token = fastrand::u64(..);
        let left = keyed.request.deadline.saturating_duration_since(state.clock.now());
        match self.claim(&key, token, digest, left.min(COMMIT_TIMEOUT)).await {
            Some(Reply::Claimed) => {
                // Runs as a task of its own, as the claim must be closed even if the caller
                // disconnects.
                let task =
                    execute_claimed(self.control.clone(), state.clone(), key, token, keyed.request);
                state.pool.spawn(task).await
            }
            Some(Reply::AlreadyClaimed(claim)) => answer_repeated_request(state, &claim, digest),
            _ => Err(self.release_uncertain_claim(state, key, token)),
        }
    }

    /// Claims a key, retrying while control changes its leader: a claim that was committed is
    /// recognized by its token.
    async fn claim(
        &self,
        key: &ClaimKey,
        token: u64,
        digest: u64,
        timeout: Duration,
    ) -> Option<Reply> {
        let attempts = async {
            loop {
                let message = EntryToControl::Claim { token, key: key.clone(), request: digest };
                if let Some(reply) = self.control.call(message, token).await {
                    return reply;
                }
                Timer::after(CLAIM_RETRY_DELAY).await;
            }
        };
        with_timeout(timeout, attempts).await.ok()
    }

    /// Releases a claim whose outcome is unknown: it may have been committed. Nothing was
    /// dispatched for it, but another request with the same key may be running.
    fn release_uncertain_claim(
        &self,
        state: &Arc<EntryState>,
        key: ClaimKey,
        token: u64,
    ) -> CallerRefusal {
        let control = self.control.clone();
        state.pool.spawn(async move { release_claim(&control, key, token).await }).detach();
        let refusal = CallerRefusal::outcome_unknown(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_claim",
            "the request's key could not be claimed: send the request again with the same key",
        );
        CallerRefusal { retryable: true, ..refusal }
    }
}

/// Releases a claim, retrying until control answers or the attempts are used up.
async fn release_claim(control: &ControlClient, key: ClaimKey, token: u64) {
    for _ in 0..CLOSE_ATTEMPTS {
        let message = EntryToControl::ReleaseClaim { token, key: key.clone() };
        if control.call(message, token).await.is_some() {
            return;
        }
        Timer::after(CLOSE_RETRY_DELAY).await;
    }
}

async fn execute_claimed(
    control: Arc<ControlClient>,
    state: Arc<EntryState>,
    key: ClaimKey,
    token: u64,
    request: ForwardRequest,
) -> Result<Response<Body>, CallerRefusal> {
    match forward(&state, request).await {
        Ok(response) => {
            let (response, kept) = capture_response(response).await;
            close_claim(&control, key, token, Some(kept)).await;
            Ok(response)
        }
        Err(refusal) if refusal.verdict == Verdict::NotRun => {
            release_claim(&control, key, token).await;
            Err(refusal)
        }
        Err(refusal) => {
            close_claim(&control, key, token, None).await;
            Err(refusal)
        }
    }
}

/// Closes a claim with the response to keep, or with none if the outcome is unknown.
async fn close_claim(
    control: &ControlClient,
    key: ClaimKey,
    token: u64,
    answer: Option<KeptAnswer>,
) {
    for _ in 0..CLOSE_ATTEMPTS {
        let message =
            EntryToControl::CloseClaim { token, key: key.clone(), answer: answer.clone() };
        if control.call(message, token).await.is_some() {
            return;
        }
        Timer::after(CLOSE_RETRY_DELAY).await;
    }
}

/// Copies a response into the form in which its claim keeps it.
async fn capture_response(response: Response<Body>) -> (Response<Body>, KeptAnswer) {
    let (head, body) = response.into_parts();
    // The body is already buffered in full, so reading it cannot fail.
    let bytes = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let kept = KeptAnswer {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or("application/octet-stream").into(),
        body: (bytes.len() <= KEPT_ANSWER_MAX).then(|| bytes.to_vec()),
    };
    (Response::from_parts(head, full(bytes)), kept)
}

fn answer_repeated_request(
    state: &EntryState,
    claim: &Claim,
    digest: u64,
) -> Result<Response<Body>, CallerRefusal> {
    if claim.request_digest != digest {
        let message = "another request was sent with this key: choose a new key for a new request";
        return Err(CallerRefusal::invalid(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            message,
        ));
    }
    match &claim.state {
        ClaimState::Done(KeptAnswer { status, content_type, body: Some(body) }) => {
            state.metrics.kept_answers.inc();
            let mut response = Response::new(full(body.clone()));
            *response.status_mut() = StatusCode::from_u16(*status).unwrap_or(StatusCode::OK);
            if let Ok(value) = HeaderValue::from_str(content_type) {
                response.headers_mut().insert(CONTENT_TYPE, value);
            }
            Ok(response)
        }
        ClaimState::Done(KeptAnswer { status, body: None, .. }) => {
            let message = format!(
                "the request ran and was answered with status {status}; the answer was too long to keep"
            );
            Err(conflict("answered_before", message))
        }
        ClaimState::Open => Err(conflict(
            "in_progress",
            "a request with this key may be running: do not book again",
        )),
        ClaimState::Unknown => {
            let message =
                "a request with this key may have run and its answer was lost: ask for the status";
            Err(conflict("outcome_unknown", message))
        }
    }
}

fn conflict(error: &'static str, message: impl Into<Box<str>>) -> CallerRefusal {
    CallerRefusal::outcome_unknown(StatusCode::CONFLICT, error, message)
}

fn request_digest(request: &ForwardRequest) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(request.parts.method.as_str().as_bytes());
    hasher.update(request.parts.uri.path().as_bytes());
    hasher.update(&request.body);
    hasher.digest()
}
