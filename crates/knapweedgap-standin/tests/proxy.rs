//! Tests the faults that the proxy injects for other tests.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use common::{Executor, bind, run};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::Method;
use knapweedgap_http::json;
use knapweedgap_standin::proxy::{Change, Proxy};
use knapweedgap_standin::serve;

const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts an echo server and a proxy in front of it.
fn start(executor: &Executor) -> (Proxy, SocketAddr) {
    let (listener, target) = bind();
    let echo = serve::accept(listener, |socket| async move {
        let _ = futures_lite::io::copy(&*socket, &mut &*socket).await;
    });
    executor.spawn(echo).detach();
    let (listener, address) = bind();
    let proxy = Proxy::new(target);
    executor.spawn(proxy.clone().run(listener)).detach();
    (proxy, address)
}

fn set(proxy: &Proxy, fault: serde_json::Value) {
    proxy.inject(&serde_json::from_value::<Change>(fault).expect("fault"));
}

async fn connect(address: SocketAddr) -> Async<TcpStream> {
    Async::<TcpStream>::connect(address).await.expect("connect")
}

async fn echo(stream: &Async<TcpStream>, bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut stream = stream;
    stream.write_all(bytes).await?;
    let mut answer = vec![0; bytes.len()];
    stream.read_exact(&mut answer).await?;
    Ok(answer)
}

/// Returns `true` if the echo of a byte arrives within [`ANSWER_TIMEOUT`].
async fn answers(stream: &Async<TcpStream>) -> bool {
    let answer = async { echo(stream, b"x").await.is_ok() };
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        false
    };
    answer.or(timeout).await
}

#[test]
fn bytes_arrive_completely_and_in_order_under_jitter() {
    run(async |executor| {
        let (proxy, address) = start(&executor);
        set(&proxy, serde_json::json!({ "delay_ms": 1, "jitter_ms": 5 }));
        let stream = connect(address).await;
        for round in 0..20u8 {
            let bytes: Vec<u8> = (0..5_000).map(|index| (index % 251) as u8 ^ round).collect();
            assert_eq!(echo(&stream, &bytes).await.expect("echo"), bytes);
        }
    });
}

#[test]
fn delay_applies_to_each_direction() {
    run(async |executor| {
        let (proxy, address) = start(&executor);
        set(&proxy, serde_json::json!({ "delay_ms": 50 }));
        let stream = connect(address).await;
        let start = Instant::now();
        echo(&stream, b"x").await.expect("echo");
        assert!(start.elapsed() >= Duration::from_millis(100));
    });
}

#[test]
fn stall_and_cut_hold_bytes_and_deliver_them_later() {
    run(async |executor| {
        let (proxy, address) = start(&executor);
        let stream = connect(address).await;
        assert!(answers(&stream).await);
        let faults = [
            (serde_json::json!({ "stall": true }), serde_json::json!({ "stall": false })),
            (serde_json::json!({ "cut": "to_target" }), serde_json::json!({ "cut": "none" })),
            (serde_json::json!({ "cut": "to_client" }), serde_json::json!({ "cut": "none" })),
        ];
        for (on, off) in faults {
            let before = proxy.stats();
            set(&proxy, on.clone());
            assert!(!answers(&stream).await, "{on}");
            let delivered = proxy.stats().to_target_bytes - before.to_target_bytes;
            assert_eq!(delivered, u64::from(on["cut"] == "to_client"), "{on}");
            set(&proxy, off);
            let mut byte = [0];
            (&stream).read_exact(&mut byte).await.expect("held byte");
        }
    });
}

#[test]
fn reset_ends_open_and_new_connections() {
    run(async |executor| {
        let (proxy, address) = start(&executor);
        let stream = connect(address).await;
        echo(&stream, b"x").await.expect("echo");
        set(&proxy, serde_json::json!({ "reset": true }));
        let mut byte = [0];
        let error = (&stream).read(&mut byte).await.expect_err("reset");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
        // The reset may arrive before or after the client's connect call returns.
        let new_connection = async {
            let stream = Async::<TcpStream>::connect(address).await?;
            echo(&stream, b"x").await
        };
        assert!(new_connection.await.is_err());
        set(&proxy, serde_json::json!({ "reset": false }));
        assert!(answers(&connect(address).await).await);
    });
}

#[test]
fn refused_connections_leave_open_ones_alone() {
    run(async |executor| {
        let (proxy, address) = start(&executor);
        let open = connect(address).await;
        assert!(answers(&open).await);
        set(&proxy, serde_json::json!({ "refuse": true }));
        Timer::after(Duration::from_millis(20)).await;
        let refused = Async::<TcpStream>::connect(address).await;
        let error = refused.expect_err("the listener is closed");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
        assert!(answers(&open).await);
        set(&proxy, serde_json::json!({ "refuse": false }));
        Timer::after(Duration::from_millis(20)).await;
        assert!(answers(&connect(address).await).await);
    });
}

#[test]
fn bandwidth_is_limited() {
    run(async |executor| {
        let (proxy, address) = start(&executor);
        set(&proxy, serde_json::json!({ "bandwidth": 200_000 }));
        let stream = connect(address).await;
        let start = Instant::now();
        echo(&stream, &[7; 60_000]).await.expect("echo");
        // The transfer time of a chunk follows its delivery, so that of the last chunk is not
        // included.
        let least = Duration::from_secs(1).mul_f64((60_000.0 - 16_384.0) / 200_000.0);
        assert!(start.elapsed() >= least, "{:?}", start.elapsed());
    });
}

#[test]
fn end_of_stream_is_forwarded_and_connections_are_not_leaked() {
    run(async |executor| {
        let (proxy, address) = start(&executor);
        let stream = connect(address).await;
        (&stream).write_all(b"last words").await.expect("write");
        stream.get_ref().shutdown(std::net::Shutdown::Write).expect("shutdown");
        let mut answer = Vec::new();
        (&stream).read_to_end(&mut answer).await.expect("read");
        assert_eq!(answer, b"last words");
        while proxy.stats().open > 0 {
            Timer::after(Duration::from_millis(10)).await;
        }
        assert_eq!(proxy.stats().connections, 1);
    });
}

#[test]
fn control_port_sets_faults_and_reports_counts() {
    run(async |executor| {
        let (proxy, address) = start(&executor);
        let (listener, control) = bind();
        executor.spawn(proxy.run_control(listener)).detach();
        let stream = connect(address).await;
        echo(&stream, b"four").await.expect("echo");
        let caller = json::Caller::new(control, Duration::from_secs(1));
        let body = b"{\"stall\":true}".to_vec();
        let answer = caller.call(Method::Post, "/control", Some(body)).await.expect("control");
        assert_eq!(answer.status, 200);
        assert!(!answers(&stream).await);
        let unknown = b"{\"stal\":true}".to_vec();
        let answer = caller.call(Method::Post, "/control", Some(unknown)).await.expect("control");
        assert_eq!(answer.status, 400);
        let answer = caller.call(Method::Get, "/control/stats", None).await.expect("stats");
        let stats: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
        assert_eq!(stats["to_target_bytes"], 4);
    });
}
