//! Guards against a fake store that deviates from the semantics that tests of control code rely on.

use std::time::{Duration, Instant};

use futures_lite::future::block_on;
use knapweedgap_core::revision::Revision;
use knapweedgap_store::fake::Fake;
use knapweedgap_store::key::Range;
use knapweedgap_store::{Change, Error, Key, Store, Txn};

fn key(text: &str) -> Key {
    text.parse().expect("key")
}

#[test]
fn write_with_a_lost_answer_is_applied_and_write_in_an_outage_is_not() {
    block_on(async {
        let store = Fake::new();
        store.lose_answers(1);
        let lost = store.commit(Txn::new().put(key("/a"), "x")).await;
        assert!(matches!(lost, Err(Error::Unknown(_))));
        store.set_outage(true);
        let refused = store.commit(Txn::new().put(key("/b"), "x")).await;
        assert!(matches!(refused, Err(Error::Unavailable(_))));
        store.set_outage(false);
        let page = store.range(Range::prefix(key("/"))).await.expect("range");
        let keys: Vec<&str> = page.entries.iter().map(|entry| entry.key.as_str()).collect();
        assert_eq!(keys, ["/a"]);
    });
}

#[test]
fn watch_reports_changes_then_ends_in_an_outage() {
    block_on(async {
        let store = Fake::new();
        let mut watch = store.watch(key("/s/"), Revision::new(0)).await.expect("watch");
        store.commit(Txn::new().put(key("/s/1"), "x")).await.expect("commit");
        let changes = watch.next().await.expect("change");
        assert!(matches!(&changes[..], [Change::Put(_)]));
        store.set_outage(true);
        let end = watch.next().await;
        assert!(matches!(end, Err(Error::Unavailable(_))), "{end:?}");
    });
}

#[test]
fn watch_from_a_compacted_revision_is_refused() {
    block_on(async {
        let store = Fake::new();
        store.commit(Txn::new().put(key("/s/1"), "x")).await.expect("commit");
        store.compact();
        let watch = store.watch(key("/s/"), Revision::new(1)).await;
        assert!(matches!(watch, Err(Error::Compacted(_))), "{watch:?}");
    });
}

#[test]
fn lease_expires_unless_renewed() {
    block_on(async {
        let store = Fake::new();
        let lease = store.grant(Duration::from_secs(10)).await.expect("grant");
        store.commit(Txn::new().put_leased(key("/i"), "x", lease)).await.expect("commit");
        store.expire_leases(Instant::now() + Duration::from_secs(9));
        store.keep_alive(lease).await.expect("renewal");
        store.expire_leases(Instant::now() + Duration::from_secs(11));
        let page = store.range(Range::key(key("/i"))).await.expect("range");
        assert!(page.entries.is_empty());
        assert!(store.keep_alive(lease).await.is_err());
    });
}

#[test]
fn put_of_a_key_that_is_also_deleted_is_refused() {
    block_on(async {
        let store = Fake::new();
        store.commit(Txn::new().put(key("/log/1"), "x")).await.expect("commit");
        let txn = Txn::new().delete_prefix(key("/log/")).put(key("/log/2"), "y");
        assert!(matches!(store.commit(txn).await, Err(Error::Refused { .. })));
        let page = store.range(Range::key(key("/log/1"))).await.expect("range");
        assert_eq!(page.entries.len(), 1, "a refused transaction must change nothing");
    });
}
