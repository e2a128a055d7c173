//! Metrics of a run.

/// Sums over the measured seconds of a run.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    /// Seconds of service time, over all services.
    pub service_s: u64,
    /// Seconds of service time in which the latency target was missed.
    pub missed_s: u64,
    /// Core seconds of completed tasks.
    pub completed: f64,
    /// Number of completed tasks.
    pub finished: u64,
    /// Evictions that end interference with a service.
    pub evicted_interference: u64,
    /// Evictions for urgent work or because the capacity of a worker shrinks.
    pub evicted_other: u64,
    /// Work lost to evictions, in seconds of run time.
    pub lost_s: f64,
    /// Delays of urgent jobs from submission to the start command, in milliseconds, unsorted.
    pub urgent_ms: Vec<u64>,
    /// Urgent jobs that had not started by the end of the run.
    pub urgent_waiting: u64,
    /// Submissions refused because no worker is large enough.
    pub refused: u64,
    /// Submissions refused for other reasons.
    pub refused_other: u64,
}

impl Metrics {
    /// Adds the metrics of another run or second.
    pub fn add(&mut self, other: &Metrics) {
        self.service_s += other.service_s;
        self.missed_s += other.missed_s;
        self.completed += other.completed;
        self.finished += other.finished;
        self.evicted_interference += other.evicted_interference;
        self.evicted_other += other.evicted_other;
        self.lost_s += other.lost_s;
        self.urgent_ms.extend(&other.urgent_ms);
        self.urgent_waiting += other.urgent_waiting;
        self.refused += other.refused;
        self.refused_other += other.refused_other;
    }
}
