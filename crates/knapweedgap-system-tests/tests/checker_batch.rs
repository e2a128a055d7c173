//! Tests of the batch checker with synthetic records.

use knapweedgap_system_tests::checker::batch::{
    Cancellation, History, Kill, Line, Outcome, Submission, Violation, check,
};
use serde_json::json;

const TASK: &str = "00000000000000aa.0";

/// Synthetic history of one job of one task.
struct Synthetic(History);

impl Synthetic {
    /// Creates the history of an accepted job without events.
    fn accepted() -> Synthetic {
        Synthetic::submitted(Outcome::Accepted)
    }

    fn submitted(outcome: Outcome) -> Synthetic {
        let job = "00000000000000aa".parse().expect("a job id");
        let submissions = vec![Submission { job, tasks: 1, outcome }];
        Synthetic(History { submissions, ..History::default() })
    }

    /// Adds an event of the task on a worker with four processors. An empty checkpoint is none.
    fn line(
        mut self,
        at: u64,
        worker: &str,
        event: &str,
        attempt: u32,
        checkpoint: &str,
    ) -> Synthetic {
        let checkpoint = (!checkpoint.is_empty()).then_some(checkpoint);
        let line: Line = serde_json::from_value(json!({
            "wall_us": at, "worker": worker, "incarnation": 7, "event": event, "clock_us": at,
            "task": TASK, "attempt": attempt, "partition": 0, "epoch": 1,
            "size": { "processor": 3000 }, "committed": { "processor": 3000 },
            "capacity": { "processor": 4000 }, "share": 1000, "progress_us": 0,
            "checkpoint": checkpoint,
        }))
        .expect("a line");
        self.0.lines.push(line);
        self
    }

    fn violations(&self) -> Vec<Violation> {
        check(&self.0)
    }
}

fn task() -> knapweedgap_core::id::Task {
    TASK.parse().expect("a task id")
}

/// Guards against a checker that reports a violation in a correct record.
#[test]
fn an_eviction_that_resumes_once_has_no_violations() {
    let history = Synthetic::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "checkpoint", 1, "a1-5")
        .line(3, "w1", "stop", 1, "a1-9")
        .line(4, "w2", "start", 2, "a1-9")
        .line(5, "w2", "complete", 2, "a1-9");
    assert_eq!(history.violations(), []);
}

/// Guards against a checker that ignores the committed size that the worker reports.
#[test]
fn a_commitment_beyond_the_capacity_is_found() {
    let mut history =
        Synthetic::accepted().line(1, "w1", "start", 1, "").line(2, "w1", "complete", 1, "");
    history.0.lines[0].committed = "5/0/0".parse().expect("a size");
    assert!(matches!(history.violations()[..], [Violation::OverCapacity { wall_us: 1, .. }]));
}

/// Guards against a checker that relies on the committed size that the worker reports.
#[test]
fn running_attempts_are_summed_independently_of_the_workers_report() {
    let mut history = Synthetic::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "start", 1, "")
        .line(3, "w1", "complete", 1, "")
        .line(4, "w1", "complete", 1, "");
    history.0.submissions[0].tasks = 2;
    for index in [1, 3] {
        history.0.lines[index].task.index = 1;
    }
    assert!(matches!(history.violations()[..], [Violation::OverCapacity { wall_us: 2, .. }]));
}

/// Guards against a checker that ignores the capacity that is reserved for services.
#[test]
fn the_reservations_of_services_count() {
    let mut history =
        Synthetic::accepted().line(1, "w1", "start", 1, "").line(2, "w1", "complete", 1, "");
    let reserved = ("w1".parse().expect("an id"), "2/0/0".parse().expect("a size"));
    history.0.reserved.extend([reserved]);
    assert!(matches!(history.violations()[0], Violation::OverCapacity { wall_us: 1, .. }));
}

/// Guards against a checker that misses two attempts of a task running at the same time on two
/// workers.
#[test]
fn overlapping_attempts_are_found() {
    let history = Synthetic::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w2", "start", 2, "")
        .line(3, "w1", "lapse", 1, "")
        .line(4, "w2", "complete", 2, "");
    let [Violation::Overlap { task: found, .. }] = history.violations()[..] else {
        panic!("{:?}", history.violations());
    };
    assert_eq!(found, task());
}

/// Guards against a checker that treats an attempt without a recorded end as ended, or the attempts
/// of a killed worker as still running.
#[test]
fn an_open_attempt_ends_only_with_its_worker() {
    let mut history = Synthetic::accepted()
        .line(1, "w1", "start", 1, "")
        .line(5, "w2", "start", 2, "")
        .line(6, "w2", "complete", 2, "");
    assert!(matches!(history.violations()[..], [Violation::Overlap { .. }]));
    history.0.kills.push(Kill { worker: "w1".parse().expect("an id"), wall_us: 4 });
    assert_eq!(history.violations(), []);
}

/// Guards against a checker that misses a second start of the same attempt.
#[test]
fn an_attempt_that_starts_twice_is_found() {
    let history = Synthetic::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "stop", 1, "a1-9")
        .line(3, "w2", "start", 2, "a1-9")
        .line(4, "w2", "stop", 2, "a2-9")
        .line(5, "w1", "start", 2, "a2-9")
        .line(6, "w1", "complete", 2, "a2-9");
    assert!(matches!(history.violations()[..], [Violation::AttemptRepeated { .. }]));
}

