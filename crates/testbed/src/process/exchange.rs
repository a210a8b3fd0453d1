//! Single HTTP exchanges of a test.

use http::{Client, collect, full};
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

const LIMIT: Duration = Duration::from_secs(60);
const ANSWER_MAX: usize = 64 << 20;

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    from: Option<IpAddr>,
    to: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    limit: Duration,
}

/// What came back.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers, by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: String,
}

impl HttpResponse {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// A header's value, or nothing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn pool() -> Pool {
    static POOL: OnceLock<Pool> = OnceLock::new();
    POOL.get_or_init(|| start_pool(2).expect("threads start"))
}

impl HttpRequest {
    /// A request without body.
    pub fn new(method: &str, to: SocketAddr, path: &str) -> HttpRequest {
        HttpRequest {
            from: None,
            to,
            method: method.parse().expect("a method"),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            limit: LIMIT,
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

    /// Sends from this address.
    #[must_use]
    pub fn from(mut self, from: IpAddr) -> HttpRequest {
        self.from = Some(from);
        self
    }

    /// Waits for the answer for this long only, for processes that may be paused.
    #[must_use]
    pub fn limit(mut self, limit: Duration) -> HttpRequest {
        self.limit = limit;
        self
    }

    /// Sends the request and reads the whole answer; nothing if there is none.
    pub fn send(self) -> Option<HttpResponse> {
        async_io::block_on(async { with_timeout(self.limit, self.exchange()).await.ok().flatten() })
    }

    async fn exchange(self) -> Option<HttpResponse> {
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
        let body = collect(body, ANSWER_MAX).await.ok()?;
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

    /// Sends raw bytes and reads what comes back until the other side closes.
    pub fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(to).expect("the process listens");
        stream.set_read_timeout(Some(LIMIT)).expect("a timeout can be set");
        let _ = stream.write_all(bytes);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    }
}
