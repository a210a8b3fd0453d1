//! HTTP requests sent by tests.

use http::{Client, collect_response, full};
use hyper::{Method, Request, header::HOST};
use net::{Pool, start_pool, with_timeout};
use serde_json::Value;
use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{IpAddr, SocketAddr, TcpStream},
    sync::OnceLock,
    time::Duration,
};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// An HTTP request.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    from: Option<IpAddr>,
    to: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    timeout: Duration,
}

/// An HTTP response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers, by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: String,
}

impl HttpResponse {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the value of a header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn pool() -> Pool {
    static POOL: OnceLock<Pool> = OnceLock::new();
    POOL.get_or_init(|| start_pool(2).expect("start the thread pool"))
}

impl HttpRequest {
    /// Creates a request without a body.
    pub fn new(method: &str, to: SocketAddr, path: &str) -> HttpRequest {
        HttpRequest {
            from: None,
            to,
            method: method.parse().expect("a valid HTTP method"),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> HttpRequest {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> HttpRequest {
        self.body = body.into();
        self
    }

    /// Sets the local address that the request is sent from.
    #[must_use]
    pub fn from(mut self, from: IpAddr) -> HttpRequest {
        self.from = Some(from);
        self
    }

    /// Sets the timeout, in place of the default of 60 s. Used for processes that may be paused.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> HttpRequest {
        self.timeout = timeout;
        self
    }

    /// Sends the request and reads the complete response. Returns `None` if the connection fails
    /// or the timeout expires.
    pub fn send(self) -> Option<HttpResponse> {
        async_io::block_on(async {
            with_timeout(self.timeout, self.send_and_receive()).await.ok().flatten()
        })
    }

    async fn send_and_receive(self) -> Option<HttpResponse> {
        let mut request = Request::builder().method(self.method).uri(&self.path);
        request = request.header(HOST, self.to.to_string());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(full(self.body)).ok()?;
        let client = Client::new(pool(), self.from);
        let mut connection = client.connection(self.to).await.ok()?;
        let response = connection.send(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = collect_response(body, MAX_RESPONSE_BYTES).await.ok()?;
        let text = |value: &hyper::header::HeaderValue| value.to_str().unwrap_or("").to_owned();
        Some(HttpResponse {
            status: head.status.as_u16(),
            headers: head
                .headers
                .iter()
                .map(|(name, value)| (name.to_string(), text(value)))
                .collect(),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Sends raw bytes and returns everything received until the peer closes the connection.
    pub fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(to).expect("connect to the process");
        stream.set_read_timeout(Some(DEFAULT_TIMEOUT)).expect("set the read timeout");
        let _ = stream.write_all(bytes);
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    }
}
