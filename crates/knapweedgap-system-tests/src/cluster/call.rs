//! Calls of HTTP APIs with JSON bodies.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use knapweedgap_http::json::Caller;
use serde_json::Value;

/// Longest wait for a complete response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP response to a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Response body; `Value::Null` if it is not JSON.
    pub body: Value,
}

/// Calls the API at an address once, without a retry.
///
/// # Errors
///
/// Returns an I/O error if no complete response arrives or the method is invalid.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> io::Result<Answer> {
    let method: Method = method.parse().map_err(io::Error::other)?;
    let body = body.map(|body| body.to_string().into_bytes());
    let caller = Caller::new(address, CALL_TIMEOUT);
    let answer = async_io::block_on(caller.call(method, path, body));
    let answer = answer.map_err(|failure| io::Error::other(failure.error.to_string()))?;
    let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    Ok(Answer { status: answer.status, body })
}
