//! Guards against frames that are decoded wrongly, exhaust memory or replace newer state.

use knapweedgap_core::{id, revision};
use knapweedgap_instance::codec::{self, Error};
use knapweedgap_instance::{relay, sequence, wire};
use knapweedgap_timeline::{Event, Filter, Kind, Stamp};
use proptest::prelude::*;

fn report() -> wire::Report {
    wire::Report {
        zone: "z1".parse().expect("valid"),
        store_reachable: true,
        draining: false,
        settings: revision::Revision::new(7),
        owned: vec![wire::Owned {
            partition: id::Partition::new(3),
            epoch: revision::Epoch::new(9),
        }],
        usage: vec![wire::Usage {
            team: "plans".parse().expect("valid"),
            size: "2/4GiB/1".parse().expect("valid"),
        }],
    }
}

fn frame(sequence: u64, body: wire::Body) -> wire::Frame {
    wire::Frame {
        sender: "a".parse().expect("valid"),
        incarnation: id::Incarnation::new(5),
        stamp: Stamp { wall_ms: 100 + sequence, counter: 1 },
        sequence: revision::Sequence::new(sequence),
        body,
    }
}

fn ping(sequence: u64) -> wire::Frame {
    frame(sequence, wire::Body::Ping(wire::Ping { sent_us: 1, report: report() }))
}

fn body() -> impl Strategy<Value = wire::Body> {
    let event = Event::builder(
        Stamp { wall_ms: 1, counter: 2 },
        "b".parse().expect("valid"),
        Kind::TaskEvicted,
    );
    let event = event.task(id::Task { job: id::Job::new(1), index: 2 }).detail("d").build();
    (0usize..12, any::<u64>(), "\\PC{0,40}").prop_map(move |(kind, number, text)| {
        let call = wire::Call::new(number);
        match kind {
            0 => wire::Body::Hello(wire::Hello { zone: "z1".parse().expect("valid") }),
            1 => wire::Body::Ping(wire::Ping { sent_us: number, report: report() }),
            2 => wire::Body::Pong(wire::Pong { sent_us: number }),
            3 => wire::Body::Settings(wire::Settings {
                revision: revision::Revision::new(number),
                tree: text,
            }),
            4 => wire::Body::Forward(wire::Forward {
                call,
                timeout_ms: number,
                method: "GET".into(),
                path: text.clone(),
                body: text,
            }),
            5 => wire::Body::Reply(wire::Reply { call, status: 200, body: text }),
            6 => wire::Body::Events(wire::Events::Query {
                call,
                filter: Filter { kind: Some(Kind::TaskEvicted), ..Filter::default() },
                limit: 5,
            }),
            7 => wire::Body::Events(wire::Events::List {
                call,
                events: vec![event.clone()],
                dropped: number,
            }),
            8 => wire::Body::Latencies(wire::Latencies {
                window_ms: number,
                upstreams: vec![wire::Latency {
                    service: "dispatch".parse().expect("service"),
                    worker: "w1".parse().expect("worker"),
                    tail_us: number,
                    target_us: 1,
                }],
            }),
            9 => wire::Body::Orders(relay::Orders {
                epoch: revision::Epoch::new(number),
                payloads: vec![text],
                orders: vec![relay::Order {
                    call,
                    worker: "w1".parse().expect("worker"),
                    incarnation: revision::Incarnation::new(number),
                    address: "10.1.2.3:80".parse().expect("address"),
                    fence: revision::Fence::new(number),
                    kind: relay::Kind::Start(relay::Start {
                        run: relay::Run {
                            task: relay::Task(id::Job::new(number), 1, 2, 3),
                            number: revision::Run::new(1),
                        },
                        payload: 0,
                        lease_end_ms: number,
                        checkpoint: "".into(),
                        ticket: None,
                        valid_ms: Some(number),
                    }),
                }],
            }),
            10 => wire::Body::Outcomes(relay::Outcomes {
                outcomes: vec![relay::Outcome {
                    call,
                    result: relay::Result::Unanswered(text.into()),
                }],
                leaving: number.is_multiple_of(2),
            }),
            _ => wire::Body::Release(wire::Release {
                partition: id::Partition::new(1),
                epoch: revision::Epoch::new(number),
                revision: revision::Revision::new(number),
            }),
        }
    })
}

