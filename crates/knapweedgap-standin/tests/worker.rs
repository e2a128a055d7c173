//! Tests the guarantees of the worker protocol that the scheduler relies on.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::block_on;
use knapweedgap_core::{id, rate, revision};
use knapweedgap_standin::record::Recorder;
use knapweedgap_standin::worker::event::Kind;
use knapweedgap_standin::worker::{Behaviour, Line, Settings, State, Worker};
use knapweedgap_worker::caller::{Caller, Error};
use knapweedgap_worker::wire;
use proptest::prelude::*;

const MS: u64 = 1000;
const INCARNATION: u64 = 7;

fn settings() -> Settings {
    let worker = "w1".parse().expect("id");
    let capacity = "4/8GiB/0".parse().expect("capacity");
    Settings::builder(worker, capacity).usage_lag(Duration::from_millis(500)).build()
}

fn state() -> State {
    State::new(settings(), id::Incarnation::new(INCARNATION))
}

fn head(epoch: u64, attempt: u32) -> wire::Head {
    wire::Head {
        partition: id::Partition::new(1),
        epoch: revision::Epoch::new(epoch),
        incarnation: id::Incarnation::new(INCARNATION),
        task: "0000000000000001.0".parse().expect("task"),
        attempt: id::Attempt::new(attempt),
    }
}

/// Returns a start command for 10 s of work that expires at 20 s.
fn start(epoch: u64, attempt: u32) -> wire::Start {
    wire::Start {
        head: head(epoch, attempt),
        class: "plan".parse().expect("class"),
        size: "1/1GiB/0".parse().expect("size"),
        run_time_ms: 10_000,
        checkpoint: None,
        expires_us: 20_000 * MS,
        payload: String::new(),
    }
}

fn heartbeat(epoch: u64, grant: Option<(u64, u64)>) -> wire::Heartbeat {
    let grant = grant.map(|(based_on_us, lease_ms)| wire::Grant { based_on_us, lease_ms });
    let (partition, epoch) = (id::Partition::new(1), revision::Epoch::new(epoch));
    wire::Heartbeat { partition, epoch, grant, publish: Vec::new(), forget: Vec::new() }
}

fn kinds(state: &mut State) -> Vec<Kind> {
    state.take_events().iter().map(|event| event.event).collect()
}

fn reason(answer: Result<wire::Accepted, wire::Refusal>) -> wire::Reason {
    answer.expect_err("refused").reason
}

#[test]
fn a_repeated_start_does_not_run_twice() {
    let mut state = state();
    state.start(&start(1, 1), 0).expect("started");
    state.start(&start(1, 1), 1).expect("known");
    assert_eq!(kinds(&mut state), [Kind::Start]);
    state.advance(10_000 * MS);
    state.start(&start(1, 1), 10_001 * MS).expect("known");
    assert_eq!(kinds(&mut state), [Kind::Complete]);
}

#[test]
fn a_forgotten_attempt_does_not_run_again() {
    let mut state = state();
    state.start(&start(1, 1), 0).expect("started");
    state.advance(10_000 * MS);
    let run = wire::Run { task: head(1, 1).task, attempt: id::Attempt::new(1) };
    let forget = wire::Heartbeat { forget: vec![run], ..heartbeat(1, None) };
    let report = state.heartbeat(&forget, 10_001 * MS).expect("report");
    assert!(report.tasks.is_empty());
    assert_eq!(reason(state.start(&start(1, 1), 10_002 * MS)), wire::Reason::Superseded);
}

/// Guards against a result that becomes visible before its owner has committed the completion, that
/// is published twice, or that is published after it was discarded.
#[test]
fn a_result_is_published_or_discarded_once_on_command() {
    for publish in [true, false] {
        let mut state = state();
        state.start(&start(1, 1), 0).expect("started");
        state.advance(10_000 * MS);
        let report = state.heartbeat(&heartbeat(1, None), 10_001 * MS).expect("report");
        assert_eq!(report.tasks[0].state, wire::State::Succeeded);
        assert_eq!(kinds(&mut state), [Kind::Start, Kind::Complete]);
        let run = wire::Run { task: head(1, 1).task, attempt: id::Attempt::new(1) };
        let publishing = wire::Heartbeat { publish: vec![run], ..heartbeat(1, None) };
        let discarding = wire::Heartbeat { forget: vec![run], ..heartbeat(1, None) };
        let (first, second) =
            if publish { (&publishing, &discarding) } else { (&discarding, &publishing) };
        for message in [first, second, first] {
            state.heartbeat(message, 10_002 * MS).expect("report");
        }
        let expected = if publish { Kind::Publish } else { Kind::Discard };
        assert_eq!(kinds(&mut state), [expected]);
    }
}

