//! Guards against a job that does not progress from its submission to its end.

mod support;

use std::time::Duration;

use knapweedgap_placement::command::{Body, Outcome, Request};
use knapweedgap_placement::engine::Phase;
use knapweedgap_placement::job::End;
use knapweedgap_placement::report::State;
use support::{Driver, STEP, number, spec};

#[test]
fn a_submitted_task_is_placed_started_and_finished_once() {
    let mut driver = Driver::new(2);
    let job = driver.submit(spec("a"));
    assert_eq!(driver.answers.len(), 1);
    assert_eq!(driver.answers[0].request, Request::Submit(job));
    assert_eq!(driver.answers[0].outcome, Outcome::Recorded);
    let starts = driver.starts();
    assert_eq!(starts.len(), 1);
    let start = &starts[0];
    assert_eq!(start.attempt.get(), 1);
    let worker = number(&start.worker);
    driver.report(worker, &[(start.task, 1, State::Running)]);
    driver.advance(STEP);
    assert_eq!(driver.engine.status(&job).map(|status| status.phase), Some(Phase::Active));
    driver.report(worker, &[(start.task, 1, State::Succeeded)]);
    driver.report(worker, &[(start.task, 1, State::Succeeded)]);
    driver.advance(STEP);
    let status = driver.engine.status(&job).expect("kept");
    assert_eq!(status.phase, Phase::Finished(End::Succeeded));
    assert_eq!(status.tally.succeeded, 1);
    driver.take_commands();
    driver.report(worker, &[(start.task, 1, State::Succeeded)]);
    let commands = driver.take_commands();
    assert_eq!(commands.len(), 1);
    assert_eq!(commands[0].body, Body::Publish);
}

#[test]
fn a_start_is_not_sent_before_its_placement_is_committed() {
    let mut driver = Driver::new(1);
    let job = spec("a");
    let body = knapweedgap_placement::job::BodyHash::of(b"a");
    driver.engine.submit(job, body, driver.now).expect("accepted");
    driver.now += STEP;
    driver.engine.tick(driver.now);
    let mut open = driver.engine.actions();
    for _ in 0..2 {
        let Some(knapweedgap_placement::command::Action::Append(entry)) = open.pop() else {
            panic!("an entry is expected");
        };
        assert!(open.is_empty(), "nothing may be sent before the commit: {open:?}");
        driver.engine.committed(entry.sequence, driver.now);
        open = driver.engine.actions();
        open.retain(|action| !matches!(action, knapweedgap_placement::command::Action::Answer(_)));
        if open
            .iter()
            .any(|action| matches!(action, knapweedgap_placement::command::Action::Send(_)))
        {
            return;
        }
        driver.now += Duration::from_millis(100);
        driver.engine.tick(driver.now);
        open.extend(driver.engine.actions());
    }
    panic!("the start was never sent");
}
