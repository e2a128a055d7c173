//! Submits jobs, records the reported outcomes and the kills of workers, and checks them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_types::Method;
use knapweedgap_core::{id, size};
use knapweedgap_http::json::Caller;
use serde_json::{Value, json};

use crate::checker::batch::{self, Cancellation, History, Kill, Outcome, Submission};
use crate::cluster::{Cluster, Signal, wall_us};

/// Timeout of a submitter's call. It is longer than the time in which an instance answers, so that
/// the submitter always receives the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest wait until the results of completed attempts are published or discarded: two heartbeats
/// of a second, and the time until a paused or disconnected worker is reachable again.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval at which the records are read during this wait.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
const TEAM: &str = "plans";
/// Number of partitions; the default of the setting `partitions`.
pub const PARTITIONS: u32 = 4;

/// Job to submit for the team `plans`.
#[derive(Debug, Clone)]
pub struct Job {
    key: String,
    tasks: u32,
    processor: String,
    run_time: String,
    priority: &'static str,
}

impl Job {
    /// Creates a job of one task of one processor that runs for 500 ms at normal priority.
    pub fn new(key: &str) -> Job {
        Job {
            key: key.to_owned(),
            tasks: 1,
            processor: "1".to_owned(),
            run_time: "500ms".to_owned(),
            priority: "normal",
        }
    }

    /// Sets the number of tasks of the job.
    pub fn tasks(mut self, tasks: u32) -> Job {
        self.tasks = tasks;
        self
    }

    /// Sets the processor size of each task, as in the API, for example `2`.
    pub fn processor(mut self, processor: &str) -> Job {
        self.processor = processor.to_owned();
        self
    }

    /// Sets the run time of each task, as in the API, for example `500ms`.
    pub fn run_time(mut self, run_time: &str) -> Job {
        self.run_time = run_time.to_owned();
        self
    }

    /// Sets the priority: `low`, `normal` or `urgent`.
    pub fn priority(mut self, priority: &'static str) -> Job {
        self.priority = priority;
        self
    }

    /// Returns the id of the job, which is derived from its team and key.
    pub fn id(&self) -> id::Job {
        let team: id::Team = TEAM.parse().expect("a valid team");
        id::Job::derive(&team, &self.key.parse::<id::Key>().expect("a valid key"))
    }

    /// Submits the job once, without repetition, and returns the reported outcome.
    ///
    /// # Panics
    ///
    /// Panics if the job is accepted under another id.
    pub fn submit(&self, operator: SocketAddr) -> Submission {
        let body = json!({
            "team": TEAM, "key": self.key, "class": "grind", "tasks": self.tasks,
            "size": { "processor": self.processor, "memory": "1GiB" }, "run_time": self.run_time,
            "priority": self.priority,
        });
        let outcome = match call(operator, Method::Post, "/v1/jobs", &body) {
            Some((200, body)) => {
                assert_eq!(body["job"], json!(self.id()), "job accepted under another id: {body}");
                Outcome::Accepted
            }
            Some((504, _)) | None => Outcome::Unknown,
            Some(_) => Outcome::NotRun,
        };
        Submission { job: self.id(), tasks: self.tasks, outcome }
    }

    /// Cancels the job once, without repetition. Returns its state in the answer and, unless it had
    /// finished, the confirmed cancellation; `None` if the call failed.
    pub fn cancel(&self, operator: SocketAddr) -> Option<(String, Option<Cancellation>)> {
        let path = format!("/v1/jobs/{}/cancel", self.id());
        let (status, body) = call(operator, Method::Post, &path, &json!({}))?;
        if status != 200 {
            return None;
        }
        let state = body["state"].as_str()?.to_owned();
        let confirmed = Cancellation { job: self.id(), wall_us: wall_us() };
        let confirmed = (state != "finished").then_some(confirmed);
        Some((state, confirmed))
    }
}

/// Returns a key that starts with `name` for a job whose primary partition is the given one.
pub fn key_in(partition: u32, partitions: u32, name: &str) -> String {
    let primary = id::Partition::new(partition);
    let keys = (0..).map(|number| format!("{name}-{number}"));
    let mut keys = keys.filter(|key| Job::new(key).id().primary_partition(partitions) == primary);
    keys.next().expect("every partition is the primary partition of some job")
}

/// Returns the index of the entry that owns a partition, as reported by the entry `reporter`.
///
/// # Panics
///
/// Panics if the reporter does not answer or the partition has no owner.
pub fn owner_of(cluster: &Cluster, reporter: usize, partition: u32) -> usize {
    let answer = cluster.partitions(reporter).expect("an answer");
    let owner = record_of(&answer.body, partition)["owner"].clone();
    let index = cluster.entries.iter().position(|entry| owner == json!(entry.name));
    index.unwrap_or_else(|| panic!("partition {partition} has no owner: {owner}"))
}

/// Returns the partition with the most workers and their number.
///
/// # Panics
///
/// Panics if an entry does not answer or a partition has no owner.
pub fn largest_partition(cluster: &Cluster) -> (u32, u32) {
    // Only the owner of a partition counts its workers.
    let mut largest = (0, 0);
    for partition in 0..PARTITIONS {
        let owner = owner_of(cluster, 0, partition);
        let answer = cluster.partitions(owner).expect("an answer");
        let count = record_of(&answer.body, partition)["workers"].as_u64().unwrap_or_default();
        let count = u32::try_from(count).expect("a test has few workers");
        if count > largest.1 {
            largest = (partition, count);
        }
    }
    largest
}