#[test]
fn a_start_that_arrives_after_its_stop_does_not_run() {
    let mut state = state();
    let stop = wire::Stop { head: head(1, 1), checkpoint: true };
    state.stop(&stop, 0).expect("stopped");
    let report = state.heartbeat(&heartbeat(1, None), 1).expect("report");
    assert_eq!(report.tasks[0].state, wire::State::Stopped);
    assert_eq!(reason(state.start(&start(1, 1), 2)), wire::Reason::Superseded);
    assert!(kinds(&mut state).is_empty());
}

#[test]
fn a_stale_epoch_has_no_effect() {
    let mut state = state();
    state.start(&start(1, 1), 0).expect("started");
    state.heartbeat(&heartbeat(2, None), 1).expect("report");
    let stop = wire::Stop { head: head(1, 1), checkpoint: false };
    let refusal = state.stop(&stop, 2).expect_err("stale");
    assert_eq!((refusal.reason, refusal.epoch.get()), (wire::Reason::StaleEpoch, 2));
    assert!(state.heartbeat(&heartbeat(1, Some((0, 99_000))), 3).is_err());
    state.advance(19_999 * MS);
    assert_eq!(kinds(&mut state), [Kind::Start, Kind::Complete]);
}

#[test]
fn a_message_for_another_incarnation_has_no_effect() {
    let mut state = state();
    let mut message = start(1, 1);
    message.head.incarnation = id::Incarnation::new(INCARNATION + 1);
    assert_eq!(reason(state.start(&message, 0)), wire::Reason::OtherIncarnation);
    assert!(kinds(&mut state).is_empty());
}

#[test]
fn an_expired_start_is_refused() {
    let mut state = state();
    assert_eq!(reason(state.start(&start(1, 1), 20_000 * MS)), wire::Reason::Expired);
}

#[test]
fn a_task_does_not_outlive_its_lease_even_when_the_process_was_paused() {
    let mut state = state();
    let mut message = start(1, 1);
    message.expires_us = 2_000 * MS;
    state.start(&message, 0).expect("started");
    state.heartbeat(&heartbeat(1, Some((0, 5_000))), 1_000 * MS).expect("report");
    assert_eq!(state.next_event_us(), Some(5_000 * MS));
    // The work would complete at 10 s, after the lease has expired at 5 s.
    state.advance(60_000 * MS);
    let events = state.take_events();
    let expiry = events.last().expect("event");
    assert_eq!((expiry.event, expiry.clock_us), (Kind::LeaseExpiry, 5_000 * MS));
    assert_eq!(expiry.committed.memory.get(), 0);
}

#[test]
fn a_grant_based_on_the_clock_of_an_earlier_incarnation_is_ignored() {
    let mut state = state();
    let mut message = start(1, 1);
    message.expires_us = 2_000 * MS;
    state.start(&message, 0).expect("started");
    state.heartbeat(&heartbeat(1, Some((500_000 * MS, 10_000))), MS).expect("report");
    state.advance(2_000 * MS);
    assert_eq!(kinds(&mut state), [Kind::Start, Kind::LeaseExpiry]);
}

#[test]
fn a_resumed_task_continues_from_its_checkpoint() {
    let mut state = state();
    state.start(&start(1, 1), 0).expect("started");
    let stop = wire::Stop { head: head(1, 1), checkpoint: true };
    state.stop(&stop, 6_000 * MS).expect("stopped");
    let report = state.heartbeat(&heartbeat(1, None), 6_000 * MS).expect("report");
    let mut other = State::new(settings(), id::Incarnation::new(INCARNATION));
    let mut message = start(1, 2);
    message.checkpoint = report.tasks[0].checkpoint.clone();
    other.start(&message, 0).expect("started");
    assert_eq!(other.next_event_us(), Some(4_000 * MS));
    message.head.attempt = id::Attempt::new(3);
    message.checkpoint = Some("other".into());
    assert_eq!(reason(other.start(&message, 0)), wire::Reason::Invalid);
}

