//! An installation of real processes on the loopback interface.

mod builder;
mod call;
mod child;
mod lock;
mod proxies;
mod send;

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

pub use builder::Builder;
pub use call::{Answer, call};
pub use child::{Child, Signal, program};
pub use send::send_keyed;

use crate::checker::requests::Records;
use proxies::Proxies;

/// Service that the runners serve.
pub const SERVICE: &str = "dispatch";
/// Longest wait until the installation is ready.
const READY_TIME: Duration = Duration::from_secs(15);
/// Interval at which a condition is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Instance of the daemon.
#[derive(Debug)]
pub struct Entry {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for clients.
    pub client: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Stand-in with a record.
#[derive(Debug)]
pub struct Machine {
    /// Id in the VM list.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address that the process listens on.
    pub address: SocketAddr,
    /// Record of the process; it outlives restarts.
    pub record: PathBuf,
    args: Vec<String>,
    child: Option<Child>,
}

/// Link that can go through a fault-injecting proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Link {
    /// From one entry to the key-value service.
    Store(usize),
    /// From one entry to the VM list.
    Inventory(usize),
    /// From all entries to one runner.
    Runner(usize),
    /// From all entries to one worker.
    Worker(usize),
}

/// Installation. Dropping it kills all processes. Its directory is kept when the test fails.
#[derive(Debug)]
pub struct Cluster {
    /// Entries.
    pub entries: Vec<Entry>,
    /// Runners.
    pub runners: Vec<Machine>,
    /// Workers.
    pub workers: Vec<Machine>,
    store: SocketAddr,
    inventory: SocketAddr,
    proxies: Proxies,
    services: Vec<Child>,
    loads: usize,
    lag: Duration,
    directory: PathBuf,
    // Released last, after the processes are killed.
    _lock: File,
}

