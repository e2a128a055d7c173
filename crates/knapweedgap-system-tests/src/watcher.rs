//! Polls the settings revision of every instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};

use crate::checker::settings::Observation;
use crate::cluster::{Cluster, call};

/// Interval at which each instance is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// One thread for each instance that polls its settings revision. There is no observation while an
/// instance does not answer.
#[derive(Debug)]
pub struct Watcher {
    start: Instant,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Observation>>>,
}

impl Watcher {
    /// Starts to poll all entries.
    pub fn start(cluster: &Cluster) -> Watcher {
        let start = Instant::now();
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for entry in &cluster.entries {
            let instance = entry.name.parse().expect("a valid instance id");
            let (operator, stop) = (entry.operator, stop.clone());
            threads.push(std::thread::spawn(move || poll(&instance, operator, start, &stop)));
        }
        Watcher { start, stop, threads }
    }

    /// Returns the time since the start, in microseconds.
    pub fn now_us(&self) -> u64 {
        micros(self.start)
    }

    /// Stops polling and returns the observations, in order of time for each instance.
    pub fn finish(self) -> Vec<Observation> {
        self.stop.store(true, Ordering::Relaxed);
        let mut observations = Vec::new();
        for thread in self.threads {
            observations.extend(thread.join().expect("a polling thread should not panic"));
        }
        observations
    }
}

fn poll(
    instance: &id::Instance,
    operator: SocketAddr,
    start: Instant,
    stop: &AtomicBool,
) -> Vec<Observation> {
    let mut observations = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let answer = call(operator, "GET", "/v1/settings", None);
        if let Ok(answer) = answer
            && answer.status == 200
            && let Some(revision) = answer.body["revision"].as_u64()
        {
            let revision = revision::Revision::new(revision);
            let instance = instance.clone();
            observations.push(Observation { instance, at_us: micros(start), revision });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    observations
}

fn micros(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
