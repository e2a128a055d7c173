//! What the log holds, and what the next owner reads from it.

mod support;

use std::time::Duration;

use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job::State;
use support::{Harness, spec, step};

const JOB: &str = "00000000000000a1";
const SECOND: Duration = Duration::from_secs(1);

/// Returns a job of 200 tasks, half of which run.
fn large() -> Harness {
    let mut harness = Harness::new(&[50, 50]);
    harness.look_at_all();
    harness.submit("batch", JOB, spec(vec![step(200, 1, SECOND)]));
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.running().len(), 100);
    harness
}

/// Guards against a log that grows with the size of the jobs instead of with what happens: a new
/// owner behind a slow link then needs longer to read it than it is given.
#[test]
fn the_end_of_a_task_is_a_small_record() {
    let mut harness = large();
    let (worker, task) = harness.running()[0].clone();
    let cause = knapweedgap_workload::worker::Cause::Done;
    harness.workers.get_mut(&worker).expect("known").end(task, cause);
    harness.look_at_all();
    let batch = harness.take_batch().expect("an end and the start that follows");
    assert!(batch.value.len() < 300, "{} bytes for two tasks", batch.value.len());
}

/// Guards against changes that are read in a wrong order or deleted before a whole record of their
/// job supersedes them, while the log is rewritten many times.
#[test]
fn the_next_owner_reads_whole_records_and_changes() {
    let mut harness = large();
    for _ in 0..4 {
        // Ends come one by one, so that each makes an entry.
        for (worker, task) in harness.running() {
            let cause = knapweedgap_workload::worker::Cause::Failed;
            harness.workers.get_mut(&worker).expect("known").end(task, cause);
            harness.look_at_all();
            harness.commit();
            if harness.log.len() > 300 {
                break;
            }
        }
        harness.take_over();
        harness.run(SECOND);
    }
    assert!(harness.log.len() < 400, "{} entries", harness.log.len());
    harness.run(SECOND * 30);
    let Answer::State(state) = harness.show("batch", JOB) else { panic!("forgotten") };
    assert!(matches!(state, State::Completed | State::Failed), "{state}");
    assert!(harness.running().is_empty());
}
