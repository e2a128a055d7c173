//! Checker of requests (G4 to G8).
//!
//! A record of the load generator tells what each caller was told, those of the runners which
//! requests they acted on, and that of the harness when the VM list showed a VM as leaving.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use knapweedgap_standin::payload::{Digest, Pattern};
use serde::Deserialize;
use serde_json::json;

/// Time after which a leaving upstream receives no new work (target of G7), in microseconds.
pub const LEAVING_US: u64 = 3_000_000;

/// Point that a finding is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Point {
    /// The answer is not the whole answer to its request.
    Answer,
    /// The caller was told "not run", but a runner acted on the request.
    NotRun,
    /// Runners acted more than once on a non-idempotent request.
    Repeated,
    /// A leaving upstream received new work too late.
    Leaving,
    /// A request was cut off.
    CutOff,
    /// A request got no whole answer although an entry could serve it.
    Failed,
    /// A record is broken or misses what another one shows.
    Record,
}

/// One finding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Point.
    pub point: Point,
    /// Request or key.
    pub subject: String,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}: {}", self.point, self.subject, self.seen)
    }
}

/// Sending of a request.
#[derive(Debug, Clone, Deserialize)]
pub struct Attempt {
    /// Entry.
    pub entry: SocketAddr,
    /// Wall time of its end, in microseconds.
    pub end_us: u64,
    /// Whether the entry may have seen the request.
    pub sent: bool,
    /// Failure of the connection.
    pub error: Option<String>,
}

/// What a caller was told.
#[derive(Debug, Clone, Deserialize)]
pub struct Told {
    /// Id of the request.
    pub request_id: String,
    /// Key of a non-idempotent request.
    pub key: Option<String>,
    /// Path.
    pub path: String,
    /// Length of the request body, in bytes.
    pub body_len: u64,
    /// Digest of the request body.
    pub body_digest: String,
    /// Sendings, oldest first.
    pub attempts: Vec<Attempt>,
    /// What the last answer said.
    pub told: String,
    /// Length of the answer's body, in bytes.
    pub answer_len: u64,
    /// Digest of the answer's body.
    pub answer_digest: Option<String>,
    /// What the load generator found wrong.
    pub fault: Option<String>,
}

/// What a runner did with a request.
#[derive(Debug, Clone, Deserialize)]
pub struct Act {
    /// `begin`, `end`, `abandoned` or `refused`.
    pub event: String,
    /// Wall time, in microseconds.
    pub wall_us: u64,
    /// Runner.
    pub runner: String,
    /// Id of the request.
    pub request_id: String,
    /// Key of the request.
    pub key: Option<String>,
}

/// When the VM list showed a VM as leaving.
#[derive(Debug, Clone, Deserialize)]
pub struct Leaving {
    /// Id of the VM, which is the name of the runner.
    pub vm: String,
    /// Wall time, in microseconds.
    pub shown_us: u64,
}

/// Records of one run.
#[derive(Debug, Default)]
pub struct Records {
    /// What callers were told.
    pub told: Vec<Told>,
    /// What runners did.
    pub acts: Vec<Act>,
    /// VMs that were marked as leaving.
    pub leaving: Vec<Leaving>,
    /// Length of the answers that the load generator asked for; none for an echo.
    pub answer_bytes: Option<u64>,
    broken: Vec<Finding>,
}

impl Records {
    /// Reads the records of a run.
    pub fn read(loads: &[PathBuf], runners: &[PathBuf], leaving: &Path) -> Records {
        let mut records = Records::default();
        let broken = &mut records.broken;
        for path in loads {
            records.told.extend(lines(path, broken));
        }
        for path in runners {
            records.acts.extend(lines(path, broken));
        }
        if leaving.exists() {
            records.leaving = lines(leaving, broken);
        }
        records
    }

    /// Sets the length of the answers that the load generator asked for.
    pub fn answer_bytes(mut self, length: u64) -> Records {
        self.answer_bytes = Some(length);
        self
    }

    /// Judges G4 to G7.
    pub fn judge(&self) -> Vec<Finding> {
        let begun = self.begun();
        let mut findings = self.broken.clone();
        for told in &self.told {
            self.judge_answer(told, &mut findings);
            judge_not_run(told, &begun, &mut findings);
        }
        self.judge_repeats(&mut findings);
        self.judge_leaving(&mut findings);
        findings
    }

    /// Judges that no request which was sent to one of `stopped` was cut off (G8). A connection
    /// that is refused cuts nothing off, because nothing was sent.
    pub fn judge_cut_off(&self, stopped: &[SocketAddr]) -> Vec<Finding> {
        let mut findings = Vec::new();
        for told in &self.told {
            for attempt in &told.attempts {
                let Some(error) = &attempt.error else { continue };
                if attempt.sent && stopped.contains(&attempt.entry) {
                    let seen = format!("{} ended with: {error}", attempt.entry);
                    findings.push(finding(Point::CutOff, &told.request_id, seen));
                }
            }
        }
        findings
    }

