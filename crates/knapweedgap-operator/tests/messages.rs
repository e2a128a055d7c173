//! Tests that messages round-trip and that a faulty message is reported with the place of each fault.

use std::time::Duration;

use http_types::Method;
use knapweedgap_core::{id, revision::Revision, size};
use knapweedgap_operator::error::Code;
use knapweedgap_operator::{Route, codec, error, event, job, settings};
use knapweedgap_settings::Patch;
use proptest::prelude::*;

fn name<T>() -> impl Strategy<Value = T>
where
    T: std::str::FromStr + std::fmt::Debug,
    T::Err: std::fmt::Debug,
{
    "[A-Za-z0-9._:-]{1,20}".prop_map(|text| text.parse().expect("valid name"))
}

fn priority() -> impl Strategy<Value = job::Priority> {
    prop::sample::select(vec![job::Priority::Low, job::Priority::Normal, job::Priority::Urgent])
}

fn resources() -> impl Strategy<Value = size::Resources> {
    (1u64..1_000_000, 1u64..u64::MAX, any::<u32>()).prop_map(|(processor, memory, accelerator)| {
        size::Resources {
            processor: size::Processor::from_milli(processor),
            memory: size::Bytes::new(memory),
            accelerator: size::Accelerator::new(accelerator),
        }
    })
}

fn submission() -> impl Strategy<Value = job::Submission> {
    let ids = (name::<id::Team>(), name::<id::Key>(), name::<id::Class>());
    let numbers = (priority(), 1..=job::TASKS_MAX, any::<Option<u32>>(), 1u64..2_000_000_000_000);
    let places = (
        prop::collection::vec(name::<id::Zone>(), 0..3),
        prop::collection::vec(name::<id::Rack>(), 0..3),
    );
    (ids, numbers, resources(), places).prop_map(|(ids, numbers, size, (zones, racks))| {
        let (priority, tasks, retry_limit, run_time_us) = numbers;
        let mut builder = job::Submission::builder(ids.0, ids.1, ids.2)
            .priority(priority)
            .tasks(tasks)
            .size(size)
            .run_time(Duration::from_micros(run_time_us));
        if let Some(limit) = retry_limit {
            builder = builder.retry_limit(limit);
        }
        for zone in zones {
            builder = builder.zone(zone);
        }
        for rack in racks {
            builder = builder.rack(rack);
        }
        builder.build().expect("within the limits")
    })
}

fn stamp() -> impl Strategy<Value = event::Stamp> {
    (any::<u64>(), any::<u32>()).prop_map(|(wall_ms, counter)| event::Stamp { wall_ms, counter })
}

fn route() -> impl Strategy<Value = Route> {
    let state = prop::sample::select(vec![job::State::Pending, job::State::Cancelling]);
    let jobs = (
        prop::option::of(name()),
        prop::option::of(name()),
        prop::option::of(state),
        any::<Option<u64>>(),
        any::<Option<u32>>(),
    )
        .prop_map(|(team, class, state, after, limit)| {
            Route::Jobs(job::Filter { team, class, state, after: after.map(id::Job::new), limit })
        });
    let events = (
        any::<Option<u64>>(),
        prop::option::of(name()),
        prop::option::of(name()),
        prop::option::of(name()),
        prop::option::of(stamp()),
        any::<Option<u32>>(),
    )
        .prop_map(|(job, request, vm, instance, after, limit)| {
            let job = job.map(id::Job::new);
            Route::Events(event::Filter { job, request, vm, instance, after, limit })
        });
    let history = any::<(Option<u64>, Option<u32>)>().prop_map(|(after, limit)| {
        Route::History(settings::Range { after: after.map(Revision::new), limit })
    });
    let plain = prop::sample::select(vec![
        Route::Submit,
        Route::Settings,
        Route::Patch,
        Route::Check,
        Route::Instances,
        Route::Partitions,
        Route::Doctor,
        Route::Healthz,
        Route::Readyz,
        Route::Metrics,
    ]);
    prop_oneof![
        jobs,
        events,
        history,
        plain,
        any::<u64>().prop_map(|job| Route::Job(id::Job::new(job))),
        any::<u64>().prop_map(|job| Route::Cancel(id::Job::new(job))),
        name().prop_map(Route::Outcome),
    ]
}

proptest! {
    /// Guards against a submission that the daemon decodes differently from what was sent.
    #[test]
    fn a_submission_round_trips(submission in submission()) {
        let bytes = codec::encode(&submission);
        prop_assert_eq!(job::Submission::decode(&bytes), Ok(submission));
    }

    /// Guards against a call whose path and query are parsed as another call.
    #[test]
    fn a_route_round_trips(route in route()) {
        prop_assert_eq!(Route::parse(route.method(), &route.to_string()), Ok(route));
    }

    /// Guards against a panic on untrusted bytes.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        prop_assert!(job::Submission::decode(&bytes).is_err());
        let _ = codec::decode::<Patch>(&bytes);
        let _ = codec::decode::<error::Body>(&bytes);
        let _ = codec::decode::<event::Page>(&bytes);
        let _ = codec::decode::<settings::Snapshot>(&bytes);
    }

    /// Guards against a panic on a message with one changed byte, which reaches more of the decoder than
    /// arbitrary bytes.
    #[test]
    fn a_damaged_submission_never_panics(
        submission in submission(), index in any::<prop::sample::Index>(), byte in any::<u8>(),
    ) {
        let mut bytes = codec::encode(&submission);
        let index = index.index(bytes.len());
        bytes[index] = byte;
        if let Err(findings) = job::Submission::decode(&bytes) {
            prop_assert!(!findings.is_empty());
        }
    }

    /// Guards against a panic on an untrusted path.
    #[test]
    fn arbitrary_paths_never_panic(path in "(/v1/|/_knapweedgap/)?[a-z/?=&0-9.é]{0,24}") {
        for method in [Method::Get, Method::Post, Method::Patch, Method::Delete] {
            let _ = Route::parse(method, &path);
        }
    }
}

