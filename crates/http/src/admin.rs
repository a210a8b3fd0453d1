//! The admin endpoint of a process: metrics, a state dump, and a health check.

use crate::{
    body::{Body, ByteBudget, error_response, json_response, text_response},
    incoming::Incoming,
    server::{Handler, HandlerFuture, Limits, Server},
};
use async_io::Timer;
use base::metrics::Metrics;
use hyper::{
    Method, Request, Response, StatusCode,
    header::{AUTHORIZATION, HeaderMap},
};
use log::warn;
use net::{Listener, Pool, Stop};
use prometheus_client::metrics::histogram::Histogram;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Interval at which the delay of the workers is measured.
const DELAY_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of the workers above which it is logged.
const LATE_WORKER: Duration = Duration::from_millis(250);

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

/// Starts serving the admin endpoint, until `stop` is triggered, and measures how long tasks wait for
/// a worker.
pub fn serve_admin(
    pool: Pool,
    listener: Listener,
    metrics: Arc<Metrics>,
    dump: Arc<dyn Dump>,
    stop: Stop,
) {
    let help = "time that a task which is due waits for a worker";
    pool.spawn(measure_delay(metrics.histogram("worker_delay_seconds", help))).detach();
    let server = Server {
        pool,
        listener,
        limits: Limits::default(),
        // It reads no bodies.
        bodies: Arc::new(ByteBudget::new(0)),
        handler: Arc::new(Admin { metrics, dump }),
        stop,
    };
    pool.spawn(server.run()).detach();
}

/// Measures how late a task of the pool runs: one that is never pending delays all others.
async fn measure_delay(delays: Histogram) {
    loop {
        let due = Instant::now() + DELAY_INTERVAL;
        Timer::at(due).await;
        let delay = due.elapsed();
        delays.observe(delay.as_secs_f64());
        if delay > LATE_WORKER {
            warn!(
                "event=late_worker delay_ms={} limit_ms={}",
                delay.as_millis(),
                LATE_WORKER.as_millis()
            );
        }
    }
}
