//! Installation of real processes on the loopback interface.

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

/// Name of the service that the runners provide.
pub const SERVICE: &str = "dispatch";
/// Longest wait until the installation is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which a condition is evaluated.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Instance of the daemon; its process may be stopped.
#[derive(Debug)]
pub struct Entry {
    /// Instance id.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the client interface.
    pub client: SocketAddr,
    /// Address of the administration API.
    pub operator: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Stand-in process of a runner or worker, which writes a record.
#[derive(Debug)]
pub struct Machine {
    /// Id in the VM list.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address that the process listens on.
    pub address: SocketAddr,
    /// Record file, which is appended to after a restart.
    pub record: PathBuf,
    args: Vec<String>,
    child: Option<Child>,
}

/// Link that can be routed through a fault-injecting proxy.
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

/// Installation. Dropping it kills all processes and removes its directory unless the test failed.
#[derive(Debug)]
#[expect(missing_docs, reason = "the names and types say what the fields are")]
pub struct Cluster {
    pub entries: Vec<Entry>,
    pub runners: Vec<Machine>,
    pub workers: Vec<Machine>,
    store: SocketAddr,
    inventory: SocketAddr,
    proxies: Proxies,
    services: Vec<Child>,
    loads: usize,
    lag: Duration,
    directory: PathBuf,
    // Released last, after all processes have ended.
    _lock: File,
}

impl Cluster {
    /// Creates a builder with 3 entries, 3 zones, 3 runners, no workers and no proxies.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the directory of the configuration files, logs and records.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Returns the client addresses of all entries.
    pub fn clients(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.client).collect()
    }

    /// Sends a signal to an entry. After [`Signal::Kill`] it waits until the process has ended; call
    /// [`Cluster::wait_entry`] after [`Signal::Terminate`].
    ///
    /// # Panics
    ///
    /// Panics if the entry is not running.
    pub fn signal_entry(&mut self, index: usize, signal: Signal) {
        let child = self.entries[index].child.as_mut().expect("the entry should be running");
        child.signal(signal);
        if signal == Signal::Kill {
            self.entries[index].child = None;
        }
    }

    /// Waits until a terminated entry has ended. Returns `true` if its exit status is success.
    ///
    /// # Panics
    ///
    /// Panics if the entry has not ended within the timeout.
    pub fn wait_entry(&mut self, index: usize, timeout: Duration) -> bool {
        let mut child = self.entries[index].child.take().expect("the entry should be running");
        child.wait(timeout).expect("the entry should end within the timeout").success()
    }

