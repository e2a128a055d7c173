//! Tests the adapter for the key-value service with the stand-in for the service.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use common::{Executor, bind, run};
use futures_lite::future;
use http_types::Method;
use knapweedgap_core::revision::Revision;
use knapweedgap_http::json;
use knapweedgap_standin::kv::{Change as FaultChange, Service};
use knapweedgap_standin::proxy::{Change as LinkChange, Cut, Proxy};
use knapweedgap_store::etcd::Gateway;
use knapweedgap_store::key::Range;
use knapweedgap_store::{
    Change, Compare, Error, Key, OP_COUNT_MAX, Outcome, Store, Txn, VALUE_LEN_MAX, error,
};

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

fn key(text: &str) -> Key {
    text.parse().expect("key")
}

fn start(executor: &Executor) -> (Service, SocketAddr) {
    let (listener, address) = bind();
    let service = Service::new();
    executor.spawn(service.clone().run(listener)).detach();
    (service, address)
}

fn gateway(address: SocketAddr) -> Gateway {
    Gateway::builder()
        .endpoint(address)
        .call_timeout(CALL_TIMEOUT)
        .stall_timeout(CALL_TIMEOUT * 4)
        .build()
}

fn closed_port() -> SocketAddr {
    let (listener, address) = bind();
    drop(listener);
    address
}

async fn put(store: &Gateway, name: &str, value: &str) -> Revision {
    let outcome = store.commit(Txn::new().put(key(name), value)).await.expect("commit");
    let Outcome::Succeeded(revision) = outcome else { panic!("no compare can fail") };
    revision
}

fn set(service: &Service, fault: serde_json::Value) {
    service.inject(&serde_json::from_value::<FaultChange>(fault).expect("fault"));
}

#[test]
fn lost_answer_is_unknown_and_resolved_by_reading_back() {
    run(async |executor| {
        let (service, address) = start(&executor);
        let store = gateway(address);
        set(&service, serde_json::json!({ "lose_answers": 1.0 }));
        let lost = store.commit(Txn::new().put(key("/a"), "write-7")).await;
        assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
        set(&service, serde_json::json!({ "lose_answers": 0.0 }));
        let page = store.range(Range::key(key("/a"))).await.expect("range");
        assert_eq!(page.entries[0].value, b"write-7");
        assert_eq!(page.entries[0].version, 1, "the adapter must not repeat the write");
    });
}

#[test]
fn unconfirmed_write_is_not_repeated_at_another_endpoint() {
    run(async |executor| {
        let (lossy, first) = start(&executor);
        let (healthy, second) = start(&executor);
        set(&lossy, serde_json::json!({ "lose_answers": 1.0 }));
        let store =
            Gateway::builder().endpoint(first).endpoint(second).call_timeout(CALL_TIMEOUT).build();
        let lost = store.commit(Txn::new().put(key("/a"), "x")).await;
        assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
        assert!(!healthy.stats().calls.contains_key("txn"));
    });
}

#[test]
fn refused_connection_is_unavailable_and_the_next_endpoint_is_tried() {
    run(async |executor| {
        let refused = gateway(closed_port()).commit(Txn::new().put(key("/a"), "x")).await;
        assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
        let (_service, address) = start(&executor);
        let store = Gateway::builder().endpoint(closed_port()).endpoint(address).build();
        put(&store, "/a", "x").await;
    });
}

#[test]
fn slow_answer_is_unknown_for_writes_and_unavailable_for_reads() {
    run(async |executor| {
        let (service, address) = start(&executor);
        let store = gateway(address);
        set(&service, serde_json::json!({ "stall": true }));
        let write = store.commit(Txn::new().put(key("/a"), "x")).await;
        assert!(matches!(write, Err(Error::Unknown(_))), "{write:?}");
        let read = store.range(Range::key(key("/a"))).await;
        assert!(matches!(read, Err(Error::Unavailable(_))), "{read:?}");
    });
}

