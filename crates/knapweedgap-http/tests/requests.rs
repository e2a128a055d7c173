//! Guards against requests at the limits of a connection that are served or refused wrongly.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::block_on;
use http_types::{Request, Response};
use knapweedgap_core::size;
use knapweedgap_http::budget::{self, Budget};
use knapweedgap_http::seat::Pool;
use knapweedgap_http::{Limit, json, server};

const HEAD_LEN: usize = 16_384;
const BODY_LEN: usize = 5_000;
const TIMEOUT: Duration = Duration::from_millis(300);

async fn echo(mut request: Request) -> Response {
    match json::read_body(&mut request, 1 << 20).await {
        Ok(body) => {
            let mut response = Response::new(200);
            response.set_body(format!("[{} {}]", request.url().path(), body.len()));
            response
        }
        Err(_) => Response::new(400),
    }
}

/// Returns all that a server with these limits sends. The client closes its side after `input`, unless
/// it `stays`.
fn answers(input: &[u8], stays: bool, memory: u64) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let mut peer = TcpStream::connect(listener.local_addr().expect("address")).expect("connect");
    let (stream, _) = listener.accept().expect("accept");
    let input = input.to_vec();
    let reader = std::thread::spawn(move || {
        // The server may refuse the rest of the bytes.
        let _ = peer.write_all(&input);
        if !stays {
            let _ = peer.shutdown(Shutdown::Write);
        }
        let mut text = Vec::new();
        let _ = peer.read_to_end(&mut text);
        String::from_utf8_lossy(&text).into_owned()
    });
    let limit = Limit::builder()
        .head_len(HEAD_LEN)
        .head_timeout(TIMEOUT)
        .idle_timeout(TIMEOUT)
        .body_len(BODY_LEN as u64)
        .body_timeout(TIMEOUT)
        .build();
    let limits: server::Limits = Arc::new(move || limit.clone());
    let pool = Pool::new(Budget::new(size::Bytes::new(memory), 4));
    let seat = pool.accept().expect("a place");
    let (_keep, stop) = async_channel::bounded(1);
    let socket = server::socket(stream).expect("socket");
    let _ = block_on(server::serve_seated(socket, limits, stop, seat, echo));
    assert_eq!((pool.counts().connections, pool.counts().held.get()), (0, 0));
    reader.join().expect("reader")
}

fn head_of(length: usize) -> Vec<u8> {
    let start = "GET /a HTTP/1.1\r\nhost: h\r\nx-long: ";
    let filler = "a".repeat(length - start.len() - 4);
    format!("{start}{filler}\r\n\r\n").into_bytes()
}

fn body_of(length: usize) -> Vec<u8> {
    let head = format!("POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n");
    [head.as_bytes(), &vec![b' '; length]].concat()
}

fn chunks_of(length: usize, chunk: usize) -> Vec<u8> {
    let mut input = b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for part in vec![b' '; length].chunks(chunk) {
        input.extend(format!("{:x};x=\"y\"\r\n", part.len()).as_bytes());
        input.extend(part);
        input.extend(b"\r\n");
    }
    input.extend(b"0\r\nx-trailer: z\r\n\r\n");
    input
}

const MEMORY: u64 = 1024 * 1024;

#[test]
fn a_head_at_the_limit_is_served_and_one_above_it_is_not() {
    for (length, status) in [(12_000, 200), (HEAD_LEN, 200), (HEAD_LEN + 1, 431)] {
        let text = answers(&head_of(length), false, MEMORY);
        assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{length}: {text}");
    }
}

#[test]
fn a_body_at_the_limit_is_served_and_one_above_it_is_not() {
    for (length, status) in [(BODY_LEN, 200), (BODY_LEN + 1, 413)] {
        let bodies = [body_of(length), chunks_of(length, 1), chunks_of(length, 1_000)];
        for input in bodies {
            let text = answers(&input, false, MEMORY);
            assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{length}: {text}");
        }
    }
}

#[test]
fn a_request_after_a_chunked_body_is_served() {
    let text = answers(&[chunks_of(7, 3), body_of(3)].concat(), false, MEMORY);
    assert!(text.contains("[/a 7]") && text.contains("[/a 3]"), "{text}");
}

#[test]
fn invalid_chunks_are_rejected() {
    let head = "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    for body in [
        "x\r\n",
        "\r\n",
        "1\r\nab\r\n",
        "1\nab",
        "fffffffffffffffff\r\n",
        "1\r\na\n\r",
        "1 1\r\na\r\n0\r\n\r\n",
    ] {
        let text = answers(format!("{head}{body}").as_bytes(), false, MEMORY);
        assert!(text.starts_with("HTTP/1.1 400"), "{body:?}: {text}");
    }
}

#[test]
fn a_head_or_a_body_that_takes_too_long_gets_its_status() {
    for input in [&b"GET /a HTTP/1.1\r\nhost: h\r\n"[..], &body_of(100)[..120]] {
        let text = answers(input, true, MEMORY);
        assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    }
}

#[test]
fn a_request_beyond_the_memory_is_refused_with_a_time_to_retry() {
    let text = answers(&body_of(BODY_LEN), false, 50 * 1024);
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(text.contains("retry-after: 1"), "{text}");
}

/// Guards against bytes of a body that count twice, because they arrive together with the head.
#[test]
fn bytes_that_arrive_with_the_head_count_once() {
    for input in [body_of(BODY_LEN), chunks_of(BODY_LEN, 2_500)] {
        let cost = budget::CONNECTION_COST.get() + 2 * input.len() as u64;
        let text = answers(&input, false, cost);
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    }
}

/// Guards against a head that is understood in another way than a proxy in front does, so that the bytes
/// of one request are taken for the beginning or the end of another.
#[test]
fn ambiguous_heads_are_rejected() {
    let heads = [
        "host: h\n\nGET /b HTTP/1.1\r\nhost: h",
        "host: h\r\ncontent-length: +5",
        "host: h\r\ncontent-length: 5\r\ncontent-length: 4",
        "host: h\r\ncontent-length: 5\r\ntransfer-encoding: chunked",
        "host: h\r\ntransfer-encoding: chunked\r\ntransfer-encoding: identity",
        "host: h\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked",
        "host: h\r\nx: a\r\n b",
        "host: h\r\nx: a\0b",
        "host: h\r\nhost: i",
        "host: h/b?c",
        "host:",
        "x: a",
    ];
    for head in heads {
        let input = format!("POST /a HTTP/1.1\r\n{head}\r\n\r\n0\r\n\r\n");
        let text = answers(input.as_bytes(), false, MEMORY);
        assert!(text.starts_with("HTTP/1.1 400"), "{head:?}: {text}");
    }
}