#[test]
fn a_throttled_task_runs_slower_and_reports_its_usage_with_lag() {
    let mut state = state();
    state.start(&start(1, 1), 0).expect("started");
    let share = rate::Share::from_milli(500);
    let throttle = wire::Throttle { head: head(1, 1), share };
    state.throttle(&throttle, 4_000 * MS).expect("throttled");
    assert_eq!(state.next_event_us(), Some(16_000 * MS));
    let early = state.heartbeat(&heartbeat(1, None), 4_100 * MS).expect("report");
    assert_eq!(early.tasks[0].usage.processor.milli(), 1000);
    assert_eq!((early.tasks[0].measured_us, early.tasks[0].share), (3_600 * MS, share));
    let late = state.heartbeat(&heartbeat(1, None), 4_600 * MS).expect("report");
    assert_eq!(late.tasks[0].usage.processor.milli(), 500);
}

#[test]
fn the_payload_overrides_the_behaviour_of_the_worker() {
    let ends = |payload: &str| {
        let mut state = state();
        let mut message = start(1, 1);
        message.payload = payload.to_owned();
        state.start(&message, 0).expect("started");
        let next_us = state.next_event_us().expect("end");
        state.advance(next_us);
        (next_us / MS, kinds(&mut state)[1])
    };
    assert_eq!(ends("plan 7"), (10_000, Kind::Complete));
    assert_eq!(ends("run-time-factor=1.5"), (15_000, Kind::Complete));
    assert_eq!(ends("memory-factor=2"), (5_000, Kind::OverMemory));
    assert_eq!(ends("failure-share=1"), (0, Kind::Fail));
    let mut message = start(1, 1);
    message.payload = "failure-share=2".to_owned();
    assert_eq!(reason(state().start(&message, 0)), wire::Reason::Invalid);
}

#[test]
fn a_later_attempt_stops_an_earlier_one() {
    let mut state = state();
    state.start(&start(1, 1), 0).expect("started");
    state.start(&start(1, 2), 1).expect("started");
    assert_eq!(kinds(&mut state), [Kind::Start, Kind::Superseded, Kind::Start]);
    assert_eq!(state.committed().processor.milli(), 1000);
    assert_eq!(reason(state.start(&start(1, 1), 2)), wire::Reason::Superseded);
}

#[test]
fn a_served_worker_ends_tasks_without_further_messages() {
    let lines = Rc::new(RefCell::new(Vec::<Line>::new()));
    let sink = lines.clone();
    let recorder = Recorder::callback(move |line| {
        sink.borrow_mut().push(serde_json::from_str(line).expect("line"));
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let executor = LocalExecutor::new();
    let worker = executor.spawn(Worker::new(settings(), recorder).run(listener));
    block_on(executor.run(async {
        let caller = Caller::new(address, Duration::from_secs(2));
        let report = caller.heartbeat(&heartbeat(1, None)).await.expect("report");
        let mut message = start(1, 1);
        message.head.incarnation = report.incarnation;
        message.run_time_ms = 50;
        message.expires_us = report.clock_us + 5_000 * MS;
        caller.start(&message).await.expect("started");
        Timer::after(Duration::from_millis(500)).await;
        let events: Vec<_> = lines.borrow().iter().map(|line| line.event.event).collect();
        assert_eq!(events, [Kind::Start, Kind::Complete]);
        let other = caller.start(&start(1, 2)).await.expect_err("other incarnation");
        assert!(matches!(other, Error::Refused(_)), "{other:?}");
        worker.cancel().await;
    }));
}

proptest! {
    #[test]
    fn arbitrary_payloads_do_not_panic(text in any::<String>()) {
        let _ = text.parse::<Behaviour>();
        let _ = format!("memory-factor={text}").parse::<Behaviour>();
    }

    #[test]
    fn arbitrary_checkpoint_names_do_not_panic(name in ".{1,64}", run_time_ms in any::<u64>()) {
        let mut state = state();
        let mut message = start(1, 1);
        message.checkpoint = Some(name.into());
        message.run_time_ms = run_time_ms;
        let _ = state.start(&message, 0);
        state.advance(u64::MAX);
    }
}

/// Guards against a rename in Rust that changes the names of event kinds in records.
#[test]
fn event_kinds_keep_their_serialized_names() {
    let kinds = [
        (Kind::Start, "start"),
        (Kind::Stop, "stop"),
        (Kind::Superseded, "superseded"),
        (Kind::LeaseExpiry, "lapse"),
        (Kind::Complete, "complete"),
        (Kind::Publish, "publish"),
        (Kind::Discard, "discard"),
        (Kind::Fail, "fail"),
        (Kind::OverMemory, "over_memory"),
        (Kind::Checkpoint, "checkpoint"),
        (Kind::Throttle, "throttle"),
    ];
    for (kind, name) in kinds {
        assert_eq!(serde_json::to_value(kind).expect("kind"), name);
        assert_eq!(kind.to_string(), name);
    }
}
