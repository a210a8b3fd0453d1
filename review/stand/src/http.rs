//! A minimal HTTP/1.1 client and server.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// How often a listener looks for a new connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body has arrived.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a new connection and reads the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    write_request(&mut stream, method, path, headers, body)?;
    read_message(&mut BufReader::new(stream), true)
}

/// Writes a request. The connection is closed after the response unless the headers say otherwise.
pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    let has = |name: &str| headers.iter().any(|(key, _)| key.eq_ignore_ascii_case(name));
    if !has("Host") {
        text += "Host: control\r\n";
    }
    if !has("Connection") {
        text += "Connection: close\r\n";
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)
}

/// Reads a message. A response without a length ends with the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>, is_response: bool) -> io::Result<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => message.headers.push((name.to_owned(), value.trim().to_owned())),
            None => break,
        }
    }
    if message.header("transfer-encoding").is_some() {
        message.complete = read_chunks(reader, &mut message.body);
    } else if let Some(length) = message.header("content-length").and_then(|t| t.parse().ok()) {
        let mut body = vec![0; length];
        message.complete = reader.read_exact(&mut body).is_ok();
        message.body = body;
    } else if is_response && !matches!(message.status(), 204 | 304) {
        message.complete = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.complete = true;
    }
    Ok(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        let Ok(size) = usize::from_str_radix(line.trim_end(), 16) else { return false };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if size == 0 {
            return true;
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// A response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + "\r\n" + body
}

/// Handles one request; returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// Serves connections, each on a thread of its own, for as long as the process runs.
pub fn serve(listener: TcpListener, handler: Handler) {
    serve_until(listener, handler, Arc::default());
}

/// The same until `ended` is set. The address then refuses connections.
pub fn serve_until(listener: TcpListener, handler: Handler, ended: Arc<AtomicBool>) {
    listener.set_nonblocking(true).expect("a socket option");
    thread::spawn(move || {
        while !ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(second) = stream.try_clone() else { return };
                let (mut reader, mut stream) = (BufReader::new(second), stream);
                while let Ok(request) = read_message(&mut reader, false) {
                    if !request.complete || !handler(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}
