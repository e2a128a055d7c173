//! Guards against steps that never get placement advice: the service takes its time for each worker
//! in a call and handles one call at a time, so calls that can't be answered in time use it up.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedgap_core::id;
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::configuration::Advice;
use knapweedgap_workload::job::{State, Step};
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;
use support::worker::Event;
use support::{Harness, configuration, configuration_without, spec, step};

const SECOND: Duration = Duration::from_secs(1);
const ROUND: Duration = Duration::from_millis(50);
const TIMING: Advice = Advice {
    decision_time: Duration::from_millis(300),
    time_per_worker: Duration::from_millis(50),
    validity: Duration::from_secs(3),
};

/// Call to the service.
struct Call {
    step: task::Step,
    workers: Vec<id::Worker>,
    sent: Instant,
    times_out_at: Instant,
    is_abandoned: bool,
}

/// Advice service that handles one call at a time, also those whose caller has given up.
struct Service {
    calls: VecDeque<Call>,
    /// When the first call is handled.
    done_at: Option<Instant>,
    /// Returns `true` if a worker may run a step.
    allows: fn(task::Step, &id::Worker) -> bool,
    /// Number of calls for each step, and the number of workers in the last one.
    asked: BTreeMap<task::Step, (usize, usize)>,
}

impl Service {
    fn new(allows: fn(task::Step, &id::Worker) -> bool) -> Service {
        Service { calls: VecDeque::new(), done_at: None, allows, asked: BTreeMap::new() }
    }

    /// Receives the calls of the owner, and answers those that are handled by now.
    fn serve(&mut self, harness: &mut Harness) {
        let now = harness.now;
        let timeouts = std::mem::take(&mut harness.advice_timeouts);
        for ((step, workers), timeout) in
            std::mem::take(&mut harness.advice_requests).into_iter().zip(timeouts)
        {
            let asked = self.asked.entry(step).or_default();
            *asked = (asked.0 + 1, workers.len());
            let times_out_at = now + timeout;
            self.calls.push_back(Call {
                step,
                workers,
                sent: now,
                times_out_at,
                is_abandoned: false,
            });
        }
        for call in &mut self.calls {
            if !call.is_abandoned && call.times_out_at <= now {
                call.is_abandoned = true;
                harness.engine.advice_answered(call.step, None, call.sent, now);
            }
        }
        while let Some(call) = self.calls.front() {
            let count = u32::try_from(call.workers.len()).expect("few workers");
            let time = TIMING.decision_time + TIMING.time_per_worker * count;
            let done_at = *self.done_at.get_or_insert(now + time);
            if now < done_at {
                break;
            }
            self.done_at = None;
            let Some(call) = self.calls.pop_front() else { break };
            if call.is_abandoned {
                continue;
            }
            let allowed = call.workers.iter().filter(|id| (self.allows)(call.step, id));
            let allowed = allowed.map(|id| (id.clone(), "ticket".into())).collect();
            let answer = Some((allowed, TIMING.validity));
            harness.engine.advice_answered(call.step, answer, call.sent, now);
        }
        harness.collect();
    }
}

fn most(_: task::Step, id: &id::Worker) -> bool {
    !id.as_str().ends_with('3')
}

fn advised(workers: usize) -> Harness {
    let mut harness = Harness::new(&vec![64; workers]);
    let mut advised = configuration(2);
    advised.queues.iter_mut().for_each(|queue| queue.policy.advice = Some(TIMING));
    harness.engine.set_configuration(advised);
    harness.poll_all();
    harness
}

fn run(harness: &mut Harness, service: &mut Service, time: Duration) {
    let end = harness.now + time;
    while harness.now < end {
        harness.advance(ROUND);
        harness.round();
        service.serve(harness);
    }
}

fn name(number: u64) -> String {
    format!("{number:016x}")
}

/// A call on all workers of the fleet used to be answered after its timeout, was repeated unchanged
/// for ever, and kept the service from the calls of other steps. Replays review case 5.
#[test]
fn wide_steps_do_not_use_up_the_advice_service() {
    let mut harness = advised(48);
    let mut service = Service::new(most);
    let mut jobs = Vec::new();
    for round in 0..10 {
        let is_large = (4..6).contains(&round);
        for (number, count) in [(round, Some(2)), (0x100 + round, is_large.then_some(32))] {
            let Some(count) = count else { continue };
            harness.submit("urgent", &name(number), spec(vec![step(count, 1, SECOND)]));
            jobs.push(number);
        }
        run(&mut harness, &mut service, SECOND * 2);
    }
    run(&mut harness, &mut service, SECOND * 14);
    for job in jobs {
        let answer = harness.show("urgent", &name(job));
        assert_eq!(answer, Answer::State(State::Completed), "job {job:x}");
    }
}

