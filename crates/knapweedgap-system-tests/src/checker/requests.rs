//! Checker of requests (G4 to G8).
//!
//! It reads the records of the load generators (outcome of each request), of the runners (requests
//! that they processed) and of the harness (times at which the VM list showed a VM as leaving).

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use knapweedgap_standin::payload::{Digest, Pattern};
use serde::Deserialize;
use serde_json::json;

/// Time after which a leaving upstream must receive no new work (target of G7), in microseconds.
pub const LEAVING_TIMEOUT_US: u64 = 3_000_000;

/// Kind of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The response is not the complete response to its request.
    Answer,
    /// "Not run" was reported to the caller, but a runner processed the request.
    NotRun,
    /// A non-idempotent request was processed more than once.
    Repeated,
    /// A leaving upstream received new work after the timeout.
    Leaving,
    /// A connection failed while a request was in flight.
    CutOff,
    /// A request received no complete response although an entry could serve it.
    Failed,
    /// A record can't be read or contains an invalid line.
    Record,
}

/// Violation of a guarantee or invalid record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Violated rule.
    pub kind: Kind,
    /// Id or key of the request, or path of the invalid record.
    pub subject: String,
    /// Observed behaviour.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}: {}", self.kind, self.subject, self.detail)
    }
}

/// One attempt of a caller to send a request.
#[derive(Debug, Clone, Deserialize)]
pub struct Attempt {
    /// Client address of the entry.
    pub entry: SocketAddr,
    /// Wall time of the end of the attempt, in microseconds.
    pub end_us: u64,
    /// Whether the entry may have received the request.
    pub sent: bool,
    /// Failure of the connection; `None` if a response arrived.
    pub error: Option<String>,
}

/// Request of a load generator and its reported outcome.
#[derive(Debug, Clone, Deserialize)]
#[expect(missing_docs, reason = "the id and the path need no comment")]
pub struct Request {
    pub request_id: String,
    /// Idempotency key; `None` for an idempotent request.
    pub key: Option<String>,
    pub path: String,
    /// Length of the request body, in bytes.
    pub body_len: u64,
    /// Digest of the request body.
    pub body_digest: String,
    /// Attempts, oldest first.
    pub attempts: Vec<Attempt>,
    /// Outcome reported by the last response, for example `whole`, `not_run` or `unknown`.
    #[serde(rename = "told")]
    pub outcome: String,
    /// Length of the response body, in bytes.
    pub answer_len: u64,
    /// Digest of the response body; `None` without a response.
    pub answer_digest: Option<String>,
    /// Error that the load generator found in the response; `None` without one.
    pub fault: Option<String>,
}

/// Event of a request at a runner.
#[derive(Debug, Clone, Deserialize)]
#[expect(missing_docs, reason = "the id of the request needs no comment")]
pub struct Event {
    /// `begin`, `end`, `abandoned` or `refused`.
    pub event: String,
    /// Wall time, in microseconds.
    pub wall_us: u64,
    /// Name of the runner.
    pub runner: String,
    pub request_id: String,
    /// Idempotency key; `None` for an idempotent request.
    pub key: Option<String>,
}

/// Change of a VM to the state leaving.
#[derive(Debug, Clone, Deserialize)]
pub struct Departure {
    /// Id of the VM, which is the name of the runner.
    pub vm: String,
    /// Wall time from which the VM list shows the state, in microseconds.
    pub shown_us: u64,
}

/// Records of one test run.
#[derive(Debug, Default)]
pub struct Records {
    /// Requests of all load generators.
    pub requests: Vec<Request>,
    /// Events of all runners.
    pub events: Vec<Event>,
    /// VMs that were marked as leaving.
    pub departures: Vec<Departure>,
    /// Length of the response bodies that the load generator requested, in bytes; `None` if the
    /// runners echo a description of the request.
    pub answer_bytes: Option<u64>,
    /// Records that can't be read and lines that can't be parsed.
    invalid: Vec<Finding>,
}

impl Records {
    /// Reads the records of a test run. Records that can't be read become findings.
    pub fn read(loads: &[PathBuf], runners: &[PathBuf], leaving: &Path) -> Records {
        let mut records = Records::default();
        let invalid = &mut records.invalid;
        for path in loads {
            records.requests.extend(read_lines(path, invalid));
        }
        for path in runners {
            records.events.extend(read_lines(path, invalid));
        }
        if leaving.exists() {
            records.departures = read_lines(leaving, invalid);
        }
        records
    }

    /// Sets the length of the response bodies that the load generator requested, in bytes.
    pub fn answer_bytes(mut self, length: u64) -> Records {
        self.answer_bytes = Some(length);
        self
    }

    /// Checks G4 to G7.
    pub fn check(&self) -> Vec<Finding> {
        let begun = self.begun();
        let mut findings = self.invalid.clone();
        for request in &self.requests {
            self.check_answer(request, &mut findings);
            check_not_run(request, &begun, &mut findings);
        }
        self.check_repeats(&mut findings);
        self.check_leaving(&mut findings);
        findings
    }

    /// Checks that no connection to one of the stopped entries failed while a request was in flight
    /// (G8). A refused connection is no violation, because nothing was sent.
    pub fn check_cut_off(&self, stopped: &[SocketAddr]) -> Vec<Finding> {
        let mut findings = Vec::new();
        for request in &self.requests {
            for attempt in &request.attempts {
                let Some(error) = &attempt.error else { continue };
                if attempt.sent && stopped.contains(&attempt.entry) {
                    let detail = format!("{} ended with: {error}", attempt.entry);
                    findings.push(finding(Kind::CutOff, &request.request_id, detail));
                }
            }
        }
        findings
    }