#[test]
fn outage_is_unavailable_and_applies_nothing() {
    run(async |executor| {
        let (service, address) = start(&executor);
        let store = gateway(address);
        set(&service, serde_json::json!({ "outage": true }));
        let write = store.commit(Txn::new().put(key("/a"), "x")).await;
        assert!(matches!(write, Err(Error::Unavailable(_))), "{write:?}");
        set(&service, serde_json::json!({ "outage": false }));
        let page = store.range(Range::key(key("/a"))).await.expect("range");
        assert!(page.entries.is_empty());
    });
}

#[test]
fn compare_and_swap_race_has_one_winner() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let mut races = Vec::new();
        for index in 0..16 {
            races.push(executor.spawn(async move {
                let store = gateway(address);
                let txn = Txn::new().when(Compare::absent(key("/owner")));
                store.commit(txn.put(key("/owner"), index.to_string())).await.expect("commit")
            }));
        }
        let mut winners = Vec::new();
        for (index, race) in races.into_iter().enumerate() {
            if let Outcome::Succeeded(revision) = race.await {
                winners.push((index, revision));
            }
        }
        assert_eq!(winners.len(), 1, "{winners:?}");
        let page = gateway(address).range(Range::key(key("/owner"))).await.expect("range");
        assert_eq!(page.entries[0].value, winners[0].0.to_string().as_bytes());
        assert_eq!(page.entries[0].mod_revision, winners[0].1);
    });
}

#[test]
fn failed_compare_of_any_kind_writes_nothing() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let store = gateway(address);
        let first = put(&store, "/a", "1").await;
        let second = put(&store, "/a", "2").await;
        let txn_with_true_compares = Txn::new()
            .when(Compare::Version(key("/a"), 2))
            .when(Compare::Created(key("/a"), first))
            .when(Compare::Modified(key("/a"), second))
            .when(Compare::Value(key("/a"), b"2".to_vec()));
        let outcome =
            store.commit(txn_with_true_compares.put(key("/b"), "x")).await.expect("commit");
        assert!(matches!(outcome, Outcome::Succeeded(_)));
        let false_compares = [
            Compare::Version(key("/a"), 1),
            Compare::Created(key("/a"), second),
            Compare::Modified(key("/a"), first),
            Compare::Value(key("/a"), b"1".to_vec()),
        ];
        for compare in false_compares {
            let txn = Txn::new().when(compare.clone()).put(key("/c"), "x").delete(key("/b"));
            let outcome = store.commit(txn).await.expect("commit");
            assert_eq!(outcome, Outcome::Failed, "{compare:?}");
        }
        let page = store.range(Range::prefix(key("/"))).await.expect("range");
        let keys: Vec<&str> = page.entries.iter().map(|entry| entry.key.as_str()).collect();
        assert_eq!(keys, ["/a", "/b"]);
    });
}

#[test]
fn pages_cover_a_prefix_without_gap_or_repetition() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let store = gateway(address);
        for index in 0..25 {
            put(&store, &format!("/log/{index:03}"), "x").await;
        }
        put(&store, "/log0", "outside").await;
        let mut seen = Vec::new();
        let mut range = Range::prefix(key("/log/")).limit(10);
        loop {
            let page = store.range(range).await.expect("range");
            assert!(page.entries.len() <= 10);
            seen.extend(page.entries.iter().map(|entry| entry.key.to_string()));
            if !page.more {
                break;
            }
            let last = seen.last().expect("a page that is not the last should have entries");
            range = Range::prefix(key("/log/")).limit(10).after(key(last));
        }
        let expected: Vec<String> = (0..25).map(|index| format!("/log/{index:03}")).collect();
        assert_eq!(seen, expected);
        let txn = Txn::new().delete_prefix(key("/log/"));
        store.commit(txn).await.expect("commit");
        let left = store.range(Range::prefix(key("/"))).await.expect("range");
        assert_eq!(left.entries.len(), 1);
    });
}

