//! Guards against faults that the HTTP library alone would let pass: truncated bodies, oversized
//! heads, lost pipelined requests and connections that are not reused.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future::block_on;
use http_types::{Method, Request, Response, Url};
use knapweedgap_http::{Error, Limit, client, json, server};

const SECOND: Duration = Duration::from_secs(1);

/// Starts a server that sends fixed bytes on one connection and closes it.
fn raw_peer(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer);
        let _ = stream.write_all(response);
    });
    address
}

async fn get(address: SocketAddr) -> Result<Vec<u8>, Error> {
    let connection = client::connect(address, SECOND, Limit::default()).await?;
    let url = Url::parse(&format!("http://{address}/x")).expect("url");
    let sent = connection.send(Request::new(Method::Get, url), SECOND).await;
    let (mut response, _busy) = sent.map_err(|failure| failure.error)?;
    json::read_body(&mut response, 1 << 20).await
}

/// Sends `input` to an endpoint that echoes path and body, and returns all that it sends back.
fn responses(input: &[u8]) -> String {
    let (_keep, stop) = async_channel::bounded(1);
    responses_of(input, stop, echo)
}

/// Sends `input` on one connection to `endpoint`, and returns all that the server sends back.
fn responses_of<Endpoint, Reply>(input: &[u8], stop: server::Stop, endpoint: Endpoint) -> String
where
    Endpoint: Fn(Request) -> Reply,
    Reply: Future<Output = Response>,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let mut peer = TcpStream::connect(listener.local_addr().expect("address")).expect("connect");
    let (stream, _) = listener.accept().expect("accept");
    let input = input.to_vec();
    let reader = std::thread::spawn(move || {
        peer.write_all(&input).expect("write");
        peer.shutdown(std::net::Shutdown::Write).expect("shutdown");
        let mut text = Vec::new();
        let _ = peer.read_to_end(&mut text);
        String::from_utf8_lossy(&text).into_owned()
    });
    let limit =
        Limit::builder().head_timeout(SECOND).idle_timeout(SECOND).progress_timeout(SECOND).build();
    let socket = server::socket(stream).expect("socket");
    let _ = block_on(server::serve(socket, limit, stop, endpoint));
    reader.join().expect("reader")
}

async fn echo(mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    match json::read_body(&mut request, 1 << 20).await {
        Ok(body) => {
            let mut response = Response::new(200);
            response.set_body(format!("[{path} {}]", String::from_utf8_lossy(&body)));
            response
        }
        Err(_) => Response::new(400),
    }
}

#[test]
fn a_body_shorter_than_its_length_is_an_error() {
    let address = raw_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
    let error = block_on(get(address)).expect_err("the body is truncated");
    assert!(matches!(error, Error::Io(_)), "{error}");
}

