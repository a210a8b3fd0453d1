//! TCP connections whose peers can't keep a worker busy.

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::{
    error::Error,
    fmt, io,
    net::{SocketAddr, TcpListener, TcpStream},
    pin::Pin,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

/// Bytes that a task may read from a connection before other tasks run.
const MAX_TURN_BYTES: usize = 32 << 10;
/// Reads that a task may make from a connection before other tasks run.
const MAX_TURN_READS: usize = 8;

/// A TCP connection. A peer that always has more bytes to read does not keep the worker: after a
/// limited number of bytes, a read is pending and its task is woken again at once.
#[derive(Debug)]
pub struct Stream {
    socket: Async<TcpStream>,
    turn_bytes: AtomicUsize,
    turn_reads: AtomicUsize,
    allowance: OnceLock<Arc<Allowance>>,
}

impl Stream {
    /// Wraps a connected socket.
    pub fn new(socket: Async<TcpStream>) -> Stream {
        Stream {
            socket,
            turn_bytes: AtomicUsize::new(0),
            turn_reads: AtomicUsize::new(0),
            allowance: OnceLock::new(),
        }
    }

    /// The socket.
    pub fn get_ref(&self) -> &TcpStream {
        self.socket.get_ref()
    }

    /// Makes reads fail with [`NoProgress`] once the peer has sent `limit` bytes without progress.
    /// The reader records progress in the returned allowance. A second call has no effect.
    pub fn limit_unproductive(&self, limit: usize) -> Arc<Allowance> {
        self.allowance.get_or_init(|| Arc::new(Allowance::new(limit))).clone()
    }

    /// Waits until the socket is writable.
    pub(crate) async fn writable(&self) -> io::Result<()> {
        self.socket.writable().await
    }

    fn begin_turn(&self) {
        self.turn_bytes.store(0, Ordering::Relaxed);
        self.turn_reads.store(0, Ordering::Relaxed);
    }

    fn is_turn_over(&self) -> bool {
        self.turn_bytes.load(Ordering::Relaxed) >= MAX_TURN_BYTES
            || self.turn_reads.load(Ordering::Relaxed) >= MAX_TURN_READS
    }

    fn record_read(&self, bytes: usize) -> io::Result<usize> {
        self.turn_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.turn_reads.fetch_add(1, Ordering::Relaxed);
        match self.allowance.get() {
            Some(allowance) => allowance.take(bytes).map(|()| bytes),
            None => Ok(bytes),
        }
    }
}

impl AsyncRead for &Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_turn_over() {
            self.begin_turn();
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        match Pin::new(&mut &self.socket).poll_read(cx, buf) {
            Poll::Ready(Ok(bytes)) => Poll::Ready(self.record_read(bytes)),
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => {
                self.begin_turn();
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for &Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &self.socket).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.socket).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.socket).poll_close(cx)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self).poll_close(cx)
    }
}

/// A listening TCP socket.
#[derive(Debug)]
pub struct Listener(Async<TcpListener>);

impl Listener {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Listener> {
        Async::<TcpListener>::bind(address).map(Listener)
    }

    /// Accepts a connection; returns it with the address of the peer.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be accepted, for example for lack of file descriptors.
    pub async fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        let (socket, remote) = self.0.accept().await?;
        Ok((Stream::new(socket), remote))
    }
}

/// The bytes that a peer may still send before it must make progress.
#[derive(Debug)]
pub struct Allowance {
    limit: usize,
    left: AtomicUsize,
}

impl Allowance {
    fn new(limit: usize) -> Allowance {
        Allowance { limit, left: AtomicUsize::new(limit) }
    }

    /// Restores the whole allowance, for a new message.
    pub fn reset(&self) {
        self.left.store(self.limit, Ordering::Relaxed);
    }

    /// Adds to the allowance, up to its limit, after progress.
    pub fn refill(&self, bytes: usize) {
        let refilled = |left: usize| Some(left.saturating_add(bytes).min(self.limit));
        // The update can't fail.
        let _ = self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, refilled);
    }

    fn take(&self, bytes: usize) -> io::Result<()> {
        let left = |left: usize| left.checked_sub(bytes);
        match self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, left) {
            Ok(_) => Ok(()),
            Err(_) => Err(io::Error::other(NoProgress { limit: self.limit })),
        }
    }
}

/// The error of a read from a peer that sends bytes without progress.
#[derive(Debug)]
pub struct NoProgress {
    /// The limit in bytes.
    limit: usize,
}

impl fmt::Display for NoProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the peer sent more than {} bytes without progress", self.limit)
    }
}

impl Error for NoProgress {}

impl NoProgress {
    /// Whether an error or one of its causes is this error.
    pub fn caused(e: &(dyn Error + 'static)) -> bool {
        let mut cause = Some(e);
        while let Some(e) = cause {
            let inner = e.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
            if e.is::<NoProgress>() || inner.is_some_and(|inner| inner.is::<NoProgress>()) {
                return true;
            }
            cause = e.source();
        }
        false
    }
}
