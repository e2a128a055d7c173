//! Rewriting of forwarded messages: only end-to-end headers are forwarded (RFC 9110, section
//! 7.6.1).

use std::net::SocketAddr;
use std::time::Duration;

use http_types::headers::{HeaderName, HeaderValues, Headers};
use http_types::{Request, Response};
use knapweedgap_core::id;
use knapweedgap_http as http;

/// Header with the id of the request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the time left until the deadline, in milliseconds.
pub const TIMEOUT: &str = "x-request-timeout-ms";

/// Headers that apply to one connection only. `content-length` is among them because the encoder
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

/// Metadata that the proxy adds to a forwarded request.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// Id of the request, sent in [`REQUEST_ID`].
    pub request: id::Request,
    /// Time left until the deadline, sent in [`TIMEOUT`].
    pub time_left: Duration,
    /// Whether the request must run at most once. It is then sent only on a fresh connection.
    pub non_idempotent: bool,
}

/// Converts a received request into the one that is sent to the upstream at `address`.
///
/// # Errors
///
/// Returns [`http::Error::Malformed`] if the URL of the request cannot be set to the address.
pub fn request(
    mut request: Request,
    envelope: &Envelope,
    address: SocketAddr,
) -> Result<Request, http::Error> {
    remove_hop_by_hop(request.as_mut());
    let url = request.url_mut();
    let addressed = url.set_ip_host(address.ip()).and_then(|()| url.set_port(Some(address.port())));
    addressed.map_err(|()| http::Error::Malformed("the target has no host".to_owned()))?;
    // A remaining time of less than a millisecond must not be forwarded as zero.
    let milliseconds = envelope.time_left.as_millis().max(1);
    request.insert_header(REQUEST_ID, envelope.request.as_str());
    request.insert_header(TIMEOUT, milliseconds.to_string());
    Ok(request)
}

/// Removes the headers of a response that apply only to the connection to the upstream.
pub fn response(response: &mut Response) {
    remove_hop_by_hop(response.as_mut());
}

fn remove_hop_by_hop(headers: &mut Headers) {
    let connection_options = headers.get("connection").map(connection_options).unwrap_or_default();
    for name in connection_options {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns the header names listed in a `connection` header.
fn connection_options(connection: &HeaderValues) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for value in connection {
        for option in value.as_str().split(',') {
            names.extend(option.trim().parse::<HeaderName>());
        }
    }
    names
}