#[test]
fn a_truncated_chunked_body_is_an_error() {
    let address = raw_peer(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel");
    assert!(block_on(get(address)).is_err());
}

#[test]
fn a_body_without_length_ends_when_the_connection_closes() {
    let address = raw_peer(b"HTTP/1.1 200 OK\r\n\r\nwhole answer");
    assert_eq!(block_on(get(address)).expect("body"), b"whole answer");
}

#[test]
fn an_interim_response_is_skipped() {
    let address =
        raw_peer(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    assert_eq!(block_on(get(address)).expect("body"), b"ok");
}

#[test]
fn pipelined_requests_get_their_responses_in_order() {
    let text = responses(
        b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\noneGET /b HTTP/1.1\r\nhost: h\r\n\r\n",
    );
    let first = text.find("[/a one]").expect("first response");
    let second = text.find("[/b ]").expect("second response");
    assert!(first < second);
}

/// Guards against a connection that ends by a panic in the library: it takes no header value outside
/// ASCII.
#[test]
fn a_request_head_with_bytes_outside_ascii_is_rejected() {
    let heads: [&[u8]; 6] = [
        b"GET /a HTTP/1.1\r\nhost: h\xc3\xa9\r\n\r\n",
        b"GET /a HTTP/1.1\r\nhost: \xff\r\n\r\n",
        b"GET /\xc3\xa9 HTTP/1.1\r\nhost: h\r\n\r\n",
        b"GET /a HTTP/1.1\r\nhost: h\r\nx-name: \xc3\xa9\r\n\r\n",
        b"GET /a HTTP/1.1\r\nhost: h\r\nx-\xc3\xa9: a\r\n\r\n",
        b"G\xc3\xa9T /a HTTP/1.1\r\nhost: h\r\n\r\n",
    ];
    for head in heads {
        let text = responses(head);
        assert!(text.starts_with("HTTP/1.1 400"), "{}: {text:?}", String::from_utf8_lossy(head));
    }
}

/// Guards against the same panic in a client, which would end the thread that called a peer.
#[test]
fn a_response_head_with_bytes_outside_ascii_is_an_error() {
    let address = raw_peer(b"HTTP/1.1 200 OK\r\nx-name: \xc3\xa9\r\ncontent-length: 2\r\n\r\nok");
    let error = block_on(get(address)).expect_err("the head is malformed");
    assert!(matches!(error, Error::Malformed(_)), "{error}");
}

#[test]
fn a_truncated_request_body_reaches_the_endpoint_as_an_error() {
    let text = responses(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 30\r\n\r\nshort");
    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
}

#[test]
fn a_head_above_the_limit_is_rejected_with_its_own_code() {
    let mut input = b"GET / HTTP/1.1\r\nhost: h\r\nx-long: ".to_vec();
    input.extend(std::iter::repeat_n(b'a', 9_000));
    input.extend(b"\r\n\r\n");
    let text = responses(&input);
    assert!(text.starts_with("HTTP/1.1 431"), "{text}");
    assert!(text.contains("head_too_long"), "{text}");
}

#[test]
fn conflicting_lengths_are_rejected() {
    let text = responses(
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc",
    );
    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
}

#[test]
fn the_connection_responds_to_an_expect_header() {
    let text = responses(
        b"POST /a HTTP/1.1\r\nhost: h\r\nExpect: 100-continue\r\ncontent-length: 2\r\n\r\nok",
    );
    assert!(text.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"), "{text}");
}

#[test]
fn a_connection_is_reused_for_the_next_call() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("bind");
    let address = listener.get_ref().local_addr().expect("address");
    let executor = LocalExecutor::new();
    let accepted = Rc::new(RefCell::new(0));
    let counter = accepted.clone();
    let (_keep, stop) = async_channel::bounded::<()>(1);
    executor
        .spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accept");
                *counter.borrow_mut() += 1;
                let socket = std::sync::Arc::new(stream);
                let _ = server::serve(socket, Limit::default(), stop.clone(), echo).await;
            }
        })
        .detach();
    let caller = json::Caller::new(address, SECOND);
    block_on(executor.run(async {
        for _ in 0..5 {
            let response = caller.call(Method::Post, "/x", Some(b"{}".to_vec())).await;
            assert_eq!(response.expect("response").body, b"[/x {}]");
        }
    }));
    assert_eq!(*accepted.borrow(), 1);
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config::with_cases(64))]

    #[test]
    fn arbitrary_requests_do_not_panic(input in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..600)) {
        responses(&input);
    }
}

#[test]
fn an_endpoint_can_close_the_connection_with_its_response() {
    let (_keep, stop) = async_channel::bounded(1);
    let close = |_| async {
        let mut response = Response::new(200);
        response.insert_header("connection", "close");
        response
    };
    let text = responses_of(
        b"GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n",
        stop,
        close,
    );
    assert_eq!(text.matches("HTTP/1.1 200").count(), 1, "{text}");
    assert!(text.contains("connection: close"), "{text}");
}
