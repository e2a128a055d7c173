//! Guards against an encoding that changes a message, a decoder that panics, and a message out of
//! bounds that is accepted.

use knapweedgap_core::{id, rate, revision, size};
use knapweedgap_worker::codec::{self, Error, Message};
use knapweedgap_worker::wire;
use proptest::prelude::*;

fn check<Body>(message: &Body) -> Result<(), TestCaseError>
where
    Body: Message + PartialEq + std::fmt::Debug,
{
    let bytes = codec::encode(message).map_err(|error| TestCaseError::fail(error.to_string()))?;
    let decoded: Body =
        codec::decode(&bytes).map_err(|error| TestCaseError::fail(error.to_string()))?;
    prop_assert_eq!(&decoded, message);
    Ok(())
}

fn head() -> impl Strategy<Value = wire::Head> {
    (any::<u32>(), any::<u64>(), any::<u64>(), any::<u64>(), any::<u32>(), 1u32..).prop_map(
        |(partition, epoch, incarnation, job, index, attempt)| wire::Head {
            partition: id::Partition::new(partition),
            epoch: revision::Epoch::new(epoch),
            incarnation: id::Incarnation::new(incarnation),
            task: id::Task { job: id::Job::new(job), index },
            attempt: id::Attempt::new(attempt),
        },
    )
}

fn resources() -> impl Strategy<Value = size::Resources> {
    (any::<u64>(), any::<u64>(), any::<u32>()).prop_map(|(processor, memory, accelerator)| {
        size::Resources {
            processor: size::Processor::from_milli(processor),
            memory: size::Bytes::new(memory),
            accelerator: size::Accelerator::new(accelerator),
        }
    })
}

fn state() -> impl Strategy<Value = (wire::State, Option<i32>)> {
    prop_oneof![
        Just((wire::State::Running, None)),
        Just((wire::State::Stopped, None)),
        Just((wire::State::Succeeded, None)),
        any::<i32>().prop_map(|code| (wire::State::Failed, Some(code))),
        Just((wire::State::OverMemory, None)),
    ]
}

fn task() -> impl Strategy<Value = wire::Task> {
    let checkpoint = proptest::option::of("[ -~]{1,64}");
    (head(), state(), checkpoint, resources(), any::<u64>()).prop_map(
        |(head, (state, exit), checkpoint, usage, measured_us)| wire::Task {
            share: rate::Share::from_milli(u32::try_from(measured_us % 1000).expect("small") + 1),
            task: head.task,
            attempt: head.attempt,
            state,
            exit,
            checkpoint: checkpoint.map(Into::into),
            usage,
            measured_us,
        },
    )
}

