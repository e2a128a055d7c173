//! HTTP/1.1 with bodies of a given length: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn query(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

pub enum Reply {
    Answer(u16, String),
    /// The connection is closed without an answer.
    Close,
    /// The connection stays open without an answer.
    Silent,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves an address until the process ends.
pub fn serve(address: SocketAddr, handler: Handler) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let _ = connection(stream, &handler);
            });
        }
    });
    Ok(())
}

fn connection(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let Some((line, headers, body)) = message(&mut reader)? else { return Ok(()) };
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(key, value)| (key.to_owned(), decode(value))).collect();
        let request = Request { method, path: path.to_owned(), query, headers, body };
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes())?;
            }
            Reply::Close => return Ok(()),
            Reply::Silent => {
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return Ok(());
            }
        }
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

fn message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Ok(None);
        }
        let header = header.trim();
        if header.is_empty() {
            break;
        }
        let Some((key, value)) = header.split_once(':') else { continue };
        if key.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
        headers.push((key.to_owned(), value.trim().to_owned()));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((line.trim().to_owned(), headers, body)))
}

/// Sends a request on a new connection. Returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (key, value) in headers {
        head.push_str(&format!("{key}: {value}\r\n"));
    }
    head.push_str(&format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    ));
    stream.write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let answer = message(&mut reader)?;
    let (line, _, body) = answer.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
