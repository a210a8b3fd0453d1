//! An HTTP server with request limits and graceful shutdown.

use crate::{
    body::{Body, ByteBudget},
    incoming::{Incoming, limit_unproductive},
    timer::AsyncIoTimer,
};
use base::limits::{BODY_MAX, HEADER_MAX, HEADER_TIMEOUT};
use futures_lite::{FutureExt, future::Boxed};
use hyper::{
    Request, Response, Version, body::Body as HttpBody, server::conn::http1, service::service_fn,
};
use net::{Listener, Pool, Stop, Stream, set_reset_on_close};
use smol_hyper::rt::FuturesIo;
use std::{
    convert::Infallible,
    fmt,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// The future response of a handler.
pub type HandlerFuture = Boxed<Response<Body>>;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the requests of a server.
pub trait Handler: Send + Sync {
    /// Handles one request from the address `remote`.
    fn handle(self: Arc<Self>, request: Request<Incoming>, remote: SocketAddr) -> HandlerFuture;

    /// The limits for a new connection, if they differ from the server's own.
    fn limits(&self) -> Option<Limits> {
        None
    }

    /// Called for each connection that ended because of malformed HTTP or a timeout.
    fn on_malformed(&self) {}
}

/// Limits on requests.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of the headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body, in bytes; the handler enforces it.
    pub body_bytes: usize,
    /// Timeout for receiving the headers of a request, on a new or an idle connection.
    pub header_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { header_bytes: HEADER_MAX, body_bytes: BODY_MAX, header_timeout: HEADER_TIMEOUT }
    }
}

/// An HTTP server.
pub struct Server {
    /// Runs the connection tasks.
    pub pool: Pool,
    /// Accepts the connections.
    pub listener: Listener,
    /// Limits on requests.
    pub limits: Limits,
    /// Limit on the bodies of all requests together.
    pub bodies: Arc<ByteBudget>,
    /// Handles the requests.
    pub handler: Arc<dyn Handler>,
    /// Stops the server; connections close once their request in flight is answered.
    pub stop: Stop,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server").field("limits", &self.limits).finish_non_exhaustive()
    }
}

/// The smallest header buffer that hyper accepts.
const HEADER_BUFFER_MIN: usize = 8192;

impl Server {
    /// Accepts connections until the stop is signalled.
    pub async fn run(self) {
        let Server { pool, listener, limits, bodies, handler, stop } = self;
        // The connections must not keep the listener open.
        let shared = Arc::new(Shared { pool, limits, bodies, handler, stop });
        loop {
            let accepted = async { Some(listener.accept().await) };
            let stopped = async {
                shared.stop.wait().await;
                None
            };
            match accepted.or(stopped).await {
                Some(Ok((stream, remote))) => {
                    pool.spawn(shared.clone().serve_connection(stream, remote)).detach();
                }
                Some(Err(_)) => {
                    // Most likely out of file descriptors; give open ones time to close.
                    async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
                None => return,
            }
        }
    }
}

/// What all connections of a server use.
struct Shared {
    pool: Pool,
    limits: Limits,
    bodies: Arc<ByteBudget>,
    handler: Arc<dyn Handler>,
    stop: Stop,
}

impl Shared {
    async fn serve_connection(self: Arc<Shared>, stream: Stream, remote: SocketAddr) {
        let Shared { pool, limits, bodies, handler, stop } = &*self;
        let limits = handler.limits().unwrap_or(*limits);
        let _ = stream.get_ref().set_nodelay(true);
        let socket = &stream;
        let resets = AtomicBool::new(false);
        let resets_on_close = &resets;
        let buffer_bytes = limits.header_bytes.max(HEADER_BUFFER_MIN);
        let allowance = limit_unproductive(socket, buffer_bytes);
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            let request =
                request.map(|body| Incoming::new(body, allowance.clone(), bodies.clone(), pool));
            let guard = stop.enter();
            let handler = handler.clone();
            let knows_chunks = request.version() >= Version::HTTP_11;
            async move {
                let response = handler.handle(request, remote).await;
                if !knows_chunks && response.body().size_hint().exact().is_none() {
                    // The body ends with the connection, so that only a reset tells a body that is cut
                    // off from a complete one.
                    let is_set = set_reset_on_close(socket, true).is_ok();
                    resets_on_close.store(is_set, Ordering::Relaxed);
                }
                // The request is in flight until the body has been sent or dropped.
                Ok::<_, Infallible>(response.map(|body| hold_until_sent(body, guard)))
            }
        });
        let connection = http1::Builder::new()
            .timer(AsyncIoTimer)
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(buffer_bytes)
            .serve_connection(FuturesIo::new(socket), service);
        let mut connection = pin!(connection);
        let finished = async { Some(connection.as_mut().await) };
        let stopped = async {
            stop.wait().await;
            None
        };
        let outcome = match finished.or(stopped).await {
            Some(outcome) => outcome,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        match outcome {
            Ok(()) if resets.load(Ordering::Relaxed) => {
                let _ = set_reset_on_close(socket, false);
            }
            Err(e) if e.is_parse() || e.is_timeout() => handler.on_malformed(),
            _ => {}
        }
    }
}

/// Keeps the guard alive as long as the body.
fn hold_until_sent(body: Body, guard: net::InFlightGuard) -> Body {
    use http_body_util::BodyExt;
    body.map_frame(move |frame| {
        let _guard = &guard;
        frame
    })
    .boxed_unsync()
}