impl Cluster {
    /// Starts from 3 entries, 3 zones, 3 runners, no workers and no proxies.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the directory of settings files, logs and records.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Returns the client addresses of all entries.
    pub fn clients(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.client).collect()
    }

    /// Sends a signal to an entry. After a kill it waits until the process is gone. Follow a
    /// termination with [`Cluster::wait_entry`].
    pub fn signal_entry(&mut self, index: usize, signal: Signal) {
        let child = self.entries[index].child.as_mut().expect("the entry runs");
        child.signal(signal);
        if signal == Signal::Kill {
            self.entries[index].child = None;
        }
    }

    /// Waits until an entry ended after its termination and returns whether it reported success.
    pub fn wait_entry(&mut self, index: usize, limit: Duration) -> bool {
        let mut child = self.entries[index].child.take().expect("the entry runs");
        child.wait(limit).expect("the entry ends in time").success()
    }

    /// Starts an entry that was killed or has ended.
    pub fn start_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let args = ["--config".to_owned(), entry.settings.display().to_string()];
        let log = self.directory.join(format!("{}.log", entry.name));
        entry.child = Some(Child::start("knapweedgapd", &args, &log));
    }

    /// Sends a signal to a runner.
    pub fn signal_runner(&mut self, index: usize, signal: Signal) {
        signal_machine(&mut self.runners[index], signal);
    }

    /// Sends a signal to a worker.
    pub fn signal_worker(&mut self, index: usize, signal: Signal) {
        signal_machine(&mut self.workers[index], signal);
    }

    /// Starts a runner that was killed, at its address and with the same options.
    pub fn start_runner(&mut self, index: usize) {
        start_machine("standin-runner", &mut self.runners[index], &self.directory);
    }

    /// Starts a worker that was killed, at its address and with the same options.
    pub fn start_worker(&mut self, index: usize) {
        start_machine("standin-worker", &mut self.workers[index], &self.directory);
    }

    /// Changes the faults of a link that goes through a proxy, as `{"stall": true}`.
    pub fn fault(&self, link: Link, change: Value) {
        let control = self.proxies.control(link);
        expect(call(control, "POST", "/control", Some(&change)));
    }

    /// Changes the faults of the key-value service, as `{"lose_answers": 0.5}`.
    pub fn store_fault(&self, change: Value) {
        expect(call(self.store, "POST", "/control", Some(&change)));
    }

    /// Returns the counts of the key-value service.
    pub fn store_stats(&self) -> Value {
        expect(call(self.store, "GET", "/control/stats", None))
    }

    /// Sets how old the VM list is that the entries see.
    pub fn inventory_lag(&mut self, lag: Duration) {
        let lag_ms = u64::try_from(lag.as_millis()).expect("a lag of a test is short");
        let change = json!({ "lag_ms": lag_ms });
        expect(call(self.inventory, "POST", "/control", Some(&change)));
        self.lag = lag;
    }

    /// Sets whether the VM list is out.
    pub fn inventory_outage(&self, outage: bool) {
        let change = json!({ "outage": outage });
        expect(call(self.inventory, "POST", "/control", Some(&change)));
    }

    /// Changes the VM list, as `{"patch": {"runner-0": {"state": "leaving"}}}`.
    pub fn inventory_change(&self, change: Value) {
        expect(call(self.inventory, "POST", "/control/vms", Some(&change)));
    }

    /// Marks a VM as leaving and records when the list shows it.
    pub fn leave(&self, name: &str) {
        self.inventory_change(json!({ "patch": { name: { "state": "leaving" } } }));
        let shown_us = wall_us() + u64::try_from(self.lag.as_micros()).unwrap_or_default();
        let line = json!({ "vm": name, "shown_us": shown_us });
        let file = OpenOptions::new().create(true).append(true).open(self.leaving_record());
        let written = file.and_then(|mut file| writeln!(file, "{line}"));
        written.expect("the record can be written");
    }

    /// Returns the record of VMs that were marked as leaving.
    pub fn leaving_record(&self) -> PathBuf {
        self.directory.join("leaving.jsonl")
    }

    /// Returns the records of all runners.
    pub fn runner_records(&self) -> Vec<PathBuf> {
        self.runners.iter().map(|runner| runner.record.clone()).collect()
    }

    /// Returns the records of all workers.
    pub fn worker_records(&self) -> Vec<PathBuf> {
        self.workers.iter().map(|worker| worker.record.clone()).collect()
    }

    /// Calls the administration API of an entry.
    ///
    /// # Errors
    ///
    /// An I/O error when there is no whole answer.
    pub fn operate(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> io::Result<Answer> {
        call(self.entries[entry].operator, method, path, body)
    }

    /// Submits a job of `tasks` tasks of one processor and 1 GiB each.
    ///
    /// # Errors
    ///
    /// An I/O error when there is no whole answer.
    pub fn submit(&self, entry: usize, key: &str, tasks: u32, run: &str) -> io::Result<Answer> {
        let body = json!({
            "team": "plans", "key": key, "class": "grind", "tasks": tasks,
            "size": { "processor": "1", "memory": "1GiB" }, "run_time": run,
        });
        self.operate(entry, "POST", "/v1/jobs", Some(&body))
    }

    /// Returns the status of a job.
    ///
    /// # Errors
    ///
    /// An I/O error when there is no whole answer.
    pub fn job(&self, entry: usize, job: &str) -> io::Result<Answer> {
        self.operate(entry, "GET", &format!("/v1/jobs/{job}"), None)
    }

    /// Sets one value of the settings tree, with the revision that the entry has in force.
    ///
    /// # Errors
    ///
    /// An I/O error when there is no whole answer.
    pub fn set(&self, entry: usize, path: &str, key: &str, value: Value) -> io::Result<Answer> {
        let current = self.operate(entry, "GET", "/v1/settings", None)?;
        let body = json!({
            "base": current.body["revision"],
            "author": "system-test",
            "operations": [{ "op": "set", "path": path, "key": key, "value": value }],
        });
        self.operate(entry, "PATCH", "/v1/settings", Some(&body))
    }

    /// Returns the partitions as an entry sees them.
    ///
    /// # Errors
    ///
    /// An I/O error when there is no whole answer.
    pub fn partitions(&self, entry: usize) -> io::Result<Answer> {
        self.operate(entry, "GET", "/v1/partitions", None)
    }

    /// Waits until all running entries are ready and see all partitions owned with all workers.
    ///
    /// # Panics
    ///
    /// When the time is over.
    pub fn wait_ready(&self) {
        self.wait_until("all entries are ready", READY_TIME, || {
            self.entries.iter().enumerate().all(|(index, entry)| {
                entry.child.is_none() || (self.is_ready(index) && self.owns_all(index))
            })
        });
    }

    fn is_ready(&self, entry: usize) -> bool {
        self.operate(entry, "GET", "/v1/readyz", None).is_ok_and(|answer| answer.status == 200)
    }

    fn owns_all(&self, entry: usize) -> bool {
        let Ok(answer) = self.partitions(entry) else { return false };
        let Some(partitions) = answer.body["partitions"].as_array() else { return false };
        let workers: u64 = partitions.iter().filter_map(|record| record["workers"].as_u64()).sum();
        let owned = partitions.iter().all(|record| record["owner"].is_string());
        !partitions.is_empty() && owned && workers == self.workers.len() as u64
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// When the time is over.
    pub fn wait_until(&self, what: &str, limit: Duration, condition: impl Fn() -> bool) {
        let deadline = Instant::now() + limit;
        while !condition() {
            assert!(
                Instant::now() < deadline,
                "not so within {limit:?}: {what}; logs are in {}",
                self.directory.display()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until a runner ended by itself.
    ///
    /// # Panics
    ///
    /// When the time is over.
    pub fn wait_runner(&mut self, index: usize, limit: Duration) {
        let mut child = self.runners[index].child.take().expect("the runner runs");
        child.wait(limit).expect("the runner ends in time");
    }

    /// Reads the records of a run for the checker.
    ///
    /// # Panics
    ///
    /// When an entry ended that no call of the test ended: the records of such a run show nothing.
    pub fn records(&mut self, loads: &[PathBuf]) -> Records {
        for entry in &mut self.entries {
            let ended = entry.child.as_mut().and_then(|child| child.wait(Duration::ZERO));
            assert!(ended.is_none(), "{} ended unexpectedly: {ended:?}", entry.name);
        }
        Records::read(loads, &self.runner_records(), &self.leaving_record())
    }

    /// Starts a load generator at all entries. Options as `["--rate=100"]`.
    pub fn load(&mut self, options: &[&str]) -> Load {
        let clients = self.clients();
        self.load_at(&clients, options)
    }

    /// Starts a load generator at some entries.
    pub fn load_at(&mut self, entries: &[SocketAddr], options: &[&str]) -> Load {
        let name = format!("load-{}", self.loads);
        self.loads += 1;
        let record = self.directory.join(format!("{name}.jsonl"));
        let mut args = vec![
            format!("--record={}", record.display()),
            format!("--service={SERVICE}"),
            "--json".to_owned(),
        ];
        args.extend(entries.iter().map(|entry| format!("--entry={entry}")));
        args.extend(options.iter().map(|&option| option.to_owned()));
        let log = self.directory.join(format!("{name}.log"));
        Load { child: Child::start("standin-load", &args, &log), record }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.entries.clear();
        self.runners.clear();
        self.workers.clear();
        self.services.clear();
        if std::thread::panicking() {
            eprintln!("logs and records are kept in {}", self.directory.display());
            return;
        }
        // What is left of the directory harms no later run.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Load generator.
#[derive(Debug)]
pub struct Load {
    child: Child,
    /// Record of what each caller was told.
    pub record: PathBuf,
}

impl Load {
    /// Waits for the end.
    ///
    /// # Panics
    ///
    /// When the time is over.
    pub fn finish(mut self, limit: Duration) -> PathBuf {
        self.child.wait(limit).expect("the load generator ends in time");
        self.record
    }
}

fn signal_machine(machine: &mut Machine, signal: Signal) {
    machine.child.as_mut().expect("the process runs").signal(signal);
    if signal == Signal::Kill {
        machine.child = None;
    }
}

fn start_machine(program: &str, machine: &mut Machine, directory: &Path) {
    machine.child = None;
    let mut args = vec![
        format!("--listen={}", machine.address),
        format!("--record={}", machine.record.display()),
    ];
    args.extend(machine.args.iter().cloned());
    let log = directory.join(format!("{}.log", machine.name));
    let mut child = Child::start(program, &args, &log);
    machine.address = child.listening();
    machine.child = Some(child);
}

fn expect(answer: io::Result<Answer>) -> Value {
    let answer = answer.expect("the stand-in answers");
    assert_eq!(answer.status, 200, "{}", answer.body);
    answer.body
}

/// Returns the wall time in microseconds, as the records have it.
pub fn wall_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
