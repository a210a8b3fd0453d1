//! Responses of the plain service, which records bookings in a ledger.

use crate::backend::FakeBackend;
use async_io::Timer;
use http::{Body, json_response};
use hyper::{Method, Response, StatusCode};
use serde_json::{Value, json};
use std::{sync::Arc, time::Duration};

/// Handles a request for the service. A booking has its key in the body, as the field `key`.
pub async fn handle(
    backend: &Arc<FakeBackend>,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Response<Body> {
    let mut active = backend.start_service();
    let delay = Duration::from_millis(backend.faults().slow_ms);
    let response = if method == Method::POST {
        book(backend, body)
    } else {
        json_response(StatusCode::OK, &json!({ "path": path, "state": "on the bench" }))
    };
    Timer::after(active.first_token + delay).await;
    active.complete();
    response
}

fn book(backend: &FakeBackend, body: &[u8]) -> Response<Body> {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let Some(key) = value.get("key").and_then(Value::as_str) else {
        return json_response(
            StatusCode::BAD_REQUEST,
            &json!({ "error": "the booking has no key" }),
        );
    };
    let times = backend.book(key);
    json_response(StatusCode::CREATED, &json!({ "booked": key, "times": times }))
}
