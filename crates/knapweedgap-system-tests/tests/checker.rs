//! Tests of the request checker with synthetic records. They guard against a checker that accepts
//! records with violations.

use std::path::PathBuf;

use knapweedgap_standin::payload::{Digest, Pattern};
use knapweedgap_system_tests::checker::requests::{Finding, Kind, Records};
use serde_json::{Value, json};

const ENTRY: &str = "127.0.0.1:7000";

/// Lines of synthetic records.
struct Synthetic {
    requests: Vec<Value>,
    events: Vec<Value>,
    departures: Vec<Value>,
}

impl Synthetic {
    /// Creates the records of one request with a complete response.
    fn new() -> Synthetic {
        let requests = vec![request("a", None, "whole", json!([attempt(None)]))];
        let events = vec![event("begin", "a", None, 1_000), event("end", "a", None, 2_000)];
        Synthetic { requests, events, departures: Vec::new() }
    }

    fn records(&self) -> Records {
        let directory = std::env::temp_dir().join(format!("forged-{:016x}", fastrand::u64(..)));
        std::fs::create_dir_all(&directory).expect("a directory");
        let write = |name: &str, lines: &[Value]| -> PathBuf {
            let path = directory.join(name);
            let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
            std::fs::write(&path, text).expect("a record");
            path
        };
        let loads = [write("load.jsonl", &self.requests)];
        let runners = [write("runner.jsonl", &self.events)];
        let leaving = write("leaving.jsonl", &self.departures);
        let records = Records::read(&loads, &runners, &leaving);
        let _ = std::fs::remove_dir_all(&directory);
        records
    }

    fn check(&self) -> Vec<Finding> {
        self.records().check()
    }
}

fn attempt(error: Option<&str>) -> Value {
    json!({ "entry": ENTRY, "begin_us": 0, "end_us": 9, "sent": true, "error": error })
}

fn request(id: &str, key: Option<&str>, outcome: &str, attempts: Value) -> Value {
    let body_digest = Pattern::new(id, 64).digest();
    let path = "/dispatch/load/1";
    let echo =
        json!({ "request_id": id, "path": path, "body_len": 64, "body_digest": body_digest });
    let echo = echo.to_string();
    json!({
        "request_id": id, "key": key, "path": path, "body_len": 64, "body_digest": body_digest,
        "attempts": attempts, "told": outcome, "answer_len": echo.len(),
        "answer_digest": Digest::of(echo.as_bytes()), "fault": null,
    })
}

fn event(kind: &str, id: &str, key: Option<&str>, wall_us: u64) -> Value {
    json!({ "event": kind, "wall_us": wall_us, "runner": "runner-0", "request_id": id, "key": key })
}

fn kinds(findings: &[Finding]) -> Vec<Kind> {
    findings.iter().map(|finding| finding.kind).collect()
}

#[test]
fn a_correct_record_has_no_findings() {
    assert_eq!(Synthetic::new().check(), []);
}

#[test]
fn a_response_with_a_wrong_digest_is_found() {
    let mut synthetic = Synthetic::new();
    synthetic.requests[0]["answer_digest"] = json!(Digest::of(b"answer to another request"));
    assert_eq!(kinds(&synthetic.check()), [Kind::Answer]);
}

#[test]
fn a_truncated_response_is_found() {
    let mut synthetic = Synthetic::new();
    synthetic.requests[0]["answer_len"] = json!(3);
    assert_eq!(kinds(&synthetic.check()), [Kind::Answer]);
}

#[test]
fn a_complete_response_without_a_runner_is_found() {
    let mut synthetic = Synthetic::new();
    synthetic.events.clear();
    assert_eq!(kinds(&synthetic.check()), [Kind::Answer]);
}

#[test]
fn a_false_not_run_is_found_by_request_id_and_by_key() {
    let mut synthetic = Synthetic::new();
    synthetic.requests.push(request("b", None, "not_run", json!([attempt(None)])));
    synthetic.events.push(event("begin", "b", None, 5));
    synthetic.requests.push(request("c", Some("k"), "not_run", json!([attempt(None)])));
    synthetic.events.push(event("begin", "other", Some("k"), 5));
    assert_eq!(kinds(&synthetic.check()), [Kind::NotRun, Kind::NotRun]);
}

#[test]
fn a_key_processed_by_two_runners_is_found() {
    let mut synthetic = Synthetic::new();
    synthetic.events.push(event("begin", "b", Some("k"), 5));
    let mut second = event("begin", "b", Some("k"), 6);
    second["runner"] = json!("runner-1");
    synthetic.events.push(second);
    assert_eq!(kinds(&synthetic.check()), [Kind::Repeated]);
}

#[test]
fn work_at_a_leaving_upstream_is_found_after_3_s() {
    let mut synthetic = Synthetic::new();
    synthetic.departures.push(json!({ "vm": "runner-0", "shown_us": 10_000 }));
    synthetic.events.push(event("begin", "b", None, 3_010_000));
    assert_eq!(synthetic.check(), []);
    synthetic.events.push(event("begin", "c", None, 3_010_001));
    assert_eq!(kinds(&synthetic.check()), [Kind::Leaving]);
}

#[test]
fn a_request_cut_off_in_flight_is_found() {
    let mut synthetic = Synthetic::new();
    let attempts = json!([attempt(Some("connection reset")), attempt(None)]);
    synthetic.requests[0]["attempts"] = attempts;
    let entry = ENTRY.parse().expect("an address");
    assert_eq!(kinds(&synthetic.records().check_cut_off(&[entry])), [Kind::CutOff]);
    assert_eq!(synthetic.records().check_cut_off(&[]), []);
}

#[test]
fn a_failed_request_is_found_unless_it_may_have_run() {
    let mut synthetic = Synthetic::new();
    synthetic.requests.push(request("b", None, "no_answer", json!([attempt(Some("reset"))])));
    synthetic.requests.push(request("c", Some("k"), "unknown", json!([attempt(None)])));
    let lost = json!([attempt(Some("reset")), attempt(None)]);
    synthetic.requests.push(request("d", Some("l"), "unknown", lost));
    assert_eq!(kinds(&synthetic.records().check_failed()), [Kind::Failed, Kind::Failed]);
}

#[test]
fn an_invalid_line_is_found() {
    let mut synthetic = Synthetic::new();
    synthetic.events.push(json!({ "event": "begin" }));
    assert_eq!(kinds(&synthetic.check()), [Kind::Record]);
}