/// A step that no worker may run must not be asked for again and again.
#[test]
fn a_step_without_an_allowed_worker_does_not_use_up_the_advice_service() {
    fn all_but_first(step: task::Step, _: &id::Worker) -> bool {
        step.job.to_string() != name(1)
    }
    let mut harness = advised(20);
    let mut service = Service::new(all_but_first);
    harness.submit("urgent", &name(1), spec(vec![step(2, 1, SECOND)]));
    run(&mut harness, &mut service, SECOND * 30);
    let calls: usize = service.asked.values().map(|(calls, _)| calls).sum();
    assert!(calls <= 6, "{calls} calls on 20 workers");
    harness.submit("urgent", &name(2), spec(vec![step(2, 1, SECOND)]));
    run(&mut harness, &mut service, SECOND * 4);
    assert_eq!(harness.show("urgent", &name(2)), Answer::State(State::Completed));
}

/// A call that fails must not be repeated unchanged at the same rate.
#[test]
fn a_failed_call_is_repeated_with_fewer_workers_and_later() {
    let mut harness = advised(48);
    harness.submit("urgent", &name(1), spec(vec![step(32, 1, SECOND)]));
    let mut sizes = Vec::new();
    for _ in 0..600 {
        harness.advance(ROUND);
        harness.round();
        for (step, workers) in std::mem::take(&mut harness.advice_requests) {
            sizes.push(workers.len());
            let now = harness.now;
            harness.engine.advice_answered(step, None, now, now);
        }
        harness.collect();
    }
    assert!(sizes.len() <= 12, "{} calls in 30 s", sizes.len());
    assert!(sizes.windows(2).all(|pair| pair[1] <= pair[0]), "{sizes:?}");
    assert_eq!(sizes.last(), Some(&1));
}

/// Steps wait for their calls in turn, so the longest wait is one call for each step before it.
#[test]
fn each_of_many_steps_gets_its_call() {
    let mut harness = advised(20);
    let mut service = Service::new(most);
    for number in 0..40 {
        harness.submit("urgent", &name(number), spec(vec![step(4, 1, SECOND)]));
    }
    // A call on four workers takes 0.5 s.
    run(&mut harness, &mut service, Duration::from_millis(500) * 40 + SECOND * 3);
    for number in 0..40 {
        let answer = harness.show("urgent", &name(number));
        assert_eq!(answer, Answer::State(State::Completed), "job {number}");
    }
}

/// A step whose last tasks were placed while it waited for a call used to lose its permits, so that
/// their starts carried no ticket and were refused.
#[test]
fn every_start_carries_a_ticket() {
    for run_time in (100..1_100).step_by(50) {
        let mut harness = advised(2);
        let mut service = Service::new(most);
        let limited = Step { per_worker: 1, ..step(3, 1, SECOND) };
        harness.submit("urgent", &name(1), spec(vec![limited]));
        let job: id::Job = name(1).parse().expect("valid");
        for worker in harness.workers.values_mut() {
            let step = task::Step { job, occurrence: 0, step: 0 };
            worker.work.insert(step, Duration::from_millis(run_time));
        }
        for _ in 0..60 {
            harness.advance(ROUND);
            harness.poll_all();
            harness.commit();
            let starts = &harness.starts;
            assert!(starts.iter().all(|(_, start)| start.ticket.is_some()), "{run_time} ms");
            harness.deliver();
            service.serve(&mut harness);
        }
        let answer = harness.show("urgent", &name(1));
        assert_eq!(answer, Answer::State(State::Completed), "{run_time} ms");
    }
}

/// Guards against starts without a ticket, which are rejected for ever, after the queue of an accepted
/// job was removed: whether its tasks need advice was read from the present configuration (review/8).
#[test]
fn a_job_of_a_removed_queue_keeps_its_advice() {
    for is_taken_over in [false, true] {
        let mut harness = advised(4);
        let mut service = Service::new(most);
        let second = Step { after: vec![0], ..step(2, 1, SECOND) };
        harness.submit("batch", &name(1), spec(vec![step(2, 1, SECOND), second]));
        run(&mut harness, &mut service, SECOND);
        assert_eq!(harness.running().len(), 2, "the first step runs");
        if is_taken_over {
            harness.take_over_unconfigured();
            harness.list_workers();
        }
        harness.engine.set_configuration(configuration_without(3, "batch"));
        for _ in 0..100 {
            harness.advance(ROUND);
            harness.commit();
            let unpermitted = harness.starts.iter().filter(|(_, start)| start.ticket.is_none());
            assert_eq!(unpermitted.count(), 0, "a start without a ticket");
            harness.deliver();
            harness.poll_all();
            service.serve(&mut harness);
        }
        let events = harness.workers.values().flat_map(|worker| &worker.events);
        let ends = events.filter(|event| matches!(event, Event::Ended(.., Cause::Done)));
        assert_eq!(ends.count(), 4, "all tasks are done, taken over: {is_taken_over}");
    }
}
