//! The checker finds every breach in a forged record.

use knapweedgap_system_tests::checker::batch::{
    Answer, Cancelled, Death, Evidence, Line, Told, Violation, check,
};
use serde_json::json;

const TASK: &str = "00000000000000aa.0";

struct Forged(Evidence);

impl Forged {
    /// Job of one task on a worker with four processors.
    fn accepted() -> Forged {
        Forged::told(Answer::Accepted)
    }

    fn told(answer: Answer) -> Forged {
        let job = "00000000000000aa".parse().expect("a job id");
        let told = vec![Told { job, tasks: 1, answer }];
        Forged(Evidence { told, ..Evidence::default() })
    }

    fn line(mut self, at: u64, worker: &str, event: &str, attempt: u32, mark: &str) -> Forged {
        let checkpoint = (!mark.is_empty()).then_some(mark);
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

/// Guards against a checker that accuses a faultless record.
#[test]
fn an_eviction_that_resumes_once_is_faultless() {
    let forged = Forged::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "checkpoint", 1, "a1-5")
        .line(3, "w1", "stop", 1, "a1-9")
        .line(4, "w2", "start", 2, "a1-9")
        .line(5, "w2", "complete", 2, "a1-9");
    assert_eq!(forged.violations(), []);
}

/// Guards against a blind eye for a worker that states too much committed size.
#[test]
fn a_commitment_beyond_the_capacity_is_found() {
    let mut forged =
        Forged::accepted().line(1, "w1", "start", 1, "").line(2, "w1", "complete", 1, "");
    forged.0.lines[0].committed = "5/0/0".parse().expect("a size");
    assert!(matches!(forged.violations()[..], [Violation::OverCapacity { wall_us: 1, .. }]));
}

/// Guards against trust in the sum that the worker itself states.
#[test]
fn running_attempts_are_summed_apart_from_the_workers_statement() {
    let mut forged = Forged::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "start", 1, "")
        .line(3, "w1", "complete", 1, "")
        .line(4, "w1", "complete", 1, "");
    forged.0.told[0].tasks = 2;
    for index in [1, 3] {
        forged.0.lines[index].task.index = 1;
    }
    assert!(matches!(forged.violations()[..], [Violation::OverCapacity { wall_us: 2, .. }]));
}

/// Guards against a count that leaves out the room of the services.
#[test]
fn the_reservations_of_services_count() {
    let mut forged =
        Forged::accepted().line(1, "w1", "start", 1, "").line(2, "w1", "complete", 1, "");
    let reserved = ("w1".parse().expect("an id"), "2/0/0".parse().expect("a size"));
    forged.0.reserved.extend([reserved]);
    assert!(matches!(forged.violations()[0], Violation::OverCapacity { wall_us: 1, .. }));
}

/// Guards against two attempts of a task at the same time on two workers.
#[test]
fn overlapping_attempts_are_found() {
    let forged = Forged::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w2", "start", 2, "")
        .line(3, "w1", "lapse", 1, "")
        .line(4, "w2", "complete", 2, "");
    let [Violation::Overlap { task: found, .. }] = forged.violations()[..] else {
        panic!("{:?}", forged.violations());
    };
    assert_eq!(found, task());
}

/// Guards against an attempt without a recorded end that is taken as ended, and against a killed
/// worker whose attempts are taken as running for ever.
#[test]
fn an_open_attempt_ends_only_with_its_worker() {
    let mut forged = Forged::accepted()
        .line(1, "w1", "start", 1, "")
        .line(5, "w2", "start", 2, "")
        .line(6, "w2", "complete", 2, "");
    assert!(matches!(forged.violations()[..], [Violation::Overlap { .. }]));
    forged.0.deaths.push(Death { worker: "w1".parse().expect("an id"), wall_us: 4 });
    assert_eq!(forged.violations(), []);
}

/// Guards against a second successor of one end.
#[test]
fn an_attempt_that_starts_twice_is_found() {
    let forged = Forged::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "stop", 1, "a1-9")
        .line(3, "w2", "start", 2, "a1-9")
        .line(4, "w2", "stop", 2, "a2-9")
        .line(5, "w1", "start", 2, "a2-9")
        .line(6, "w1", "complete", 2, "a2-9");
    assert!(matches!(forged.violations()[..], [Violation::AttemptRepeated { .. }]));
}

/// Guards against a replacement that the owner sent before it knew the end.
#[test]
fn a_superseded_attempt_is_found() {
    let forged = Forged::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "superseded", 1, "")
        .line(2, "w1", "start", 2, "")
        .line(3, "w1", "complete", 2, "");
    assert!(matches!(forged.violations()[..], [Violation::Superseded { .. }]));
}