/// Guards against a checker that misses a replacement which the owner started before it had received
/// the end of the earlier attempt.
#[test]
fn a_superseded_attempt_is_found() {
    let history = Synthetic::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "superseded", 1, "")
        .line(2, "w1", "start", 2, "")
        .line(3, "w1", "complete", 2, "");
    assert!(matches!(history.violations()[..], [Violation::Superseded { .. }]));
}

/// Guards against a checker that misses an eviction after which the task resumes from an older
/// checkpoint.
#[test]
fn a_resume_from_an_older_checkpoint_is_found() {
    let history = Synthetic::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "checkpoint", 1, "a1-5")
        .line(3, "w1", "stop", 1, "a1-9")
        .line(4, "w2", "start", 2, "a1-5")
        .line(5, "w2", "complete", 2, "a1-5");
    assert!(matches!(history.violations()[..], [Violation::WrongCheckpoint { .. }]));
}

/// Guards against a checker that misses a resume from a checkpoint that no attempt wrote.
#[test]
fn a_resume_from_an_unknown_checkpoint_is_found() {
    let history = Synthetic::accepted()
        .line(1, "w1", "start", 1, "")
        .line(3, "w1", "lapse", 1, "")
        .line(4, "w2", "start", 2, "a9-5")
        .line(5, "w2", "complete", 2, "a9-5");
    assert!(matches!(history.violations()[..], [Violation::WrongCheckpoint { .. }]));
}

/// Guards against a checker that misses an evicted task that resumes although its job was cancelled
/// before.
#[test]
fn a_resume_after_the_cancellation_is_found() {
    let mut history = Synthetic::accepted()
        .line(1, "w1", "start", 1, "")
        .line(5, "w1", "stop", 1, "a1-9")
        .line(6, "w2", "start", 2, "a1-9")
        .line(7, "w2", "stop", 2, "a2-9");
    history.0.cancellations.push(Cancellation { job: task().job, wall_us: 3 });
    assert!(matches!(history.violations()[..], [Violation::ResumedCancelled { .. }]));
}

/// Guards against a checker that misses the loss of an accepted job.
#[test]
fn an_accepted_job_that_never_completes_is_found() {
    let history = Synthetic::accepted().line(1, "w1", "start", 1, "").line(2, "w1", "stop", 1, "");
    assert!(matches!(history.violations()[..], [Violation::Completions { count: 0, .. }]));
    let never_started = Synthetic::accepted();
    assert!(matches!(never_started.violations()[..], [Violation::Completions { count: 0, .. }]));
}

/// Guards against a checker that misses a task that completes twice.
#[test]
fn a_second_completion_is_found() {
    let history = Synthetic::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "complete", 1, "")
        .line(3, "w2", "start", 2, "")
        .line(4, "w2", "complete", 2, "");
    let violations = history.violations();
    assert!(violations.contains(&Violation::Completions { task: task(), count: 2 }));
    let attempt = knapweedgap_core::id::Attempt::new(2);
    assert!(violations.contains(&Violation::RanAfterCompletion { task: task(), attempt }));
}

/// Guards against a checker that counts discarded results, or that accepts a second completion whose
/// result was not discarded.
#[test]
fn discarded_results_do_not_count() {
    let completed_twice = || {
        Synthetic::accepted()
            .line(1, "w1", "start", 1, "")
            .line(2, "w1", "complete", 1, "")
            .line(3, "w2", "start", 2, "")
            .line(4, "w2", "complete", 2, "")
    };
    let twice = Violation::Completions { task: task(), count: 2 };
    let discarded = completed_twice().line(5, "w1", "discard", 1, "");
    assert_eq!(discarded.violations(), []);
    let first_published = completed_twice().line(5, "w1", "publish", 1, "");
    assert!(first_published.violations().contains(&twice));
    let both = completed_twice().line(5, "w1", "publish", 1, "").line(6, "w2", "publish", 2, "");
    assert!(both.violations().contains(&twice));
    let none = completed_twice().line(5, "w1", "discard", 1, "").line(6, "w2", "discard", 2, "");
    let never = Violation::Completions { task: task(), count: 0 };
    assert!(none.violations().contains(&never));
}

/// Guards against a checker that ignores a published result because its worker was killed later.
#[test]
fn an_unsettled_result_of_a_killed_worker_counts_only_without_a_successor() {
    let killed = |mut history: Synthetic| {
        history.0.kills.push(Kill { worker: "w1".parse().expect("an id"), wall_us: 4 });
        history
    };
    let completed = || {
        killed(Synthetic::accepted().line(1, "w1", "start", 1, "").line(2, "w1", "complete", 1, ""))
    };
    assert_eq!(completed().violations(), []);
    let again = |history: Synthetic| {
        history.line(5, "w2", "start", 2, "").line(6, "w2", "complete", 2, "").violations()
    };
    assert_eq!(again(completed()), []);
    let published = again(completed().line(3, "w1", "publish", 1, ""));
    assert!(published.contains(&Violation::Completions { task: task(), count: 2 }));
}

/// Guards against a checker that misses a job that ran although "not run" was reported, or a task
/// that was never submitted.
#[test]
fn refused_and_unknown_work_that_runs_is_found() {
    let run = |history: Synthetic| {
        history.line(1, "w1", "start", 1, "").line(2, "w1", "complete", 1, "").violations()
    };
    let refused = run(Synthetic::submitted(Outcome::NotRun));
    assert!(matches!(refused[..], [Violation::RefusedRan { .. }]));
    assert_eq!(run(Synthetic::submitted(Outcome::Unknown)), []);
    let not_submitted = run(Synthetic(History::default()));
    assert!(matches!(not_submitted[..], [Violation::NeverSubmitted { .. }]));
}
