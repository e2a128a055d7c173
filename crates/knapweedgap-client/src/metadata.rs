//! Metadata of a request, parsed from its method, path and headers.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use http_types::{Method, Request};
use knapweedgap_core::id;
use smol_str::SmolStr;

/// Header with the id of the request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the client's timeout, in milliseconds.
pub const TIMEOUT: &str = "x-request-timeout-ms";
/// Header with the idempotency key, under which the client may repeat the request.
pub const KEY: &str = "idempotency-key";
/// Header that marks a request as non-idempotent, so that it runs at most once.
pub const NON_IDEMPOTENT: &str = "x-non-idempotent";

/// Longest accepted timeout, in milliseconds.
pub const TIMEOUT_MS_MAX: u64 = 600_000;
/// Longest quotation of an invalid value in an error, in bytes.
const QUOTE_LEN_MAX: usize = 64;

const TIMEOUT_HELP: &str = "use a whole number of milliseconds from 1 to 600000";
const MARK_HELP: &str = "use true, or leave the header out";
const REPEATED_HELP: &str = "send the header once";
const NAME_HELP: &str = "use 1 to 128 of the characters A-Z a-z 0-9 . _ - :";
const METHOD_HELP: &str = "CONNECT and TRACE are not forwarded";
const SERVICE_HELP: &str = "the first path segment names the service";

/// Metadata of one valid request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// Service to call, taken from the first path segment.
    pub service: id::Service,
    /// Id sent by the client, or the generated one.
    pub request: id::Request,
    /// Timeout set by the client, up to [`TIMEOUT_MS_MAX`]; if absent, the service's setting applies.
    pub timeout: Option<Duration>,
    /// Idempotency key set by the client, if any.
    pub key: Option<id::Key>,
    /// Whether the client marked the request as non-idempotent.
    pub marked: bool,
    /// HTTP method; never `CONNECT` or `TRACE`.
    pub method: Method,
}

/// Invalid method, path or header.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{name}: {value:?}: {help}")]
pub struct Fault {
    /// Header name, `method` or `path`.
    pub name: &'static str,
    /// Invalid value, truncated to 64 bytes.
    pub value: SmolStr,
    /// Expected form of the value.
    pub help: &'static str,
}

/// Error with all faults of one request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Invalid {
    /// Id to return in the response: the client's if it is valid, otherwise the generated one.
    pub request: id::Request,
    /// Faults, in the order method, path, request id, timeout, key, non-idempotent mark.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, fault) in self.faults.iter().enumerate() {
            if position > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl Metadata {
    /// Parses the metadata of a request; `generated` is used as the id if the request has no valid
    /// one.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] with all faults of the request.
    pub fn parse(request: &Request, generated: id::Request) -> Result<Metadata, Invalid> {
        let mut faults = Vec::new();
        check_method(request.method(), &mut faults);
        let service = service(request, &mut faults);
        let id = header::<id::Request>(request, REQUEST_ID, NAME_HELP, &mut faults);
        let id = id.unwrap_or(generated);
        let timeout = header::<Timeout>(request, TIMEOUT, TIMEOUT_HELP, &mut faults);
        let key = header::<id::Key>(request, KEY, NAME_HELP, &mut faults);
        let marked = header::<Mark>(request, NON_IDEMPOTENT, MARK_HELP, &mut faults).is_some();
        match service {
            Some(service) if faults.is_empty() => Ok(Metadata {
                service,
                request: id,
                timeout: timeout.map(|timeout| timeout.0),
                key,
                marked,
                method: request.method(),
            }),
            _ => Err(Invalid { request: id, faults }),
        }
    }

    /// Returns `true` if the request must run at most once: if it is marked as non-idempotent or, with
    /// `method_decides`, if its method is `POST` or `PATCH`. `method_decides` is a setting of the
    /// service.
    pub fn is_non_idempotent(&self, method_decides: bool) -> bool {
        let by_method = matches!(self.method, Method::Post | Method::Patch);
        self.marked || (method_decides && by_method)
    }
}

struct Timeout(Duration);

impl FromStr for Timeout {
    type Err = ();

    fn from_str(text: &str) -> Result<Timeout, ()> {
        // The parser of the standard library also accepts a leading plus sign.
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
        let milliseconds = text.parse().ok().filter(|_| is_decimal);
        match milliseconds {
            Some(value @ 1..=TIMEOUT_MS_MAX) => Ok(Timeout(Duration::from_millis(value))),
            _ => Err(()),
        }
    }
}

struct Mark;

impl FromStr for Mark {
    type Err = ();

    fn from_str(text: &str) -> Result<Mark, ()> {
        if text.eq_ignore_ascii_case("true") { Ok(Mark) } else { Err(()) }
    }
}

fn check_method(method: Method, faults: &mut Vec<Fault>) {
    if matches!(method, Method::Connect | Method::Trace) {
        faults.push(fault("method", method.as_ref(), METHOD_HELP));
    }
}

fn service(request: &Request, faults: &mut Vec<Fault>) -> Option<id::Service> {
    let path = request.url().path();
    let segment = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let service = segment.parse().ok();
    if service.is_none() {
        faults.push(fault("path", path, SERVICE_HELP));
    }
    service
}

fn header<Value>(
    request: &Request,
    name: &'static str,
    help: &'static str,
    faults: &mut Vec<Fault>,
) -> Option<Value>
where
    Value: FromStr,
{
    let values = request.header(name)?;
    let text = values.last().as_str().trim();
    if values.iter().count() > 1 {
        faults.push(fault(name, text, REPEATED_HELP));
        return None;
    }
    match text.parse() {
        Ok(value) => Some(value),
        Err(_) => {
            faults.push(fault(name, text, help));
            None
        }
    }
}

fn fault(name: &'static str, value: &str, help: &'static str) -> Fault {
    let end = value.floor_char_boundary(QUOTE_LEN_MAX);
    Fault { name, value: SmolStr::new(&value[..end]), help }
}
