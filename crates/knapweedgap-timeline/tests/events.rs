//! Guards against events that are lost, out of order or cannot be decoded.

use knapweedgap_core::id;
use knapweedgap_timeline::merge::merge;
use knapweedgap_timeline::{Buffer, Event, Filter, Kind, Stamp, buffer, event, json};
use proptest::prelude::*;

fn stamp(wall_ms: u64) -> Stamp {
    Stamp { wall_ms, counter: 0 }
}

fn instance(name: &str) -> id::Instance {
    name.parse().expect("valid")
}

fn task_started(wall_ms: u64, name: &str) -> Event {
    Event::builder(stamp(wall_ms), instance(name), Kind::TaskStarted).build()
}

fn event() -> impl Strategy<Value = Event> {
    let ids = (any::<u64>(), any::<u32>(), "[a-z]{1,30}", "[a-z]{1,30}");
    let head = (0u64..100, "[abc]", 0..Kind::ALL.len(), any::<u8>(), "\\PC{0,300}");
    (ids, head).prop_map(|((job, index, request, vm), (wall_ms, name, kind, parts, detail))| {
        let mut builder = Event::builder(stamp(wall_ms), instance(&name), Kind::ALL[kind]);
        if parts & 1 != 0 {
            builder = builder.job(id::Job::new(job));
        }
        if parts & 2 != 0 {
            builder = builder.task(id::Task { job: id::Job::new(job), index });
        }
        if parts & 4 != 0 {
            builder = builder.request(request.parse().expect("valid"));
        }
        if parts & 8 != 0 {
            builder = builder.vm(vm.parse().expect("valid"));
        }
        if parts & 16 != 0 {
            builder = builder.partition(id::Partition::new(index));
        }
        builder.detail(&detail).build()
    })
}

proptest! {
    #[test]
    fn json_decodes_to_the_same_events(events in prop::collection::vec(event(), 0..20)) {
        let text = json::encode(&events).expect("serializable");
        prop_assert_eq!(json::decode(&text).expect("valid"), events);
    }

    #[test]
    fn decoding_arbitrary_text_never_panics(text in any::<String>()) {
        let _ = json::decode(&text);
    }

    #[test]
    fn merged_lists_are_ordered_and_complete(
        lists in prop::collection::vec(prop::collection::vec(event(), 0..20), 0..4),
    ) {
        let merged = merge(lists.clone());
        prop_assert!(merged.is_sorted_by_key(|event| event.stamp));
        for event in lists.iter().flatten() {
            prop_assert!(merged.contains(event));
        }
        prop_assert!(merged.iter().all(|event| lists.iter().flatten().any(|original| original == event)));
    }
}

#[test]
fn the_same_event_from_two_lists_appears_once() {
    let list = vec![task_started(1, "a"), task_started(2, "a")];
    let merged = merge([list.clone(), vec![task_started(1, "b")], list]);
    assert_eq!(merged, [task_started(1, "a"), task_started(1, "b"), task_started(2, "a")]);
}

#[test]
fn a_full_buffer_drops_the_oldest_event_and_counts_it() {
    let mut buffer = Buffer::new();
    for wall_ms in 0..=buffer::CAPACITY as u64 {
        buffer.push(task_started(wall_ms, "a"));
    }
    assert_eq!(buffer.len(), 65_536);
    assert_eq!(buffer.dropped(), 1);
    assert_eq!(buffer.select(&Filter::default(), usize::MAX)[0].stamp, stamp(1));
    assert_eq!(buffer.select(&Filter::default(), 1)[0].stamp, stamp(65_536));
}

#[test]
fn each_condition_of_a_filter_excludes_other_events() {
    let job = id::Job::new(7);
    let matching = Event::builder(stamp(5), instance("a"), Kind::TaskEvicted)
        .task(id::Task { job, index: 1 })
        .request("r1".parse().expect("valid"))
        .vm("vm1".parse().expect("valid"))
        .build();
    let filters = [
        Filter { job: Some(job), ..Filter::default() },
        Filter { request: Some("r1".parse().expect("valid")), ..Filter::default() },
        Filter { vm: Some("vm1".parse().expect("valid")), ..Filter::default() },
        Filter { process: Some(instance("a")), ..Filter::default() },
        Filter { kind: Some(Kind::TaskEvicted), ..Filter::default() },
        Filter { since: Some(stamp(5)), ..Filter::default() },
    ];
    for filter in &filters {
        assert!(filter.matches(&matching), "{filter:?}");
        assert!(!filter.matches(&task_started(4, "b")), "{filter:?}");
    }
}

#[test]
fn a_long_detail_is_truncated_at_a_character_boundary() {
    let detail = "ü".repeat(event::DETAIL_LEN_MAX);
    let event = Event::builder(stamp(1), instance("a"), Kind::JobRefused).detail(&detail).build();
    assert_eq!(event.detail.len(), event::DETAIL_LEN_MAX);
}

#[test]
fn each_kind_parses_back_from_its_text() {
    for kind in Kind::ALL {
        assert_eq!(kind.to_string().parse::<Kind>().expect("valid"), *kind);
    }
}

#[test]
fn an_invalid_event_is_reported_with_its_position() {
    let good = json::encode(&[task_started(1, "a")]).expect("serializable");
    let good = good.trim_matches(['[', ']']);
    let text = format!("[{good},{{\"stamp\":\"x\"}},{good},3]");
    let message = json::decode(&text).expect_err("two invalid events").to_string();
    assert!(message.contains("events[1]: "), "{message}");
    assert!(message.contains("events[3]: "), "{message}");
}
