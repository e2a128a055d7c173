//! Guards against a run that is freed before its end was reported, and whose verdict the log does
//! not name.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use knapweedgap_core::{id, revision};
use knapweedgap_workload::event::Event;
use knapweedgap_workload::job::Step;
use knapweedgap_workload::loss::{Cause, Proof, Run, Sighting};
use knapweedgap_workload::order::{Failure, Refusal};
use knapweedgap_workload::task;
use support::{Harness, spec, step};

const SECOND: Duration = Duration::from_secs(1);
const JOB: &str = "00000000000000aa";
/// Number of tasks of [`JOB`].
const TASKS: u32 = 3;

/// Returns an owner of one worker that runs the tasks of [`JOB`] for a minute.
fn harness() -> (Harness, id::Worker) {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.submit("urgent", JOB, spec(vec![step(TASKS, 1, SECOND * 60)]));
    harness.run(Duration::from_millis(500));
    let (worker, task) = harness.running().first().cloned().expect("the tasks run");
    harness.workers.get_mut(&worker).expect("known").work.insert(task.step, SECOND * 60);
    harness.run(SECOND);
    assert_eq!(harness.running().len(), TASKS as usize);
    (harness, worker)
}

/// Returns an owner with one start of [`JOB`] that is not delivered.
fn harness_with_a_start() -> Harness {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.submit("urgent", JOB, spec(vec![step(1, 1, SECOND)]));
    harness.commit();
    assert_eq!(harness.starts.len(), 1);
    harness
}

/// Returns the verdicts, each with its number, and checks that the events of its runs follow it.
fn verdicts(harness: &Harness) -> Vec<(Cause, Vec<Run>)> {
    let mut verdicts: Vec<(u64, Cause, usize, Vec<Run>)> = Vec::new();
    for event in &harness.events {
        match event {
            Event::Verdict { number, cause, runs, .. } => {
                verdicts.push((*number, *cause, *runs, Vec::new()));
            }
            Event::Lost { number, run, .. } | Event::Detach { number, run, .. } => {
                let verdict = verdicts.last_mut().expect("a verdict comes first");
                assert_eq!(verdict.0, *number);
                verdict.3.push((**run).clone());
            }
            _ => {}
        }
    }
    let checked = verdicts.into_iter().map(|(_, cause, count, runs)| {
        assert_eq!(count, runs.len());
        (cause, runs)
    });
    checked.collect()
}

/// Returns the only verdict.
fn verdict(harness: &Harness) -> (Cause, Vec<Run>) {
    let verdicts = verdicts(harness);
    assert_eq!(verdicts.len(), 1, "{verdicts:?}");
    verdicts.into_iter().next().expect("one")
}

fn lines(harness: &Harness) -> Vec<String> {
    let required = harness.events.iter().filter(|event| event.is_required());
    required.map(ToString::to_string).collect()
}

#[test]
fn the_end_of_leases_is_one_verdict_on_the_worker_with_all_its_runs() {
    let (mut harness, worker) = harness();
    harness.workers.get_mut(&worker).expect("known").fail();
    harness.run(SECOND * 12);
    let (cause, runs) = verdict(&harness);
    assert_eq!(cause, Cause::LeasesEnded);
    let tasks: BTreeSet<task::Id> = runs.iter().map(|run| run.task).collect();
    assert_eq!(tasks.len(), TASKS as usize);
    for run in &runs {
        assert!(run.is_reported && run.phase == "running", "{run:?}");
        assert!(run.start_age >= run.confirmed_age, "{run:?}");
        assert!(run.start_age.is_some_and(|age| age > SECOND * 4), "{run:?}");
    }
    let lines = lines(&harness);
    let contact = "contact_age_ms=";
    assert!(lines[0].contains("verdict=leases_ended") && lines[0].contains(contact), "{lines:?}");
    assert!(lines[0].contains(" lease_remaining_ms=0 lease_overrun_ms="), "{lines:?}");
    assert!(lines[0].contains("listed=true draining=false suspect_age_ms="), "{lines:?}");
    for (line, task) in lines[1..].iter().zip(tasks) {
        assert!(line.starts_with(&format!("task={task} run=1 worker={worker} outcome=lost")));
        assert!(line.contains("verdict=leases_ended loss=1 "), "{line}");
    }
}

#[test]
fn another_incarnation_is_named_with_the_known_one() {
    let (mut harness, worker) = harness();
    harness.workers.get_mut(&worker).expect("known").restart();
    harness.poll_all();
    let (cause, runs) = verdict(&harness);
    assert_eq!(cause, Cause::OtherIncarnation { answered: revision::Incarnation::new(2) });
    assert_eq!(runs.len(), TASKS as usize);
    let line = lines(&harness).remove(0);
    assert!(line.contains("verdict=other_incarnation answered=2 lifetime=1 "), "{line}");
}

