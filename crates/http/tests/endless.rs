//! Peers that send bytes without end which are no part of a message.

use async_io::block_on;
use futures_lite::FutureExt;
use googletest::prelude::*;
use http::{
    Body, BodyError, ByteBudget, Client, ClientError, Handler, HandlerFuture, Incoming, Limits,
    Server, collect, collect_response, empty, text_response,
};
use hyper::{Request, Response, StatusCode};
use model::verdict::Verdict;
use net::{Listener, Pool, Stop, start_pool, with_timeout};
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Longest wait for a result that needs no more than some hundred kilobytes.
const TIMEOUT: Duration = Duration::from_secs(5);
const BODY_MAX: usize = 1 << 20;
const BODIES_MAX: usize = 4 << 20;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn pool() -> Pool {
    start_pool(1).expect("a worker")
}

/// Starts a server that reads the head of each request, sends `head`, and then `piece` until the
/// caller closes the connection.
fn endless_server(head: &'static str, piece: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                read_head(&stream);
                let text = piece.repeat(1 + 16384 / piece.len());
                let mut sent = stream.write_all(head.as_bytes());
                while sent.is_ok() {
                    sent = stream.write_all(text.as_bytes());
                }
            });
        }
    });
    address
}

fn read_head(stream: &TcpStream) {
    let lines = BufReader::new(stream).lines().map_while(std::result::Result::ok);
    let _ = lines.take_while(|line| !line.is_empty()).count();
}

fn get(client: &Client, to: SocketAddr) -> std::result::Result<Response<Incoming>, ClientError> {
    let response = client.send(to, Request::new(empty()));
    block_on(with_timeout(TIMEOUT, response)).expect("a result in time")
}

/// Guards against interim responses without end, which stopped all tasks of the worker.
#[gtest]
fn send_interim_responses_without_end() {
    let to = endless_server("", "HTTP/1.1 100 Continue\r\n\r\n");
    let e = get(&Client::new(pool(), None), to).expect_err("no response");
    expect_that!(e.verdict(), eq(Verdict::MayHaveRun));
    expect_false!(e.is_closed_by_peer());
    expect_that!(e.to_string(), contains_substring("without progress"));
}

/// Guards against a chunk length without end, which stopped all tasks of the worker.
#[gtest]
fn collect_response_chunk_length_without_end() {
    let to = endless_server(CHUNKED, "0");
    let response = get(&Client::new(pool(), None), to).expect("a head");
    let body = collect_response(response.into_body(), BODY_MAX);
    let outcome = block_on(with_timeout(TIMEOUT, body)).expect("a result in time");
    expect_true!(matches!(outcome, Err(BodyError::Unproductive(_))), "{outcome:?}");
}

/// Guards against chunk lengths that are long again and again, so that a body takes no end.
#[gtest]
fn collect_response_long_chunk_lengths_without_end() {
    const CHUNK: &str = concat!(
        "00000000000000000000000000000000000000000000000000000000000000000000000000000000",
        "1\r\nx\r\n"
    );
    let to = endless_server(CHUNKED, CHUNK);
    let response = get(&Client::new(pool(), None), to).expect("a head");
    let body = collect_response(response.into_body(), BODY_MAX);
    let outcome = block_on(with_timeout(TIMEOUT, body)).expect("a result in time");
    expect_true!(matches!(outcome, Err(BodyError::Unproductive(_))), "{outcome:?}");
}

/// A sound body is complete, however small its chunks are.
#[gtest]
fn collect_response_small_chunks() {
    const BYTES: usize = 60_000;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let to = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_head(&stream);
        let text = CHUNKED.to_owned() + &"1\r\nx\r\n".repeat(BYTES) + "0\r\n\r\n";
        stream.write_all(text.as_bytes()).expect("the client reads");
    });
    let response = get(&Client::new(pool(), None), to).expect("a head");
    let body = collect_response(response.into_body(), BODY_MAX);
    let outcome = block_on(with_timeout(TIMEOUT, body)).expect("a result in time");
    expect_that!(outcome.expect("a complete body").len(), eq(BYTES));
}

/// Guards against bytes without end after a complete response, on a connection that is kept.
#[gtest]
fn return_idle_bytes_without_end() {
    let to = endless_server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "x");
    let client = Client::new(pool(), None);
    let mut connection = block_on(client.connection(to)).expect("a connection");
    let response = block_on(connection.send(Request::new(empty()))).expect("a response");
    expect_that!(response.status(), eq(StatusCode::OK));
    client.return_idle(to, connection);
    thread::sleep(Duration::from_millis(200));
    let next = block_on(with_timeout(TIMEOUT, client.connection(to))).expect("in time");
    expect_false!(next.expect("a connection").is_reused());
}

/// Responds with the length of the body.
struct Lengths;

impl Handler for Lengths {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _: SocketAddr) -> HandlerFuture {
        async move { respond(request).await }.boxed()
    }
}

async fn respond(request: Request<Incoming>) -> Response<Body> {
    match collect(request.into_body(), BODY_MAX).await {
        Ok(body) => text_response(StatusCode::OK, body.len().to_string()),
        Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

fn server() -> SocketAddr {
    let probe = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = probe.local_addr().expect("an address");
    drop(probe);
    let (pool, listener) = (pool(), Listener::bind(address).expect("the address is free"));
    let (limits, handler) = (Limits::default(), Arc::new(Lengths));
    let bodies = Arc::new(ByteBudget::new(BODIES_MAX));
    let server = Server { pool, listener, limits, bodies, handler, stop: Stop::default() };
    pool.spawn(server.run()).detach();
    address
}

/// Guards against a caller that stops a server for all others with a chunk length without end.
#[gtest]
fn run_chunk_length_without_end() {
    let to = server();
    let mut endless = TcpStream::connect(to).expect("a connection");
    let flood = thread::spawn(move || {
        let head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut sent = endless.write_all(head.as_bytes());
        let end = Instant::now() + TIMEOUT;
        while sent.is_ok() && Instant::now() < end {
            sent = endless.write_all(&[b'0'; 16384]);
        }
        sent.is_err()
    });
    for _ in 0..10 {
        let mut stream = TcpStream::connect(to).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket option");
        let request =
            "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc";
        stream.write_all(request.as_bytes()).expect("the server reads");
        let mut response = String::new();
        expect_true!(stream.read_to_string(&mut response).is_ok());
        expect_that!(response, ends_with("\r\n3\r\n0\r\n\r\n"));
    }
    expect_true!(flood.join().expect("no panic"), "the server has not closed the connection");
}
