//! Progress lines, the time of each step, and what did not hold.

use std::time::{Duration, Instant};

/// Progress of the run.
pub(crate) struct Progress {
    started: Instant,
    step: Instant,
    steps: Vec<(String, Duration)>,
    faults: Vec<String>,
}

impl Progress {
    /// Starts the clock.
    pub(crate) fn new() -> Progress {
        let now = Instant::now();
        Progress { started: now, step: now, steps: Vec::new(), faults: Vec::new() }
    }

    /// Prints a line with the time since the start.
    pub(crate) fn say(&self, text: &str) {
        println!("{:6.2} s  {text}", self.started.elapsed().as_secs_f64());
    }

    /// Ends a step and keeps its time.
    pub(crate) fn end(&mut self, step: &str) {
        let time = self.step.elapsed();
        self.step = Instant::now();
        self.say(&format!("done: {step}"));
        self.steps.push((step.to_owned(), time));
    }

    /// Records a fault unless the condition holds.
    pub(crate) fn require(&mut self, holds: bool, fault: &str) {
        if !holds {
            self.say(&format!("FAULT: {fault}"));
            self.faults.push(fault.to_owned());
        }
    }

    /// Returns the steps with their times.
    pub(crate) fn steps(&self) -> &[(String, Duration)] {
        &self.steps
    }

    /// Returns what did not hold.
    pub(crate) fn faults(&self) -> &[String] {
        &self.faults
    }

    /// Returns the time since the start.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}
