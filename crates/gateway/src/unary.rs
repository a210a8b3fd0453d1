//! Responses that are buffered and forwarded only once they are complete.

use crate::{
    dispatch::{
        BackendResponse, Gateway, ProxyRequest, closes_connection, strip_hop_by_hop_headers,
    },
    refusal::Refusal,
};
use base::{limits::RESPONSE_MAX, sync::lock};
use http::{Body, BodyError, Framing, collect_response, full};
use hyper::Response;
use log::info;
use model::verdict::Verdict;
use net::with_timeout;

impl Gateway {
    /// Returns the complete response of a backend server. If it broke off or is a server error,
    /// the request is retried where that is safe.
    pub(crate) async fn unary(&self, mut request: ProxyRequest) -> Result<Response<Body>, Refusal> {
        loop {
            let backend_response = self.dispatch(&mut request).await?;
            let host = backend_response.answerer.host.clone();
            let is_relayed = backend_response.source.is_relay();
            match self.buffer_response(&request, backend_response).await {
                Ok(response) => {
                    // A relay has retried it already.
                    let should_retry = response.status().is_server_error()
                        && !is_relayed
                        && request.kind.may_retry()
                        && request.attempts_left > 1;
                    if !should_retry {
                        return Ok(response);
                    }
                    request.attempts_left -= 1;
                    request.avoid.push(host);
                    if self.authorize_retry(&request).is_err() {
                        return Ok(response);
                    }
                    return match self.retry_once(&mut request).await {
                        Some(retried) => Ok(retried),
                        None => Ok(response),
                    };
                }
                Err(Refusal::ResponseLost) => {
                    info!(
                        "event=answer_cut id={} host={host} request={:x}",
                        request.info.id, request.digest
                    );
                    request.verdict = Verdict::MayHaveRun;
                    request.attempts_left -= 1;
                    request.avoid.push(host);
                    self.authorize_retry(&request)?;
                }
                Err(refusal) => return Err(refusal),
            }
        }
    }

    /// Retries a request once, after a server error of the backend server.
    async fn retry_once(&self, request: &mut ProxyRequest) -> Option<Response<Body>> {
        let backend_response = self.dispatch(request).await.ok()?;
        self.buffer_response(request, backend_response).await.ok()
    }

    /// Buffers the body of a response, and keeps the connection for reuse.
    pub(crate) async fn buffer_response(
        &self,
        request: &ProxyRequest,
        backend_response: BackendResponse,
    ) -> Result<Response<Body>, Refusal> {
        let BackendResponse { response, connection, address, answerer, source } = backend_response;
        let host = &answerer.host;
        let parts = &request.info.shared_parts;
        let remaining = request.deadline.saturating_duration_since(self.state.clock.now());
        let status = response.status();
        let (mut head, body) = response.into_parts();
        let framing = Framing::of(&head.headers, &body);
        let collected = collect_response(body, RESPONSE_MAX);
        let bytes = match with_timeout(remaining, collected).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(e)) => {
                info!(
                    "event=answer_unreadable id={} host={host} cause=\"{}\"",
                    request.info.id,
                    e.to_string().replace('"', "'")
                );
                if matches!(e, BodyError::Broken(_)) && !source.is_relay() {
                    let broken = request.broken(true, false, self.state.clock.now());
                    self.record_broken(&answerer, address, request.kind, broken).await;
                }
                return Err(Refusal::ResponseLost);
            }
            Err(_) => return Err(Refusal::TimedOut { verdict: Verdict::MayHaveRun }),
        };
        if framing == Framing::Connection
            && !source.is_relay()
            && !self.is_running(&answerer, address, request.kind).await
        {
            let broken = request.broken(true, false, self.state.clock.now());
            self.record_broken(&answerer, address, request.kind, broken).await;
            return Err(Refusal::ResponseLost);
        }
        source.record_progress();
        let now = self.state.clock.now();
        lock(&self.state.evidence).record_request_answered(request.digest, now);
        if status.is_success() {
            lock(&self.state.evidence).record_answered(parts, now);
        }
        if !closes_connection(&head.headers) {
            self.client.return_idle(address, connection);
        }
        strip_hop_by_hop_headers(&mut head.headers);
        let took = self.state.clock.now().saturating_duration_since(request.received_at);
        self.metrics.answer_seconds.observe(took.as_secs_f64());
        info!(
            "event=answered id={} status={} tries={} took_ms={} framing={} bytes={}",
            request.info.id,
            status.as_u16(),
            request.attempts,
            took.as_millis(),
            framing.as_str(),
            bytes.len()
        );
        head.extensions.insert(answerer);
        Ok(Response::from_parts(head, full(bytes)))
    }
}
