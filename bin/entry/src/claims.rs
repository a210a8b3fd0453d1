//! Bookings: requests with a key, claimed in the log before they are dispatched.

use crate::{
    control::ControlLink,
    core::Core,
    dispatch::{Forward, forward},
    refusal::CallerRefusal,
};
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
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// A request with a key.
#[derive(Debug)]
pub struct Booking {
    /// The key that the caller gave.
    pub key: Box<str>,
    /// The request.
    pub work: Forward,
}

/// Claims keys through control.
#[derive(Debug)]
pub struct BookingDesk {
    control: Arc<ControlLink>,
}

impl BookingDesk {
    /// A desk that claims through this link.
    pub fn new(control: Arc<ControlLink>) -> BookingDesk {
        BookingDesk { control }
    }

    /// Dispatches a booking at most once for its key; a resend gets the kept answer.
    ///
    /// # Errors
    ///
    /// Fails with a truthful refusal.
    pub async fn serve(
        &self,
        core: &Arc<Core>,
        booking: Booking,
    ) -> Result<Response<Body>, CallerRefusal> {
        let Target::Service(service) = &booking.work.target else {
            return Err(CallerRefusal::bad(
                StatusCode::BAD_REQUEST,
                "no_service",
                "models take no key",
            ));
        };
        let key = ClaimKey { service: service.clone(), key: booking.key };
        let request = digest(&booking.work);
        let token = fastrand::u64(..);
        match self.claim(&key, token, request).await {
            Some(Reply::Claimed) => {
                // The caller may leave; the claim must be closed all the same.
                let task =
                    run_claimed(self.control.clone(), core.clone(), key, token, booking.work);
                core.pool.spawn(task).await
            }
            Some(Reply::AlreadyClaimed(claim)) => answer_resend(core, &claim, request),
            _ => Err(self.give_back_unsure(core, key, token)),
        }
    }

    async fn claim(&self, key: &ClaimKey, token: u64, request: u64) -> Option<Reply> {
        let message = EntryToControl::Claim { token, key: key.clone(), request };
        with_timeout(COMMIT_TIMEOUT, self.control.call(message, token)).await.ok().flatten()
    }

    /// Nothing was dispatched, so the request has not run. The claim may have been
    /// committed all the same, so it is given back.
    fn give_back_unsure(&self, core: &Arc<Core>, key: ClaimKey, token: u64) -> CallerRefusal {
        let control = self.control.clone();
        core.pool.spawn(async move { release(&control, key, token).await }).detach();
        CallerRefusal::later(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_claim",
            "the request's key could not be claimed: send the request again with the same key",
        )
    }
}

/// Tries to give a claim back until control has decided.
async fn release(control: &ControlLink, key: ClaimKey, token: u64) {
    for _ in 0..CLOSE_TRIES {
        let message = EntryToControl::ReleaseClaim { token, key: key.clone() };
        if control.call(message, token).await.is_some() {
            return;
        }
        async_io::Timer::after(CLOSE_PAUSE).await;
    }
}

const CLOSE_TRIES: u32 = 50;
const CLOSE_PAUSE: std::time::Duration = std::time::Duration::from_millis(200);

async fn run_claimed(
    control: Arc<ControlLink>,
    core: Arc<Core>,
    key: ClaimKey,
    token: u64,
    work: Forward,
) -> Result<Response<Body>, CallerRefusal> {
    match forward(&core, work).await {
        Ok(response) => {
            let (response, kept) = keep(response).await;
            close(&control, key, token, Some(kept)).await;
            Ok(response)
        }
        Err(refusal) if refusal.verdict == Verdict::NotRun => {
            release(&control, key, token).await;
            Err(refusal)
        }
        Err(refusal) => {
            close(&control, key, token, None).await;
            Err(refusal)
        }
    }
}

async fn close(control: &ControlLink, key: ClaimKey, token: u64, answer: Option<KeptAnswer>) {
    for _ in 0..CLOSE_TRIES {
        let message =
            EntryToControl::CloseClaim { token, key: key.clone(), answer: answer.clone() };
        if control.call(message, token).await.is_some() {
            return;
        }
        async_io::Timer::after(CLOSE_PAUSE).await;
    }
}

async fn keep(response: Response<Body>) -> (Response<Body>, KeptAnswer) {
    let (head, body) = response.into_parts();
    // The body was collected whole before it came here, so reading it can't fail.
    let bytes = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let media = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let kept = KeptAnswer {
        status: head.status.as_u16(),
        content_type: media.unwrap_or("application/octet-stream").into(),
        body: (bytes.len() <= KEPT_ANSWER_MAX).then(|| bytes.to_vec()),
    };
    (Response::from_parts(head, full(bytes)), kept)
}

fn answer_resend(
    core: &Core,
    claim: &Claim,
    request: u64,
) -> Result<Response<Body>, CallerRefusal> {
    if claim.request_digest != request {
        let message = "another request was sent with this key: choose a new key for a new request";
        return Err(CallerRefusal::bad(StatusCode::UNPROCESSABLE_ENTITY, "key_reused", message));
    }
    match &claim.state {
        ClaimState::Done(KeptAnswer { status, content_type, body: Some(body) }) => {
            core.metrics.kept_answers.inc();
            let mut response = Response::new(full(body.clone()));
            *response.status_mut() = StatusCode::from_u16(*status).unwrap_or(StatusCode::OK);
            if let Ok(media) = HeaderValue::from_str(content_type) {
                response.headers_mut().insert(CONTENT_TYPE, media);
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
    CallerRefusal::unknown(StatusCode::CONFLICT, error, message)
}

fn digest(work: &Forward) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(work.parts.method.as_str().as_bytes());
    hasher.update(work.parts.uri.path().as_bytes());
    hasher.update(&work.body);
    hasher.digest()
}