/// Guards against a check that stops at the first fault of a submission.
#[test]
fn all_faults_of_a_submission_are_reported_together() {
    let bytes = br#"{"team": "a b", "key": 5, "clas": "x", "tasks": -1, "retry_limit": "3",
        "size": {"processor": 2, "memory": "4GB", "cores": 1}, "zones": ["z", 1]}"#;
    let findings = job::Submission::decode(bytes).expect_err("faulty");
    let mut places: Vec<&str> =
        findings.list().iter().map(|finding| finding.place.as_str()).collect();
    places.sort_unstable();
    let expected = [
        "$.clas",
        "$.class",
        "$.key",
        "$.retry_limit",
        "$.run_time",
        "$.size.cores",
        "$.size.memory",
        "$.size.processor",
        "$.tasks",
        "$.team",
        "$.zones[1]",
    ];
    assert_eq!(places, expected);
}

/// Guards against a size or a duration that the scheduler reads in another unit.
#[test]
fn sizes_and_durations_are_strings_with_units() {
    let bytes = br#"{"team": "plans", "key": "k-1", "class": "grind", "run_time": "10min",
        "size": {"processor": "1500m", "memory": "4GiB", "accelerator": 1}}"#;
    let submission = job::Submission::decode(bytes).expect("valid");
    assert_eq!(submission.run_time(), Duration::from_secs(600));
    assert_eq!(submission.size().to_string(), "1500m/4GiB/1");
    assert_eq!((submission.tasks(), submission.priority()), (1, job::Priority::Normal));
    let json: serde_json::Value =
        serde_json::from_slice(&codec::encode(&submission)).expect("JSON");
    assert_eq!(json["size"]["memory"], "4GiB");
    assert_eq!(json["run_time"], "10min");
}

/// Guards against a job that requests no resources and therefore fits every worker.
#[test]
fn the_builder_refuses_an_empty_size_and_run_time() {
    let builder = job::Submission::builder(
        "t".parse().expect("valid"),
        "k".parse().expect("valid"),
        "c".parse().expect("valid"),
    );
    let findings = builder.tasks(0).build().expect_err("empty");
    let places: Vec<&str> = findings.list().iter().map(|finding| finding.place.as_str()).collect();
    assert_eq!(places, ["$.tasks", "$.run_time", "$.size.processor", "$.size.memory"]);
}

/// Guards against a call that is handled as another one.
#[test]
fn a_wrong_path_method_or_query_is_an_error_with_its_place() {
    let code = |method, path: &str| Route::parse(method, path).expect_err("invalid").code;
    assert_eq!(code(Method::Get, "/v1/jobz"), Code::NotFound);
    assert_eq!(code(Method::Get, "/v2/jobs"), Code::NotFound);
    assert_eq!(code(Method::Delete, "/v1/jobs"), Code::Method);
    assert_eq!(code(Method::Get, "/v1/jobs/17"), Code::Invalid);
    assert_eq!(code(Method::Get, "/v1/jobs?teem=a"), Code::Invalid);
    assert_eq!(code(Method::Get, "/v1/jobs?limit=1&limit=2"), Code::Invalid);
}

/// Guards against changed JSON names in an error, which would break scripts.
#[test]
fn an_error_body_has_code_place_and_help() {
    let body = error::Body::new(Code::NotRun, "partition 3", "repeat the call");
    let json: serde_json::Value = serde_json::from_slice(&codec::encode(&body)).expect("JSON");
    let expected =
        serde_json::json!({"code": "not_run", "place": "partition 3", "help": "repeat the call"});
    assert_eq!(json, expected);
}

/// Guards against events that are listed before their cause or more than once.
#[test]
fn events_are_merged_in_the_order_of_their_stamps() {
    let event = |wall_ms, counter, instance: &str| event::Event {
        at: event::Stamp { wall_ms, counter },
        instance: instance.parse().expect("valid"),
        kind: "task_started".into(),
        job: None,
        request: None,
        vm: None,
        text: String::new(),
    };
    let left = event::Page { events: vec![event(5, 0, "a"), event(7, 1, "a")], dropped: 2 };
    let right = event::Page { events: vec![event(5, 0, "a"), event(7, 0, "b")], dropped: 1 };
    let merged = event::merge(vec![left, right]);
    assert_eq!(merged.events, [event(5, 0, "a"), event(7, 0, "b"), event(7, 1, "a")]);
    assert_eq!(merged.dropped, 3);
}
