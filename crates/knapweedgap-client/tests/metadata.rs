//! Tests of parsing the metadata of a request and of the error responses.

use http_types::{Method, Request, Url};
use knapweedgap_client::answer::{Answer, Code, Outcome};
use knapweedgap_client::metadata::Metadata;
use knapweedgap_core::id;
use proptest::prelude::*;

fn request(method: Method, path: &str, headers: &[(&str, &str)]) -> Request {
    let url = Url::parse(&format!("http://127.0.0.1{path}")).expect("url");
    let mut request = Request::new(method, url);
    for (name, value) in headers {
        request.append_header(*name, *value);
    }
    request
}

fn generated() -> id::Request {
    "generated".parse().expect("id")
}

/// Guards against an error that reports only the first fault of a request.
#[test]
fn all_faults_of_a_request_are_reported_together() {
    let headers = [
        ("x-request-id", "a b"),
        ("x-request-timeout-ms", "+5"),
        ("idempotency-key", ""),
        ("x-non-idempotent", "maybe"),
    ];
    let invalid = Metadata::parse(&request(Method::Get, "/", &headers), generated());
    let invalid = invalid.expect_err("all are invalid");
    let names: Vec<_> = invalid.faults.iter().map(|fault| fault.name).collect();
    let expected =
        ["path", "x-request-id", "x-request-timeout-ms", "idempotency-key", "x-non-idempotent"];
    assert_eq!(names, expected);
    assert_eq!(invalid.request, generated());
}

/// Guards against an error response that the client cannot match to its request.
#[test]
fn an_error_response_has_the_id_sent_by_the_client() {
    let headers = [("x-request-id", "r1"), ("x-request-timeout-ms", "0")];
    let invalid = Metadata::parse(&request(Method::Get, "/a", &headers), generated());
    let answer = Answer::from(invalid.expect_err("the timeout is zero"));
    assert_eq!(answer.outcome, Outcome::NotRun);
    let response = answer.response();
    assert_eq!(u16::from(response.status()), 400);
    assert_eq!(response.header("x-request-id").expect("id").as_str(), "r1");
    assert_eq!(response.header("x-outcome").expect("outcome").as_str(), "not_run");
}

/// Guards against a request with two idempotency keys of which one is silently ignored.
#[test]
fn repeated_idempotency_keys_are_rejected() {
    let headers = [("idempotency-key", "a"), ("idempotency-key", "b")];
    let invalid = Metadata::parse(&request(Method::Post, "/a", &headers), generated());
    assert_eq!(invalid.expect_err("two keys").faults.len(), 1);
}

/// Guards against a repeated non-idempotent request because the service's setting overrides the mark.
#[test]
fn a_marked_request_is_non_idempotent_regardless_of_the_setting() {
    let marked = request(Method::Get, "/a/b", &[("x-non-idempotent", "true")]);
    let marked = Metadata::parse(&marked, generated()).expect("valid");
    assert!(marked.is_non_idempotent(false));
    let post = Metadata::parse(&request(Method::Post, "/a", &[]), generated()).expect("valid");
    assert!(post.is_non_idempotent(true));
    assert!(!post.is_non_idempotent(false));
    assert_eq!(marked.service, "a".parse().expect("service"));
}

/// Guards against changed JSON names in an error response, which would break clients.
#[test]
fn the_body_contains_code_outcome_id_and_help() {
    let request = generated();
    let (code, outcome) = (Code::DeadlinePassed, Outcome::Unknown);
    let answer = Answer { code, outcome, request, help: "ask later".to_owned() };
    let json = serde_json::to_value(&answer).expect("JSON");
    let expected = serde_json::json!({
        "code": "deadline_passed", "outcome": "unknown",
        "request_id": "generated", "help": "ask later",
    });
    assert_eq!(json, expected);
    assert_eq!(answer.outcome.to_string().parse::<Outcome>().ok(), Some(outcome));
}

proptest! {
    /// Guards against a panic on untrusted header values, and against an error without faults.
    #[test]
    fn arbitrary_header_values_do_not_panic(values in proptest::collection::vec("[ -~]{0,200}", 4)) {
        let names = ["x-request-id", "x-request-timeout-ms", "idempotency-key", "x-non-idempotent"];
        let headers: Vec<_> =
            names.iter().zip(&values).map(|(name, value)| (*name, value.as_str())).collect();
        let parsed = Metadata::parse(&request(Method::Get, "/s", &headers), generated());
        if let Err(invalid) = parsed {
            prop_assert!(!invalid.faults.is_empty());
        }
    }
}
