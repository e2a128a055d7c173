//! Processor time of the control thread by part of its work.

use std::cell::Cell;
use std::time::Duration;

use derive_more::Display;
use knapweedgap_core::clock::Clock;

use crate::metric;

/// Part of the work of the control thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum Part {
    /// Executor, timers, connections, and the encoding of messages.
    #[display("other")]
    Other,
    /// Periodic work of the engine, which includes the placement of tasks.
    #[display("tick")]
    Tick,
    /// Polls and reports of workers, and outcomes of orders.
    #[display("reports")]
    Reports,
    /// Entries of workers and operators in the store.
    #[display("entries")]
    Entries,
    /// Requests of clients.
    #[display("requests")]
    Requests,
    /// Batches of the log, and what their commit releases.
    #[display("commits")]
    Commits,
    /// Start of the tasks that carry out actions of the engine.
    #[display("actions")]
    Actions,
    /// Log lines.
    #[display("log")]
    Log,
}

/// All parts, in the order of their discriminants.
const PARTS: [Part; 8] = [
    Part::Other,
    Part::Tick,
    Part::Reports,
    Part::Entries,
    Part::Requests,
    Part::Commits,
    Part::Actions,
    Part::Log,
];

/// Meter of the processor time of one thread. A part that is measured within another one is not
/// counted for the outer one.
#[derive(Debug)]
pub(super) struct Meter<Source> {
    clock: Source,
    current: Cell<Part>,
    since: Cell<Duration>,
    times: [Cell<Duration>; PARTS.len()],
}

impl<Source> Meter<Source>
where
    Source: Clock,
{
    pub(super) fn new(clock: Source) -> Meter<Source> {
        let since = Cell::new(clock.processor());
        Meter { clock, current: Cell::new(Part::Other), since, times: Default::default() }
    }

    /// Performs `work` and counts its processor time for `part`.
    pub(super) fn measure<Work, Value>(&self, part: Part, work: Work) -> Value
    where
        Work: FnOnce() -> Value,
    {
        let outer = self.switch(part);
        let value = work();
        self.switch(outer);
        value
    }

    /// Counts the time since the last switch, and returns the part that it was counted for.
    fn switch(&self, part: Part) -> Part {
        let now = self.clock.processor();
        let elapsed = now.saturating_sub(self.since.replace(now));
        let former = self.current.replace(part);
        let time = &self.times[former as usize];
        time.set(time.get() + elapsed);
        former
    }

    /// Returns the processor time of each part since the last call, for the log, and adds it to the
    /// metrics.
    pub(super) fn take(&self) -> String {
        self.switch(self.current.get());
        let mut line = String::new();
        for (part, time) in PARTS.iter().zip(&self.times) {
            let time = time.take();
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            metrics::counter!(metric::CONTROL_MICROS, "part" => part.to_string()).increment(micros);
            line.push_str(&format!(" {part}_ms={:.1}", time.as_secs_f64() * 1e3));
        }
        line
    }
}
