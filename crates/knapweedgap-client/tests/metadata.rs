//! Guards what a client is told about its request and how its headers are read.

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

#[test]
fn invalid_headers_are_not_reported_one_at_a_time() {
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

#[test]
fn an_invalid_request_keeps_the_id_that_the_client_knows() {
    let headers = [("x-request-id", "r1"), ("x-request-timeout-ms", "0")];
    let invalid = Metadata::parse(&request(Method::Get, "/a", &headers), generated());
    let answer = Answer::from(invalid.expect_err("the timeout is zero"));
    assert_eq!(answer.outcome, Outcome::NotRun);
    let response = answer.response();
    assert_eq!(u16::from(response.status()), 400);
    assert_eq!(response.header("x-request-id").expect("id").as_str(), "r1");
    assert_eq!(response.header("x-outcome").expect("outcome").as_str(), "not_run");
}

#[test]
fn two_different_keys_are_not_silently_reduced_to_one() {
    let headers = [("idempotency-key", "a"), ("idempotency-key", "b")];
    let invalid = Metadata::parse(&request(Method::Post, "/a", &headers), generated());
    assert_eq!(invalid.expect_err("two keys").faults.len(), 1);
}

#[test]
fn a_marked_request_is_non_idempotent_whatever_the_setting_says() {
    let marked = request(Method::Get, "/a/b", &[("x-non-idempotent", "true")]);
    let marked = Metadata::parse(&marked, generated()).expect("valid");
    assert!(marked.is_non_idempotent(false));
    let post = Metadata::parse(&request(Method::Post, "/a", &[]), generated()).expect("valid");
    assert!(post.is_non_idempotent(true));
    assert!(!post.is_non_idempotent(false));
    assert_eq!(marked.service, "a".parse().expect("service"));
}

#[test]
fn the_body_names_code_outcome_id_and_help() {
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
