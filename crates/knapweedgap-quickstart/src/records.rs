//! Records of the stand-ins. They are independent of the state that the daemon reports.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use knapweedgap_core::id;
use knapweedgap_standin::record::Recorder;
use knapweedgap_standin::worker::event::Kind;
use knapweedgap_standin::{load, runner, worker};

/// Records of all stand-ins. Clones share the same records.
#[derive(Debug, Clone, Default)]
pub(crate) struct Records {
    attempts: Rc<RefCell<Vec<worker::Line>>>,
    runs: Rc<RefCell<Vec<runner::Line>>>,
    requests: Rc<RefCell<Vec<load::Line>>>,
    unreadable: Rc<RefCell<u64>>,
}

/// Summary of the requests that clients sent.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    /// Counts of requests by the outcome reported to the client.
    pub(crate) outcomes: BTreeMap<load::Outcome, u64>,
    /// Median latency of complete answers, in microseconds; 0 without any.
    pub(crate) median_us: u64,
    /// 99th percentile of the latency of complete answers, in microseconds; 0 without any.
    pub(crate) p99_us: u64,
}

impl Records {
    /// Creates a recorder for a worker.
    pub(crate) fn worker(&self) -> Recorder {
        self.recorder(self.attempts.clone())
    }

    /// Creates a recorder for a runner.
    pub(crate) fn runner(&self) -> Recorder {
        self.recorder(self.runs.clone())
    }

    /// Creates a recorder for a client.
    pub(crate) fn client(&self) -> Recorder {
        self.recorder(self.requests.clone())
    }

    fn recorder<Line>(&self, lines: Rc<RefCell<Vec<Line>>>) -> Recorder
    where
        Line: serde::de::DeserializeOwned + 'static,
    {
        let unreadable = self.unreadable.clone();
        Recorder::callback(move |text| match serde_json::from_str(text) {
            Ok(line) => lines.borrow_mut().push(line),
            Err(_) => *unreadable.borrow_mut() += 1,
        })
    }

    /// Returns the number of lines that could not be decoded.
    pub(crate) fn unreadable(&self) -> u64 {
        *self.unreadable.borrow()
    }

    /// Returns how many attempts of the job started.
    pub(crate) fn starts(&self, job: id::Job) -> usize {
        self.count(job, Kind::Start)
    }

    /// Returns how many attempts of the job were stopped by a command.
    pub(crate) fn stops(&self, job: id::Job) -> usize {
        self.count(job, Kind::Stop)
    }

    fn count(&self, job: id::Job, kind: Kind) -> usize {
        let lines = self.attempts.borrow();
        lines.iter().filter(|line| line.event.task.job == job && line.event.event == kind).count()
    }

    /// Returns the number of tasks of the job that completed, and the number of these that
    /// completed more than once.
    pub(crate) fn completed(&self, job: id::Job) -> (usize, usize) {
        let mut counts: BTreeMap<id::Task, u32> = BTreeMap::new();
        for line in self.attempts.borrow().iter() {
            if line.event.task.job == job && line.event.event == Kind::Complete {
                *counts.entry(line.event.task).or_default() += 1;
            }
        }
        (counts.len(), counts.values().filter(|count| **count > 1).count())
    }

    /// Returns the number of running attempts of the job by worker.
    pub(crate) fn running(&self, job: id::Job) -> BTreeMap<id::Worker, usize> {
        let mut running: BTreeSet<(id::Worker, id::Task, id::Attempt)> = BTreeSet::new();
        for line in self.attempts.borrow().iter() {
            let event = &line.event;
            let run = (line.worker.clone(), event.task, event.attempt);
            match event.event {
                Kind::Start if event.task.job == job => {
                    running.insert(run);
                }
                Kind::Checkpoint | Kind::Throttle => {}
                _ => {
                    running.remove(&run);
                }
            }
        }
        let mut counts = BTreeMap::new();
        for (worker, _, _) in running {
            *counts.entry(worker).or_default() += 1;
        }
        counts
    }

    /// Returns the tasks of which two attempts ran at the same time. Attempts on the killed worker
    /// count as ended at `killed_us`, in microseconds since the Unix epoch.
    pub(crate) fn overlaps(&self, killed: &id::Worker, killed_us: u64) -> Vec<id::Task> {
        let mut open: BTreeMap<id::Task, (id::Worker, id::Attempt)> = BTreeMap::new();
        let mut overlapping = Vec::new();
        let mut lines = self.attempts.borrow().clone();
        lines.sort_by_key(|line| line.wall_us);
        for line in &lines {
            let event = &line.event;
            let run = (line.worker.clone(), event.attempt);
            match event.event {
                Kind::Start => {
                    let previous = open.insert(event.task, run);
                    let still_running = |(worker, _): &(id::Worker, id::Attempt)| {
                        worker != killed || line.wall_us < killed_us
                    };
                    if previous.as_ref().is_some_and(still_running) {
                        overlapping.push(event.task);
                    }
                }
                Kind::Checkpoint | Kind::Throttle => {}
                _ => {
                    if open.get(&event.task) == Some(&run) {
                        open.remove(&event.task);
                    }
                }
            }
        }
        overlapping
    }

    /// Returns the number of non-idempotent requests that runners began, and the number of these
    /// that began more than once.
    pub(crate) fn non_idempotent_runs(&self) -> (usize, usize) {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for line in self.runs.borrow().iter() {
            let Some(key) = &line.key else { continue };
            if line.event == runner::Kind::Begin {
                *counts.entry(key.to_string()).or_default() += 1;
            }
        }
        (counts.len(), counts.values().filter(|count| **count > 1).count())
    }

    /// Returns the outcomes and latencies that clients recorded.
    pub(crate) fn summarize_requests(&self) -> Requests {
        let mut summary = Requests::default();
        let mut latencies = Vec::new();
        for line in self.requests.borrow().iter() {
            *summary.outcomes.entry(line.reported).or_default() += 1;
            if line.reported == load::Outcome::Complete {
                latencies.push(line.latency_us);
            }
        }
        latencies.sort_unstable();
        let percentile = |percent: usize| latencies.get(latencies.len() * percent / 100).copied();
        summary.median_us = percentile(50).unwrap_or_default();
        summary.p99_us = percentile(99).unwrap_or_default();
        summary
    }

    /// Returns one line for each request that did not get a complete answer.
    pub(crate) fn failed_requests(&self) -> Vec<String> {
        let lines = self.requests.borrow();
        let failed = lines.iter().filter(|line| line.reported != load::Outcome::Complete);
        failed
            .map(|line| format!("{} reported as {}: {line:?}", line.request_id, line.reported))
            .collect()
    }
}
