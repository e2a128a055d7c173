//! Guards against a failed call that misreports whether the worker may have acted.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use futures_lite::future::block_on;
use knapweedgap_core::{id, revision};
use knapweedgap_worker::caller::{Caller, Error, decode};
use knapweedgap_worker::wire;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// Starts a server that responds to one request with `status` and `body`. Without a body it closes
/// the connection.
fn worker(status: u16, body: Option<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer);
        let Some(body) = body else { return };
        let length = body.len();
        let _ = write!(stream, "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
        // Waits until the caller closes the connection, because a reset could discard the response.
        let _ = stream.read(&mut buffer);
    });
    address
}

fn stop() -> wire::Stop {
    let task = "0000000000000001.0".parse().expect("task");
    let head = wire::Head {
        partition: id::Partition::new(1),
        epoch: revision::Epoch::new(2),
        incarnation: id::Incarnation::new(3),
        task,
        attempt: id::Attempt::new(1),
    };
    wire::Stop { head, checkpoint: true }
}

fn call(address: SocketAddr) -> Result<wire::Accepted, Error> {
    block_on(Caller::new(address, SECOND).stop(&stop()))
}

#[test]
fn a_refusal_is_distinguished_from_a_failure() {
    let body = r#"{"reason":"stale_epoch","epoch":9,"incarnation":3}"#;
    let error = call(worker(409, Some(body))).expect_err("refused");
    assert!(error.is_without_effect());
    let Error::Refused(refusal) = error else { panic!("{error:?}") };
    assert_eq!(refusal.reason, wire::Reason::StaleEpoch);
    assert_eq!(refusal.epoch, revision::Epoch::new(9));
    let body = r#"{"reason":"other_incarnation","epoch":2,"incarnation":4}"#;
    let error = call(worker(410, Some(body))).expect_err("refused");
    assert!(matches!(error, Error::Refused(refusal) if refusal.incarnation.get() == 4));
}

#[test]
fn a_refusal_with_another_status_is_not_trusted() {
    let body = r#"{"reason":"stale_epoch","epoch":9,"incarnation":3}"#;
    let error = call(worker(503, Some(body))).expect_err("invalid");
    assert!(matches!(error, Error::Status { status: 503, .. }), "{error:?}");
    assert!(!error.is_without_effect());
}

#[test]
fn an_invalid_response_is_reported_with_its_place() {
    let error = call(worker(200, Some("{\n\"incarnation\":}"))).expect_err("invalid");
    assert!(error.to_string().contains("/v1/stop"), "{error}");
    assert!(error.to_string().contains("line 2"), "{error}");
}

#[test]
fn a_connection_closed_after_the_request_has_an_unknown_outcome() {
    let error = call(worker(200, None)).expect_err("closed");
    assert!(matches!(error, Error::Unknown(_)), "{error:?}");
}

#[test]
fn a_refused_connection_means_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let error = call(address).expect_err("refused");
    assert!(matches!(error, Error::NotSent(_)), "{error:?}");
}

proptest! {
    #[test]
    fn arbitrary_responses_do_not_panic(status in 100_u16..600, body in any::<Vec<u8>>()) {
        let response = decode::<wire::Report>("/v1/heartbeat", status, &body);
        prop_assert!(response.is_err());
    }
}
