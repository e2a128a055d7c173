//! Simulated gangs, whose members work only together.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedgap_core::{id, revision};
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;

use super::Worker;

/// Work of each member.
const RUN_TIME: Duration = Duration::from_secs(1);
/// Time for which members wait for the others.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Advances the runs of a gang of `count` tasks, and ends them together.
pub fn advance(
    workers: &mut BTreeMap<id::Worker, Worker>,
    step: task::Step,
    count: usize,
    time: Duration,
) {
    let mut runs: BTreeMap<revision::Run, Vec<(id::Worker, task::Id)>> = BTreeMap::new();
    for (id, worker) in workers.iter() {
        for (&task, run) in worker.runs.iter().filter(|(task, _)| task.step == step) {
            runs.entry(run.number).or_default().push((id.clone(), task));
        }
    }
    for members in runs.into_values() {
        let is_complete = members.len() == count;
        let mut cause = None;
        for (id, task) in &members {
            let Some(worker) = workers.get_mut(id) else { continue };
            let fails = worker.fails;
            let Some(run) = worker.runs.get_mut(task) else { continue };
            let was_complete = !run.worked.is_zero();
            if is_complete {
                run.worked += time;
            } else {
                run.waited += time;
            }
            cause = cause.or(match (is_complete, was_complete) {
                (true, _) if run.worked >= RUN_TIME => Some(Cause::Done),
                (true, _) if fails => Some(Cause::Failed),
                (false, true) => Some(Cause::GangEnded),
                (false, false) if run.waited >= START_TIMEOUT => Some(Cause::GangIncomplete),
                _ => None,
            });
        }
        let Some(cause) = cause else { continue };
        for (id, task) in &members {
            let Some(worker) = workers.get_mut(id) else { continue };
            // The failure of one member breaks the others.
            let is_broken = cause == Cause::Failed && !worker.fails;
            worker.end(*task, if is_broken { Cause::GangEnded } else { cause });
        }
    }
}