#[test]
fn too_long_values_and_transactions_are_refused() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let store = gateway(address);
        let longest = Txn::new().put(key("/a"), vec![0; VALUE_LEN_MAX]);
        store.commit(longest).await.expect("commit");
        let long = Txn::new().put(key("/a"), vec![0; VALUE_LEN_MAX + 1]);
        let long = store.commit(long).await;
        assert!(matches!(long, Err(Error::Refused { code: 3, .. })), "{long:?}");
        let mut many = Txn::new();
        for index in 0..=OP_COUNT_MAX {
            many = many.put(key(&format!("/{index}")), "x");
        }
        let many = store.commit(many).await;
        assert!(matches!(many, Err(Error::Refused { code: 3, .. })), "{many:?}");
    });
}

#[test]
fn key_is_deleted_with_its_lease_and_the_watch_reports_it() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let store = gateway(address);
        let lease = store.grant(Duration::from_secs(1)).await.expect("grant");
        let txn = Txn::new().put_leased(key("/i/1"), "x", lease);
        let Ok(Outcome::Succeeded(written)) = store.commit(txn).await else { panic!("commit") };
        let mut watch = store.watch(key("/i/"), written).await.expect("watch");
        assert_eq!(store.keep_alive(lease).await.expect("renewal"), Duration::from_secs(1));
        let put = watch.next().await.expect("put");
        assert!(matches!(&put[..], [Change::Put(entry)] if entry.lease == Some(lease)));
        let end = watch.next().await.expect("end");
        assert!(matches!(&end[..], [Change::Delete { .. }]), "{end:?}");
        for late in [store.keep_alive(lease).await.map(drop), store.revoke(lease).await] {
            let Err(Error::Refused { code, .. }) = late else { panic!("{late:?}") };
            assert_eq!(code, error::NOT_FOUND);
        }
    });
}

#[test]
fn revoked_lease_deletes_its_keys() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let store = gateway(address);
        let lease = store.grant(Duration::from_secs(60)).await.expect("grant");
        let txn = Txn::new().put_leased(key("/i/1"), "x", lease).put(key("/j"), "y");
        store.commit(txn).await.expect("commit");
        store.revoke(lease).await.expect("revoke");
        let page = store.range(Range::prefix(key("/"))).await.expect("range");
        assert_eq!(page.entries.len(), 1);
    });
}

#[test]
fn watch_reports_every_change_once_and_in_order() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let store = gateway(address);
        let from = Revision::new(put(&store, "/s/before", "x").await.get() + 1);
        let mut watch = store.watch(key("/s/"), from).await.expect("watch");
        let mut written = Vec::new();
        let writer = async {
            for index in 0..200 {
                written.push(put(&store, &format!("/s/{}", index % 7), "x").await);
                put(&store, "/elsewhere", "x").await;
            }
        };
        let mut seen = Vec::new();
        let reader = async {
            while seen.len() < 200 {
                let changes = watch.next().await.expect("changes");
                seen.extend(changes.iter().map(Change::revision));
            }
        };
        future::zip(writer, reader).await;
        assert_eq!(seen, written);
    });
}

#[test]
fn watch_that_starts_in_the_past_replays_the_changes() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let store = gateway(address);
        let first = put(&store, "/s/1", "x").await;
        let second = put(&store, "/s/2", "x").await;
        let mut watch = store.watch(key("/s/"), first).await.expect("watch");
        let mut seen = Vec::new();
        while seen.len() < 2 {
            let changes = watch.next().await.expect("changes");
            seen.extend(changes.iter().map(Change::revision));
        }
        assert_eq!(seen, [first, second]);
        assert_eq!(watch.resume_revision(), Revision::new(second.get() + 1));
    });
}

