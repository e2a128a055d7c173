//! Guards against large values that are truncated, mixed with another value or lost.

use futures_lite::future::block_on;
use knapweedgap_store::fake::Fake;
use knapweedgap_store::{Compare, Error, Key, Store, Txn, blob};
use proptest::prelude::*;

fn key(text: &str) -> Key {
    text.parse().expect("valid key")
}

/// Returns a condition that holds until a test writes the key of the owner.
fn guard() -> Compare {
    Compare::absent(key("/owner"))
}

fn write(store: &Fake, bytes: &[u8]) -> Result<bool, Error> {
    block_on(blob::write(store, &guard(), &key("/blob"), bytes))
}

fn read(store: &Fake) -> Result<Option<Vec<u8>>, Error> {
    block_on(blob::read(store, &key("/blob")))
}

fn value(seed: u8, len: usize) -> Vec<u8> {
    (0..len).map(|index| seed.wrapping_add(u8::try_from(index % 251).expect("small"))).collect()
}

#[test]
fn values_longer_than_one_key_allows_are_read_back_complete() {
    let store = Fake::new();
    assert_eq!(read(&store), Ok(None));
    let lengths = [3_000_000, 0, 1, blob::PART_LEN, blob::PART_LEN + 1, 7_000_000];
    for (seed, len) in (0..).zip(lengths) {
        let bytes = value(seed, len);
        assert_eq!(write(&store, &bytes), Ok(true));
        assert!(read(&store) == Ok(Some(bytes)), "{len} bytes");
    }
}

#[test]
fn a_writer_whose_guard_fails_changes_nothing() {
    let store = Fake::new();
    let first = value(1, 2_000_000);
    assert_eq!(write(&store, &first), Ok(true));
    block_on(store.commit(Txn::new().put(key("/owner"), "other"))).expect("written");
    assert_eq!(write(&store, &value(2, 2_000_000)), Ok(false));
    assert!(read(&store) == Ok(Some(first)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn a_write_with_a_lost_answer_leaves_the_old_or_the_new_value(lost in 1u32..4, retry in any::<bool>()) {
        let store = Fake::new();
        let (old, new) = (value(1, 1_500_000), value(2, 1_300_000));
        prop_assert_eq!(write(&store, &old), Ok(true));
        store.lose_answers(lost);
        let first = write(&store, &new);
        prop_assert!(first.is_err());
        let found = read(&store).expect("readable").expect("present");
        prop_assert!(found == old || found == new);
        store.lose_answers(0);
        if retry {
            prop_assert_eq!(write(&store, &new), Ok(true));
            prop_assert!(read(&store) == Ok(Some(new)));
        }
    }
}
