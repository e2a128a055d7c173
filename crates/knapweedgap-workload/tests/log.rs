//! Contents of the log and the state that the next owner restores from it.

mod support;

use std::time::Duration;

use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job::State;
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;
use support::worker::Event;
use support::{Harness, spec, step};

const JOB: &str = "00000000000000a1";
const OLD: &str = "00000000000000f2";
const SECOND: Duration = Duration::from_secs(1);

fn step_of(job: &str) -> task::Step {
    task::Step { job: job.parse().expect("valid"), occurrence: 0, step: 0 }
}

/// Returns an owner with a job of 200 tasks, half of which run.
fn owner_of_large_job() -> Harness {
    let mut harness = Harness::new(&[50, 50]);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(200, 1, SECOND)]));
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.running().len(), 100);
    harness
}

/// Guards against a log that grows with the size of the jobs instead of the number of changes: a
/// new owner with a slow link to the store then can't read it within the time of a takeover.
#[test]
fn the_end_of_a_task_is_a_small_record() {
    let mut harness = owner_of_large_job();
    let (worker, task) = harness.running()[0].clone();
    harness.workers.get_mut(&worker).expect("known").end(task, Cause::Done);
    harness.poll_all();
    let batch = harness.take_batch().expect("an end and the next start");
    assert!(batch.value.len() < 300, "{} bytes for two tasks", batch.value.len());
}

/// Guards against a job that the next owner does not restore, or whose runs it stops, because some
/// of its records were rewritten after the others when the log was compacted (LOST on a day of
/// anbo-grid-grown).
#[test]
fn the_next_owner_restores_old_jobs_after_log_compaction() {
    let mut harness = Harness::new(&[50, 50]);
    harness.poll_all();
    let old = step_of(OLD);
    harness.workers.values_mut().for_each(|worker| {
        worker.work.insert(old, SECOND * 600);
    });
    let mut entries = 0;
    for number in 0..4 {
        let job = format!("{:016x}", 0xc0 + number);
        harness.submit("batch", &job, spec(vec![step(180, 1, SECOND)]));
        harness.round();
        assert_eq!(harness.show("batch", &job), Answer::State(State::Running));
        if number == 0 {
            // The job waits for capacity, so that its acceptance and its start are far apart in
            // the log.
            harness.submit("batch", OLD, spec(vec![step(4, 1, SECOND)]));
            harness.round();
            assert_eq!(harness.show("batch", OLD), Answer::State(State::Queued));
        }
        loop {
            let found = harness.running().into_iter().find(|(_, task)| task.step != old);
            let Some((worker, task)) = found else { break };
            harness.workers.get_mut(&worker).expect("known").end(task, Cause::Done);
            harness.poll(&worker);
            harness.commit();
            harness.deliver();
            entries += 1;
            if entries % 90 == 0 {
                let mut next = Harness::new(&[]);
                next.log = harness.log.clone();
                next.take_over();
                assert_eq!(next.show("batch", OLD), harness.show("batch", OLD), "{entries}");
            }
        }
    }
    assert!(entries > 600, "{entries} entries do not compact the log");
    assert!(harness.log.len() < 400, "{} entries", harness.log.len());
    harness.take_over();
    harness.round();
    assert_eq!(harness.show("batch", OLD), Answer::State(State::Running));
    let events = harness.workers.values().flat_map(|worker| &worker.events);
    let stopped = |event: &&Event| matches!(event, Event::Ended(_, _, Cause::Stopped));
    assert_eq!(events.filter(stopped).count(), 0, "the next owner stops unknown runs");
}
