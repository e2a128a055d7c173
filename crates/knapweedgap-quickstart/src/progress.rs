//! Progress output, step durations and failed checks.

use std::time::{Duration, Instant};

/// Progress of the run: step durations and failed checks.
pub(crate) struct Progress {
    started: Instant,
    step_started: Instant,
    steps: Vec<(String, Duration)>,
    failures: Vec<String>,
}

impl Progress {
    /// Starts the clocks of the run and of its first step.
    pub(crate) fn new() -> Progress {
        let now = Instant::now();
        Progress { started: now, step_started: now, steps: Vec::new(), failures: Vec::new() }
    }

    /// Prints a line, prefixed with the seconds since the start.
    pub(crate) fn print(&self, text: &str) {
        println!("{:6.2} s  {text}", self.started.elapsed().as_secs_f64());
    }

    /// Records the duration of the step that ends now and starts the next one.
    pub(crate) fn finish_step(&mut self, step: &str) {
        let duration = self.step_started.elapsed();
        self.step_started = Instant::now();
        self.print(&format!("done: {step}"));
        self.steps.push((step.to_owned(), duration));
    }

    /// Prints and records `failure` unless `passed` is `true`.
    pub(crate) fn check(&mut self, passed: bool, failure: &str) {
        if !passed {
            self.print(&format!("FAILED: {failure}"));
            self.failures.push(failure.to_owned());
        }
    }

    /// Returns the finished steps with their durations, in order.
    pub(crate) fn steps(&self) -> &[(String, Duration)] {
        &self.steps
    }

    /// Returns the messages of the failed checks, in order.
    pub(crate) fn failures(&self) -> &[String] {
        &self.failures
    }

    /// Returns the time since the start.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}
