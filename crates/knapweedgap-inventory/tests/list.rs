//! Guards against an invalid record that affects other machines and a stale list that puts a
//! leaving machine back into service.

use knapweedgap_core::size::{Bytes, Processor, Resources, Slot};
use knapweedgap_inventory::codec::{decode, encode};
use knapweedgap_inventory::vm::{Record, Role, State};
use knapweedgap_inventory::{Error, List, Update};
use proptest::prelude::*;
use serde_json::{Value, json};

fn upstream(id: &str, state: &str) -> Value {
    json!({
        "id": id, "role": "upstream", "service": "dispatch", "address": "127.0.0.1:8001",
        "zone": "z1", "rack": "r1", "state": state, "slots": 8, "host": "w1",
        "capacity": { "processor": 2000, "memory": 1_073_741_824 },
    })
}

fn answer(revision: u64, vms: Vec<Value>) -> Vec<u8> {
    json!({ "revision": revision, "vms": vms }).to_string().into_bytes()
}

fn update(list: &mut List, revision: u64, vms: Vec<Value>) -> Update {
    list.update(&decode(&answer(revision, vms)).expect("list"))
}

fn state(list: &List, id: &str) -> Option<State> {
    list.vms.get(&id.parse().expect("id")).map(|record| record.state)
}

#[test]
fn older_list_does_not_undo_leaving() {
    let mut list = List::default();
    update(&mut list, 5, vec![upstream("u1", "leaving")]);
    let older = update(&mut list, 4, vec![upstream("u1", "live"), upstream("u2", "live")]);
    assert!(matches!(older, Update::Older(_)));
    assert_eq!(update(&mut list, 5, vec![upstream("u1", "live")]), Update::Unchanged);
    assert_eq!(state(&list, "u1"), Some(State::Leaving));
    assert_eq!(state(&list, "u2"), None);
}

#[test]
fn newer_list_replaces_the_kept_one() {
    let mut list = List::default();
    update(&mut list, 5, vec![upstream("u1", "leaving"), upstream("u2", "live")]);
    assert_eq!(update(&mut list, 6, vec![upstream("u1", "live")]), Update::Changed);
    assert_eq!(state(&list, "u1"), Some(State::Live));
    assert_eq!(state(&list, "u2"), None);
}

#[test]
fn every_invalid_field_is_reported_and_valid_records_are_kept() {
    let mut invalid = upstream("u2", "gone");
    invalid["zone"] = json!(7);
    invalid["slots"] = json!(0);
    let vms = vec![upstream("u1", "live"), invalid, json!(3), upstream("u1", "live")];
    let decoded = decode(&answer(1, vms)).expect("list");
    let places: Vec<&str> = decoded.faults.iter().map(|fault| fault.place.as_str()).collect();
    assert_eq!(places, ["vms[1].slots", "vms[1].zone", "vms[1].state", "vms[2]", "vms[3].id"]);
    assert_eq!(decoded.list.vms.len(), 1);
}

#[test]
fn invalid_record_keeps_the_last_valid_one_but_applies_leaving() {
    let mut list = List::default();
    update(&mut list, 1, vec![upstream("u1", "live"), upstream("u2", "live")]);
    let (mut first, mut second) = (upstream("u1", "live"), upstream("u2", "leaving"));
    first["address"] = json!("nowhere");
    second["address"] = json!("nowhere");
    update(&mut list, 2, vec![first, second]);
    assert_eq!(state(&list, "u1"), Some(State::Live));
    assert_eq!(state(&list, "u2"), Some(State::Leaving));
}

#[test]
fn answer_that_is_not_a_list_is_invalid() {
    for bytes in [&b"[]"[..], b"{\"revision\":1}", b"{\"revision\":-1,\"vms\":[]}"] {
        assert!(matches!(decode(bytes), Err(Error::Invalid { .. })));
    }
}

fn record() -> impl Strategy<Value = Record> {
    let role = prop_oneof![
        Just(Role::Worker),
        Just(Role::Entry),
        ("[a-z]{1,9}", 1u32.., prop::option::of("[a-z0-9]{1,9}")).prop_map(
            |(service, slots, host)| Role::Upstream {
                service: service.parse().expect("service"),
                slots: Slot::new(slots),
                host: host.map(|host| host.parse().expect("host")),
            }
        ),
    ];
    let place = ("[a-z0-9]{1,9}", prop::option::of("[a-z0-9]{1,9}"));
    let size = (any::<u64>(), any::<u64>());
    ("[a-z0-9-]{1,20}", role, any::<std::net::SocketAddrV4>(), place, any::<bool>(), size).prop_map(
        |(id, role, address, (zone, rack), live, (processor, memory))| Record {
            id: id.parse().expect("id"),
            role,
            address: address.into(),
            zone: zone.parse().expect("zone"),
            rack: rack.map(|rack| rack.parse().expect("rack")),
            state: if live { State::Live } else { State::Leaving },
            capacity: Resources {
                processor: Processor::from_milli(processor),
                memory: Bytes::new(memory),
                ..Resources::default()
            },
        },
    )
}

proptest! {
    #[test]
    fn record_round_trips(record in record()) {
        let decoded = decode(&answer(1, vec![encode(&record)])).expect("list");
        prop_assert_eq!(&decoded.faults, &[]);
        prop_assert_eq!(decoded.list.vms.get(&record.id), Some(&record));
    }

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in any::<Vec<u8>>()) {
        let _ = decode(&bytes);
    }

    #[test]
    fn corrupted_record_is_decoded_or_reported(
        field in prop::sample::select(vec![
            "id", "role", "service", "address", "zone", "rack", "state", "slots", "capacity", "host",
        ]),
        value in prop_oneof![
            Just(Value::Null),
            any::<i64>().prop_map(Value::from),
            any::<String>().prop_map(Value::from),
            any::<Vec<u8>>().prop_map(Value::from),
            any::<String>().prop_map(|name| json!({ name: 1 })),
        ],
    ) {
        let mut corrupted = upstream("u2", "live");
        corrupted[field] = value;
        let decoded = decode(&answer(1, vec![upstream("u1", "live"), corrupted])).expect("list");
        let valid_count = decoded.list.vms.len();
        prop_assert!(valid_count == 2 || valid_count == 1 && !decoded.faults.is_empty());
        for fault in &decoded.faults {
            prop_assert!(fault.place.starts_with("vms[1]") && fault.help.len() <= 256);
        }
    }

    #[test]
    fn leaving_is_undone_only_by_a_newer_revision(
        lists in prop::collection::vec((0u64..4, any::<bool>()), 1..12),
    ) {
        let mut list = List::default();
        let mut leaving_at = None;
        for (revision, leaving) in lists {
            let state_text = if leaving { "leaving" } else { "live" };
            let applied = update(&mut list, revision, vec![upstream("u1", state_text)]);
            if matches!(applied, Update::Older(_)) {
                continue;
            }
            if leaving {
                leaving_at = Some(revision);
            }
            if leaving_at == Some(revision) {
                prop_assert_eq!(state(&list, "u1"), Some(State::Leaving));
            }
        }
    }
}