    /// Checks that every request received its complete response. An exception is a non-idempotent
    /// request whose connection failed after it was sent: it may have run, so it must not be
    /// repeated, and its outcome is unknown.
    pub fn check_failed(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        for request in &self.requests {
            let lost =
                request.attempts.iter().any(|attempt| attempt.sent && attempt.error.is_some());
            let unknown = matches!(request.outcome.as_str(), "unknown" | "recorded");
            if request.outcome == "whole" || (request.key.is_some() && lost && unknown) {
                continue;
            }
            let detail = format!("{} after {:?}", request.outcome, request.attempts);
            findings.push(finding(Kind::Failed, &request.request_id, detail));
        }
        findings
    }

    /// Returns the number of requests with each outcome.
    pub fn counts(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for request in &self.requests {
            *counts.entry(request.outcome.as_str()).or_default() += 1;
        }
        counts
    }

    /// Returns the ids and keys of all requests that a runner began to process.
    fn begun(&self) -> BTreeSet<&str> {
        let begun = self.events.iter().filter(|event| event.event == "begin");
        begun
            .flat_map(|event| [Some(event.request_id.as_str()), event.key.as_deref()])
            .flatten()
            .collect()
    }

    fn check_answer(&self, request: &Request, findings: &mut Vec<Finding>) {
        let mut add = |detail: &str| {
            findings.push(finding(Kind::Answer, &request.request_id, detail.to_owned()));
        };
        if request.outcome == "wrong" || request.fault.is_some() {
            add(request.fault.as_deref().unwrap_or("the load generator reported a wrong response"));
        }
        if request.outcome != "whole" {
            return;
        }
        let body = Pattern::new(&request.request_id, request.body_len).digest().to_string();
        if request.body_digest != body {
            add("the recorded digest of the request body does not match the request id");
        }
        let (length, digest) = self.expected(request);
        if request.answer_len != length || request.answer_digest.as_deref() != Some(digest.as_str())
        {
            add("the response body is not the complete response to this request");
        }
        let ended = |event: &Event| event.event == "end" && event.request_id == request.request_id;
        if !self.events.iter().any(ended) {
            add("no runner completed this request");
        }
    }

    /// Returns the length and digest of the complete response.
    fn expected(&self, request: &Request) -> (u64, String) {
        if let Some(length) = self.answer_bytes {
            return (length, Pattern::new(&request.request_id, length).digest().to_string());
        }
        let echo = json!({
            "request_id": request.request_id,
            "path": request.path,
            "body_len": request.body_len,
            "body_digest": request.body_digest,
        });
        let echo = echo.to_string();
        (echo.len() as u64, Digest::of(echo.as_bytes()).to_string())
    }

    fn check_repeats(&self, findings: &mut Vec<Finding>) {
        let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for event in self.events.iter().filter(|event| event.event == "begin") {
            let Some(key) = &event.key else { continue };
            runs.entry(key).or_default().push(&event.runner);
        }
        for (key, runners) in runs.into_iter().filter(|(_, runners)| runners.len() > 1) {
            findings.push(finding(Kind::Repeated, key, format!("processed by {runners:?}")));
        }
    }

    fn check_leaving(&self, findings: &mut Vec<Finding>) {
        for departure in &self.departures {
            let late = |event: &&Event| {
                event.event == "begin"
                    && event.runner == departure.vm
                    && event.wall_us > departure.shown_us + LEAVING_TIMEOUT_US
            };
            for event in self.events.iter().filter(late) {
                let late_ms = (event.wall_us - departure.shown_us) / 1000;
                let detail =
                    format!("began at {} {late_ms} ms after the list showed it", event.runner);
                findings.push(finding(Kind::Leaving, &event.request_id, detail));
            }
        }
    }
}

/// Checks G5. "Not run" is valid for the last attempt only, so a request is skipped if the response
/// to one of its attempts was lost.
fn check_not_run(request: &Request, begun: &BTreeSet<&str>, findings: &mut Vec<Finding>) {
    let lost = request.attempts.iter().any(|attempt| attempt.sent && attempt.error.is_some());
    if request.outcome != "not_run" || lost {
        return;
    }
    let key = request.key.as_deref().is_some_and(|key| begun.contains(key));
    if key || begun.contains(request.request_id.as_str()) {
        let detail = "\"not run\" was reported, but a runner processed it".to_owned();
        findings.push(finding(Kind::NotRun, &request.request_id, detail));
    }
}

fn finding(kind: Kind, subject: &str, detail: String) -> Finding {
    Finding { kind, subject: subject.to_owned(), detail }
}

fn read_lines<Line>(path: &Path, invalid: &mut Vec<Finding>) -> Vec<Line>
where
    Line: for<'a> Deserialize<'a>,
{
    let mut add = |detail: String| {
        invalid.push(finding(Kind::Record, &path.display().to_string(), detail));
    };
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            add(error.to_string());
            return Vec::new();
        }
    };
    let mut lines = Vec::new();
    for (number, line) in text.lines().enumerate() {
        match serde_json::from_str(line) {
            Ok(line) => lines.push(line),
            Err(error) => add(format!("line {}: {error}", number + 1)),
        }
    }
    lines
}