    /// Starts an entry that was killed or has ended.
    pub fn start_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let args = ["--config".to_owned(), entry.settings.display().to_string()];
        let log = self.directory.join(format!("{}.log", entry.name));
        entry.child = Some(Child::start("knapweedgapd", &args, &log));
    }

    /// Sends a signal to a runner. After [`Signal::Kill`] it waits until the process has ended.
    pub fn signal_runner(&mut self, index: usize, signal: Signal) {
        signal_machine(&mut self.runners[index], signal);
    }

    /// Sends a signal to a worker. After [`Signal::Kill`] it waits until the process has ended.
    pub fn signal_worker(&mut self, index: usize, signal: Signal) {
        signal_machine(&mut self.workers[index], signal);
    }

    /// Restarts a killed runner at its address and with its options.
    pub fn start_runner(&mut self, index: usize) {
        start_machine("standin-runner", &mut self.runners[index], &self.directory);
    }

    /// Restarts a killed worker at its address and with its options.
    pub fn start_worker(&mut self, index: usize) {
        start_machine("standin-worker", &mut self.workers[index], &self.directory);
    }

    /// Changes the faults of a link that has a proxy, for example `{"stall": true}`.
    ///
    /// # Panics
    ///
    /// Panics if the link has no proxy.
    pub fn set_link_fault(&self, link: Link, change: Value) {
        let control = self.proxies.control(link);
        expect(call(control, "POST", "/control", Some(&change)));
    }

    /// Changes the faults of the key-value service, for example `{"lose_answers": 0.5}`.
    pub fn set_store_fault(&self, change: Value) {
        expect(call(self.store, "POST", "/control", Some(&change)));
    }

    /// Returns the numbers of calls and bytes at the key-value service.
    pub fn store_stats(&self) -> Value {
        expect(call(self.store, "GET", "/control/stats", None))
    }

    /// Sets the delay after which a change of the VM list is visible to the entries.
    pub fn set_inventory_lag(&mut self, lag: Duration) {
        let lag_ms = u64::try_from(lag.as_millis()).expect("the lag of a test is short");
        let change = json!({ "lag_ms": lag_ms });
        expect(call(self.inventory, "POST", "/control", Some(&change)));
        self.lag = lag;
    }

    /// Sets whether the VM list is unavailable.
    pub fn set_inventory_outage(&self, outage: bool) {
        let change = json!({ "outage": outage });
        expect(call(self.inventory, "POST", "/control", Some(&change)));
    }

    /// Changes the VM list, for example `{"patch": {"runner-0": {"state": "leaving"}}}`.
    pub fn change_inventory(&self, change: Value) {
        expect(call(self.inventory, "POST", "/control/vms", Some(&change)));
    }

    /// Marks a VM as leaving and records from when the list shows it.
    pub fn mark_leaving(&self, name: &str) {
        self.change_inventory(json!({ "patch": { name: { "state": "leaving" } } }));
        let shown_us = wall_us() + u64::try_from(self.lag.as_micros()).unwrap_or_default();
        let line = json!({ "vm": name, "shown_us": shown_us });
        let file = OpenOptions::new().create(true).append(true).open(self.leaving_record());
        let written = file.and_then(|mut file| writeln!(file, "{line}"));
        written.expect("the record should be writable");
    }

    /// Returns the path of the record of VMs that were marked as leaving. It exists only after the
    /// first one.
    pub fn leaving_record(&self) -> PathBuf {
        self.directory.join("leaving.jsonl")
    }

    /// Returns the paths of the records of all runners.
    pub fn runner_records(&self) -> Vec<PathBuf> {
        self.runners.iter().map(|runner| runner.record.clone()).collect()
    }

    /// Returns the paths of the records of all workers.
    pub fn worker_records(&self) -> Vec<PathBuf> {
        self.workers.iter().map(|worker| worker.record.clone()).collect()
    }

    /// Calls the administration API of an entry.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no complete response arrives.
    pub fn call_operator(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> io::Result<Answer> {
        call(self.entries[entry].operator, method, path, body)
    }

    /// Submits a job of `tasks` tasks of one processor and 1 GiB each with a run time of `run_time`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no complete response arrives.
    pub fn submit(
        &self,
        entry: usize,
        key: &str,
        tasks: u32,
        run_time: &str,
    ) -> io::Result<Answer> {
        let body = json!({
            "team": "plans", "key": key, "class": "grind", "tasks": tasks,
            "size": { "processor": "1", "memory": "1GiB" }, "run_time": run_time,
        });
        self.call_operator(entry, "POST", "/v1/jobs", Some(&body))
    }

    /// Returns the status of a job.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no complete response arrives.
    pub fn job(&self, entry: usize, job: &str) -> io::Result<Answer> {
        self.call_operator(entry, "GET", &format!("/v1/jobs/{job}"), None)
    }

    /// Sets one value of the settings tree, based on the revision that the entry has in force.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no complete response arrives.
    pub fn change_setting(
        &self,
        entry: usize,
        path: &str,
        key: &str,
        value: Value,
    ) -> io::Result<Answer> {
        let current = self.call_operator(entry, "GET", "/v1/settings", None)?;
        let body = json!({
            "base": current.body["revision"],
            "author": "system-test",
            "operations": [{ "op": "set", "path": path, "key": key, "value": value }],
        });
        self.call_operator(entry, "PATCH", "/v1/settings", Some(&body))
    }

    /// Returns the partitions as reported by an entry.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no complete response arrives.
    pub fn partitions(&self, entry: usize) -> io::Result<Answer> {
        self.call_operator(entry, "GET", "/v1/partitions", None)
    }

    /// Waits until every running entry is ready and reports an owner for each partition and all
    /// workers.
    ///
    /// # Panics
    ///
    /// Panics if this takes longer than 15 s.
    pub fn wait_ready(&self) {
        self.wait_until("all entries are ready", READY_TIMEOUT, || {
            self.entries.iter().enumerate().all(|(index, entry)| {
                entry.child.is_none() || (self.is_ready(index) && self.reports_all_owned(index))
            })
        });
    }

    fn is_ready(&self, entry: usize) -> bool {
        self.call_operator(entry, "GET", "/v1/readyz", None)
            .is_ok_and(|answer| answer.status == 200)
    }

    fn reports_all_owned(&self, entry: usize) -> bool {
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
    /// Panics with the text `what` if the condition does not hold within the timeout.
    pub fn wait_until(&self, what: &str, timeout: Duration, condition: impl Fn() -> bool) {
        let deadline = Instant::now() + timeout;
        while !condition() {
            assert!(
                Instant::now() < deadline,
                "condition not met within {timeout:?}: {what}; logs are in {}",
                self.directory.display()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until a runner has exited without a signal.
    ///
    /// # Panics
    ///
    /// Panics if the runner still runs after the timeout.
    pub fn wait_runner(&mut self, index: usize, timeout: Duration) {
        let mut child = self.runners[index].child.take().expect("the runner should be running");
        child.wait(timeout).expect("the runner should exit within the timeout");
    }

    /// Reads the records of the load generators, the runners and the harness for the checker.
    ///
    /// # Panics
    ///
    /// Panics if an entry exited that the test did not stop, because the records prove nothing then.
    pub fn records(&mut self, loads: &[PathBuf]) -> Records {
        for entry in &mut self.entries {
            let ended = entry.child.as_mut().and_then(|child| child.wait(Duration::ZERO));
            assert!(ended.is_none(), "{} ended unexpectedly: {ended:?}", entry.name);
        }
        Records::read(loads, &self.runner_records(), &self.leaving_record())
    }

    /// Starts a load generator that sends to all entries, with options such as `--rate=100`.
    pub fn load(&mut self, options: &[&str]) -> Load {
        let clients = self.clients();
        self.load_at(&clients, options)
    }

    /// Starts a load generator that sends to the given client addresses of entries.
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
        // Each installation has its own directory, so remaining files don't affect later runs.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Running load generator.
#[derive(Debug)]
pub struct Load {
    child: Child,
    /// Path of the record of all requests and their outcomes.
    pub record: PathBuf,
}

impl Load {
    /// Waits until the load generator has exited and returns the path of its record.
    ///
    /// # Panics
    ///
    /// Panics if it still runs after the timeout.
    pub fn finish(mut self, timeout: Duration) -> PathBuf {
        self.child.wait(timeout).expect("the load generator should exit within the timeout");
        self.record
    }
}

fn signal_machine(machine: &mut Machine, signal: Signal) {
    machine.child.as_mut().expect("the process should be running").signal(signal);
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
    machine.address = child.read_address();
    machine.child = Some(child);
}

/// Returns the body of a stand-in's answer, which must have status 200.
fn expect(answer: io::Result<Answer>) -> Value {
    let answer = answer.expect("the stand-in should answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
    answer.body
}

/// Returns the wall time in microseconds since the Unix epoch, as in the records.
pub fn wall_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
