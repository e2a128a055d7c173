//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and single calls.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub body: Vec<u8>,
    headers: Vec<(String, String)>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns a value of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
        let mut out = Vec::new();
        let bytes = pair.as_bytes();
        let mut at = 0;
        while at < bytes.len() {
            if bytes[at] == b'%' && at + 2 < bytes.len() {
                let code = std::str::from_utf8(&bytes[at + 1..at + 3]).ok()?;
                out.push(u8::from_str_radix(code, 16).ok()?);
                at += 3;
                continue;
            }
            out.push(bytes[at]);
            at += 1;
        }
        String::from_utf8(out).ok()
    }
}

/// Status and body of an answer; `None` closes the connection without an answer.
pub type Answer = Option<(u16, String)>;

/// Reads from `stream` until `buffer` holds a head, and returns the length of the head.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            return Some(at + 4);
        }
        let mut part = [0; 16384];
        let count = stream.read(&mut part).ok()?;
        if count == 0 {
            return None;
        }
        buffer.extend_from_slice(&part[..count]);
    }
}

fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    head: usize,
    len: usize,
) -> Option<Vec<u8>> {
    while buffer.len() < head + len {
        let mut part = [0; 65536];
        let count = stream.read(&mut part).ok()?;
        if count == 0 {
            return None;
        }
        buffer.extend_from_slice(&part[..count]);
    }
    let body = buffer[head..head + len].to_vec();
    buffer.drain(..head + len);
    Some(body)
}

fn headers(head: &str) -> Vec<(String, String)> {
    let lines = head.split("\r\n").skip(1);
    lines
        .filter_map(|l| l.split_once(':').map(|(n, v)| (n.trim().into(), v.trim().into())))
        .collect()
}

fn length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head = read_head(stream, buffer)?;
    let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
    let mut first = text.split("\r\n").next()?.split(' ');
    let path = first.nth(1)?.to_owned();
    let headers = headers(&text);
    let body = read_body(stream, buffer, head, length(&headers))?;
    Some(Request { path, body, headers })
}

/// Serves all connections of a listener.
pub fn serve<Handler>(listener: TcpListener, handler: Handler)
where
    Handler: Fn(Request) -> Answer + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || {
                let mut buffer = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut buffer) {
                    let Some((status, body)) = handler(request) else { return };
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    let bytes = [head.as_bytes(), body.as_bytes()].concat();
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one request on a new connection and returns the status and the body. `timeout` limits the
/// connection and each pause.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers_out: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(text)?;
    stream.set_read_timeout(Some(timeout)).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers_out {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    ));
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).map_err(text)?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer).ok_or("no answer")?;
    let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or("no status")?;
    let body =
        read_body(&mut stream, &mut buffer, head, length(&headers(&text))).ok_or("no body")?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
