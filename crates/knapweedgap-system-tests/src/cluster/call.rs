//! Calls of HTTP JSON interfaces.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use knapweedgap_http::json::Caller;
use serde_json::Value;

/// Longest call.
const CALL_TIME: Duration = Duration::from_secs(5);

/// Answer of a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Body; null when it is not JSON.
    pub body: Value,
}

/// Calls an address once.
///
/// # Errors
///
/// An I/O error when there is no whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> io::Result<Answer> {
    let method: Method = method.parse().map_err(io::Error::other)?;
    let body = body.map(|body| body.to_string().into_bytes());
    let caller = Caller::new(address, CALL_TIME);
    let answer = async_io::block_on(caller.call(method, path, body));
    let answer = answer.map_err(|failure| io::Error::other(failure.error.to_string()))?;
    let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    Ok(Answer { status: answer.status, body })
}