#[test]
fn watch_ends_in_an_outage_and_resumes_without_gap() {
    run(async |executor| {
        let (service, address) = start(&executor);
        let store = gateway(address);
        let mut watch = store.watch(key("/s/"), Revision::new(0)).await.expect("watch");
        let first = put(&store, "/s/1", "x").await;
        assert_eq!(watch.next().await.expect("change")[0].revision(), first);
        set(&service, serde_json::json!({ "outage": true }));
        let end = watch.next().await;
        assert!(matches!(end, Err(Error::Unavailable(_))), "{end:?}");
        let down = store.watch(key("/s/"), watch.resume_revision()).await;
        assert!(matches!(down, Err(Error::Unavailable(_))), "{down:?}");
        set(&service, serde_json::json!({ "outage": false }));
        let second = put(&store, "/s/2", "x").await;
        let mut watch = store.watch(key("/s/"), watch.resume_revision()).await.expect("watch");
        assert_eq!(watch.next().await.expect("change")[0].revision(), second);
    });
}

#[test]
fn stalled_watch_ends_with_an_error() {
    run(async |executor| {
        let (service, address) = start(&executor);
        let store = gateway(address);
        let mut watch = store.watch(key("/s/"), Revision::new(0)).await.expect("watch");
        set(&service, serde_json::json!({ "stall": true }));
        let end = watch.next().await;
        assert!(matches!(end, Err(Error::Unavailable(_))), "{end:?}");
    });
}

#[test]
fn idle_watch_stays_open_beyond_the_stall_timeout() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let store = gateway(address);
        let mut watch = store.watch(key("/s/"), Revision::new(0)).await.expect("watch");
        let writer = async {
            Timer::after(CALL_TIMEOUT * 6).await;
            put(&store, "/s/1", "x").await
        };
        let (written, seen) = future::zip(writer, watch.next()).await;
        assert_eq!(seen.expect("change")[0].revision(), written);
    });
}

#[test]
fn open_watch_counts_as_one_call() {
    run(async |executor| {
        let (service, address) = start(&executor);
        let store = gateway(address);
        let mut watch = store.watch(key("/s/"), Revision::new(0)).await.expect("watch");
        for _ in 0..5 {
            put(&store, "/s/1", "x").await;
            watch.next().await.expect("change");
        }
        let caller = json::Caller::new(address, CALL_TIMEOUT);
        let answer = caller.call(Method::Get, "/control/stats", None).await.expect("stats");
        let stats: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
        assert_eq!(stats["calls"]["watch"]["count"], 1);
        assert_eq!(stats["calls"]["txn"]["count"], 5);
        assert_eq!(stats["watching"], 1);
        drop(watch);
        while service.stats().watching > 0 {
            Timer::after(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn answer_lost_in_a_one_way_cut_is_unknown_and_the_watch_resumes_without_gap() {
    run(async |executor| {
        let (_service, target) = start(&executor);
        let (listener, address) = bind();
        let proxy = Proxy::new(target);
        executor.spawn(proxy.clone().run(listener)).detach();
        let store = gateway(address);
        let mut watch = store.watch(key("/s/"), Revision::new(0)).await.expect("watch");
        // Opens the connection beforehand: the proxy holds new connections during a cut.
        put(&store, "/warm", "x").await;
        proxy.inject(&LinkChange { cut: Some(Cut::ToClient), ..LinkChange::default() });
        let lost = store.commit(Txn::new().put(key("/s/1"), "write-7")).await;
        assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
        let end = watch.next().await;
        assert!(matches!(end, Err(Error::Unavailable(_))), "{end:?}");
        proxy.inject(&LinkChange { cut: Some(Cut::None), ..LinkChange::default() });
        let mut watch = store.watch(key("/s/"), watch.resume_revision()).await.expect("watch");
        let changes = watch.next().await.expect("change");
        assert!(matches!(&changes[..], [Change::Put(entry)] if entry.value == b"write-7"));
    });
}
