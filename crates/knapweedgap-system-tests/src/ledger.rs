//! What submitters were told, and what the test did to the workers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_types::Method;
use knapweedgap_core::{id, size};
use knapweedgap_http::json::Caller;
use serde_json::{Value, json};

use crate::checker::batch::{self, Answer, Cancelled, Death, Evidence, Told};
use crate::cluster::{Cluster, Signal, wall_us};

/// Longest call of a submitter. It is longer than the time in which an instance answers, so that
/// the answer counts and not the submitter's patience.
const CALL_TIME: Duration = Duration::from_secs(12);
/// Longest wait for the results of ended attempts to be settled: two heartbeats of a second, and
/// the time in which a paused or cut off worker is reached again.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Interval at which the records are read meanwhile.
const SETTLE_POLL: Duration = Duration::from_millis(200);
const TEAM: &str = "plans";
/// Default of the setting `partitions`.
pub const PARTITIONS: u32 = 4;

/// Job to submit.
#[derive(Debug, Clone)]
pub struct Job {
    key: String,
    tasks: u32,
    processor: String,
    run: String,
    priority: &'static str,
}

impl Job {
    /// Starts from one task of one processor that runs 500 ms at normal priority.
    pub fn new(key: &str) -> Job {
        Job {
            key: key.to_owned(),
            tasks: 1,
            processor: "1".to_owned(),
            run: "500ms".to_owned(),
            priority: "normal",
        }
    }

    /// Sets the number of tasks.
    pub fn tasks(mut self, tasks: u32) -> Job {
        self.tasks = tasks;
        self
    }

    /// Sets the processors of a task.
    pub fn processor(mut self, processor: &str) -> Job {
        self.processor = processor.to_owned();
        self
    }

    /// Sets the run time of a task.
    pub fn run(mut self, run: &str) -> Job {
        self.run = run.to_owned();
        self
    }

    /// Sets the priority.
    pub fn priority(mut self, priority: &'static str) -> Job {
        self.priority = priority;
        self
    }

    /// Returns the id that the job has or will have.
    pub fn id(&self) -> id::Job {
        let team: id::Team = TEAM.parse().expect("a valid team");
        id::Job::derive(&team, &self.key.parse::<id::Key>().expect("a valid key"))
    }

    /// Submits the job once and returns what the submitter was told.
    pub fn submit(&self, operator: SocketAddr) -> Told {
        let body = json!({
            "team": TEAM, "key": self.key, "class": "grind", "tasks": self.tasks,
            "size": { "processor": self.processor, "memory": "1GiB" }, "run_time": self.run,
            "priority": self.priority,
        });
        let answer = match call(operator, Method::Post, "/v1/jobs", &body) {
            Some((200, body)) => {
                assert_eq!(body["job"], json!(self.id()), "another job: {body}");
                Answer::Accepted
            }
            Some((504, _)) | None => Answer::Unknown,
            Some(_) => Answer::NotRun,
        };
        Told { job: self.id(), tasks: self.tasks, answer }
    }

    /// Cancels the job once. Returns its state in the answer and, when it had not finished, the
    /// confirmation.
    pub fn cancel(&self, operator: SocketAddr) -> Option<(String, Option<Cancelled>)> {
        let path = format!("/v1/jobs/{}/cancel", self.id());
        let (status, body) = call(operator, Method::Post, &path, &json!({}))?;
        if status != 200 {
            return None;
        }
        let state = body["state"].as_str()?.to_owned();
        let confirmed = Cancelled { job: self.id(), wall_us: wall_us() };
        let confirmed = (state != "finished").then_some(confirmed);
        Some((state, confirmed))
    }
}

/// Returns a name for a job whose home is the partition.
pub fn key_in(partition: u32, partitions: u32, name: &str) -> String {
    let home = id::Partition::new(partition);
    let keys = (0..).map(|number| format!("{name}-{number}"));
    let mut keys = keys.filter(|key| Job::new(key).id().primary_partition(partitions) == home);
    keys.next().expect("every partition is the home of some job")
}

/// Returns the index of the entry that owns a partition, as another entry sees it.
///
/// # Panics
///
/// When no entry answers or the partition has no owner.
pub fn owner_of(cluster: &Cluster, asked: usize, partition: u32) -> usize {
    let answer = cluster.partitions(asked).expect("an answer");
    let owner = record_of(&answer.body, partition)["owner"].clone();
    let index = cluster.entries.iter().position(|entry| owner == json!(entry.name));
    index.unwrap_or_else(|| panic!("partition {partition} has no owner: {owner}"))
}

