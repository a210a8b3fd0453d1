//! Outgoing TCP connections, optionally bound to a source address.

use crate::Stream;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::{
    future::Future,
    io,
    net::{IpAddr, SocketAddr, TcpStream},
    time::Duration,
};

/// `TCP_USER_TIMEOUT`: how long sent data may remain unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the kernel's receive buffer: what a peer may send while nobody reads. The kernel would
/// let it grow to megabytes.
const RECEIVE_BUFFER_BYTES: usize = 256 << 10;
/// Idle time before the first keepalive probe; the kernel counts whole seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// Connects to `to` from the source address `from`, within `timeout`.
///
/// # Errors
///
/// Fails if the connection can't be established; no data has been sent in that case.
pub async fn connect(
    from: Option<IpAddr>,
    to: SocketAddr,
    timeout: Duration,
) -> io::Result<Stream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    enable_dead_peer_detection(&socket)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    if let Some(from) = from {
        socket.bind(&SocketAddr::new(from, 0).into())?;
    }
    match socket.connect(&to.into()) {
        Ok(()) => {}
        Err(e) if is_in_progress(&e) => {}
        Err(e) => return Err(e),
    }
    let stream = Stream::new(Async::new(TcpStream::from(socket))?);
    let established = async {
        stream.writable().await?;
        match stream.get_ref().take_error()? {
            Some(e) => Err(e),
            None => stream.get_ref().peer_addr().map(|_| ()),
        }
    };
    with_timeout(timeout, established).await??;
    Ok(stream)
}

/// Makes the connection fail when the peer has been silent for a few seconds. A host that has lost
/// power or is cut off by a network partition neither answers nor closes the connection.
fn enable_dead_peer_detection(socket: &Socket) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Sets whether closing a connection resets it, also when the process ends. Data that the peer has
/// not received yet is lost then.
///
/// # Errors
///
/// Fails if the socket doesn't take the option.
pub fn set_reset_on_close(stream: &Stream, resets: bool) -> io::Result<()> {
    SockRef::from(stream.get_ref()).set_linger(resets.then_some(Duration::ZERO))
}

/// Runs a future for at most `timeout`.
///
/// # Errors
///
/// Fails with `TimedOut` if the future does not complete in time.
pub async fn with_timeout<T>(timeout: Duration, future: impl Future<Output = T>) -> io::Result<T> {
    let expired = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    async { Ok(future.await) }.or(expired).await
}

fn is_in_progress(e: &io::Error) -> bool {
    const EINPROGRESS: i32 = 115;
    e.kind() == io::ErrorKind::WouldBlock || e.raw_os_error() == Some(EINPROGRESS)
}