    /// Judges that every request got its whole answer, except a non-idempotent one that was sent
    /// to an entry which then died: it may have run, so it must not run again.
    pub fn judge_failed(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        for told in &self.told {
            let lost = told.attempts.iter().any(|attempt| attempt.sent && attempt.error.is_some());
            let unknown = matches!(told.told.as_str(), "unknown" | "recorded");
            if told.told == "whole" || (told.key.is_some() && lost && unknown) {
                continue;
            }
            let seen = format!("{} after {:?}", told.told, told.attempts);
            findings.push(finding(Point::Failed, &told.request_id, seen));
        }
        findings
    }

    /// Returns how many callers were told each thing.
    pub fn counts(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for told in &self.told {
            *counts.entry(told.told.as_str()).or_default() += 1;
        }
        counts
    }

    /// Returns the ids and keys of all requests that a runner acted on.
    fn begun(&self) -> BTreeSet<&str> {
        let begun = self.acts.iter().filter(|act| act.event == "begin");
        begun
            .flat_map(|act| [Some(act.request_id.as_str()), act.key.as_deref()])
            .flatten()
            .collect()
    }

    fn judge_answer(&self, told: &Told, findings: &mut Vec<Finding>) {
        let mut add = |seen: &str| {
            findings.push(finding(Point::Answer, &told.request_id, seen.to_owned()));
        };
        if told.told == "wrong" || told.fault.is_some() {
            add(told.fault.as_deref().unwrap_or("the load generator found it wrong"));
        }
        if told.told != "whole" {
            return;
        }
        let body = Pattern::new(&told.request_id, told.body_len).digest().to_string();
        if told.body_digest != body {
            add("the digest of the request body is not that of this request");
        }
        let (length, digest) = self.expected(told);
        if told.answer_len != length || told.answer_digest.as_deref() != Some(digest.as_str()) {
            add("the answer is not the whole answer to this request");
        }
        let ended = |act: &Act| act.event == "end" && act.request_id == told.request_id;
        if !self.acts.iter().any(ended) {
            add("no runner completed this request");
        }
    }

    fn expected(&self, told: &Told) -> (u64, String) {
        if let Some(length) = self.answer_bytes {
            return (length, Pattern::new(&told.request_id, length).digest().to_string());
        }
        let echo = json!({
            "request_id": told.request_id,
            "path": told.path,
            "body_len": told.body_len,
            "body_digest": told.body_digest,
        });
        let echo = echo.to_string();
        (echo.len() as u64, Digest::of(echo.as_bytes()).to_string())
    }

    fn judge_repeats(&self, findings: &mut Vec<Finding>) {
        let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for act in self.acts.iter().filter(|act| act.event == "begin") {
            let Some(key) = &act.key else { continue };
            runs.entry(key).or_default().push(&act.runner);
        }
        for (key, runners) in runs.into_iter().filter(|(_, runners)| runners.len() > 1) {
            findings.push(finding(Point::Repeated, key, format!("ran at {runners:?}")));
        }
    }

    fn judge_leaving(&self, findings: &mut Vec<Finding>) {
        for leaving in &self.leaving {
            let late = |act: &&Act| {
                act.event == "begin"
                    && act.runner == leaving.vm
                    && act.wall_us > leaving.shown_us + LEAVING_US
            };
            for act in self.acts.iter().filter(late) {
                let late_ms = (act.wall_us - leaving.shown_us) / 1000;
                let seen = format!("began at {} {late_ms} ms after the list", act.runner);
                findings.push(finding(Point::Leaving, &act.request_id, seen));
            }
        }
    }
}

/// Judges G5. The statement covers the last sending, so a request with an earlier sending whose
/// answer was lost is not judged.
fn judge_not_run(told: &Told, begun: &BTreeSet<&str>, findings: &mut Vec<Finding>) {
    let lost = told.attempts.iter().any(|attempt| attempt.sent && attempt.error.is_some());
    if told.told != "not_run" || lost {
        return;
    }
    let key = told.key.as_deref().is_some_and(|key| begun.contains(key));
    if key || begun.contains(told.request_id.as_str()) {
        let seen = "told \"not run\", but a runner acted on it".to_owned();
        findings.push(finding(Point::NotRun, &told.request_id, seen));
    }
}

fn finding(point: Point, subject: &str, seen: String) -> Finding {
    Finding { point, subject: subject.to_owned(), seen }
}

fn lines<Line>(path: &Path, broken: &mut Vec<Finding>) -> Vec<Line>
where
    Line: for<'a> Deserialize<'a>,
{
    let mut add = |seen: String| {
        broken.push(finding(Point::Record, &path.display().to_string(), seen));
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
