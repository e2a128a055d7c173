//! Pieces that the benchmarks of the engine share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::size;
use knapweedgap_workload::job::Step;

use super::support::step;

/// Performs a part of the load and adds its time to that of `name`.
pub fn time<Part, Value>(
    times: &mut BTreeMap<&'static str, Duration>,
    name: &'static str,
    part: Part,
) -> Value
where
    Part: FnOnce() -> Value,
{
    let started = Instant::now();
    let value = part();
    *times.entry(name).or_default() += started.elapsed();
    value
}

/// Returns a step of `count` tasks, each of which declares `milli` thousandths of a core.
pub fn sized(count: u32, milli: u64, run_time: Duration) -> Step {
    let sized = step(count, 1, run_time);
    let processor = size::Processor::from_milli(milli);
    Step { size: size::Resources { processor, ..sized.size }, ..sized }
}
