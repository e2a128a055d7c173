//! What the stand-ins recorded, independent of what the daemon says.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use knapweedgap_core::id;
use knapweedgap_standin::record::Recorder;
use knapweedgap_standin::worker::event::Kind;
use knapweedgap_standin::{load, runner, worker};

/// Records of all stand-ins. Clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    attempts: Rc<RefCell<Vec<worker::Line>>>,
    runs: Rc<RefCell<Vec<runner::Line>>>,
    requests: Rc<RefCell<Vec<load::Line>>>,
    unreadable: Rc<RefCell<u64>>,
}

/// Summary of what clients were told.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    /// Requests by what the client was told.
    pub(crate) told: BTreeMap<load::Outcome, u64>,
    /// Median latency of the whole answers, in microseconds.
    pub(crate) median_us: u64,
    /// 99th percentile of the latency of the whole answers, in microseconds.
    pub(crate) p99_us: u64,
}

impl Evidence {
    /// Returns a recorder for a worker.
    pub(crate) fn worker(&self) -> Recorder {
        self.recorder(self.attempts.clone())
    }

    /// Returns a recorder for a runner.
    pub(crate) fn runner(&self) -> Recorder {
        self.recorder(self.runs.clone())
    }

    /// Returns a recorder for a client.
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

    /// Returns the count of lines that could not be read.
    pub(crate) fn unreadable(&self) -> u64 {
        *self.unreadable.borrow()
    }

    /// Returns the count of attempts of the job that started.
    pub(crate) fn starts(&self, job: id::Job) -> usize {
        self.count(job, Kind::Start)
    }

    /// Returns the count of attempts of the job that a command stopped.
    pub(crate) fn stops(&self, job: id::Job) -> usize {
        self.count(job, Kind::Stop)
    }

    fn count(&self, job: id::Job, kind: Kind) -> usize {
        let lines = self.attempts.borrow();
        lines.iter().filter(|line| line.event.task.job == job && line.event.event == kind).count()
    }

    /// Returns how many tasks of the job completed, and how many of them more than once.
    pub(crate) fn completed(&self, job: id::Job) -> (usize, usize) {
        let mut counts: BTreeMap<id::Task, u32> = BTreeMap::new();
        for line in self.attempts.borrow().iter() {
            if line.event.task.job == job && line.event.event == Kind::Complete {
                *counts.entry(line.event.task).or_default() += 1;
            }
        }
        (counts.len(), counts.values().filter(|count| **count > 1).count())
    }

    /// Returns the workers on which attempts of the job run, with their number.
    pub(crate) fn running(&self, job: id::Job) -> BTreeMap<id::Worker, usize> {
        let mut running: BTreeSet<(id::Worker, id::Task, id::Attempt)> = BTreeSet::new();
        for line in self.attempts.borrow().iter() {
            let event = &line.event;
            let place = (line.worker.clone(), event.task, event.attempt);
            match event.event {
                Kind::Start if event.task.job == job => {
                    running.insert(place);
                }
                Kind::Checkpoint | Kind::Throttle => {}
                _ => {
                    running.remove(&place);
                }
            }
        }
        let mut counts = BTreeMap::new();
        for (worker, _, _) in running {
            *counts.entry(worker).or_default() += 1;
        }
        counts
    }

    /// Returns the tasks that ran in two places at once. An attempt on the dead worker ended with
    /// the worker, at `died_us`.
    pub(crate) fn overlaps(&self, dead: &id::Worker, died_us: u64) -> Vec<id::Task> {
        let mut open: BTreeMap<id::Task, (id::Worker, id::Attempt)> = BTreeMap::new();
        let mut found = Vec::new();
        let mut lines = self.attempts.borrow().clone();
        lines.sort_by_key(|line| line.wall_us);
        for line in &lines {
            let event = &line.event;
            let place = (line.worker.clone(), event.attempt);
            match event.event {
                Kind::Start => {
                    let earlier = open.insert(event.task, place);
                    let alive = |(worker, _): &(id::Worker, id::Attempt)| {
                        worker != dead || line.wall_us < died_us
                    };
                    if earlier.as_ref().is_some_and(alive) {
                        found.push(event.task);
                    }
                }
                Kind::Checkpoint | Kind::Throttle => {}
                _ => {
                    if open.get(&event.task) == Some(&place) {
                        open.remove(&event.task);
                    }
                }
            }
        }
        found
    }

    /// Returns the non-idempotent requests that runners began, and those begun more than once.
    pub(crate) fn keyed_runs(&self) -> (usize, usize) {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for line in self.runs.borrow().iter() {
            let Some(key) = &line.key else { continue };
            if line.event == runner::Kind::Begin {
                *counts.entry(key.to_string()).or_default() += 1;
            }
        }
        (counts.len(), counts.values().filter(|count| **count > 1).count())
    }

    /// Sums up what clients were told.
    pub(crate) fn requests(&self) -> Requests {
        let mut summary = Requests::default();
        let mut latencies = Vec::new();
        for line in self.requests.borrow().iter() {
            *summary.told.entry(line.reported).or_default() += 1;
            if line.reported == load::Outcome::Complete {
                latencies.push(line.latency_us);
            }
        }
        latencies.sort_unstable();
        let at = |percent: usize| latencies.get(latencies.len() * percent / 100).copied();
        summary.median_us = at(50).unwrap_or_default();
        summary.p99_us = at(99).unwrap_or_default();
        summary
    }

    /// Returns the requests that did not get their whole answer, one line each.
    pub(crate) fn failed_requests(&self) -> Vec<String> {
        let lines = self.requests.borrow();
        let failed = lines.iter().filter(|line| line.reported != load::Outcome::Complete);
        failed
            .map(|line| format!("{} was told {}: {line:?}", line.request_id, line.reported))
            .collect()
    }
}
