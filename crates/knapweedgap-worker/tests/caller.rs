//! Guards what a failed call says about the worker.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use futures_lite::future::block_on;
use knapweedgap_core::{id, revision};
use knapweedgap_worker::caller::{Caller, Error, read};
use knapweedgap_worker::wire;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// Answers one request with a status and a body; without a body it closes the connection.
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
        // The answer must be read before the connection is reset.
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
fn a_refusal_is_not_taken_for_a_failure() {
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
fn a_refusal_under_another_status_is_not_believed() {
    let body = r#"{"reason":"stale_epoch","epoch":9,"incarnation":3}"#;
    let error = call(worker(503, Some(body))).expect_err("invalid");
    assert!(matches!(error, Error::Status { status: 503, .. }), "{error:?}");
    assert!(!error.is_without_effect());
}

#[test]
fn an_invalid_answer_names_its_place() {
    let error = call(worker(200, Some("{\n\"incarnation\":}"))).expect_err("invalid");
    assert!(error.to_string().contains("/v1/stop"), "{error}");
    assert!(error.to_string().contains("line 2"), "{error}");
}

#[test]
fn a_connection_closed_after_the_request_is_unknown() {
    let error = call(worker(200, None)).expect_err("closed");
    assert!(matches!(error, Error::Unknown(_)), "{error:?}");
}

#[test]
fn a_refused_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let error = call(address).expect_err("refused");
    assert!(matches!(error, Error::NotSent(_)), "{error:?}");
}

proptest! {
    #[test]
    fn arbitrary_answers_do_not_panic(status in 100_u16..600, body in any::<Vec<u8>>()) {
        let answer = read::<wire::Report>("/v1/heartbeat", status, &body);
        prop_assert!(answer.is_err());
    }
}
