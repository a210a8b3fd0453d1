//! An entry is told to stop while a caller reads a large response at a steady rate.

use review_stand_2::{
    Message, Record, System, attempt_header, keep_reporting, read_head, serve, signature_header,
    timeout_header,
};
use std::{
    env,
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
    os::fd::AsRawFd,
    path::Path,
    process::exit,
    thread,
    time::{Duration, Instant},
};

/// The bytes of the response.
const RESPONSE_BYTES: usize = 16_700_000;
/// The bytes that the caller reads in each `READ_INTERVAL`: 4.3 MB a second.
const READ_BYTES: usize = 86_000;
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// How long after the signal the request is sent.
const SENT_AFTER: Duration = Duration::from_millis(3300);
/// How long the caller waits: until 7.3 s after the signal. The entry accepts the request, as its
/// grace period ends later than that.
const TIMEOUT_MS: u64 = 4_000;
/// The receive buffer of the caller, in bytes, as on a small device.
const RECEIVE_BUFFER_BYTES: i32 = 128 << 10;

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"status\",\"host\":\"a.example\",\
    \"path_prefix\":\"/status/\",\"route_type\":\"idempotent\",\"timeout_ms\":8000,\
    \"target_latency_ms\":4000,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\
    \"public\":true}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\
    \"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
    \"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

fn response(request: &Message) -> Vec<u8> {
    let id = request.header(&attempt_header()).unwrap_or_default();
    let mut response = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s.1\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n",
        attempt_header(),
        signature_header()
    )
    .into_bytes();
    response.resize(response.len() + RESPONSE_BYTES, b'x');
    response
}

/// Sets the size of the kernel's receive buffer.
fn limit_receive_buffer(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    // SAFETY: the value is a live integer of the given length.
    let result =
        unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES, 4) };
    assert_eq!(result, 0, "the receive buffer is limited");
}

/// A reader that takes bytes at a steady rate.
struct Steady<R> {
    inner: R,
    begin: Instant,
    taken: usize,
}

impl<R: Read> Read for Steady<R> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let turns = (self.taken / READ_BYTES) as u32;
        thread::sleep((READ_INTERVAL * turns).saturating_sub(self.begin.elapsed()));
        let most = buf.len().min(READ_BYTES);
        let count = self.inner.read(&mut buf[..most])?;
        self.taken += count;
        Ok(count)
    }
}

/// Reads a body with a length or in chunks. Returns the number of its bytes that arrived, and
/// whether it is complete.
fn read_response(reader: &mut impl BufRead, head: &Message) -> (usize, bool) {
    if let Some(length) = head.header("content-length") {
        let length: usize = length.parse().unwrap_or(0);
        let count = take(reader, length);
        return (count, count == length);
    }
    let mut count = 0;
    loop {
        let mut line = String::new();
        let size = match reader.read_line(&mut line) {
            Ok(bytes) if bytes > 0 => usize::from_str_radix(line.trim_end(), 16),
            _ => return (count, false),
        };
        let Ok(size) = size else {
            return (count, false);
        };
        if size == 0 {
            return (count, true);
        }
        let taken = take(reader, size);
        count += taken;
        if taken < size || take(reader, 2) < 2 {
            return (count, false);
        }
    }
}

/// Takes `length` bytes, or as many as arrive, and returns their number.
fn take(reader: &mut impl Read, length: usize) -> usize {
    io::copy(&mut reader.take(length as u64), &mut io::sink()).map_or_else(|_| 0, |n| n as usize)
}

fn main() {
    let folder = env::args().nth(1).expect("the folder of the case");
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let mut system = System::start();
    let server = serve(&system.servers, &record, response);
    keep_reporting(system.control, "i-desk-1", server);
    if !system.configure(CONFIG) || !system.is_ready() {
        record.add("the system did not start");
        drop(system);
        exit(2);
    }
    // The route is known, and the server has reported, some time after this.
    thread::sleep(Duration::from_millis(3500));
    let mut stream = TcpStream::connect(system.entry).expect("the entry accepts connections");
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a socket option");
    limit_receive_buffer(&stream);
    if has_trouble {
        system.signal_entry("TERM");
        record.add("SIGTERM sent to the entry");
    }
    let signalled = Instant::now();
    thread::sleep(SENT_AFTER);
    let request = format!(
        "GET /status/17 HTTP/1.1\r\nHost: a.example\r\n{}: 9c41d07be2a35f68\r\n{}: {TIMEOUT_MS}\r\n\r\n",
        attempt_header(),
        timeout_header()
    );
    stream.write_all(request.as_bytes()).expect("the request is sent");
    record.add("request 9c41d07be2a35f68 sent, with its last byte");
    let steady = Steady { inner: stream, begin: Instant::now(), taken: 0 };
    let mut reader = BufReader::with_capacity(READ_BYTES, steady);
    let Some(head) = read_head(&mut reader) else {
        record.add("the connection ended without a response");
        drop(system);
        exit(1);
    };
    record.add(&format!("response head: {}", head.first_line));
    if head.status() != 200 {
        drop(system);
        exit(if head.status() == 503 { 2 } else { 1 });
    }
    let (count, is_complete) = read_response(&mut reader, &head);
    let is_complete = is_complete && count == RESPONSE_BYTES;
    record.add(&format!(
        "{count} of {RESPONSE_BYTES} bytes of the body arrived until {:.2} s after the signal; the \
         process of the entry has ended: {}",
        signalled.elapsed().as_secs_f64(),
        system.has_entry_ended()
    ));
    record.add(if is_complete { "the rule was kept" } else { "the rule LOST was broken" });
    drop(system);
    exit(i32::from(!is_complete));
}
