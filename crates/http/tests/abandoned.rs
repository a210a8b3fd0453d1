//! Requests that a client gives up.

use async_io::block_on;
use googletest::prelude::*;
use http::{Client, full};
use hyper::Request;
use net::{start_pool, with_timeout};
use std::{
    io::{ErrorKind, Read},
    net::TcpListener,
    thread,
    time::Duration,
};

const BODY_BYTES: usize = 1 << 20;

/// Guards against a request that its client has given up and whose bytes the kernel sends on, so
/// that it arrives seconds later.
#[gtest]
fn send_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let to = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        // The client gives up before the server reads.
        thread::sleep(Duration::from_millis(400));
        let mut buf = vec![0; 64 << 10];
        loop {
            match stream.read(&mut buf) {
                Ok(0) => return None,
                Ok(_) => {}
                Err(e) => return Some(e.kind()),
            }
        }
    });
    let client = Client::new(start_pool(1).expect("a worker"), None);
    let request = Request::new(full(vec![b'x'; BODY_BYTES]));
    let given_up = with_timeout(Duration::from_millis(100), client.send(to, request));
    expect_true!(block_on(given_up).is_err());
    expect_that!(server.join().expect("no panic"), some(eq(ErrorKind::ConnectionReset)));
}
