//! The admin endpoint of a process: metrics, a state dump, and a health check.

use crate::{
    body::{Body, error_response, json_response, text_response},
    server::{Handler, HandlerFuture, Limits, Server},
};
use base::metrics::Metrics;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, HeaderMap},
};
use net::{Listener, Pool, Stop};
use std::{net::SocketAddr, sync::Arc};

/// A process that the admin endpoint exposes.
pub trait Dump: Send + Sync {
    /// The state as JSON.
    fn dump(&self) -> serde_json::Value;

    /// Whether the process is ready to serve.
    fn is_healthy(&self) -> bool;

    /// Handles a POST request that triggers an action; `token` is the bearer token of the request.
    /// Returns `None` for an unknown path.
    fn handle_action(&self, _path: &str, _token: Option<&[u8]>) -> Option<Response<Body>> {
        None
    }
}

struct Admin {
    metrics: Arc<Metrics>,
    dump: Arc<dyn Dump>,
}

impl Admin {
    fn respond(&self, request: &Request<Incoming>) -> Response<Body> {
        let (method, path) = (request.method(), request.uri().path());
        if method == Method::POST
            && let Some(response) = self.dump.handle_action(path, bearer_token(request.headers()))
        {
            return response;
        }
        if method != Method::GET {
            let message = "the admin address accepts only GET";
            return error_response(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", message);
        }
        match path {
            "/metrics" => text_response(StatusCode::OK, self.metrics.text()),
            "/dump" => json_response(StatusCode::OK, &self.dump.dump()),
            "/healthz" if self.dump.is_healthy() => text_response(StatusCode::OK, "ok\n"),
            "/healthz" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            _ => {
                let message = "the admin address serves /metrics, /dump and /healthz";
                error_response(StatusCode::NOT_FOUND, "not_found", message)
            }
        }
    }
}

impl Handler for Admin {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _remote: SocketAddr) -> HandlerFuture {
        let response = self.respond(&request);
        Box::pin(async move { response })
    }
}

/// The token in the header `Authorization: Bearer TOKEN`.
pub fn bearer_token(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(AUTHORIZATION)?;
    value.as_bytes().strip_prefix(b"Bearer ")
}

/// Starts serving the admin endpoint, until `stop` is triggered.
pub fn serve_admin(
    pool: Pool,
    listener: Listener,
    metrics: Arc<Metrics>,
    dump: Arc<dyn Dump>,
    stop: Stop,
) {
    let server = Server {
        pool,
        listener,
        limits: Limits::default(),
        handler: Arc::new(Admin { metrics, dump }),
        stop,
    };
    pool.spawn(server.run()).detach();
}
