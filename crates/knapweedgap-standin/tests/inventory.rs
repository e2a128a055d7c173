//! Tests the poller of the VM list with the stand-in for the list service.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use common::{Executor, bind, run};
use http_types::Method;
use knapweedgap_http::json;
use knapweedgap_inventory::vm::State;
use knapweedgap_inventory::{Error, Poller, Update};
use knapweedgap_standin::inventory::Service;
use serde_json::json;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

fn start(executor: &Executor) -> (Service, SocketAddr) {
    let (listener, address) = bind();
    let service = Service::new();
    executor.spawn(service.clone().run(listener)).detach();
    (service, address)
}

async fn post(address: SocketAddr, path: &str, body: serde_json::Value) {
    let caller = json::Caller::new(address, CALL_TIMEOUT);
    let body = body.to_string().into_bytes();
    let answer = caller.call(Method::Post, path, Some(body)).await.expect("control");
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
}

fn worker(id: &str) -> serde_json::Value {
    json!({
        "id": id, "role": "worker", "address": "127.0.0.1:8001", "zone": "z1", "rack": "r1",
        "state": "live", "capacity": { "processor": 16000, "memory": 64_000_000_000_u64 },
    })
}

fn state(poller: &Poller, id: &str) -> Option<State> {
    poller.list().vms.get(&id.parse().expect("id")).map(|record| record.state)
}

#[test]
fn replaced_and_patched_list_reaches_the_poller() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let mut poller = Poller::new(address, CALL_TIMEOUT);
        let vms = json!({ "replace": [worker("w1"), worker("w2"), { "id": "w3" }] });
        post(address, "/control/vms", vms).await;
        let report = poller.poll().await.expect("poll");
        assert_eq!(report.update, Update::Changed);
        assert_eq!(report.faults[0].place, "vms[2].role");
        let patch = json!({ "patch": { "w1": { "state": "leaving" } }, "remove": ["w2"] });
        post(address, "/control/vms", patch).await;
        poller.poll().await.expect("poll");
        assert_eq!(state(&poller, "w1"), Some(State::Leaving));
        assert_eq!(state(&poller, "w2"), None);
        assert_eq!(poller.poll().await.expect("poll").update, Update::Unchanged);
    });
}

#[test]
fn older_list_does_not_undo_leaving() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let mut poller = Poller::new(address, CALL_TIMEOUT);
        post(address, "/control/vms", json!({ "replace": [worker("w1")] })).await;
        Timer::after(Duration::from_millis(300)).await;
        let patch = json!({ "patch": { "w1": { "state": "leaving" } } });
        post(address, "/control/vms", patch).await;
        poller.poll().await.expect("poll");
        post(address, "/control", json!({ "lag_ms": 60_000 })).await;
        let report = poller.poll().await.expect("poll");
        assert!(matches!(report.update, Update::Older(_)), "{report:?}");
        assert_eq!(state(&poller, "w1"), Some(State::Leaving));
    });
}

#[test]
fn outage_keeps_the_last_list() {
    run(async |executor| {
        let (_service, address) = start(&executor);
        let mut poller = Poller::new(address, CALL_TIMEOUT);
        post(address, "/control/vms", json!({ "replace": [worker("w1")] })).await;
        poller.poll().await.expect("poll");
        post(address, "/control", json!({ "outage": true })).await;
        assert!(matches!(poller.poll().await, Err(Error::Unavailable(_))));
        assert_eq!(state(&poller, "w1"), Some(State::Live));
    });
}
