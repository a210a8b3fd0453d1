//! A session: a bidirectional stream of typed messages.

use crate::frame::{FrameError, decode, encode};
use async_channel::{Receiver, Sender, bounded};
use base::{limits::CONNECT_TIMEOUT, secret::Secret};
use bytes::{Bytes, BytesMut};
use futures_lite::future::poll_fn;
use h2::{RecvStream, SendStream, client};
use http_types::{Request, StatusCode};
use model::order::SECRET_HEADER;
use net::{Pool, connect, with_timeout};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fmt, io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// Capacity of the queue in each direction, in messages. A channel allocates its full capacity up
/// front.
const QUEUE_MESSAGES: usize = 128;

/// HTTP/2 flow-control window: the bytes that the peer may send before capacity is released.
pub(crate) const WINDOW_BYTES: u32 = 4 << 20;

/// The error from opening a session.
#[derive(Debug)]
pub enum SessionError {
    /// The connection could not be established.
    Connect(io::Error),
    /// The HTTP/2 protocol failed.
    Protocol(h2::Error),
    /// The server refused the session, for instance because of a wrong secret.
    Refused(StatusCode),
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionError::Connect(e) => write!(f, "connect: {e}"),
            SessionError::Protocol(e) => write!(f, "h2: {e}"),
            SessionError::Refused(status) => write!(f, "refused with status {status}"),
        }
    }
}

impl std::error::Error for SessionError {}

impl From<io::Error> for SessionError {
    fn from(e: io::Error) -> SessionError {
        SessionError::Connect(e)
    }
}

impl From<h2::Error> for SessionError {
    fn from(e: h2::Error) -> SessionError {
        SessionError::Protocol(e)
    }
}

/// Counts the bytes of messages that this process has sent and received.
#[derive(Debug, Default)]
pub struct ByteCount {
    sent: AtomicU64,
    received: AtomicU64,
}

impl ByteCount {
    /// The number of bytes sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// The number of bytes received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// A session whose message types are not yet known.
#[derive(Debug)]
pub struct RawSession {
    pub(crate) sender: SendStream<Bytes>,
    pub(crate) receiver: RecvStream,
}

/// A session with typed messages. It ends when either side drops its channel ends or the connection
/// fails; the receiver is then closed.
#[derive(Debug)]
pub struct Session<Out, In> {
    /// Messages to the peer.
    pub tx: Sender<Out>,
    /// Messages from the peer.
    pub rx: Receiver<In>,
}

/// Opens a session of the kind `path` with the process at `to`.
///
/// # Errors
///
/// Fails if the process can't be reached or refuses the session.
pub async fn open(
    pool: Pool,
    from: Option<IpAddr>,
    to: SocketAddr,
    secret: &Secret,
    path: &str,
) -> Result<RawSession, SessionError> {
    let stream = connect(from, to, CONNECT_TIMEOUT).await?;
    with_timeout(CONNECT_TIMEOUT, handshake(pool, stream, secret, path)).await?
}

async fn handshake(
    pool: Pool,
    stream: net::Stream,
    secret: &Secret,
    path: &str,
) -> Result<RawSession, SessionError> {
    let (sender, connection) = client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake::<_, Bytes>(stream.compat())
        .await?;
    pool.spawn(async move {
        // The streams report connection errors to their users.
        let _ = connection.await;
    })
    .detach();
    let mut sender = sender.ready().await?;
    let request = Request::post(format!("http://kingcup{path}"))
        .header(SECRET_HEADER, secret.text())
        .body(())
        .map_err(|_| SessionError::Refused(StatusCode::BAD_REQUEST))?;
    let (response, stream) = sender.send_request(request, false)?;
    let response = response.await?;
    if response.status() != StatusCode::OK {
        return Err(SessionError::Refused(response.status()));
    }
    Ok(RawSession { sender: stream, receiver: response.into_body() })
}

impl RawSession {
    /// Starts the tasks that encode and decode the messages.
    pub fn start<Out, In>(self, pool: Pool, bytes: Arc<ByteCount>) -> Session<Out, In>
    where
        Out: Serialize + Send + 'static,
        In: DeserializeOwned + Send + 'static,
    {
        let (out_tx, out_rx) = bounded(QUEUE_MESSAGES);
        let (in_tx, in_rx) = bounded(QUEUE_MESSAGES);
        let sent_bytes = bytes.clone();
        pool.spawn(async move {
            let mut sender = self.sender;
            // An error means that the connection has failed; closing the channel reports it.
            let _ = write_messages(&mut sender, &out_rx, &sent_bytes).await;
            let _ = sender.send_data(Bytes::new(), true);
            out_rx.close();
        })
        .detach();
        pool.spawn(async move {
            let mut receiver = self.receiver;
            let _ = read_messages(&mut receiver, &in_tx, &bytes).await;
            in_tx.close();
        })
        .detach();
        Session { tx: out_tx, rx: in_rx }
    }
}

/// Why a direction of a session has ended.
enum StreamError {
    Protocol,
    Frame(#[expect(dead_code, reason = "kept for debuggers")] FrameError),
    Closed,
}

impl From<h2::Error> for StreamError {
    fn from(_: h2::Error) -> StreamError {
        StreamError::Protocol
    }
}

async fn write_messages<M: Serialize>(
    sender: &mut SendStream<Bytes>,
    messages: &Receiver<M>,
    bytes: &ByteCount,
) -> Result<(), StreamError> {
    loop {
        let first = messages.recv().await.map_err(|_| StreamError::Closed)?;
        let mut buf = Vec::new();
        encode(&first, &mut buf);
        // Batches the messages that are already queued into one write.
        while buf.len() < WINDOW_BYTES as usize {
            match messages.try_recv() {
                Ok(message) => encode(&message, &mut buf),
                Err(_) => break,
            }
        }
        bytes.sent.fetch_add(buf.len() as u64, Ordering::Relaxed);
        send_all(sender, buf.into()).await?;
    }
}

async fn send_all(sender: &mut SendStream<Bytes>, mut data: Bytes) -> Result<(), StreamError> {
    while !data.is_empty() {
        sender.reserve_capacity(data.len());
        let mut capacity = sender.capacity();
        if capacity == 0 {
            capacity =
                poll_fn(|cx| sender.poll_capacity(cx)).await.ok_or(StreamError::Closed)??;
        }
        let chunk = data.split_to(capacity.min(data.len()));
        sender.send_data(chunk, false)?;
    }
    Ok(())
}

async fn read_messages<M: DeserializeOwned>(
    receiver: &mut RecvStream,
    messages: &Sender<M>,
    bytes: &ByteCount,
) -> Result<(), StreamError> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = receiver.data().await {
        let chunk = chunk?;
        bytes.received.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        receiver.flow_control().release_capacity(chunk.len())?;
        buf.extend_from_slice(&chunk);
        while let Some(message) = decode(&mut buf).map_err(StreamError::Frame)? {
            messages.send(message).await.map_err(|_| StreamError::Closed)?;
        }
    }
    Ok(())
}
