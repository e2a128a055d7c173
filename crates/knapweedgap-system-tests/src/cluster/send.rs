//! Single request of a client over a new connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of a read of the response.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a non-idempotent request and returns its outcome: the header `x-outcome` if present,
/// otherwise `whole` for status 200 and `error` for any other status.
///
/// # Errors
///
/// Returns an I/O error if no response arrives.
pub fn send_keyed(entry: SocketAddr, path: &str, id: &str, key: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(entry)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
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
