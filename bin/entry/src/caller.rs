//! Handles callers' requests to the directory, models and plain services.

use crate::{
    claims::{ClaimService, KeyedRequest},
    dispatch::{ForwardRequest, forward},
    entry_state::EntryState,
    refusal::CallerRefusal,
};
use bytes::Bytes;
use http::{Body, Handler, HandlerFuture, Incoming, collect, json_response, text_response};
use hyper::{
    Method, Request, Response, StatusCode,
    header::{ACCEPT, CONTENT_TYPE, HeaderMap},
    http::request::Parts,
};
use model::{ids::TeamId, manifest::RequestKey, request::DIRECTORY_PATH};
use route::{RouteFault, RouteMatch, Routes, Target};
use serde::Deserialize;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};
use xxhash_rust::xxh3::xxh3_64;

/// Number of bytes at the start of a prompt whose hash selects the preferred group.
const PREFIX_BYTES: usize = 1024;

/// Handles callers' requests.
#[derive(Debug)]
pub struct CallerHandler {
    state: Arc<EntryState>,
    claims: ClaimService,
    /// Counts directory requests, from a random start.
    directory_requests: AtomicUsize,
}

/// The fields of a model request that routing needs. The body is forwarded unchanged.
#[derive(Debug, Deserialize)]
struct ModelBody {
    model: Box<str>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    prompt: serde_json::Value,
    #[serde(default)]
    messages: serde_json::Value,
}

impl CallerHandler {
    /// Creates a handler on the state of the entry.
    pub fn new(state: Arc<EntryState>, claims: ClaimService) -> CallerHandler {
        CallerHandler {
            state,
            claims,
            directory_requests: AtomicUsize::new(fastrand::usize(..1 << 16)),
        }
    }

    async fn answer(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<Body> {
        if request.uri().path() == DIRECTORY_PATH {
            return self.directory(&request);
        }
        self.state.metrics.requests.inc();
        match self.serve(request, remote).await {
            Ok(response) => response,
            Err(refusal) => refusal.response(&self.state),
        }
    }

    fn directory(&self, request: &Request<Incoming>) -> Response<Body> {
        if request.method() != Method::GET {
            let message = format!("the directory takes only GET {DIRECTORY_PATH}");
            let refusal = CallerRefusal::invalid(
                StatusCode::METHOD_NOT_ALLOWED,
                "method_not_allowed",
                message,
            );
            return refusal.response(&self.state);
        }
        let directory =
            self.state.directory(self.directory_requests.fetch_add(1, Ordering::Relaxed));
        let accept = request.headers().get(ACCEPT).and_then(|value| value.to_str().ok());
        if accept.is_some_and(|accept| accept.starts_with("text/plain")) {
            let mut lines: Vec<String> =
                directory.entries.iter().map(ToString::to_string).collect();
            lines.push(format!("keep {}", directory.keep_seconds));
            return text_response(StatusCode::OK, lines.join("\n") + "\n");
        }
        json_response(StatusCode::OK, &directory)
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        remote: SocketAddr,
    ) -> Result<Response<Body>, CallerRefusal> {
        let (parts, body) = request.into_parts();
        let routes = self.state.routes();
        let route = routes.find(parts.method.as_str(), parts.uri.path()).map_err(no_route)?;
        let team = find_team(&routes, &parts.headers, remote)?;
        let limit = self.state.limits.body_bytes;
        let body = collect(body, limit).await.map_err(|fault| {
            let status = fault.status();
            if status == StatusCode::SERVICE_UNAVAILABLE {
                return CallerRefusal::retryable(status, "bodies_full", fault.to_string());
            }
            let message = format!("{fault}: send at most {limit} bytes");
            CallerRefusal::invalid(status, "body_too_large", message)
        })?;
        match route {
            RouteMatch::Model => self.serve_model(&routes, parts, body, team).await,
            RouteMatch::Service { service, idempotent, key, deadline } => {
                let deadline = self.state.clock.now() + deadline;
                let key = read_key(key.as_ref(), &parts.headers, &body)?;
                let request = ForwardRequest {
                    target: Target::Service(service),
                    team,
                    parts: Arc::new(parts),
                    body,
                    idempotent,
                    stream: false,
                    prefix: None,
                    deadline,
                };
                match key {
                    Some(key) if !idempotent => {
                        self.claims.serve(&self.state, KeyedRequest { key, request }).await
                    }
                    _ => forward(&self.state, request).await,
                }
            }
        }
    }

    async fn serve_model(
        &self,
        routes: &Routes,
        parts: Parts,
        body: Bytes,
        team: TeamId,
    ) -> Result<Response<Body>, CallerRefusal> {
        let model_request: ModelBody = serde_json::from_slice(&body).map_err(|e| {
            let message = format!(
                "line {} column {}: {e}: send a JSON object with `model`",
                e.line(),
                e.column()
            );
            CallerRefusal::invalid(StatusCode::BAD_REQUEST, "bad_json", message)
        })?;
        let (model, deadline) = routes.model(&model_request.model).ok_or_else(|| {
            let message =
                format!("the manifest has no model `{}`: check its name", model_request.model);
            CallerRefusal::invalid(StatusCode::NOT_FOUND, "unknown_model", message)
        })?;
        let request = ForwardRequest {
            target: Target::Model(model),
            team,
            parts: Arc::new(parts),
            idempotent: true,
            stream: model_request.stream,
            prefix: prefix_hash(&model_request),
            deadline: self.state.clock.now() + deadline,
            body,
        };
        forward(&self.state, request).await
    }
}

impl Handler for CallerHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, remote: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request, remote).await })
    }

    fn on_malformed(&self) {
        self.state.metrics.malformed.inc();
    }
}

