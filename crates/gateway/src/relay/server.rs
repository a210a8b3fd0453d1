//! Takes requests of entries that reach no backend server.

use super::head::{
    Answerer, RELAY_HEADER, RELAY_HEADERS_MAX, RelayedRequest, RelayedResponse, encode, take,
};
use crate::{
    dispatch::{Gateway, ProxyRequest},
    refusal::Refusal,
};
use admission::Origin;
use base::secret::Secret;
use futures_lite::FutureExt;
use http::{Body, Handler, HandlerFuture, Incoming, Limits, empty, error_response};
use hyper::{HeaderMap, Request, Response, StatusCode};
use log::{info, warn};
use model::{order::SECRET_HEADER, verdict::Verdict};
use std::{net::SocketAddr, sync::Arc};

/// Handles the requests that other entries pass on to this one.
#[derive(Debug)]
pub struct RelayServer {
    gateway: Arc<Gateway>,
}

impl RelayServer {
    /// Creates a handler that sends requests on with `gateway`.
    pub fn new(gateway: Arc<Gateway>) -> RelayServer {
        RelayServer { gateway }
    }
}

impl Handler for RelayServer {
    fn limits(&self) -> Option<Limits> {
        let limits = self.gateway.limits()?;
        Some(Limits { header_bytes: limits.header_bytes + RELAY_HEADERS_MAX, ..limits })
    }

    fn handle(self: Arc<Self>, request: Request<Incoming>, remote: SocketAddr) -> HandlerFuture {
        self.gateway.clone().handle_relayed(request, remote).boxed()
    }
}

fn is_authentic(headers: &mut HeaderMap, secret: &Secret) -> bool {
    headers.remove(SECRET_HEADER).is_some_and(|value| secret.matches(value.as_bytes()))
}

impl Gateway {
    async fn handle_relayed(
        self: Arc<Self>,
        mut request: Request<Incoming>,
        remote: SocketAddr,
    ) -> Response<Body> {
        if !is_authentic(request.headers_mut(), &self.relay_secret) {
            warn!("event=relay_rejected from={remote} cause=\"wrong secret\"");
            return error_response(StatusCode::FORBIDDEN, "forbidden", "the secret is wrong");
        }
        let Some(head) = take::<RelayedRequest>(request.headers_mut()) else {
            warn!("event=relay_rejected from={remote} cause=\"unreadable {RELAY_HEADER}\"");
            let message = "the header of the relayed request is unreadable";
            return error_response(StatusCode::BAD_REQUEST, "unreadable", message);
        };
        let respond = async {
            let request = self.admit_relayed(request, head).await?;
            match request.kind.is_stream() {
                true => self.clone().stream(request).await,
                false => self.unary(request).await,
            }
        };
        let end = async {
            self.state.wait_for_end().await;
            Err(Refusal::Stopped)
        };
        let (mut response, outcome) = match respond.or(end).await {
            Ok(mut response) => match response.extensions_mut().remove::<Answerer>() {
                Some(answerer) => (response, RelayedResponse::Answered(answerer)),
                None => (Response::new(empty()), RelayedResponse::Refused(Refusal::ResponseLost)),
            },
            Err(refusal) => (Response::new(empty()), RelayedResponse::Refused(refusal)),
        };
        match encode(&outcome) {
            Some(value) => {
                response.headers_mut().insert(RELAY_HEADER, value);
            }
            None => warn!("event=relay_unreadable outcome=\"{outcome:?}\""),
        }
        response
    }

    async fn admit_relayed(
        &self,
        request: Request<Incoming>,
        head: RelayedRequest,
    ) -> Result<ProxyRequest, Refusal> {
        let received_at = self.state.clock.now();
        if self.state.table().is_none() {
            return Err(Refusal::NoManifest);
        }
        if self.state.is_leaving() {
            return Err(Refusal::Leaving);
        }
        let (parts, body) = request.into_parts();
        let info = self.dialect.parse_request(&parts.headers);
        info!(
            "event=relay_accepted id={} from={} left_ms={}",
            info.id,
            head.entry,
            head.timeout.as_millis()
        );
        let deadline = received_at + head.timeout;
        // The other entry has checked its size, maybe against another version of the manifest.
        let body = self.read_body(body, usize::MAX, deadline).await?;
        self.metrics.relay_requests.inc();
        Ok(ProxyRequest {
            origin: Some(Origin { entry: head.entry, share: head.share }),
            digest: head.digest,
            after_event: head.after_event,
            service: head.service,
            kind: head.kind,
            team: head.team,
            priority: head.priority,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            received_at,
            sent_at: received_at,
            deadline,
            attempts_left: head.attempts_left.max(1),
            avoid: head.avoid,
            // The other entry knows of its own attempts.
            verdict: Verdict::NotRun,
            attempts: 0,
            info,
        })
    }
}
