//! Guards the encoded form of each kind of body. Instances of two releases exchange frames during
//! an update, so renaming a field or an enum variant must not change the bytes.

use knapweedgap_core::{id, revision};
use knapweedgap_instance::{codec, relay, wire};
use knapweedgap_timeline::{Event, Filter, Kind, Stamp};

fn frame(body: wire::Body) -> wire::Frame {
    wire::Frame {
        sender: "a".parse().expect("valid"),
        incarnation: id::Incarnation::new(5),
        stamp: Stamp { wall_ms: 100, counter: 1 },
        sequence: revision::Sequence::new(2),
        body,
    }
}

fn ping() -> wire::Body {
    let report = wire::Report {
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
    };
    wire::Body::Ping(wire::Ping { sent_us: 11, report })
}

fn event() -> Event {
    let stamp = Stamp { wall_ms: 1, counter: 2 };
    let event = Event::builder(stamp, "b".parse().expect("valid"), Kind::TaskEvicted);
    event.task(id::Task { job: id::Job::new(1), index: 2 }).detail("d").build()
}

fn orders() -> wire::Body {
    let order = |call, kind| relay::Order {
        call: wire::Call::new(call),
        worker: "w1".parse().expect("valid"),
        incarnation: revision::Incarnation::new(4),
        address: "10.1.2.3:80".parse().expect("valid"),
        fence: revision::Fence::new(6),
        kind,
    };
    let task = relay::Task(id::Job::new(1), 0, 2, 3);
    let run = relay::Run { task, number: revision::Run::new(5) };
    let start = relay::Start {
        run,
        payload: 0,
        lease_end_ms: 7,
        checkpoint: "c".into(),
        ticket: Some("t".into()),
        valid_ms: None,
    };
    let acknowledged = revision::End::new(8);
    let poll = relay::Poll { acknowledged, lease_end_ms: Some(9), wait_ms: 10 };
    wire::Body::Orders(relay::Orders {
        epoch: revision::Epoch::new(9),
        payloads: vec!["text".to_owned()],
        orders: vec![
            order(1, relay::Kind::Start(start)),
            order(2, relay::Kind::Stop(run)),
            order(3, relay::Kind::Speed(run, 50)),
            order(4, relay::Kind::Poll(poll)),
            order(5, relay::Kind::Disconnect),
        ],
    })
}

fn outcomes() -> wire::Body {
    let task = relay::Task(id::Job::new(1), 0, 2, 3);
    let run = revision::Run::new(5);
    let report = relay::Report {
        incarnation: Some(revision::Incarnation::new(4)),
        clock_ms: 7,
        leaves_in_ms: Some(8),
        running: vec![relay::Running(task, run, "c".into(), 40, Some(2))],
        ended: vec![relay::Ended(revision::End::new(1), task, run, "done".into(), "".into())],
        undecoded: 0,
    };
    let results = [
        relay::Result::Done,
        relay::Result::Report(report),
        relay::Result::Refused("fence".into()),
        relay::Result::NoListener,
        relay::Result::Unanswered("timeout".into()),
    ];
    let outcome = |(call, result)| relay::Outcome { call: wire::Call::new(call), result };
    let outcomes = (1..).zip(results).map(outcome).collect();
    wire::Body::Outcomes(relay::Outcomes { outcomes, leaving: true })
}

fn incomplete_report() -> wire::Body {
    let report = relay::Report {
        incarnation: None,
        clock_ms: 7,
        leaves_in_ms: None,
        running: Vec::new(),
        ended: Vec::new(),
        undecoded: 2,
    };
    let result = relay::Result::Report(report);
    let outcomes = vec![relay::Outcome { call: wire::Call::new(1), result }];
    wire::Body::Outcomes(relay::Outcomes { outcomes, leaving: false })
}

