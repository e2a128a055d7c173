//! Bodies that take longer than the timeout of the call: on a slow link a page of the store's log
//! never arrived in time, and a new owner repeated the read for ever (trouble-1 of anbo-grid-large,
//! small).

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use async_io::block_on;
use http_types::Method;
use knapweedgap_http::json::{Call, Caller};

/// Timeout of the calls.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Pause of the server between two parts of the body.
const PAUSE: Duration = Duration::from_millis(100);
const PARTS: usize = 10;
const PART: &[u8] = b"0123456789";

/// Serves one request and writes `parts` of [`PARTS`] parts of the body.
fn serve(parts: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request);
        let length = PARTS * PART.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("sent");
        for _ in 0..parts {
            std::thread::sleep(PAUSE);
            let _ = stream.write_all(PART);
        }
        // The connection stays open, so only a timeout ends the call.
        std::thread::sleep(4 * TIMEOUT);
    });
    address
}

fn call(address: SocketAddr, pause: Option<Duration>) -> Option<usize> {
    let caller = Caller::new(address, TIMEOUT);
    let call = Call::new(Method::Get, "/page");
    let call = match pause {
        Some(pause) => call.pause_timeout(pause),
        None => call,
    };
    block_on(caller.send(call)).ok().map(|answer| answer.body.len())
}

#[test]
fn slow_body_arrives_while_bytes_flow() {
    assert_eq!(call(serve(PARTS), Some(TIMEOUT)), Some(PARTS * PART.len()));
}

#[test]
fn slow_body_exceeds_the_timeout_of_an_ordinary_call() {
    assert_eq!(call(serve(PARTS), None), None);
}

/// Guards against a call that never ends because its connection went silent.
#[test]
fn silent_body_ends_the_call() {
    assert_eq!(call(serve(2), Some(TIMEOUT)), None);
}
