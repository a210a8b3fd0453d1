//! Responses of the model engine, unary and streamed.

use crate::backend::{ActiveRequest, FakeBackend};
use async_io::Timer;
use bytes::Bytes;
use futures_lite::stream::unfold;
use http::{Body, json_response};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response, StatusCode,
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{io, sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

const DEFAULT_TOKENS: u32 = 8;
const MAX_TOKENS: u32 = 4096;
/// Number of bytes at the start of a prompt that form its prefix.
const PREFIX_BYTES: usize = 1024;

/// The fields of a request that the engine uses.
#[derive(Debug, Deserialize)]
pub struct ModelRequest {
    model: Box<str>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Value,
    max_tokens: Option<u32>,
    #[serde(default)]
    resume_after: u32,
}

impl ModelRequest {
    fn text(&self) -> String {
        match (&self.prompt, &self.messages) {
            (Value::String(prompt), _) => prompt.clone(),
            (_, messages) => messages
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|message| message.get("content").and_then(Value::as_str))
                .collect::<Vec<_>>()
                .join("\n"),
        }
    }

    fn prefix(&self) -> u64 {
        let text = self.text();
        xxh3_64(&text.as_bytes()[..text.len().min(PREFIX_BYTES)])
    }

    /// Returns the tokens of the response. They depend only on the prompt and `max_tokens`, so that
    /// a caller can detect a response to another request.
    fn tokens(&self) -> Vec<String> {
        let count = self.max_tokens.unwrap_or(DEFAULT_TOKENS).clamp(1, MAX_TOKENS);
        let digest = xxh3_64(self.text().as_bytes());
        (0..count).map(|number| format!("{digest:016x}-{number} ")).collect()
    }
}

/// Handles a request for a model.
pub async fn handle(backend: &Arc<FakeBackend>, request: ModelRequest) -> Response<Body> {
    let Some(mut active) = backend.start_model(&request.model, request.prefix()) else {
        return not_ready();
    };
    let faults = backend.faults();
    Timer::after(active.first_token + Duration::from_millis(faults.slow_ms)).await;
    if request.stream {
        return stream(backend.clone(), active, &request);
    }
    let tokens = request.tokens();
    Timer::after(backend.config().performance.token_time * tokens.len() as u32).await;
    active.complete();
    let body = json!({
        "model": request.model,
        "choices": [{ "index": 0, "finish_reason": "stop", "text": tokens.concat(),
                      "message": { "role": "assistant", "content": tokens.concat() } }],
        "usage": { "completion_tokens": tokens.len() },
    });
    json_response(StatusCode::OK, &body)
}

fn not_ready() -> Response<Body> {
    let mut response =
        json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "not_ready" }));
    response.headers_mut().insert("kingcup-ran", HeaderValue::from_static("no"));
    response
}

struct ResponseStream {
    backend: Arc<FakeBackend>,
    active: ActiveRequest,
    tokens: Vec<String>,
    next: usize,
    ended: bool,
}

fn stream(
    backend: Arc<FakeBackend>,
    active: ActiveRequest,
    request: &ModelRequest,
) -> Response<Body> {
    let next = request.resume_after as usize;
    let state = ResponseStream { backend, active, tokens: request.tokens(), next, ended: false };
    let frames = unfold(state, |mut state| async move {
        let event = state.next_event().await?;
        Some((event.map(|event| Frame::data(Bytes::from(event))), state))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let media_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

impl ResponseStream {
    async fn next_event(&mut self) -> Option<io::Result<String>> {
        if self.ended {
            return None;
        }
        let faults = self.backend.faults();
        if faults.cut && self.next >= self.tokens.len() / 2 {
            self.ended = true;
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if self.next >= self.tokens.len() && !faults.endless {
            self.ended = true;
            self.active.complete();
            return Some(Ok("data: [DONE]\n\n".to_owned()));
        }
        Timer::after(self.backend.config().performance.token_time).await;
        let token = self.tokens.get(self.next).cloned().unwrap_or_default();
        self.next += 1;
        let event =
            json!({ "choices": [{ "index": 0, "delta": { "content": token }, "text": token }] });
        Some(Ok(format!("data: {event}\n\n")))
    }
}