#[test]
fn a_run_that_a_report_does_not_list_is_freed_with_the_proof() {
    let (mut harness, worker) = harness();
    let missing = *harness.workers[&worker].runs.keys().next().expect("a run");
    harness.workers.get_mut(&worker).expect("known").runs.remove(&missing);
    harness.poll_all();
    let (cause, runs) = verdict(&harness);
    let Cause::Missing { age, .. } = cause else { panic!("{cause:?}") };
    assert_eq!((age, runs.len()), (Duration::ZERO, 1));
    assert_eq!(runs[0].task, missing);
    let Some(Proof::RequestedAfter(proof_age)) = runs[0].proof else { panic!("{runs:?}") };
    assert!(proof_age >= SECOND, "{proof_age:?}");
}

#[test]
fn an_unanswered_start_is_freed_with_the_tokens_of_the_start_and_of_the_poll() {
    let mut harness = harness_with_a_start();
    let (target, start) = harness.starts.pop().expect("sent");
    harness.advance(Duration::from_millis(350));
    let lost = Err(Failure::Unanswered("no answer".into()));
    harness.engine.start_answered(&target, &start, lost, harness.now);
    harness.poll_all();
    let (cause, runs) = verdict(&harness);
    let Cause::Missing { fence, .. } = cause else { panic!("{cause:?}") };
    assert!(fence > start.fence);
    assert_eq!(runs[0].proof, Some(Proof::Fence(fence)));
    assert_eq!(runs[0].start_fence, Some(start.fence));
    assert_eq!(runs[0].start_age, Some(Duration::from_millis(350)));
    assert_eq!((runs[0].confirmed_age, runs[0].is_reported), (None, false));
}

#[test]
fn a_refused_start_is_freed_with_the_reason() {
    let mut harness = harness_with_a_start();
    let (target, start) = harness.starts.pop().expect("sent");
    let refused = Err(Failure::Refused(Refusal::Old));
    harness.engine.start_answered(&target, &start, refused, harness.now);
    harness.collect();
    assert_eq!(verdict(&harness).0, Cause::StartRefused(Refusal::Old));
    let line = lines(&harness).remove(0);
    assert!(line.contains("verdict=start_refused reason=\"old\" "), "{line}");
}

#[test]
fn a_refused_connection_frees_the_start_that_met_it() {
    let mut harness = harness_with_a_start();
    let (target, start) = harness.starts.pop().expect("sent");
    harness.engine.start_answered(&target, &start, Err(Failure::NoListener), harness.now);
    harness.collect();
    assert_eq!(verdict(&harness).0, Cause::ConnectionRefused);
}

#[test]
fn a_start_that_is_not_sent_is_named() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.submit("urgent", JOB, spec(vec![step(1, 1, SECOND)]));
    while harness.starts.is_empty() && lines(&harness).is_empty() {
        let Some(batch) = harness.take_batch() else { break };
        harness.worker(0).is_isolated = true;
        harness.poll_all();
        harness.store(&batch);
    }
    let (cause, runs) = verdict(&harness);
    assert_eq!((cause, runs[0].phase), (Cause::StartNotSent, "planned"));
    assert_eq!(runs[0].start_age, None);
}

#[test]
fn the_runs_of_a_worker_that_a_new_owner_does_not_know_are_named() {
    let (mut harness, worker) = harness();
    harness.commit();
    harness.workers.get_mut(&worker).expect("known").fail();
    harness.take_over();
    harness.run(SECOND * 20);
    let (cause, runs) = verdict(&harness);
    let Cause::UnlistedLeasesEnded { overrun } = cause else { panic!("{cause:?}") };
    assert!(overrun <= Duration::from_millis(100), "{overrun:?}");
    assert_eq!(runs.len(), TASKS as usize);
    let line = lines(&harness).remove(0);
    assert!(line.contains("verdict=unlisted_leases_ended lease_overrun_ms="), "{line}");
}

#[test]
fn a_detached_run_is_named() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    let copies = Step { copies: true, ..step(1, 1, SECOND) };
    harness.submit("urgent", JOB, spec(vec![copies]));
    harness.run(Duration::from_millis(300));
    harness.worker(0).is_isolated = true;
    harness.run(Duration::from_millis(500));
    let (cause, runs) = verdict(&harness);
    assert_eq!((cause, runs.len()), (Cause::Detached, 1));
}

/// A start with a number above 1 follows an event that tells how the former run was freed.
#[test]
fn no_run_is_freed_without_an_event() {
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut harness = Harness::new(&[4, 4, 4]);
        harness.poll_all();
        let copies = Step { copies: seed % 2 == 0, ..step(6, 1, SECOND) };
        harness.submit("urgent", JOB, spec(vec![copies, step(4, 1, SECOND)]));
        for _ in 0..120 {
            disturb(&mut harness, &mut random);
            harness.advance(Duration::from_millis(100));
            harness.commit();
            check_starts(&harness, seed);
            harness.deliver();
            harness.poll_all();
        }
    }
}

fn disturb(harness: &mut Harness, random: &mut fastrand::Rng) {
    let index = random.usize(0..3);
    let worker = harness.worker(index);
    match random.u32(0..24) {
        0 => worker.restart(),
        1 => worker.is_isolated = !worker.is_isolated,
        2 => worker.is_refused = !worker.is_refused,
        3 => worker.fails = !worker.fails,
        4 => drop(worker.runs.pop_first()),
        5 => {
            worker.listed.draining = !worker.listed.draining;
            harness.list_workers();
        }
        6 => harness.list_workers(),
        7 => {
            harness.commit();
            harness.take_over();
        }
        _ => {}
    }
}

