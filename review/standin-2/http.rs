//! Minimal HTTP/1.1 server and client over blocking sockets.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

pub enum Reply {
    Json(u16, String),
    /// The channel is closed without an answer.
    Close,
    /// The channel stays open and returns nothing further.
    Silence,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves a listener, each connection in a thread of its own.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            std::thread::spawn(move || connection(stream, handler));
        }
    });
}

fn connection(mut stream: TcpStream, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        match handler(request) {
            Reply::Json(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if stream.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Close => {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Reply::Silence => {
                let mut rest = [0; 1024];
                while stream.read(&mut rest).is_ok_and(|count| count > 0) {}
                return;
            }
        }
    }
}

/// Reads a head and a body of known length. Returns the first line, the headers and the body.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<(String, HashMap<String, String>, String)> {
    let mut part = [0; 16384];
    let head_len = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
        buffer.extend(&part[..count]);
    };
    let head = String::from_utf8_lossy(&buffer[..head_len]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let end = head_len + 4 + length;
    while buffer.len() < end {
        let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
        buffer.extend(&part[..count]);
    }
    let body = String::from_utf8_lossy(&buffer[head_len + 4..end]).into_owned();
    buffer.drain(..end);
    Some((first, headers, body))
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let (first, headers, body) = read_message(stream, buffer)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), decoded(value)))
        .collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Time budget of the clients, in milliseconds.
const TIME_BUDGET_MS: u32 = 3_000;

/// Sends one request on a new connection, and leaves after `timeout`. Returns the status, or what
/// happened instead.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)
        .map_err(|error| format!("no connection ({:?})", error.kind()))?;
    let _ = stream.set_read_timeout(Some(timeout));
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nKnapweedgap-Deadline-Ms: {TIME_BUDGET_MS}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).map_err(|error| format!("not sent: {error}"))?;
    let mut buffer = Vec::new();
    let (first, _, body) =
        read_message(&mut stream, &mut buffer).ok_or_else(|| "no answer".to_owned())?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    Ok((status, body))
}
