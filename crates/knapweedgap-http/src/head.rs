//! Inspection of a raw message head before it is decoded, and the decoding of request heads.

use http_types::{Method, Request, Url, Version};

use crate::error::Error;

/// Largest number of headers in a request.
const HEADERS_MAX: usize = 256;

/// Returns the length of the head including its empty line, or `None` if `bytes` does not contain a
/// complete head.
///
/// `searched` is the number of leading bytes in which no end of a head was found before.
pub(crate) fn find_end(bytes: &[u8], searched: usize) -> Option<usize> {
    const END: &[u8] = b"\r\n\r\n";
    let start = searched.saturating_sub(END.len() - 1);
    let rest = bytes.get(start..)?;
    let position = rest.windows(END.len()).position(|window| window == END)?;
    Some(start + position + END.len())
}

/// Masks an `Expect` header in place and returns `true` if one was found.
///
/// The library would respond to it from its own thread pool. The connection loop responds instead,
/// so the header is hidden from the library.
pub(crate) fn mask_expect(head: &mut [u8]) -> bool {
    const NAME: &[u8] = b"\r\nexpect:";
    let matches = |window: &[u8]| window.eq_ignore_ascii_case(NAME);
    let Some(start) = head.windows(NAME.len()).position(matches) else { return false };
    // Changing the first letter of the name keeps the length of the header but not its meaning.
    head[start + 2] = b'x';
    true
}

/// Decodes the head of a request.
///
/// The decoder of the library rejects heads of 8,192 bytes and more.
pub(crate) fn decode(head: &[u8]) -> Result<Request, Error> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(length)) if length == head.len() => {}
        // The parser also accepts lines that end without a carriage return. The bytes after an empty
        // line of that kind belong to the body or to another request.
        Ok(httparse::Status::Complete(_)) => {
            return Err(malformed("an empty line within the head"));
        }
        Ok(httparse::Status::Partial) => return Err(malformed("incomplete")),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLong(head.len())),
        Err(error) => return Err(malformed(error)),
    }
    if parsed.version != Some(1) {
        return Err(malformed("unsupported version"));
    }
    let method: Method = parsed.method.unwrap_or_default().parse().map_err(malformed)?;
    let url = url(method, &parsed)?;
    let mut request = Request::new(method, url);
    request.set_version(Some(Version::Http1_1));
    for header in parsed.headers.iter() {
        request.append_header(header.name, std::str::from_utf8(header.value).map_err(malformed)?);
    }
    if request.header("content-length").is_some() && request.header("transfer-encoding").is_some() {
        return Err(malformed("content-length beside transfer-encoding"));
    }
    Ok(request)
}

fn url(method: Method, parsed: &httparse::Request<'_, '_>) -> Result<Url, Error> {
    let path = parsed.path.unwrap_or_default();
    let is_host = |header: &&httparse::Header<'_>| header.name.eq_ignore_ascii_case("host");
    let mut hosts = parsed.headers.iter().filter(is_host);
    let host = hosts.next().ok_or_else(|| malformed("no host header"))?.value;
    if hosts.next().is_some() {
        return Err(malformed("several host headers"));
    }
    let host = std::str::from_utf8(host).map_err(malformed)?;
    // With an empty host, or one of these bytes in it, the path would not be that of the target.
    if host.is_empty() || host.contains(['/', '\\', '?', '#', '@']) {
        return Err(malformed("invalid host header"));
    }
    let text = if path.starts_with("http://") || path.starts_with("https://") {
        path.to_owned()
    } else if path.starts_with('/') {
        format!("http://{host}{path}")
    } else if method == Method::Connect {
        format!("http://{path}/")
    } else {
        return Err(malformed("the target is no path"));
    };
    Url::parse(&text).map_err(malformed)
}

fn malformed<Reason>(reason: Reason) -> Error
where
    Reason: std::fmt::Display,
{
    Error::Malformed(reason.to_string())
}
