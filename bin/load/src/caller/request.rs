//! Generates requests and the content that their responses must have.

use crate::mix::{RequestKind, RequestSpec};
use fastrand::Rng;
use http::{Body, empty, full};
use hyper::{
    Request,
    header::{CONTENT_TYPE, HOST},
};
use model::request::CHAT_PATH;
use serde_json::json;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A generated request. Its fields determine the expected response.
#[derive(Debug)]
pub enum GeneratedRequest {
    /// A chat completion, whose text depends on the prompt and the number of tokens.
    Chat { model: Box<str>, prompt: String, tokens: u32, stream: bool },
    /// A status query, whose response repeats the path.
    Status { path: String },
    /// A booking, which must run at most once. Its response repeats the key.
    Booking { path: Box<str>, key: String },
}

impl GeneratedRequest {
    /// Generates a random request.
    pub fn new(spec: &RequestSpec, rng: &mut Rng) -> GeneratedRequest {
        match spec {
            RequestSpec::Chat { model, stream, prefixes, prompt_bytes, tokens } => {
                GeneratedRequest::Chat {
                    model: model.clone(),
                    prompt: generate_prompt(
                        rng.u32(..(*prefixes).max(1)),
                        *prompt_bytes,
                        rng.u64(..),
                    ),
                    tokens: *tokens,
                    stream: *stream,
                }
            }
            RequestSpec::Status { path } => {
                GeneratedRequest::Status { path: format!("{path}{}", rng.u32(..100_000)) }
            }
            RequestSpec::Booking { path } => GeneratedRequest::Booking {
                path: path.clone(),
                key: format!("booking-{:016x}", rng.u64(..)),
            },
        }
    }

    /// Returns the key if the request is a booking.
    pub fn booking_key(&self) -> Option<&str> {
        match self {
            GeneratedRequest::Booking { key, .. } => Some(key),
            _ => None,
        }
    }

    /// Returns the text with which `kingcup-fake` completes a prompt.
    pub fn expected_chat_text(prompt: &str, tokens: u32) -> String {
        let digest = xxh3_64(prompt.as_bytes());
        (0..tokens).map(|number| format!("{digest:016x}-{number} ")).collect()
    }
}

/// Generates a prompt whose first `bytes` bytes are the same for all prompts with this `prefix`.
/// `unique` follows them.
fn generate_prompt(prefix: u32, bytes: usize, unique: u64) -> String {
    let sentence = format!("Chisel {prefix}: assess the edge, plan the stones, advise the bevel. ");
    let mut prompt = sentence.repeat(bytes / sentence.len() + 1);
    prompt.truncate(bytes);
    prompt.push_str(&format!(" Tool {unique:016x}."));
    prompt
}

/// Builds the HTTP request.
pub fn build_http_request(
    kind: &RequestKind,
    request: &GeneratedRequest,
    to: SocketAddr,
) -> Request<Body> {
    let mut builder =
        Request::builder().header(HOST, to.to_string()).header("kingcup-request-id", "direct");
    if let Some(team) = &kind.team {
        builder = builder.header("x-team", &**team);
    }
    let json_body = |value: serde_json::Value| full(value.to_string());
    let result = match request {
        GeneratedRequest::Chat { model, prompt, tokens, stream } => {
            builder.method("POST").uri(CHAT_PATH).header(CONTENT_TYPE, "application/json").body(
                json_body(json!({
                    "model": model,
                    "stream": stream,
                    "max_tokens": tokens,
                    "messages": [{ "role": "user", "content": prompt }],
                })),
            )
        }
        GeneratedRequest::Status { path } => builder.method("GET").uri(path).body(empty()),
        GeneratedRequest::Booking { path, key } => builder
            .method("POST")
            .uri(&**path)
            .header(CONTENT_TYPE, "application/json")
            .body(json_body(json!({ "key": key, "tool": "chisel" }))),
    };
    result.expect(
        "the mix has a path that is not a valid URI, or a team that is not a valid header value",
    )
}
