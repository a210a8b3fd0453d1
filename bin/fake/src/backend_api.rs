//! Handler of the address that accepts requests and orders.

use crate::{backend::FakeBackend, engine, service};
use async_channel::Sender;
use async_io::Timer;
use base::limits::BODY_MAX;
use bytes::Bytes;
use http::{Body, Handler, HandlerFuture, Incoming, collect, error_response, json_response};
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    header::{HeaderMap, HeaderValue},
};
use model::{
    announce::Offer,
    order::{ORDER_PATH, Order, SECRET_HEADER},
    request::REQUEST_ID_HEADER,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Handles requests and orders.
#[derive(Debug)]
pub struct BackendApi {
    /// The state of the server.
    pub backend: Arc<FakeBackend>,
    /// Requests an announcement before the next one is due.
    pub wake_announcer: Sender<()>,
}

impl Handler for BackendApi {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _remote: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.respond(request).await })
    }
}

impl BackendApi {
    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let Ok(body) = collect(body, BODY_MAX).await else {
            return error_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "bad_body",
                "the body is too long",
            );
        };
        if parts.uri.path() == ORDER_PATH {
            return self.handle_order(&parts.headers, &body).await;
        }
        let mut response = match &self.backend.config().offer {
            Offer::Service(_) => {
                service::handle(&self.backend, &parts.method, parts.uri.path(), &body).await
            }
            Offer::Accelerators(_) => match serde_json::from_slice(&body) {
                Ok(request) => engine::handle(&self.backend, request).await,
                Err(e) => error_response(StatusCode::BAD_REQUEST, "bad_json", e.to_string()),
            },
        };
        let faults = self.backend.faults();
        if let Some(id) = parts.headers.get(REQUEST_ID_HEADER) {
            let crossed = HeaderValue::from_static("another-request");
            let echoed = if faults.crossed { crossed } else { id.clone() };
            response.headers_mut().insert(REQUEST_ID_HEADER, echoed);
        }
        if faults.cut && !is_stream(&response) {
            return truncate_body(response).await;
        }
        response
    }

    async fn handle_order(&self, headers: &HeaderMap, body: &[u8]) -> Response<Body> {
        let secret = headers.get(SECRET_HEADER);
        if !secret.is_some_and(|secret| self.backend.config().secret.matches(secret.as_bytes())) {
            return error_response(StatusCode::FORBIDDEN, "forbidden", "the secret is wrong");
        }
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_order", "the order can't be read");
        };
        let delay = Duration::from_millis(self.backend.faults().order_delay_ms);
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        let executed = self.backend.execute(&order);
        let _ = self.wake_announcer.try_send(());
        if executed {
            json_response(StatusCode::OK, &serde_json::json!({ "obeyed": true }))
        } else {
            error_response(StatusCode::CONFLICT, "old_fence", "the fence is below the last one")
        }
    }
}

fn is_stream(response: &Response<Body>) -> bool {
    let media_type = response.headers().get(hyper::header::CONTENT_TYPE);
    media_type.is_some_and(|media_type| media_type == "text/event-stream")
}

/// Keeps the content length of the response but resets the connection after half of the body.
async fn truncate_body(response: Response<Body>) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    let bytes = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    head.headers.insert(hyper::header::CONTENT_LENGTH, HeaderValue::from(bytes.len()));
    let half: Bytes = bytes.slice(..bytes.len() / 2);
    let frames = futures_lite::stream::iter([
        Ok(hyper::body::Frame::data(half)),
        Err(std::io::ErrorKind::ConnectionReset.into()),
    ]);
    Response::from_parts(head, http_body_util::StreamBody::new(frames).boxed_unsync())
}
