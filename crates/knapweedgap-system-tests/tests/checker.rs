//! The checker of requests finds each fault in a forged record. Guards against a checker that
//! passes everything.

use std::path::PathBuf;

use knapweedgap_standin::payload::{Digest, Pattern};
use knapweedgap_system_tests::checker::requests::{Finding, Point, Records};
use serde_json::{Value, json};

const ENTRY: &str = "127.0.0.1:7000";

struct Forged {
    told: Vec<Value>,
    acts: Vec<Value>,
    leaving: Vec<Value>,
}

impl Forged {
    /// Starts from one request that was answered whole.
    fn new() -> Forged {
        let told = vec![told("a", None, "whole", json!([attempt(None)]))];
        let acts = vec![act("begin", "a", None, 1_000), act("end", "a", None, 2_000)];
        Forged { told, acts, leaving: Vec::new() }
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
        let loads = [write("load.jsonl", &self.told)];
        let runners = [write("runner.jsonl", &self.acts)];
        let leaving = write("leaving.jsonl", &self.leaving);
        let records = Records::read(&loads, &runners, &leaving);
        let _ = std::fs::remove_dir_all(&directory);
        records
    }

    fn judge(&self) -> Vec<Finding> {
        self.records().judge()
    }
}

fn attempt(error: Option<&str>) -> Value {
    json!({ "entry": ENTRY, "begin_us": 0, "end_us": 9, "sent": true, "error": error })
}

fn told(id: &str, key: Option<&str>, told: &str, attempts: Value) -> Value {
    let body_digest = Pattern::new(id, 64).digest();
    let path = "/dispatch/load/1";
    let echo =
        json!({ "request_id": id, "path": path, "body_len": 64, "body_digest": body_digest });
    let echo = echo.to_string();
    json!({
        "request_id": id, "key": key, "path": path, "body_len": 64, "body_digest": body_digest,
        "attempts": attempts, "told": told, "answer_len": echo.len(),
        "answer_digest": Digest::of(echo.as_bytes()), "fault": null,
    })
}

fn act(event: &str, id: &str, key: Option<&str>, wall_us: u64) -> Value {
    json!({ "event": event, "wall_us": wall_us, "runner": "runner-0", "request_id": id, "key": key })
}

fn points(findings: &[Finding]) -> Vec<Point> {
    findings.iter().map(|finding| finding.point).collect()
}

#[test]
fn a_correct_record_has_no_findings() {
    assert_eq!(Forged::new().judge(), []);
}

#[test]
fn an_answer_with_another_digest_is_found() {
    let mut forged = Forged::new();
    forged.told[0]["answer_digest"] = json!(Digest::of(b"answer to another request"));
    assert_eq!(points(&forged.judge()), [Point::Answer]);
}

#[test]
fn a_cut_answer_is_found() {
    let mut forged = Forged::new();
    forged.told[0]["answer_len"] = json!(3);
    assert_eq!(points(&forged.judge()), [Point::Answer]);
}

#[test]
fn a_whole_answer_that_no_runner_gave_is_found() {
    let mut forged = Forged::new();
    forged.acts.clear();
    assert_eq!(points(&forged.judge()), [Point::Answer]);
}

#[test]
fn not_run_is_found_by_request_id_and_by_key() {
    let mut forged = Forged::new();
    forged.told.push(told("b", None, "not_run", json!([attempt(None)])));
    forged.acts.push(act("begin", "b", None, 5));
    forged.told.push(told("c", Some("k"), "not_run", json!([attempt(None)])));
    forged.acts.push(act("begin", "other", Some("k"), 5));
    assert_eq!(points(&forged.judge()), [Point::NotRun, Point::NotRun]);
}

#[test]
fn a_key_that_two_runners_acted_on_is_found() {
    let mut forged = Forged::new();
    forged.acts.push(act("begin", "b", Some("k"), 5));
    let mut second = act("begin", "b", Some("k"), 6);
    second["runner"] = json!("runner-1");
    forged.acts.push(second);
    assert_eq!(points(&forged.judge()), [Point::Repeated]);
}

#[test]
fn work_at_a_leaving_upstream_is_found_after_3_s() {
    let mut forged = Forged::new();
    forged.leaving.push(json!({ "vm": "runner-0", "shown_us": 10_000 }));
    forged.acts.push(act("begin", "b", None, 3_010_000));
    assert_eq!(forged.judge(), []);
    forged.acts.push(act("begin", "c", None, 3_010_001));
    assert_eq!(points(&forged.judge()), [Point::Leaving]);
}

#[test]
fn a_request_that_was_cut_off_is_found() {
    let mut forged = Forged::new();
    let attempts = json!([attempt(Some("connection reset")), attempt(None)]);
    forged.told[0]["attempts"] = attempts;
    let entry = ENTRY.parse().expect("an address");
    assert_eq!(points(&forged.records().judge_cut_off(&[entry])), [Point::CutOff]);
    assert_eq!(forged.records().judge_cut_off(&[]), []);
}

#[test]
fn a_failed_request_is_found_unless_it_may_have_run() {
    let mut forged = Forged::new();
    forged.told.push(told("b", None, "no_answer", json!([attempt(Some("reset"))])));
    forged.told.push(told("c", Some("k"), "unknown", json!([attempt(None)])));
    let lost = json!([attempt(Some("reset")), attempt(None)]);
    forged.told.push(told("d", Some("l"), "unknown", lost));
    assert_eq!(points(&forged.records().judge_failed()), [Point::Failed, Point::Failed]);
}

#[test]
fn a_broken_line_is_found() {
    let mut forged = Forged::new();
    forged.acts.push(json!({ "event": "begin" }));
    assert_eq!(points(&forged.judge()), [Point::Record]);
}
