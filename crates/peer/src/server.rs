//! The server side of sessions.

use crate::session::{RawSession, WINDOW_BYTES};
use base::secret::Secret;
use bytes::Bytes;
use h2::{RecvStream, server};
use http_types::{Request, Response, StatusCode};
use model::order::SECRET_HEADER;
use net::{Listener, Pool, Stream};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts the sessions that other processes open.
pub trait Accept: Send + Sync {
    /// Whether sessions of the kind `path` are supported.
    fn supports(&self, path: &str) -> bool;

    /// Accepts a session of a supported kind.
    fn accept(&self, path: &str, remote: SocketAddr, session: RawSession);

    /// Called for a connection whose handshake failed, and for a session with a wrong secret or of
    /// an unknown kind.
    fn on_refused(&self, remote: SocketAddr);
}

/// Accepts connections for as long as the process runs.
pub async fn serve(pool: Pool, listener: Listener, secret: Secret, accept: Arc<dyn Accept>) {
    loop {
        match listener.accept().await {
            Ok((stream, remote)) => {
                let (secret, accept) = (secret.clone(), accept.clone());
                pool.spawn(serve_connection(stream, remote, secret, accept)).detach();
            }
            Err(_) => {
                // Most likely out of file descriptors; give open ones time to close.
                async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    stream: Stream,
    remote: SocketAddr,
    secret: Secret,
    accept: Arc<dyn Accept>,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let handshake = server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake::<_, Bytes>(stream.compat())
        .await;
    let Ok(mut connection) = handshake else {
        accept.on_refused(remote);
        return;
    };
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        let status = check_request(&request, &secret, &*accept);
        let Ok(response) = Response::builder().status(status).body(()) else {
            continue;
        };
        let refused = status != StatusCode::OK;
        let Ok(sender) = respond.send_response(response, refused) else {
            continue;
        };
        if refused {
            accept.on_refused(remote);
            continue;
        }
        let path = request.uri().path().to_owned();
        let session = RawSession { sender, receiver: request.into_body() };
        accept.accept(&path, remote, session);
    }
}

/// Returns `OK`, or the status with which to refuse the session.
fn check_request(
    request: &Request<RecvStream>,
    secret: &Secret,
    accept: &dyn Accept,
) -> StatusCode {
    let candidate = request.headers().get(SECRET_HEADER);
    if !candidate.is_some_and(|value| secret.matches(value.as_bytes())) {
        return StatusCode::FORBIDDEN;
    }
    if !accept.supports(request.uri().path()) {
        return StatusCode::NOT_FOUND;
    }
    StatusCode::OK
}
