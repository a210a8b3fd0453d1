//! Reads responses and compares them with the expected ones.

use super::request::GeneratedRequest;
use crate::record::Outcome;
use http::Incoming;
use http_body_util::BodyExt;
use hyper::Response;
use serde_json::Value;
use std::time::Instant;

/// The outcome of a request and when its response began.
#[derive(Debug)]
pub struct CheckedResponse {
    pub outcome: Outcome,
    /// When the first byte of the body arrived.
    pub first_byte: Option<Instant>,
}

impl CheckedResponse {
    /// Creates the result of a request whose response body was not read.
    pub fn without_body(outcome: Outcome) -> CheckedResponse {
        CheckedResponse { outcome, first_byte: None }
    }
}

/// Reads a response to its end and compares it with the expected one.
pub async fn check_response(
    response: Response<Incoming>,
    request: &GeneratedRequest,
) -> CheckedResponse {
    let status = response.status();
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut first_byte = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return CheckedResponse { outcome: Outcome::Broken, first_byte };
        };
        first_byte.get_or_insert_with(Instant::now);
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let is_correct = status.is_success() && is_expected_body(&bytes, request);
    let outcome = if is_correct { Outcome::Answered } else { Outcome::Wrong };
    CheckedResponse { outcome, first_byte }
}

fn is_expected_body(bytes: &[u8], request: &GeneratedRequest) -> bool {
    match request {
        GeneratedRequest::Chat { prompt, tokens, stream, .. } => {
            let text = if *stream { streamed_text(bytes) } else { unary_text(bytes) };
            text == Some(GeneratedRequest::expected_chat_text(prompt, *tokens))
        }
        GeneratedRequest::Status { path } => {
            let value: Option<Value> = serde_json::from_slice(bytes).ok();
            value.is_some_and(|value| value["path"] == **path)
        }
        GeneratedRequest::Booking { key, .. } => {
            let value: Option<Value> = serde_json::from_slice(bytes).ok();
            value.is_some_and(|value| value["booked"] == **key)
        }
    }
}

/// Returns the text of a chat completion that was not streamed.
fn unary_text(bytes: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    value["choices"][0]["message"]["content"].as_str().map(str::to_owned)
}

/// Returns the text of a streamed chat completion, or `None` if the stream is malformed or lacks
/// its end event.
fn streamed_text(bytes: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut collected = String::new();
    let mut ended = false;
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        let data = event.strip_prefix("data: ")?;
        if ended {
            return None;
        }
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).ok()?;
        collected.push_str(value["choices"][0]["delta"]["content"].as_str()?);
    }
    ended.then_some(collected)
}