proptest! {
    #[test]
    fn encoding_and_decoding_preserve_heartbeats(
        head in head(),
        grant in proptest::option::of((any::<u64>(), any::<u64>())),
        publish in proptest::collection::vec(task(), 0..8),
        forget in proptest::collection::vec(task(), 0..8),
    ) {
        let run = |task: &wire::Task| wire::Run { task: task.task, attempt: task.attempt };
        check(&wire::Heartbeat {
            partition: head.partition,
            epoch: head.epoch,
            grant: grant.map(|(based_on_us, lease_ms)| wire::Grant { based_on_us, lease_ms }),
            publish: publish.iter().map(run).collect(),
            forget: forget.iter().map(run).collect(),
        })?;
    }

    #[test]
    fn encoding_and_decoding_preserve_reports(
        head in head(),
        worker in "[a-z0-9-]{1,32}",
        clock_us in any::<u64>(),
        capacity in resources(),
        tasks in proptest::collection::vec(task(), 0..8),
    ) {
        check(&wire::Report {
            worker: worker.parse().expect("valid"),
            incarnation: head.incarnation,
            clock_us,
            epoch: head.epoch,
            capacity,
            tasks,
        })?;
    }

    #[test]
    fn encoding_and_decoding_preserve_commands(
        head in head(),
        size in resources(),
        run_time_ms in any::<u64>(),
        expires_us in any::<u64>(),
        checkpoint in proptest::option::of("[ -~]{1,64}"),
        payload in any::<String>(),
        flag in any::<bool>(),
        share in 1u32..=1000,
    ) {
        prop_assume!(payload.len() <= codec::PAYLOAD_LEN_MAX);
        let class = "grind".parse().expect("valid");
        let checkpoint = checkpoint.map(Into::into);
        check(&wire::Start { head, class, size, run_time_ms, checkpoint, expires_us, payload })?;
        check(&wire::Stop { head, checkpoint: flag })?;
        check(&wire::Checkpoint { head })?;
        check(&wire::Throttle { head, share: rate::Share::from_milli(share) })?;
        check(&wire::Accepted { incarnation: head.incarnation })?;
    }

    #[test]
    fn encoding_and_decoding_preserve_refusals(head in head(), detail in "[ -~]{0,64}") {
        let reasons = [
            wire::Reason::StaleEpoch,
            wire::Reason::OtherIncarnation,
            wire::Reason::Expired,
            wire::Reason::Superseded,
            wire::Reason::Invalid,
        ];
        for reason in reasons {
            let detail = detail.clone().into();
            let incarnation = head.incarnation;
            check(&wire::Refusal { reason, epoch: head.epoch, incarnation, detail })?;
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = codec::decode::<wire::Heartbeat>(&bytes);
        let _ = codec::decode::<wire::Report>(&bytes);
        let _ = codec::decode::<wire::Start>(&bytes);
        let _ = codec::decode::<wire::Stop>(&bytes);
        let _ = codec::decode::<wire::Checkpoint>(&bytes);
        let _ = codec::decode::<wire::Throttle>(&bytes);
        let _ = codec::decode::<wire::Refusal>(&bytes);
    }

    #[test]
    fn a_corrupted_report_does_not_panic(
        task in task(),
        at in any::<prop::sample::Index>(),
        byte: u8,
    ) {
        let report = wire::Report {
            worker: "w1".parse().expect("valid"),
            incarnation: id::Incarnation::new(1),
            clock_us: 1,
            epoch: revision::Epoch::new(1),
            capacity: size::Resources::default(),
            tasks: vec![task],
        };
        let mut bytes = codec::encode(&report).expect("valid");
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let _ = codec::decode::<wire::Report>(&bytes);
    }
}

const REPORT: &str = r#"{"worker":"w1","incarnation":7,"clock_us":5,"epoch":2,"capacity":{},
"tasks":[{"task":"00000000000000ff.0","attempt":1,"state":"STATE","usage":{},"measured_us":4}]}"#;

#[test]
fn an_unknown_state_is_an_error_that_names_its_place() {
    let known = REPORT.replace("STATE", "running");
    assert!(codec::decode::<wire::Report>(known.as_bytes()).is_ok());
    let unknown = REPORT.replace("STATE", "paused");
    let error = codec::decode::<wire::Report>(unknown.as_bytes()).expect_err("unknown state");
    let Error::Syntax { line, column, detail } = error else { panic!("{error}") };
    assert_eq!(line, 2);
    assert!(column > 1);
    assert!(detail.contains("paused"), "{detail}");
}

#[test]
fn a_failed_task_without_an_exit_code_is_an_error_that_names_its_place() {
    let text = REPORT.replace("STATE", "failed");
    let error = codec::decode::<wire::Report>(text.as_bytes()).expect_err("no exit code");
    let Error::Field { place, .. } = error else { panic!("{error}") };
    assert_eq!(place, "tasks[0].exit");
}

#[test]
fn a_message_above_the_size_limit_is_rejected_before_parsing() {
    let bytes = vec![b' '; codec::MESSAGE_LEN_MAX + 1];
    let error = codec::decode::<wire::Report>(&bytes).expect_err("too long");
    assert_eq!(error, Error::TooLong { length: codec::MESSAGE_LEN_MAX + 1 });
}

#[test]
fn a_report_with_too_many_tasks_is_rejected() {
    let task = wire::Task {
        task: id::Task { job: id::Job::new(1), index: 0 },
        attempt: id::Attempt::new(1),
        state: wire::State::Running,
        exit: None,
        checkpoint: None,
        usage: size::Resources::default(),
        measured_us: 0,
        share: rate::Share::FULL,
    };
    let mut report = wire::Report {
        worker: "w1".parse().expect("valid"),
        incarnation: id::Incarnation::new(1),
        clock_us: 1,
        epoch: revision::Epoch::new(1),
        capacity: size::Resources::default(),
        tasks: vec![task; codec::TASKS_MAX],
    };
    assert!(codec::encode(&report).is_ok());
    report.tasks.push(report.tasks[0].clone());
    assert!(matches!(codec::encode(&report), Err(Error::Field { .. })));
}
