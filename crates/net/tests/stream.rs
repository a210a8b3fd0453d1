//! Reads from a peer that always has more to send.

use async_io::{Async, block_on};
use futures_lite::{AsyncRead, future::poll_fn};
use googletest::prelude::*;
use net::{NoProgress, Stream};
use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    pin::Pin,
    task::Poll,
    thread,
    time::Duration,
};

/// Bytes that a task may read in one turn, with the last read.
const MAX_TURN_BYTES: usize = 64 << 10;
/// Bytes that are waiting before the first read.
const SENT_BYTES: usize = 1 << 20;

/// A connection on which the peer has sent `SENT_BYTES`, and the peer's end.
fn connection() -> (Stream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let mut peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("a peer");
    let (socket, _) = listener.accept().expect("a connection");
    let written = peer.try_clone().expect("a second handle");
    written.set_nonblocking(true).expect("a socket option");
    let mut sent = 0;
    while sent < SENT_BYTES {
        match peer.write(&vec![b'x'; SENT_BYTES - sent]) {
            Ok(bytes) => sent += bytes,
            Err(_) => break,
        }
    }
    thread::sleep(Duration::from_millis(50));
    (Stream::new(Async::new(socket).expect("a stream")), peer)
}

/// Guards against a peer that keeps a worker in one poll for as long as it sends.
#[gtest]
fn poll_read_peer_always_has_more() {
    let (stream, _peer) = connection();
    let mut turns = Vec::new();
    let mut total = 0;
    let mut buf = [0; 16 << 10];
    // The task is woken after each turn, although the socket has been readable all the time.
    block_on(poll_fn(|cx| {
        let mut turn = 0;
        while let Poll::Ready(read) = Pin::new(&mut &stream).poll_read(cx, &mut buf) {
            turn += read.expect("a read");
        }
        total += turn;
        turns.push(turn);
        if total >= SENT_BYTES / 4 { Poll::Ready(()) } else { Poll::Pending }
    }));
    expect_that!(turns, each(le(&MAX_TURN_BYTES)));
}

/// Guards against bytes without end that are no part of a message.
#[gtest]
fn poll_read_without_progress() {
    const LIMIT: usize = 100_000;
    let (stream, _peer) = connection();
    let allowance = stream.limit_unproductive(LIMIT);
    let mut buf = [0; 1000];
    let mut read = |stream: &Stream, total: usize| {
        let mut done = 0;
        block_on(poll_fn(|cx| {
            loop {
                match Pin::new(&mut &*stream).poll_read(cx, &mut buf) {
                    Poll::Ready(Ok(bytes)) if done + bytes >= total => return Poll::Ready(Ok(())),
                    Poll::Ready(Ok(bytes)) => done += bytes,
                    Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                    Poll::Pending => return Poll::Pending,
                }
            }
        }))
    };
    for _ in 0..3 {
        expect_true!(read(&stream, 60_000).is_ok());
        allowance.refill(60_000);
    }
    let mut outcome = Ok(());
    for _ in 0..200 {
        outcome = outcome.and(read(&stream, 1000));
    }
    let e = outcome.expect_err("the limit is exceeded");
    expect_true!(NoProgress::caused(&e));
    expect_that!(e.to_string(), contains_substring("more than 100000 bytes without progress"));
}