/// Returns the partition with most workers and their number.
///
/// # Panics
///
/// When no entry answers.
pub fn largest_partition(cluster: &Cluster) -> (u32, u32) {
    // Only the owner counts the workers, so the largest answer of all entries is that of the owner.
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

/// Everything that the submitters were told.
#[derive(Debug, Default)]
pub struct Ledger {
    evidence: Evidence,
}

impl Ledger {
    /// Submits a job and notes the answer.
    pub fn submit(&mut self, cluster: &Cluster, entry: usize, job: &Job) -> Answer {
        let told = job.submit(cluster.entries[entry].operator);
        self.note(told);
        told.answer
    }

    /// Submits a job that must be accepted.
    ///
    /// # Panics
    ///
    /// When it is not.
    pub fn accept(&mut self, cluster: &Cluster, entry: usize, job: &Job) {
        assert_eq!(self.submit(cluster, entry, job), Answer::Accepted, "{job:?}");
    }

    /// Notes what a submitter was told.
    pub fn note(&mut self, told: Told) {
        self.evidence.told.push(told);
    }

    /// Returns what submitters were told so far.
    pub fn told(&self) -> &[Told] {
        &self.evidence.told
    }

    /// Cancels a job and notes a confirmation. Returns the job's state in the answer.
    pub fn cancel(&mut self, cluster: &Cluster, entry: usize, job: &Job) -> Option<String> {
        let (state, confirmed) = job.cancel(cluster.entries[entry].operator)?;
        self.evidence.cancelled.extend(confirmed);
        Some(state)
    }

    /// Notes a confirmed cancellation.
    pub fn note_cancelled(&mut self, cancelled: Cancelled) {
        self.evidence.cancelled.push(cancelled);
    }

    /// Kills a worker and notes its death.
    pub fn kill_worker(&mut self, cluster: &mut Cluster, index: usize) {
        cluster.signal_worker(index, Signal::Kill);
        let worker = cluster.workers[index].name.parse().expect("a valid worker id");
        self.evidence.deaths.push(Death { worker, wall_us: wall_us() });
    }

    /// Hosts a service of this many processors on a worker, so that batch work must leave that
    /// room. Call it before the first submission.
    pub fn reserve(&mut self, cluster: &Cluster, worker: usize, runner: usize, cores: u32) {
        let host = cluster.workers[worker].name.clone();
        let name = cluster.runners[runner].name.clone();
        cluster.inventory_change(json!({ "patch": { name: {
            "host": host, "capacity": { "processor": u64::from(cores) * 1000, "memory": 1u64 << 30, "accelerator": 0 },
        } } }));
        let reserved = size::Resources {
            processor: size::Processor::from_cores(cores),
            memory: size::Bytes::new(1 << 30),
            accelerator: size::Accelerator::new(0),
        };
        self.evidence.reserved.insert(host.parse().expect("a valid worker id"), reserved);
    }

    /// Waits until every accepted job has reached a final state.
    pub fn wait_finished(&self, cluster: &Cluster, entry: usize, limit: Duration) {
        let mut open: Vec<id::Job> = Vec::new();
        for told in &self.evidence.told {
            if told.answer == Answer::Accepted {
                open.push(told.job);
            }
        }
        for job in open {
            let seen = RefCell::new(String::new());
            cluster.wait_until(&format!("job {job} ends"), limit, || {
                let answer = cluster.job(entry, &job.to_string());
                let state = answer.as_ref().ok().and_then(|answer| answer.body["state"].as_str());
                let ended = ["finished", "cancelled", "failed"];
                let has_ended = state.is_some_and(|state| ended.contains(&state));
                let text = format!("job {job}: {answer:?}");
                if !has_ended && *seen.borrow() != text {
                    println!("{text}");
                    seen.replace(text);
                }
                has_ended
            });
        }
    }

    /// Returns what is judged: the records so far and what was noted.
    pub fn evidence(&mut self, cluster: &Cluster) -> &Evidence {
        let lines = batch::read(cluster.worker_records()).expect("the records can be read");
        self.evidence.lines = lines;
        &self.evidence
    }

    /// Waits until the workers that live have published or discarded every result, so that each
    /// is judged. What is open at the limit counts as published.
    fn wait_settled(&mut self, cluster: &Cluster) {
        let end = Instant::now() + SETTLE_TIME;
        while batch::unsettled(self.evidence(cluster)) > 0 && Instant::now() < end {
            std::thread::sleep(SETTLE_POLL);
        }
    }

    /// Checks the records.
    ///
    /// # Panics
    ///
    /// When a guarantee is broken.
    pub fn judge(&mut self, cluster: &Cluster) {
        self.wait_settled(cluster);
        let evidence = self.evidence(cluster);
        let violations: Vec<String> =
            batch::check(evidence).iter().map(ToString::to_string).collect();
        assert!(violations.is_empty(), "{}", violations.join("\n"));
        println!("{} record lines, {} answers", evidence.lines.len(), evidence.told.len());
    }
}

fn call(operator: SocketAddr, method: Method, path: &str, body: &Value) -> Option<(u16, Value)> {
    let caller = Caller::new(operator, CALL_TIME);
    let answer =
        async_io::block_on(caller.call(method, path, Some(body.to_string().into_bytes()))).ok()?;
    let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    Some((answer.status, body))
}