fn no_route(fault: RouteFault) -> CallerRefusal {
    match fault {
        RouteFault::NoManifest => CallerRefusal::retryable(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_manifest",
            "no manifest is in force at this entry yet",
        ),
        RouteFault::UnknownPath => CallerRefusal::invalid(
            StatusCode::NOT_FOUND,
            "unknown_service",
            "the manifest has no model or service at this path: check the path",
        ),
        RouteFault::WrongMethod => CallerRefusal::invalid(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            "the manifest has this path with another method only",
        ),
    }
}

fn find_team(
    routes: &Routes,
    headers: &HeaderMap,
    remote: SocketAddr,
) -> Result<TeamId, CallerRefusal> {
    let header = |name: &str| {
        let value = headers.get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    routes
        .team(&header, remote.ip())
        .ok_or_else(|| CallerRefusal::from(route::Refusal::UnknownTeam))
}

/// Extracts the key of a request from where the manifest says that it is.
fn read_key(
    location: Option<&RequestKey>,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Option<Box<str>>, CallerRefusal> {
    let found = match location {
        None => return Ok(None),
        Some(RequestKey::Header(name)) => {
            headers.get(&**name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        }
        Some(RequestKey::Pointer(pointer)) => {
            let is_json = headers
                .get(CONTENT_TYPE)
                .is_none_or(|value| value.as_bytes().starts_with(b"application/json"));
            let value: Option<serde_json::Value> =
                if is_json { serde_json::from_slice(body).ok() } else { None };
            value.and_then(|value| value.pointer(pointer).map(key_text))
        }
    };
    match found.filter(|key| !key.is_empty()) {
        Some(key) => Ok(Some(key.into())),
        None => {
            let message = "the request has no key where the manifest expects it: add it";
            Err(CallerRefusal::invalid(StatusCode::BAD_REQUEST, "missing_key", message))
        }
    }
}

fn key_text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// The hash of the start of the prompt or of the first message.
fn prefix_hash(model_request: &ModelBody) -> Option<u64> {
    let text = match (&model_request.prompt, &model_request.messages) {
        (serde_json::Value::String(prompt), _) => prompt.clone(),
        (_, serde_json::Value::Array(messages)) => {
            let first = messages.first()?;
            first.get("content").and_then(|content| content.as_str())?.to_owned()
        }
        _ => return None,
    };
    let bytes = text.as_bytes();
    Some(xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)]))
}
