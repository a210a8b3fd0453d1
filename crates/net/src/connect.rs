//! Outgoing TCP connections from a given address of this host.

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use std::{
    future::Future,
    io,
    net::{IpAddr, SocketAddr, TcpStream},
    time::Duration,
};

/// Longest time for which sent bytes may stay without an acknowledgement.
const SILENCE_MAX: Duration = Duration::from_secs(3);
/// Idle time after which the other side is probed; the kernel counts whole seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Pause between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// A TCP connection.
pub type Stream = Async<TcpStream>;

/// Connects to `to` from the address `from`, within `limit`.
///
/// # Errors
///
/// Fails if the connection isn't established; nothing has been sent then.
pub async fn connect(from: Option<IpAddr>, to: SocketAddr, limit: Duration) -> io::Result<Stream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    detect_silence(&socket)?;
    if let Some(from) = from {
        socket.bind(&SocketAddr::new(from, 0).into())?;
    }
    match socket.connect(&to.into()) {
        Ok(()) => {}
        Err(e) if is_in_progress(&e) => {}
        Err(e) => return Err(e),
    }
    let stream = Async::new(TcpStream::from(socket))?;
    let established = async {
        stream.writable().await?;
        match stream.get_ref().take_error()? {
            Some(e) => Err(e),
            None => stream.get_ref().peer_addr().map(|_| ()),
        }
    };
    with_timeout(limit, established).await??;
    Ok(stream)
}

/// Makes the connection fail when the other side has been silent for a few seconds: a host
/// without power, or behind a cut, neither answers nor closes it.
fn detect_silence(socket: &Socket) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENCE_MAX))
}

/// Runs a future for at most `limit`.
///
/// # Errors
///
/// Fails with `TimedOut` when the time has passed.
pub async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> io::Result<T> {
    let expired = async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    async { Ok(future.await) }.or(expired).await
}

fn is_in_progress(e: &io::Error) -> bool {
    const EINPROGRESS: i32 = 115;
    e.kind() == io::ErrorKind::WouldBlock || e.raw_os_error() == Some(EINPROGRESS)
}