fn check_starts(harness: &Harness, seed: u64) {
    let mut freed = BTreeSet::new();
    for event in &harness.events {
        match event {
            Event::Lost { run, .. } | Event::Detach { run, .. } => {
                freed.insert((run.task, run.number));
            }
            Event::Ended { task, run, .. } | Event::Stop { task, run, .. } => {
                freed.insert((*task, *run));
            }
            _ => {}
        }
    }
    for (_, start) in &harness.starts {
        let former = start.run.get() - 1;
        let key = (start.task, revision::Run::new(former));
        assert!(former == 0 || freed.contains(&key), "seed {seed}: {key:?} was freed silently");
    }
}

/// Returns the sightings: worker, sighting, verdict, time since it, and the assigned run.
fn sightings(
    harness: &Harness,
) -> Vec<(id::Worker, Sighting, Cause, Duration, Option<revision::Run>)> {
    let mut sightings = Vec::new();
    for event in &harness.events {
        if let Event::Sighted { worker, sighting, cause, age, current, .. } = event {
            let run = current.as_ref().map(|(run, _)| *run);
            sightings.push((worker.clone(), *sighting, *cause, *age, run));
        }
    }
    sightings
}

/// A report that leaves out a run which goes on frees it. The next reports show it again.
#[test]
fn a_freed_run_that_a_report_shows_is_named_once_as_running_and_once_as_ended() {
    let (mut harness, worker) = harness();
    let (task, run) = harness.worker(0).runs.pop_first().expect("a run");
    harness.poll_all();
    let cause = verdict(&harness).0;
    harness.commit();
    harness.deliver();
    assert_eq!(harness.worker(0).runs[&task].number, revision::Run::new(2));
    harness.advance(Duration::from_millis(300));
    // The simulated worker holds one run of a task, so that the run takes the place of the next.
    harness.worker(0).runs.insert(task, run);
    harness.poll_all();
    harness.poll_all();
    harness.worker(0).end(task, knapweedgap_workload::worker::Cause::Stopped);
    harness.poll_all();
    harness.poll_all();
    let age = Duration::from_millis(300);
    let [running, ended] = &sightings(&harness)[..] else { panic!("{:?}", sightings(&harness)) };
    let second = Some(revision::Run::new(2));
    assert_eq!(running, &(worker.clone(), Sighting::Running, cause, age, second));
    let stopped = Sighting::Ended(knapweedgap_workload::worker::Cause::Stopped);
    assert_eq!((&ended.0, ended.1, ended.2), (&worker, stopped, cause));
    let line = lines(&harness).into_iter().find(|line| line.contains("state=running"));
    let expected = format!(
        "task={task} run=1 worker={worker} decision=recognise state=running verdict=missing loss=1 \
         freed_age_ms=300 current_run=2 current_worker={worker}"
    );
    assert_eq!(line, Some(expected));
}

#[test]
fn runs_that_were_not_freed_are_not_sighted() {
    let (mut harness, _) = harness();
    harness.worker(0).fails = true;
    harness.run(SECOND * 2);
    assert_eq!((verdicts(&harness).len(), sightings(&harness).len()), (0, 0));
}

/// The worker has discarded an end that was not in a report.
#[test]
fn a_gap_in_the_numbers_of_ends_is_named() {
    for has_gap in [false, true] {
        let (mut harness, worker) = harness();
        let tasks: Vec<task::Id> = harness.worker(0).runs.keys().copied().collect();
        for (index, task) in tasks.into_iter().enumerate() {
            harness.worker(0).end(task, knapweedgap_workload::worker::Cause::Failed);
            if has_gap && index == 1 {
                let id = worker.clone();
                let (target, poll) = harness.engine.poll(&id, harness.now).expect("polled");
                let acknowledged = revision::End::new(2);
                let poll = knapweedgap_workload::order::Poll { acknowledged, ..poll };
                harness.worker(0).poll(&target, &poll).expect("an answer, which is lost");
                continue;
            }
            harness.poll_all();
        }
        let skipped = harness.events.iter().filter_map(|event| match event {
            Event::EndsSkipped { last, next, .. } => Some((last.get(), next.get())),
            _ => None,
        });
        let expected = if has_gap { vec![(1, 3)] } else { Vec::new() };
        assert_eq!(skipped.collect::<Vec<_>>(), expected);
    }
}

#[test]
fn a_run_that_was_freed_long_ago_is_not_remembered() {
    for (seconds, count) in [(590, 1), (610, 0)] {
        let (mut harness, _) = harness();
        let (task, run) = harness.worker(0).runs.pop_first().expect("a run");
        harness.poll_all();
        for _ in 0..seconds {
            harness.advance(SECOND);
            harness.round();
        }
        harness.worker(0).runs.insert(task, run);
        harness.poll_all();
        assert_eq!(sightings(&harness).len(), count, "after {seconds} s");
    }
}