proptest! {
    #[test]
    fn encoding_and_decoding_preserve_a_frame(sequence in any::<u32>(), body in body()) {
        let frame = frame(u64::from(sequence), body);
        let bytes = codec::encode(&frame).expect("small");
        prop_assert_eq!(codec::decode(&bytes).expect("valid"), frame);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = codec::decode(&bytes);
        let mut versioned = vec![wire::VERSION];
        versioned.extend(bytes);
        let _ = codec::decode(&versioned);
    }

    #[test]
    fn a_corrupted_frame_does_not_panic(
        body in body(),
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 1..5),
        cut in any::<usize>(),
    ) {
        let mut bytes = codec::encode(&frame(1, body)).expect("small");
        for (place, value) in changes {
            let place = place % bytes.len();
            bytes[place] = value;
        }
        let _ = codec::decode(&bytes);
        bytes.truncate(cut % bytes.len());
        prop_assert!(codec::decode(&bytes).is_err());
    }

    #[test]
    fn a_reordered_or_repeated_ping_never_replaces_a_newer_one(
        order in prop::collection::vec(1u64..50, 1..100),
    ) {
        let mut filter = sequence::Filter::new();
        let mut newest = 0;
        for number in order {
            prop_assert_eq!(filter.accept(&ping(number)), number > newest);
            newest = newest.max(number);
        }
    }
}

#[test]
fn a_frame_above_the_size_limit_is_refused_on_both_sides() {
    let tree = "x".repeat(codec::FRAME_LEN_MAX);
    let settings = wire::Settings { revision: revision::Revision::new(1), tree };
    let error = codec::encode(&frame(1, wire::Body::Settings(settings))).expect_err("too large");
    assert!(matches!(error, Error::Size { .. }), "{error}");
    let error = codec::decode(&vec![wire::VERSION; codec::FRAME_LEN_MAX + 1]);
    assert!(matches!(error, Err(Error::Size { .. })), "{error:?}");
}

#[test]
fn a_settings_tree_of_one_megabyte_fits() {
    let tree = "x".repeat(1 << 20);
    let settings = wire::Settings { revision: revision::Revision::new(1), tree };
    codec::encode(&frame(1, wire::Body::Settings(settings))).expect("within the limit");
}

#[test]
fn a_declared_length_does_not_allocate_memory() {
    // A text, a byte string, an array and a map that declare 2^62 bytes or items but contain none.
    // An allocation of that size would abort the test.
    for major in [0x7b_u8, 0x5b, 0x9b, 0xbb] {
        let declared = [major, 0x40, 0, 0, 0, 0, 0, 0, 0];
        let mut bytes = vec![wire::VERSION];
        bytes.extend(declared);
        assert!(matches!(codec::decode(&bytes), Err(Error::Head { .. })));
        let settings = wire::Settings { revision: revision::Revision::new(1), tree: "t".into() };
        let mut bytes = codec::encode(&frame(1, wire::Body::Settings(settings))).expect("small");
        bytes.truncate(bytes.len() - 2);
        bytes.extend(declared);
        assert!(matches!(codec::decode(&bytes), Err(Error::Body { .. })));
    }
}

#[test]
fn deep_nesting_does_not_exhaust_the_stack() {
    let mut bytes = vec![wire::VERSION];
    bytes.extend(std::iter::repeat_n(0x81, 1_000_000));
    assert!(codec::decode(&bytes).is_err());
}

#[test]
fn another_version_closes_the_link() {
    let mut bytes = codec::encode(&ping(1)).expect("small");
    bytes[0] = wire::VERSION + 1;
    let error = codec::decode(&bytes).expect_err("another version");
    assert_eq!(error, Error::Version { found: wire::VERSION + 1 });
    assert!(error.closes_link());
}

#[test]
fn an_unknown_body_reports_its_sender_and_keeps_the_link_open() {
    let bytes = codec::encode(&ping(1)).expect("small");
    let place = bytes.windows(4).position(|part| part == b"ping").expect("kind");
    let mut bytes = bytes;
    bytes[place..place + 4].copy_from_slice(b"pang");
    let error = codec::decode(&bytes).expect_err("unknown body");
    assert_eq!(error.to_string(), "frame.head.kind: unknown body \"pang\" from a");
    assert!(!error.closes_link());
}

#[test]
fn trailing_bytes_are_an_error_of_the_body() {
    let mut bytes = codec::encode(&ping(1)).expect("small");
    bytes.push(0);
    let error = codec::decode(&bytes).expect_err("one byte too many");
    assert_eq!(error.to_string(), "frame.body.ping: 1 bytes after the body from a");
}

#[test]
fn a_late_frame_of_an_earlier_incarnation_does_not_replace_newer_state() {
    let mut filter = sequence::Filter::new();
    assert!(filter.accept(&ping(8)));
    let mut next = ping(1);
    next.incarnation = id::Incarnation::new(2);
    next.stamp = Stamp { wall_ms: 200, counter: 0 };
    assert!(filter.accept(&next));
    assert!(!filter.accept(&ping(9)));
}
