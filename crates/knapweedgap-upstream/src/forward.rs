//! Forwarded messages: only end-to-end headers cross the proxy (RFC 9110, section 7.6.1).

use std::net::SocketAddr;
use std::time::Duration;

use http_types::headers::{HeaderName, HeaderValues, Headers};
use http_types::{Request, Response};
use knapweedgap_core::id;
use knapweedgap_http as http;

/// Header that names the request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the time left, in milliseconds.
pub const TIMEOUT: &str = "x-request-timeout-ms";

/// Headers that concern one connection. `content-length` is among them because the encoder
/// derives the framing of the forwarded message from its body.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What the proxy states about a forwarded request.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// Id of the request.
    pub request: id::Request,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Whether the request must run at most once.
    pub non_idempotent: bool,
}

/// Turns a received request into the one that is sent to the upstream at `address`.
///
/// # Errors
///
/// [`http::Error::Malformed`] when the target can't be expressed for the address.
pub fn request(
    mut request: Request,
    envelope: &Envelope,
    address: SocketAddr,
) -> Result<Request, http::Error> {
    remove_hop_by_hop(request.as_mut());
    let url = request.url_mut();
    let addressed = url.set_ip_host(address.ip()).and_then(|()| url.set_port(Some(address.port())));
    addressed.map_err(|()| http::Error::Malformed("the target has no host".to_owned()))?;
    // A deadline that has less than a millisecond left must not be forwarded as none at all.
    let milliseconds = envelope.time_left.as_millis().max(1);
    request.insert_header(REQUEST_ID, envelope.request.as_str());
    request.insert_header(TIMEOUT, milliseconds.to_string());
    Ok(request)
}

/// Removes from an answer what concerns only the connection to the upstream.
pub fn response(response: &mut Response) {
    remove_hop_by_hop(response.as_mut());
}

fn remove_hop_by_hop(headers: &mut Headers) {
    let listed = headers.get("connection").map(listed).unwrap_or_default();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

fn listed(connection: &HeaderValues) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for value in connection {
        for option in value.as_str().split(',') {
            names.extend(option.trim().parse::<HeaderName>());
        }
    }
    names
}
