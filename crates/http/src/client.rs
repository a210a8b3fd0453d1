//! An HTTP client whose errors tell whether the request may have been executed.

use crate::{
    body::{Body, ByteBudget},
    incoming::{Incoming, is_unproductive, limit_unproductive},
};
use base::{
    limits::{CONNECT_TIMEOUT, RESPONSES_MAX},
    sync::lock,
};
use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
};
use model::verdict::Verdict;
use net::{Allowance, Pool, connect, set_reset_on_close};
use smol_hyper::rt::FuturesIo;
use std::{
    collections::BTreeMap,
    error::Error,
    fmt, io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
};

/// Maximum size, in bytes, of the head of a response.
const RESPONSE_HEAD_MAX: usize = 64 * 1024;
/// Maximum number of idle connections kept for each address.
const IDLE_MAX: usize = 64;

/// The error of a request without a response.
#[derive(Debug)]
pub enum ClientError {
    /// The connection could not be established.
    Connect(io::Error),
    /// The connection failed, or the response was not valid HTTP.
    Broken(hyper::Error),
}

impl ClientError {
    /// Whether the server's host rejected the connection because nothing listens there.
    pub fn is_refused(&self) -> bool {
        matches!(self, ClientError::Connect(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Whether the connection ended before the response, so that the server may have ended too.
    pub fn is_closed_by_peer(&self) -> bool {
        matches!(self, ClientError::Broken(e)
            if !e.is_parse() && !e.is_canceled() && !is_unproductive(e))
    }

    /// Whether the request may have been executed.
    pub fn verdict(&self) -> Verdict {
        match self {
            ClientError::Connect(_) => Verdict::NotRun,
            // hyper reports `Canceled` for a request that it never wrote to the connection.
            ClientError::Broken(e) if e.is_canceled() => Verdict::NotRun,
            ClientError::Broken(_) => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::Connect(e) => write!(f, "connect: {e}"),
            ClientError::Broken(e) => write!(f, "connection broken: {}", with_causes(e)),
        }
    }
}

impl Error for ClientError {}

/// The error text, followed by those of the causes.
pub(crate) fn with_causes(e: &hyper::Error) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(e) = cause {
        text += &format!(": {e}");
        cause = e.source();
    }
    text
}

impl From<hyper::Error> for ClientError {
    fn from(e: hyper::Error) -> ClientError {
        ClientError::Broken(e)
    }
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Body>,
    allowance: Arc<Allowance>,
    budget: Arc<ByteBudget>,
    pool: Pool,
    reused: bool,
}

impl Connection {
    /// Sends a request and waits for the response headers.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, ClientError> {
        self.sender.ready().await?;
        self.allowance.reset();
        let response = self.sender.send_request(request).await?;
        let (allowance, budget) = (self.allowance.clone(), self.budget.clone());
        Ok(response.map(|body| Incoming::new(body, allowance, budget, self.pool)))
    }

    /// Whether the connection has already carried a request.
    pub fn is_reused(&self) -> bool {
        self.reused
    }
}

/// Opens connections, and pools idle ones for requests that may be retried.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    from: Option<IpAddr>,
    /// For the bodies of all responses.
    budget: Arc<ByteBudget>,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
}

impl Client {
    /// A client whose connections use the source address `from`. The bodies of its responses hold
    /// at most `RESPONSES_MAX` bytes together.
    pub fn new(pool: Pool, from: Option<IpAddr>) -> Client {
        Client::with_budget(pool, from, RESPONSES_MAX)
    }

    /// A client whose responses hold at most `body_bytes` together.
    pub fn with_budget(pool: Pool, from: Option<IpAddr>, body_bytes: usize) -> Client {
        let budget = Arc::new(ByteBudget::new(body_bytes));
        Client { pool, from, budget, idle: Mutex::default() }
    }

    /// Reuses an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be established.
    pub async fn connection(&self, to: SocketAddr) -> Result<Connection, ClientError> {
        match self.take_idle(to) {
            Some(connection) => Ok(Connection { reused: true, ..connection }),
            None => self.new_connection(to).await,
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be established.
    pub async fn new_connection(&self, to: SocketAddr) -> Result<Connection, ClientError> {
        let stream = connect(self.from, to, CONNECT_TIMEOUT).await.map_err(ClientError::Connect)?;
        // A request that is given up must not arrive later. The kernel would go on sending what the
        // server has not confirmed, for as long as a network partition lasts.
        set_reset_on_close(&stream, true).map_err(ClientError::Connect)?;
        let allowance = limit_unproductive(&stream, RESPONSE_HEAD_MAX);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(RESPONSE_HEAD_MAX)
            .handshake(FuturesIo::new(stream))
            .await?;
        self.pool
            .spawn(async move {
                // The sender reports connection errors to its user.
                let _ = connection.await;
            })
            .detach();
        let (budget, pool) = (self.budget.clone(), self.pool);
        Ok(Connection { sender, allowance, budget, pool, reused: false })
    }

    /// Returns a connection to the idle pool; its last response must have been read to the end.
    pub fn return_idle(&self, to: SocketAddr, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let connections = idle.entry(to).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(connection);
        }
    }

    /// Sends an idempotent request on a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be established or fails.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, ClientError> {
        self.new_connection(to).await?.send(request).await
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&to)?;
        while let Some(connection) = connections.pop() {
            if !connection.sender.is_closed() && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        idle.remove(&to);
        None
    }
}
