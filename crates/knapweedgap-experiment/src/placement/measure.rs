//! What a run has measured.

/// Sums over the measured time of a run.
#[derive(Debug, Clone, Default)]
pub struct Measure {
    /// Seconds of all services.
    pub service_s: u64,
    /// Seconds in which a service missed its target.
    pub missed_s: u64,
    /// Core seconds of completed tasks.
    pub completed: f64,
    /// Completed tasks.
    pub finished: u64,
    /// Evictions against interference.
    pub evicted_interference: u64,
    /// Evictions for urgent work and for a worker that gives up room.
    pub evicted_other: u64,
    /// Seconds of work that stops for eviction lost.
    pub lost_s: f64,
    /// Delays of urgent jobs from submission to the start command, in milliseconds.
    pub urgent_ms: Vec<u64>,
    /// Urgent jobs without a start by the end of the run.
    pub urgent_waiting: u64,
    /// Submissions that were refused because no worker can run them.
    pub refused: u64,
    /// Submissions refused for other reasons.
    pub refused_other: u64,
}

impl Measure {
    /// Adds another run.
    pub fn add(&mut self, other: &Measure) {
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