fn record_of(body: &Value, partition: u32) -> &Value {
    let all = body["partitions"].as_array().expect("a list of partitions");
    let found = all.iter().find(|record| record["partition"] == json!(partition));
    found.unwrap_or_else(|| panic!("no partition {partition}: {body}"))
}

/// Submissions, cancellations, reservations and kills of a test.
#[derive(Debug, Default)]
pub struct Ledger {
    history: History,
}

impl Ledger {
    /// Submits a job once and records the outcome.
    pub fn submit(&mut self, cluster: &Cluster, entry: usize, job: &Job) -> Outcome {
        let submission = job.submit(cluster.entries[entry].operator);
        self.record(submission);
        submission.outcome
    }

    /// Submits a job that must be accepted.
    ///
    /// # Panics
    ///
    /// Panics if it is not accepted.
    pub fn accept(&mut self, cluster: &Cluster, entry: usize, job: &Job) {
        assert_eq!(self.submit(cluster, entry, job), Outcome::Accepted, "{job:?}");
    }

    /// Records the outcome of a submission.
    pub fn record(&mut self, submission: Submission) {
        self.history.submissions.push(submission);
    }

    /// Returns the recorded submissions, oldest first.
    pub fn submissions(&self) -> &[Submission] {
        &self.history.submissions
    }

    /// Cancels a job and records a confirmation. Returns the job's state in the answer; `None` if the
    /// call failed.
    pub fn cancel(&mut self, cluster: &Cluster, entry: usize, job: &Job) -> Option<String> {
        let (state, confirmed) = job.cancel(cluster.entries[entry].operator)?;
        self.history.cancellations.extend(confirmed);
        Some(state)
    }

    /// Records a cancellation that was confirmed or may have taken effect.
    pub fn record_cancellation(&mut self, cancellation: Cancellation) {
        self.history.cancellations.push(cancellation);
    }

    /// Kills a worker and records the time.
    pub fn kill_worker(&mut self, cluster: &mut Cluster, index: usize) {
        cluster.signal_worker(index, Signal::Kill);
        let worker = cluster.workers[index].name.parse().expect("a valid worker id");
        self.history.kills.push(Kill { worker, wall_us: wall_us() });
    }

    /// Hosts a runner with this many processors and 1 GiB on a worker, which reserves this capacity
    /// for its service. Must be called before the first submission.
    pub fn reserve(&mut self, cluster: &Cluster, worker: usize, runner: usize, cores: u32) {
        let host = cluster.workers[worker].name.clone();
        let name = cluster.runners[runner].name.clone();
        cluster.change_inventory(json!({ "patch": { name: {
            "host": host, "capacity": { "processor": u64::from(cores) * 1000, "memory": 1u64 << 30, "accelerator": 0 },
        } } }));
        let reserved = size::Resources {
            processor: size::Processor::from_cores(cores),
            memory: size::Bytes::new(1 << 30),
            accelerator: size::Accelerator::new(0),
        };
        self.history.reserved.insert(host.parse().expect("a valid worker id"), reserved);
    }

    /// Waits until every accepted job has reached a final state according to an entry.
    ///
    /// # Panics
    ///
    /// Panics if a job has not ended within the timeout, which applies to each job.
    pub fn wait_finished(&self, cluster: &Cluster, entry: usize, timeout: Duration) {
        let mut open: Vec<id::Job> = Vec::new();
        for submission in &self.history.submissions {
            if submission.outcome == Outcome::Accepted {
                open.push(submission.job);
            }
        }
        for job in open {
            let printed = RefCell::new(String::new());
            cluster.wait_until(&format!("job {job} ends"), timeout, || {
                let answer = cluster.job(entry, &job.to_string());
                let state = answer.as_ref().ok().and_then(|answer| answer.body["state"].as_str());
                let ended = ["finished", "cancelled", "failed"];
                let has_ended = state.is_some_and(|state| ended.contains(&state));
                let text = format!("job {job}: {answer:?}");
                if !has_ended && *printed.borrow() != text {
                    println!("{text}");
                    printed.replace(text);
                }
                has_ended
            });
        }
    }

    /// Returns the recorded history with the current records of the workers.
    ///
    /// # Panics
    ///
    /// Panics if a record can't be read.
    pub fn history(&mut self, cluster: &Cluster) -> &History {
        let lines =
            batch::read(cluster.worker_records()).expect("the worker records should be readable");
        self.history.lines = lines;
        &self.history
    }

    /// Waits until the running workers have published or discarded every result. A result that is
    /// still withheld at the timeout counts as published.
    fn wait_settled(&mut self, cluster: &Cluster) {
        let end = Instant::now() + SETTLE_TIMEOUT;
        while batch::count_unsettled(self.history(cluster)) > 0 && Instant::now() < end {
            std::thread::sleep(SETTLE_POLL_INTERVAL);
        }
    }

    /// Checks the history and the records of the workers.
    ///
    /// # Panics
    ///
    /// Panics if a guarantee is violated.
    pub fn check(&mut self, cluster: &Cluster) {
        self.wait_settled(cluster);
        let history = self.history(cluster);
        let violations: Vec<String> =
            batch::check(history).iter().map(ToString::to_string).collect();
        assert!(violations.is_empty(), "{}", violations.join("\n"));
        println!("{} record lines, {} submissions", history.lines.len(), history.submissions.len());
    }
}

fn call(operator: SocketAddr, method: Method, path: &str, body: &Value) -> Option<(u16, Value)> {
    let caller = Caller::new(operator, CALL_TIMEOUT);
    let answer =
        async_io::block_on(caller.call(method, path, Some(body.to_string().into_bytes()))).ok()?;
    let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    Some((answer.status, body))
}
