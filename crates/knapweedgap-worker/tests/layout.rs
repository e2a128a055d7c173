//! Guards the JSON of each message between an owner and a worker. Workers are updated one by one,
//! so renaming a field or an enum variant must not change the text.

use std::fmt::Debug;

use knapweedgap_core::{id, rate, revision};
use knapweedgap_worker::codec::{self, Message};
use knapweedgap_worker::wire;

fn task() -> id::Task {
    id::Task { job: id::Job::new(255), index: 2 }
}

fn head() -> wire::Head {
    wire::Head {
        partition: id::Partition::new(3),
        epoch: revision::Epoch::new(9),
        incarnation: id::Incarnation::new(5),
        task: task(),
        attempt: id::Attempt::new(1),
    }
}

fn reported(state: wire::State) -> wire::Task {
    wire::Task {
        task: task(),
        attempt: id::Attempt::new(1),
        state,
        exit: (state == wire::State::Failed).then_some(7),
        checkpoint: Some("c1".into()),
        usage: "2/4GiB/1".parse().expect("valid"),
        measured_us: 11,
        share: rate::Share::from_milli(250),
    }
}

/// Asserts that `message` is encoded as `text`, and that `text` decodes to `message`.
fn check<Body>(message: &Body, text: &str)
where
    Body: Message + PartialEq + Debug,
{
    let encoded = codec::encode(message).expect("valid");
    assert_eq!(String::from_utf8(encoded).expect("UTF-8"), text);
    assert_eq!(&codec::decode::<Body>(text.as_bytes()).expect("valid"), message);
}

#[test]
fn a_heartbeat_keeps_its_text() {
    let run = wire::Run { task: task(), attempt: id::Attempt::new(1) };
    let message = wire::Heartbeat {
        partition: id::Partition::new(3),
        epoch: revision::Epoch::new(9),
        grant: Some(wire::Grant { based_on_us: 10, lease_ms: 2_000 }),
        publish: vec![run],
        forget: vec![run],
    };
    check(
        &message,
        concat!(
            r#"{"partition":3,"epoch":9,"grant":{"based_on_us":10,"lease_ms":2000},"#,
            r#""publish":[{"task":"00000000000000ff.2","attempt":1}],"#,
            r#""forget":[{"task":"00000000000000ff.2","attempt":1}]}"#,
        ),
    );
    let first = wire::Heartbeat { grant: None, publish: vec![], forget: vec![], ..message };
    check(&first, r#"{"partition":3,"epoch":9}"#);
}

#[test]
fn a_report_keeps_its_text() {
    let states = [
        (wire::State::Running, "running", ""),
        (wire::State::Stopped, "stopped", ""),
        (wire::State::Succeeded, "succeeded", ""),
        (wire::State::Failed, "failed", r#""exit":7,"#),
        (wire::State::OverMemory, "over_memory", ""),
    ];
    for (state, name, exit) in states {
        let message = wire::Report {
            worker: "w1".parse().expect("valid"),
            incarnation: id::Incarnation::new(5),
            clock_us: 12,
            epoch: revision::Epoch::new(9),
            capacity: "16/60GiB/0".parse().expect("valid"),
            tasks: vec![reported(state)],
        };
        let text = concat!(
            r#"{"worker":"w1","incarnation":5,"clock_us":12,"epoch":9,"#,
            r#""capacity":{"processor":16000,"memory":64424509440,"accelerator":0},"#,
            r#""tasks":[{"task":"00000000000000ff.2","attempt":1,"state":"STATE","#,
            r#"EXIT"checkpoint":"c1","usage":{"processor":2000,"memory":4294967296,"#,
            r#""accelerator":1},"measured_us":11,"share":250}]}"#,
        );
        check(&message, &text.replace("STATE", name).replace("EXIT", exit));
    }
}

#[test]
fn each_command_keeps_its_text() {
    let start = wire::Start {
        head: head(),
        class: "grind".parse().expect("valid"),
        size: "2/4GiB/1".parse().expect("valid"),
        run_time_ms: 60_000,
        checkpoint: Some("c1".into()),
        expires_us: 13,
        payload: "p".to_owned(),
    };
    check(
        &start,
        concat!(
            r#"{"head":{"partition":3,"epoch":9,"incarnation":5,"task":"00000000000000ff.2","#,
            r#""attempt":1},"class":"grind","size":{"processor":2000,"memory":4294967296,"#,
            r#""accelerator":1},"run_time_ms":60000,"checkpoint":"c1","expires_us":13,"#,
            r#""payload":"p"}"#,
        ),
    );
    check(
        &wire::Stop { head: head(), checkpoint: true },
        concat!(
            r#"{"head":{"partition":3,"epoch":9,"incarnation":5,"task":"00000000000000ff.2","#,
            r#""attempt":1},"checkpoint":true}"#,
        ),
    );
    check(
        &wire::Checkpoint { head: head() },
        concat!(
            r#"{"head":{"partition":3,"epoch":9,"incarnation":5,"task":"00000000000000ff.2","#,
            r#""attempt":1}}"#,
        ),
    );
    let share = rate::Share::from_milli(250);
    check(
        &wire::Throttle { head: head(), share },
        concat!(
            r#"{"head":{"partition":3,"epoch":9,"incarnation":5,"task":"00000000000000ff.2","#,
            r#""attempt":1},"share":250}"#,
        ),
    );
    check(&wire::Accepted { incarnation: id::Incarnation::new(5) }, r#"{"incarnation":5}"#);
}

#[test]
fn each_refusal_keeps_its_text() {
    let reasons = [
        (wire::Reason::StaleEpoch, "stale_epoch"),
        (wire::Reason::OtherIncarnation, "other_incarnation"),
        (wire::Reason::Expired, "expired"),
        (wire::Reason::Superseded, "superseded"),
        (wire::Reason::Invalid, "invalid"),
    ];
    for (reason, name) in reasons {
        let message = wire::Refusal {
            reason,
            epoch: revision::Epoch::new(9),
            incarnation: id::Incarnation::new(5),
            detail: "d".into(),
        };
        let text = r#"{"reason":"REASON","epoch":9,"incarnation":5,"detail":"d"}"#;
        check(&message, &text.replace("REASON", name));
        assert_eq!(reason.to_string(), name);
    }
}
