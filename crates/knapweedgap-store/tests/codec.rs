//! Guards against decoders that panic on or accept malformed answers.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use knapweedgap_core::revision::Revision;
use knapweedgap_store::etcd::codec;
use knapweedgap_store::key::Range;
use knapweedgap_store::{Error, Key};
use proptest::prelude::*;
use serde_json::{Value, json};

fn decode_all(bytes: &[u8]) {
    let _ = codec::decode_page(bytes);
    let _ = codec::decode_outcome(bytes);
    let _ = codec::decode_grant(bytes);
    let _ = codec::decode_renewal(bytes);
    let (_, text) = codec::decode_failure(bytes);
    assert!(text.len() <= 3 * 256, "an error must not quote a long answer in full");
    if let Err(Error::Invalid { help, .. }) = codec::decode_message(bytes) {
        assert!(help.len() <= 512, "an error must not quote a long answer in full");
    }
}

/// Generates JSON with the field names of the protocol, so that nested fields are decoded too.
fn answer() -> impl Strategy<Value = Value> {
    let names = prop::sample::select(vec![
        "header",
        "revision",
        "kvs",
        "key",
        "value",
        "version",
        "mod_revision",
        "lease",
        "more",
        "succeeded",
        "ID",
        "TTL",
        "result",
        "error",
        "events",
        "kv",
        "type",
        "created",
        "canceled",
        "compact_revision",
        "code",
        "message",
    ]);
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(|number| Value::from(number.to_string())),
        any::<String>().prop_map(Value::from),
        any::<Vec<u8>>().prop_map(|bytes| Value::from(STANDARD.encode(bytes))),
    ];
    leaf.prop_recursive(5, 64, 6, move |inner| {
        let object = prop::collection::hash_map(names.clone(), inner.clone(), 0..6);
        let object = object.prop_map(|fields| {
            fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
        });
        prop_oneof![object, prop::collection::vec(inner, 0..6).prop_map(Value::from)]
    })
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in any::<Vec<u8>>()) {
        decode_all(&bytes);
    }

    #[test]
    fn arbitrary_fields_never_panic(answer in answer()) {
        decode_all(answer.to_string().as_bytes());
    }

    #[test]
    fn truncated_answer_is_invalid(end in 0usize..70) {
        let answer = json!({ "header": { "revision": "7" }, "kvs": [], "more": false }).to_string();
        let end = end.min(answer.len() - 1);
        prop_assert!(codec::decode_page(&answer.as_bytes()[..end]).is_err());
    }

    #[test]
    fn key_round_trips(text in "[!-~]{1,64}") {
        let key: Key = text.parse().expect("key");
        prop_assert_eq!(key.to_string(), text);
    }

    #[test]
    fn prefix_end_bounds_exactly_the_prefix(prefix in "[!-~]{1,4}", other in "[!-~]{1,6}") {
        let (prefix, other): (Key, Key) =
            (prefix.parse().expect("key"), other.parse().expect("key"));
        let end = prefix.prefix_end();
        let in_range = other >= prefix && other.as_str().as_bytes() < &end[..];
        prop_assert_eq!(in_range, other.is_under(&prefix));
    }
}

#[test]
fn error_of_an_invalid_answer_holds_the_position_of_the_fault() {
    let valid = json!({ "key": STANDARD.encode("/a"), "version": "1", "mod_revision": "2" });
    let invalid = json!({ "key": STANDARD.encode("/a"), "version": "1" });
    let page = json!({ "header": { "revision": "7" }, "kvs": [valid, invalid] });
    let Err(Error::Invalid { place, .. }) = codec::decode_page(page.to_string().as_bytes()) else {
        panic!("the page must be invalid");
    };
    assert_eq!(place, "kvs[1].mod_revision");
}

#[test]
fn compacted_watch_is_reported() {
    let message = json!({ "result": {
        "header": { "revision": "9" }, "canceled": true, "compact_revision": "5",
    } });
    let error = codec::decode_message(message.to_string().as_bytes());
    assert_eq!(error, Err(Error::Compacted(Revision::new(5))));
}

#[test]
fn range_request_matches_the_gateway_api() {
    let range = Range::prefix("/a/".parse().expect("key")).limit(10);
    let expected = json!({ "key": "L2Ev", "range_end": "L2Ew", "limit": "10" });
    assert_eq!(codec::encode_range(&range), expected);
}