/// Guards against an eviction that loses the work of its checkpoint.
#[test]
fn a_resume_from_another_state_than_the_checkpoint_is_found() {
    let forged = Forged::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "checkpoint", 1, "a1-5")
        .line(3, "w1", "stop", 1, "a1-9")
        .line(4, "w2", "start", 2, "a1-5")
        .line(5, "w2", "complete", 2, "a1-5");
    assert!(matches!(forged.violations()[..], [Violation::WrongCheckpoint { .. }]));
}

/// Guards against a resume from a checkpoint that nobody wrote.
#[test]
fn a_resume_from_an_unknown_checkpoint_is_found() {
    let forged = Forged::accepted()
        .line(1, "w1", "start", 1, "")
        .line(3, "w1", "lapse", 1, "")
        .line(4, "w2", "start", 2, "a9-5")
        .line(5, "w2", "complete", 2, "a9-5");
    assert!(matches!(forged.violations()[..], [Violation::WrongCheckpoint { .. }]));
}

/// Guards against an evicted task that resumes although its job was cancelled in between.
#[test]
fn a_resume_after_the_cancellation_is_found() {
    let mut forged = Forged::accepted()
        .line(1, "w1", "start", 1, "")
        .line(5, "w1", "stop", 1, "a1-9")
        .line(6, "w2", "start", 2, "a1-9")
        .line(7, "w2", "stop", 2, "a2-9");
    forged.0.cancelled.push(Cancelled { job: task().job, wall_us: 3 });
    assert!(matches!(forged.violations()[..], [Violation::ResumedCancelled { .. }]));
}

/// Guards against an accepted job that is lost.
#[test]
fn an_accepted_job_that_never_completes_is_found() {
    let forged = Forged::accepted().line(1, "w1", "start", 1, "").line(2, "w1", "stop", 1, "");
    assert!(matches!(forged.violations()[..], [Violation::Completions { count: 0, .. }]));
    let never_started = Forged::accepted();
    assert!(matches!(never_started.violations()[..], [Violation::Completions { count: 0, .. }]));
}

/// Guards against a plan that runs twice.
#[test]
fn a_second_completion_is_found() {
    let forged = Forged::accepted()
        .line(1, "w1", "start", 1, "")
        .line(2, "w1", "complete", 1, "")
        .line(3, "w2", "start", 2, "")
        .line(4, "w2", "complete", 2, "");
    let violations = forged.violations();
    assert!(violations.contains(&Violation::Completions { task: task(), count: 2 }));
    let attempt = knapweedgap_core::id::Attempt::new(2);
    assert!(violations.contains(&Violation::RanAfterCompletion { task: task(), attempt }));
}

/// Guards against a checker that counts a discarded result, and against one that lets a published
/// result or two of them pass.
#[test]
fn only_the_results_that_are_published_count() {
    let completed_twice = || {
        Forged::accepted()
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

/// Guards against a checker that takes the death of a worker as an excuse for a published result.
#[test]
fn a_result_that_died_with_its_worker_counts_only_without_a_successor() {
    let died = |mut forged: Forged| {
        forged.0.deaths.push(Death { worker: "w1".parse().expect("an id"), wall_us: 4 });
        forged
    };
    let completed =
        || died(Forged::accepted().line(1, "w1", "start", 1, "").line(2, "w1", "complete", 1, ""));
    assert_eq!(completed().violations(), []);
    let again = |forged: Forged| {
        forged.line(5, "w2", "start", 2, "").line(6, "w2", "complete", 2, "").violations()
    };
    assert_eq!(again(completed()), []);
    let published = again(completed().line(3, "w1", "publish", 1, ""));
    assert!(published.contains(&Violation::Completions { task: task(), count: 2 }));
}

/// Guards against "not run" that is not true, and against work that nobody submitted.
#[test]
fn refused_and_unknown_work_that_runs_is_found() {
    let run = |forged: Forged| {
        forged.line(1, "w1", "start", 1, "").line(2, "w1", "complete", 1, "").violations()
    };
    let refused = run(Forged::told(Answer::NotRun));
    assert!(matches!(refused[..], [Violation::RefusedRan { .. }]));
    assert_eq!(run(Forged::told(Answer::Unknown)), []);
    let nobody = run(Forged(Evidence::default()));
    assert!(matches!(nobody[..], [Violation::NeverSubmitted { .. }]));
}
