//! Receives the announcements of backend servers.

use crate::entry_state::EntryState;
use base::secret::Secret;
use http::{Body, Handler, HandlerFuture, Incoming, collect, error_response, json_response};
use hyper::{Method, Request, Response, StatusCode};
use model::{announce::Announcement, order::SECRET_HEADER, request::ANNOUNCE_PATH};
use std::{net::SocketAddr, sync::Arc};

/// Handles announcements, which arrive on a listener of their own.
#[derive(Debug)]
pub struct AnnounceHandler {
    /// The state of the entry.
    pub state: Arc<EntryState>,
    /// The cluster's secret, which backend servers know.
    pub secret: Secret,
}

impl Handler for AnnounceHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, remote: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request, remote).await })
    }

    fn on_malformed(&self) {
        self.state.metrics.malformed.inc();
    }
}

impl AnnounceHandler {
    async fn answer(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<Body> {
        let secret = request.headers().get(SECRET_HEADER);
        if !secret.is_some_and(|secret| self.secret.matches(secret.as_bytes())) {
            self.state.metrics.secrets_refused.inc();
            let message = "send the header `kingcup-secret` with the cluster's secret";
            return error_response(StatusCode::FORBIDDEN, "forbidden", message);
        }
        if request.method() != Method::POST || request.uri().path() != ANNOUNCE_PATH {
            let message = format!("this address takes only POST {ANNOUNCE_PATH}");
            return error_response(StatusCode::NOT_FOUND, "not_found", message);
        }
        let body = match collect(request.into_body(), self.state.limits.body_bytes).await {
            Ok(body) => body,
            Err(fault) => return self.refuse(fault.status(), &fault.to_string()),
        };
        match serde_json::from_slice::<Announcement>(&body) {
            Ok(announcement) => self.accept(announcement, remote),
            Err(e) => {
                let cause = format!("line {} column {}: {e}", e.line(), e.column());
                self.refuse(StatusCode::BAD_REQUEST, &cause)
            }
        }
    }

    fn accept(&self, announcement: Announcement, remote: SocketAddr) -> Response<Body> {
        if let Err(fault) = announcement.check(remote.ip()) {
            return self.refuse(StatusCode::BAD_REQUEST, &fault.to_string());
        }
        if self.state.leaving.is_triggered() {
            let message = "this entry is leaving: announce to another one";
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "leaving", message);
        }
        let now = self.state.clock.now();
        let result = self.state.hosts().announce(announcement, now);
        match result {
            Ok(()) => {
                self.state.metrics.announcements.inc();
                json_response(StatusCode::OK, &serde_json::json!({ "taken": true }))
            }
            Err(fault) => self.refuse(StatusCode::CONFLICT, &fault.to_string()),
        }
    }

    fn refuse(&self, status: StatusCode, cause: &str) -> Response<Body> {
        self.state.metrics.announcements_refused.inc();
        error_response(status, "announcement_refused", cause)
    }
}