fn bodies() -> Vec<wire::Body> {
    let call = wire::Call::new(12);
    let filter = Filter { kind: Some(Kind::TaskEvicted), ..Filter::default() };
    let latency = wire::Latency {
        service: "dispatch".parse().expect("valid"),
        worker: "w1".parse().expect("valid"),
        tail_us: 1_500,
        target_us: 2_000,
    };
    vec![
        wire::Body::Hello(wire::Hello { zone: "z1".parse().expect("valid") }),
        ping(),
        wire::Body::Pong(wire::Pong { sent_us: 11 }),
        wire::Body::Settings(wire::Settings {
            revision: revision::Revision::new(7),
            tree: "{}".to_owned(),
        }),
        wire::Body::Forward(wire::Forward {
            call,
            timeout_ms: 250,
            method: "POST".into(),
            path: "/v1/jobs".to_owned(),
            body: "{}".to_owned(),
        }),
        wire::Body::Reply(wire::Reply { call, status: 200, body: "{}".to_owned() }),
        wire::Body::Events(wire::Events::Query { call, filter, limit: 5 }),
        wire::Body::Events(wire::Events::List { call, events: vec![event()], dropped: 3 }),
        wire::Body::Release(wire::Release {
            partition: id::Partition::new(3),
            epoch: revision::Epoch::new(9),
            revision: revision::Revision::new(8),
        }),
        wire::Body::Latencies(wire::Latencies { window_ms: 1_000, upstreams: vec![latency] }),
        orders(),
        outcomes(),
        incomplete_report(),
    ]
}

/// Encoded frames of [`bodies`], in the same order.
const ENCODED: [&str; 13] = [
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e646568656c6c6fa1647a6f6e65627a31",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e646470696e67a26773656e745f75730b667265706f7274a6647a6f6e65627a316f73746f7265\
     5f726561636861626c65f568647261696e696e67f46873657474696e677307656f776e656481a26970617274\
     6974696f6e036565706f63680965757361676581a2647465616d65706c616e736473697a65a36970726f6365\
     73736f721907d0666d656d6f72791b00000001000000006b616363656c657261746f7201",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e6464706f6e67a16773656e745f75730b",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e646873657474696e6773a2687265766973696f6e076474726565627b7d",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e6467666f7277617264a56463616c6c0c6a74696d656f75745f6d7318fa666d6574686f646450\
     4f53546470617468682f76312f6a6f627364626f6479627b7d",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e64657265706c79a36463616c6c0c6673746174757318c864626f6479627b7d",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e64666576656e7473a1657175657279a36463616c6c0c6666696c746572a1646b696e646c7461\
     736b2d65766963746564656c696d697405",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e64666576656e7473a1646c697374a36463616c6c0c666576656e747381a6657374616d706331\
     2e3268696e7374616e63656162646b696e646c7461736b2d65766963746564636a6f62703030303030303030\
     3030303030303031647461736b72303030303030303030303030303030312e326664657461696c6164676472\
     6f7070656403",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e646772656c65617365a369706172746974696f6e036565706f636809687265766973696f6e08",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e64696c6174656e63696573a26977696e646f775f6d731903e869757073747265616d7381a467\
     7365727669636568646973706174636866776f726b6572627731677461696c5f75731905dc69746172676574\
     5f75731907d0",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e64666f7264657273a36165096170816474657874616f85a661630161776277316169046161a1\
     62563482840a0102031850616606616ba16173a56172a2617484703030303030303030303030303030303100\
     0203616e05617000616c076163616361746174a661630261776277316169046161a162563482840a01020318\
     50616606616ba16178a26174847030303030303030303030303030303031000203616e05a661630361776277\
     316169046161a162563482840a0102031850616606616ba1617682a261748470303030303030303030303030\
     30303031000203616e051832a661630461776277316169046161a162563482840a0102031850616606616ba1\
     6170a3616108616c0961770aa661630561776277316169046161a162563482840a0102031850616606616b61\
     64",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e64686f7574636f6d6573a2616f85a261630161726164a26163026172a16172a5616904616b07\
     616c086172818584703030303030303030303030303030303100020305616318280261658185018470303030\
     303030303030303030303030310002030564646f6e6560a26163036172a161786566656e6365a26163046172\
     616ea26163056172a161756774696d656f7574616cf5",
    "01a56673656e64657261616b696e6361726e6174696f6e05657374616d70653130302e316873657175656e63\
     6502646b696e64686f7574636f6d6573a1616f81a26163016172a16172a2616b07617502",
];

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal")).collect()
}

#[test]
fn each_kind_of_body_keeps_its_bytes() {
    let bodies = bodies();
    assert_eq!(bodies.len(), ENCODED.len());
    for (body, encoded) in bodies.into_iter().zip(ENCODED) {
        let frame = frame(body);
        let kind = frame.body.name();
        let found = codec::encode(&frame).expect("small");
        assert_eq!(hexadecimal(&found), encoded, "{kind}");
        let decoded = codec::decode(&bytes(encoded)).expect("valid");
        assert_eq!(decoded, frame, "{kind}");
        let again = codec::encode(&decoded).expect("small");
        assert_eq!(hexadecimal(&again), encoded, "{kind}");
    }
}
