//! Handler of the admin address: health, metrics, dump, ledger and faults.

use crate::{
    backend::{FakeBackend, Ledger},
    faults::Faults,
};
use async_channel::Sender;
use base::{limits::BODY_MAX, metrics::Metrics};
use http::{
    Body, Handler, HandlerFuture, Incoming, collect, error_response, json_response, text_response,
};
use hyper::{Method, Request, Response, StatusCode};
use prometheus_client::metrics::gauge::Gauge;
use std::{net::SocketAddr, sync::Arc};

/// Gauges of the fake backend server, set from its ledger when metrics are read.
#[derive(Debug)]
pub struct FakeMetrics {
    registry: Metrics,
    ran: Gauge,
    refused: Gauge,
    cancelled: Gauge,
    above_cold_limit: Gauge,
    orders_refused: Gauge,
}

impl Default for FakeMetrics {
    fn default() -> FakeMetrics {
        let registry = Metrics::default();
        FakeMetrics {
            ran: registry.gauge("fake_ran", "Requests that ran"),
            refused: registry.gauge("fake_refused", "Requests refused, not ready"),
            cancelled: registry.gauge("fake_cancelled", "Requests whose caller left"),
            above_cold_limit: registry.gauge("fake_above_cold_limit", "Requests above the limit"),
            orders_refused: registry.gauge("fake_orders_refused", "Orders with an old fence"),
            registry,
        }
    }
}

impl FakeMetrics {
    fn render(&self, ledger: &Ledger) -> String {
        self.ran.set(ledger.ran as i64);
        self.refused.set(ledger.refused as i64);
        self.cancelled.set(ledger.cancelled as i64);
        self.above_cold_limit.set(ledger.above_cold_limit as i64);
        self.orders_refused.set(ledger.orders_refused as i64);
        self.registry.text()
    }
}

/// Handles requests to the admin address.
#[derive(Debug)]
pub struct AdminApi {
    /// The gauges.
    pub metrics: FakeMetrics,
    /// The state of the server.
    pub backend: Arc<FakeBackend>,
    /// Requests an announcement before the next one is due.
    pub wake_announcer: Sender<()>,
}

impl Handler for AdminApi {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _remote: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.respond(request).await })
    }
}

impl AdminApi {
    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), &*path) {
            (&Method::GET, "/healthz") => text_response(StatusCode::OK, "ok\n"),
            (&Method::GET, "/metrics") => {
                text_response(StatusCode::OK, self.metrics.render(&self.backend.ledger()))
            }
            (&Method::GET, "/fake/ledger") => json_response(StatusCode::OK, &self.backend.ledger()),
            (&Method::GET, "/dump") => {
                let announcement = self.backend.next_announcement();
                json_response(StatusCode::OK, &announcement)
            }
            (&Method::PUT, "/fake/faults") => self.set_faults(request).await,
            _ => {
                let message =
                    "the stand-in knows GET /healthz, /dump, /fake/ledger and PUT /fake/faults";
                error_response(StatusCode::NOT_FOUND, "not_found", message)
            }
        }
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<Body> {
        let body = collect(request.into_body(), BODY_MAX).await.unwrap_or_default();
        match serde_json::from_slice::<Faults>(&body) {
            Ok(faults) => {
                self.backend.set_faults(faults.clone());
                let _ = self.wake_announcer.try_send(());
                json_response(StatusCode::OK, &faults)
            }
            Err(e) => error_response(StatusCode::BAD_REQUEST, "bad_faults", e.to_string()),
        }
    }
}
