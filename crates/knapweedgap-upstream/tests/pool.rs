//! Guards against a pool that exceeds its connection limit, reuses an unsafe connection or
//! misreports whether a failed request may have run.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use futures_lite::future::block_on;
use http_types::{Method, Request, Url};
use knapweedgap_core::size;
use knapweedgap_http::{Limit, json};
use knapweedgap_upstream::forward::Envelope;
use knapweedgap_upstream::pool::Exchange;
use knapweedgap_upstream::{Error, Pool};

/// Starts a server that sends `response` to each of the first `per_connection` requests of a
/// connection and then closes it. The channel receives the position of the connection and the head
/// of each request.
fn upstream(
    response: &'static [u8],
    per_connection: usize,
) -> (SocketAddr, Receiver<(usize, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let (heads, received) = channel();
    std::thread::spawn(move || {
        for (position, stream) in listener.incoming().enumerate() {
            let heads = heads.clone();
            let mut stream = stream.expect("accept");
            std::thread::spawn(move || {
                for _ in 0..per_connection {
                    let mut buffer = [0; 4096];
                    let Ok(count @ 1..) = stream.read(&mut buffer) else { return };
                    let head = String::from_utf8_lossy(&buffer[..count]).into_owned();
                    let _ = heads.send((position, head));
                    let _ = stream.write_all(response);
                }
            });
        }
    });
    (address, received)
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x-hop\r\nx-hop: 1\r\n\
    endpoint-load-metrics: TEXT named_metrics.slots_in_use=5\r\n\r\nok";
const REFUSAL: &[u8] = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-not-started: true\r\n\r\n";
const SECOND: Duration = Duration::from_secs(1);

fn pool(address: SocketAddr, max: u32) -> Pool {
    Pool::new(address, size::Connection::new(max), Limit::default())
}

fn envelope(non_idempotent: bool) -> Envelope {
    let request = "r1".parse().expect("id");
    Envelope { request, time_left: 2 * SECOND, non_idempotent }
}

fn request() -> Request {
    let url = Url::parse("http://portal.example/a/b?c=d").expect("url");
    let mut request = Request::new(Method::Get, url);
    request.insert_header("connection", "keep-alive, x-private");
    request.insert_header("x-private", "1");
    request.insert_header("te", "trailers");
    request.insert_header("x-kept", "1");
    request
}

async fn read(pool: &Pool, exchange: Exchange) -> Vec<u8> {
    let mut response = exchange.response;
    let body = json::read_body(&mut response, 1024).await.expect("body");
    drop(response);
    pool.recycle(exchange.connection).await;
    body
}

async fn forward_and_read(pool: &Pool, non_idempotent: bool) -> Result<Vec<u8>, Error> {
    let exchange = pool.forward(request(), &envelope(non_idempotent)).await?;
    Ok(read(pool, exchange).await)
}

#[test]
fn hop_by_hop_headers_do_not_cross_the_proxy() {
    let (address, heads) = upstream(OK, 1);
    let pool = pool(address, 1);
    let exchange = block_on(pool.forward(request(), &envelope(false))).expect("response");
    assert!(exchange.response.header("x-hop").is_none());
    assert_eq!(exchange.slots_in_use, Some(size::Slot::new(5)));
    let (_, head) = heads.recv_timeout(SECOND).expect("head");
    let head = head.to_ascii_lowercase();
    assert!(head.starts_with("get /a/b?c=d http/1.1\r\n"), "{head}");
    for absent in ["x-private", "\r\nte:", "keep-alive"] {
        assert!(!head.contains(absent), "{head}");
    }
    for present in ["x-kept: 1", "x-request-id: r1", "x-request-timeout-ms: 2000"] {
        assert!(head.contains(present), "{head}");
    }
}

#[test]
fn the_connection_limit_is_not_exceeded() {
    let (address, _heads) = upstream(OK, 9);
    let pool = pool(address, 1);
    let first = block_on(pool.forward(request(), &envelope(false))).expect("response");
    let second = block_on(pool.forward(request(), &envelope(false)));
    assert!(matches!(second, Err(Error::Full(_))), "{second:?}");
    assert_eq!(block_on(read(&pool, first)), b"ok");
    assert!(block_on(forward_and_read(&pool, false)).is_ok());
    assert_eq!(pool.open(), size::Connection::new(1));
}

#[test]
fn a_dropped_response_frees_its_connection() {
    let (address, _heads) = upstream(OK, 9);
    let pool = pool(address, 1);
    let exchange = block_on(pool.forward(request(), &envelope(false))).expect("response");
    drop(exchange.response);
    block_on(pool.recycle(exchange.connection));
    assert_eq!(pool.open(), size::Connection::new(0));
}

#[test]
fn a_connection_closed_by_the_upstream_is_not_reused() {
    let (address, _heads) = upstream(OK, 1);
    let pool = pool(address, 1);
    for _ in 0..3 {
        assert_eq!(block_on(forward_and_read(&pool, false)).expect("response"), b"ok");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_non_idempotent_request_does_not_use_an_old_idle_connection() {
    let (address, heads) = upstream(OK, 9);
    let pool = pool(address, 1);
    block_on(forward_and_read(&pool, false)).expect("response");
    std::thread::sleep(SECOND + Duration::from_millis(50));
    for _ in 0..2 {
        block_on(forward_and_read(&pool, true)).expect("response");
    }
    let connections: Vec<_> = heads.try_iter().map(|(position, _)| position).collect();
    assert_eq!(connections, [0, 1, 1], "the old connection is replaced, the fresh one reused");
    assert_eq!(pool.open(), size::Connection::new(1));
}

#[test]
fn a_refusal_before_start_is_not_reported_as_unknown() {
    let (address, _heads) = upstream(REFUSAL, 9);
    let error = block_on(forward_and_read(&pool(address, 1), true)).expect_err("refused");
    assert!(matches!(error, Error::Refused { .. }), "{error:?}");
    assert!(error.is_not_run());
}

#[test]
fn a_503_without_the_refusal_header_is_a_response() {
    let (address, _heads) = upstream(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n", 9);
    let exchange = block_on(pool(address, 1).forward(request(), &envelope(true)));
    assert_eq!(u16::from(exchange.expect("response").response.status()), 503);
}

#[test]
fn a_connection_that_closes_after_the_request_has_an_unknown_outcome() {
    let (address, _heads) = upstream(b"", 1);
    let error = block_on(forward_and_read(&pool(address, 1), true)).expect_err("closed");
    assert!(!error.is_not_run(), "{error:?}");
}

#[test]
fn a_refused_connection_is_not_run_and_frees_its_permit() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let pool = pool(address, 1);
    let error = block_on(forward_and_read(&pool, true)).expect_err("refused");
    assert!(matches!(error, Error::NotSent(_)), "{error:?}");
    assert_eq!(pool.open(), size::Connection::new(0));
}
