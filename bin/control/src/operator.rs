//! The operators' HTTP API.

use crate::{
    config::Config,
    driver::{DriverHandle, Event, OperatorCall, OperatorReply},
    metrics::ControlMetrics,
};
use async_channel::bounded;
use base::{
    limits::{COMMIT_TIMEOUT, REQUESTS_MAX},
    secret::Secret,
    units::parse_duration,
};
use http::{
    Body, ByteBudget, Handler, HandlerFuture, Incoming, Limits, Server, bearer_token, collect,
    error_response, json_response,
};
use hyper::{Method, Request, Response, StatusCode};
use model::{manifest::check_manifest, status::Accepted};
use net::{Listener, Pool, Stop, with_timeout};
use serde::{Deserialize, Serialize};
use state::Rejection;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The body of a call that takes a failure domain out of service.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct DomainOutBody {
    /// Time to start replacements before the domain stops serving, such as `10m`.
    #[serde(default)]
    notice: Option<String>,
}

/// The response to an invalid manifest.
#[derive(Debug, Serialize)]
struct FaultyManifest {
    error: &'static str,
    message: &'static str,
    findings: Vec<String>,
}

struct Operator {
    token: Secret,
    limits: Limits,
    driver: DriverHandle,
    metrics: ControlMetrics,
}

/// Serves the operators' API until `stop` is triggered.
pub fn serve(
    pool: Pool,
    listener: Listener,
    config: &Config,
    driver: DriverHandle,
    metrics: ControlMetrics,
    stop: Stop,
) {
    let limits = Limits::default();
    let handler = Arc::new(Operator { token: config.token.clone(), limits, driver, metrics });
    let bodies = Arc::new(ByteBudget::new(REQUESTS_MAX));
    let server = Server { pool, listener, limits, bodies, handler, stop };
    pool.spawn(server.run()).detach();
}

impl Handler for Operator {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _remote: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.answer(request).await })
    }

    fn on_malformed(&self) {
        self.metrics.malformed.inc();
    }
}

impl Operator {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        if !self.is_authorised(&request) {
            self.metrics.tokens_refused.inc();
            let message = "send the header `Authorization: Bearer TOKEN` with the operators' token";
            return error_response(StatusCode::UNAUTHORIZED, "unauthorized", message);
        }
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (&method, segments.as_slice()) {
            (&Method::PUT, ["v1", "manifest"]) => self.apply(request).await,
            (&Method::GET, ["v1", "status"]) => self.call(OperatorCall::Status).await,
            (&Method::POST, ["v1", "domains", domain, "out"]) => {
                self.domain_out(domain, request).await
            }
            (&Method::POST, ["v1", "domains", domain, "back"]) => {
                self.call(OperatorCall::DomainBack { domain: (*domain).into() }).await
            }
            _ => {
                let message = "the API has PUT /v1/manifest, GET /v1/status, \
                               POST /v1/domains/NAME/out and POST /v1/domains/NAME/back";
                error_response(StatusCode::NOT_FOUND, "not_found", message)
            }
        }
    }

    fn is_authorised(&self, request: &Request<Incoming>) -> bool {
        bearer_token(request.headers()).is_some_and(|token| self.token.matches(token))
    }

    async fn apply(&self, request: Request<Incoming>) -> Response<Body> {
        let text = match self.read_text(request).await {
            Ok(text) => text,
            Err(response) => return response,
        };
        match check_manifest(&text) {
            Ok(checked) => self.call(OperatorCall::Apply(Box::new(checked))).await,
            Err(findings) => {
                let body = FaultyManifest {
                    error: "faulty_manifest",
                    message: "the manifest has faults and was not accepted: correct them",
                    findings: findings.iter().map(ToString::to_string).collect(),
                };
                json_response(StatusCode::UNPROCESSABLE_ENTITY, &body)
            }
        }
    }

    async fn domain_out(&self, domain: &str, request: Request<Incoming>) -> Response<Body> {
        let text = match self.read_text(request).await {
            Ok(text) => text,
            Err(response) => return response,
        };
        match parse_notice(&text) {
            Ok(notice) => {
                self.call(OperatorCall::DomainOut { domain: domain.into(), notice }).await
            }
            Err(cause) => error_response(StatusCode::BAD_REQUEST, "bad_notice", cause),
        }
    }

    async fn read_text(&self, request: Request<Incoming>) -> Result<String, Response<Body>> {
        let body = collect(request.into_body(), self.limits.body_bytes)
            .await
            .map_err(|fault| error_response(fault.status(), "bad_body", fault.to_string()))?;
        String::from_utf8(body.into()).map_err(|_| {
            let message = "the body is not UTF-8: send JSON text";
            error_response(StatusCode::BAD_REQUEST, "bad_body", message)
        })
    }

    async fn call(&self, call: OperatorCall) -> Response<Body> {
        let (tx, rx) = bounded(1);
        self.driver.send(Event::Operator { call, reply: tx });
        match with_timeout(COMMIT_TIMEOUT, rx.recv()).await {
            Ok(Ok(reply)) => answer(reply),
            _ => {
                let message = "the change may or may not be accepted: send it again unchanged, \
                               to this or another control process";
                error_response(StatusCode::SERVICE_UNAVAILABLE, "outcome_unknown", message)
            }
        }
    }
}

fn parse_notice(text: &str) -> Result<Duration, String> {
    if text.trim().is_empty() {
        return Ok(Duration::ZERO);
    }
    let body: DomainOutBody = serde_json::from_str(text).map_err(|e| {
        format!(
            "line {} column {}: {e}: send {{\"notice\": \"10m\"}} or nothing",
            e.line(),
            e.column()
        )
    })?;
    body.notice.map_or(Ok(Duration::ZERO), |notice| parse_duration(&notice))
}

fn answer(reply: OperatorReply) -> Response<Body> {
    match reply {
        OperatorReply::Accepted { number, digest } => {
            json_response(StatusCode::OK, &Accepted { number, digest })
        }
        OperatorReply::Done => json_response(StatusCode::OK, &serde_json::json!({ "done": true })),
        OperatorReply::Status(status) => json_response(StatusCode::OK, &*status),
        OperatorReply::Rejected(rejection) => {
            let status = match rejection {
                Rejection::UnknownDomain => StatusCode::NOT_FOUND,
                _ => StatusCode::CONFLICT,
            };
            error_response(status, "rejected", rejection.to_string())
        }
        OperatorReply::NotLeader => {
            let message =
                "this process does not lead now: ask another control process, or this one again";
            error_response(StatusCode::SERVICE_UNAVAILABLE, "not_leader", message)
        }
    }
}
