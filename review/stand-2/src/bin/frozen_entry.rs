//! A backend server crashes in the middle of a response without a length, and is back before the
//! entry, which stands still meanwhile, goes on.

use review_stand_2::{
    Message, Record, System, attempt_header, keep_reporting, read_body, read_head,
    signature_header, timeout_header,
};
use std::{
    env,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, exit},
    thread,
    time::Duration,
};

/// The two parts of the body of a response.
const PARTS: [&str; 2] = ["{\"booking\":17,\"tools\":[\"gouge\",", "\"chisel\"],\"charged\":240}"];
/// The time between the parts, in which the server works on.
const WORK: Duration = Duration::from_millis(1200);
/// When the entry is stopped, after the request.
const STOP_AFTER: Duration = Duration::from_millis(300);
/// When the server is killed, after the stop.
const KILL_AFTER: Duration = Duration::from_millis(200);
/// How long the server is down.
const DOWN: Duration = Duration::from_millis(1500);
/// The time from the return of the server until the entry goes on.
const CONTINUE_AFTER: Duration = Duration::from_millis(800);
const TIMEOUT_MS: u64 = 8_000;

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"book\",\"host\":\"a.example\",\
    \"path_prefix\":\"/book/\",\"route_type\":\"non_idempotent\",\"timeout_ms\":8000,\
    \"target_latency_ms\":2000,\"priority\":1,\"service\":\"desk\",\"max_attempts\":1,\
    \"public\":true}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\
    \"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
    \"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/// Runs the backend server, a process of its own: it answers each request in two parts and ends the
/// response with the connection.
fn run_server(control: SocketAddr, address: SocketAddr, id: &str) {
    let listener = TcpListener::bind(address).expect("the address is free");
    keep_reporting(control, id, address);
    for stream in listener.incoming().flatten() {
        thread::spawn(move || answer(stream));
    }
}

fn answer(mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let Some(mut request) = read_head(&mut reader) else {
        return;
    };
    if read_body(&mut reader, &mut request).is_err() {
        return;
    }
    let id = request.header(&attempt_header()).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s.1\r\nConnection: close\r\n\r\n",
        attempt_header(),
        signature_header()
    );
    let _ = stream.write_all((head + PARTS[0]).as_bytes());
    thread::sleep(WORK);
    let _ = stream.write_all(PARTS[1].as_bytes());
}

/// Reads a body with a length or in chunks. Returns what arrived, and whether it is complete.
fn read_response(reader: &mut impl BufRead, head: &Message) -> (String, bool) {
    let mut body = Vec::new();
    if let Some(length) = head.header("content-length") {
        let length = length.parse().unwrap_or(0);
        let _ = reader.take(length).read_to_end(&mut body);
        let is_complete = body.len() as u64 == length;
        return (String::from_utf8_lossy(&body).into_owned(), is_complete);
    }
    let is_complete = loop {
        let mut line = String::new();
        let _ = reader.read_line(&mut line);
        let Ok(size) = u64::from_str_radix(line.trim_end(), 16) else {
            break false;
        };
        if size == 0 {
            break true;
        }
        let _ = reader.by_ref().take(size).read_to_end(&mut body);
        let _ = reader.read_line(&mut line);
    };
    (String::from_utf8_lossy(&body).into_owned(), is_complete)
}

fn start_server(system: &System, address: SocketAddr, id: &str) -> Child {
    let program = env::current_exe().expect("the path of this program");
    let mut command = Command::new(program);
    command.args(["server", &system.control.to_string(), &address.to_string(), id]);
    command.spawn().expect("the server starts")
}

fn stop_server(server: &mut Child) {
    let _ = server.kill();
    let _ = server.wait();
}

fn main() {
    let args: Vec<String> = env::args().collect();
    if args[1] == "server" {
        run_server(
            args[2].parse().expect("an address"),
            args[3].parse().expect("an address"),
            &args[4],
        );
        return;
    }
    let trouble = env::var("TROUBLE").unwrap_or_default();
    let (crashes, freezes) = (trouble != "0", trouble != "0" && trouble != "crash");
    let record = Record::create(&Path::new(&args[1]).join("record.txt"));
    let system = System::start();
    let free = TcpListener::bind(format!("{}:0", system.servers)).expect("a socket");
    let address = free.local_addr().expect("an address");
    drop(free);
    let mut server = start_server(&system, address, "i-desk-1");
    let is_up = system.configure(CONFIG) && system.is_ready();
    thread::sleep(Duration::from_millis(4000));
    let code = match is_up {
        true => play(&system, &record, &mut server, address, crashes, freezes),
        false => 2,
    };
    stop_server(&mut server);
    drop(system);
    exit(code);
}

fn play(
    system: &System,
    record: &Record,
    server: &mut Child,
    address: SocketAddr,
    crashes: bool,
    freezes: bool,
) -> i32 {
    let mut stream = TcpStream::connect(system.entry).expect("the entry accepts connections");
    stream.set_read_timeout(Some(Duration::from_secs(15))).expect("a socket option");
    let request = format!(
        "POST /book/1 HTTP/1.1\r\nHost: a.example\r\n{}: 9c41d07be2a35f68\r\n{}: {TIMEOUT_MS}\r\n\
         Content-Length: 5\r\n\r\ngouge",
        attempt_header(),
        timeout_header()
    );
    stream.write_all(request.as_bytes()).expect("the request is sent");
    record.add("request 9c41d07be2a35f68 sent; its route may not be repeated");
    thread::sleep(STOP_AFTER);
    if freezes {
        system.signal_entry("STOP");
        record.add("the entry stands still");
    }
    if crashes {
        thread::sleep(KILL_AFTER);
        stop_server(server);
        record.add(&format!("the server was killed after it had sent {:?}", PARTS[0]));
        thread::sleep(DOWN);
        *server = start_server(system, address, "i-desk-2");
        record.add("the server starts again, as a new incarnation at the same address");
        thread::sleep(CONTINUE_AFTER);
    }
    if freezes {
        system.signal_entry("CONT");
        record.add("the entry goes on");
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader) else {
        record.add("the connection ended without a response: the rule was kept");
        return i32::from(!crashes) * 2;
    };
    let (body, is_complete) = read_response(&mut reader, &head);
    record.add(&format!("response: {}, complete: {is_complete}, body: {body}", head.first_line));
    let is_success = (200..300).contains(&head.status());
    if is_success && is_complete && body != PARTS.concat() {
        record.add("the rule MIXED was broken: a part of a body was passed on as a complete one");
        return 1;
    }
    record.add("the rule was kept");
    if !crashes && !is_success { 2 } else { 0 }
}
