//! One request of a client over a connection of its own.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// Sends a non-idempotent request and returns what the caller is told: `whole`, or the header
/// `x-outcome`, or `error`.
///
/// # Errors
///
/// An I/O error when there is no answer.
pub fn send_keyed(entry: SocketAddr, path: &str, id: &str, key: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(entry)?;
    stream.set_read_timeout(Some(ANSWER_TIME))?;
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nhost: {entry}\r\nx-request-id: {id}\r\nidempotency-key: {key}\r\n\
         x-non-idempotent: true\r\nx-request-timeout-ms: 5000\r\ncontent-length: 0\r\n\
         connection: close\r\n\r\n"
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, _) = answer.split_once("\r\n\r\n").ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut lines = head.lines();
    let status = lines.next().unwrap_or_default();
    let outcome = lines.find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("x-outcome").then(|| value.trim().to_owned())
    });
    let other = if status.contains(" 200 ") { "whole" } else { "error" };
    Ok(outcome.unwrap_or_else(|| other.to_owned()))
}
