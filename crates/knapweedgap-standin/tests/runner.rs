//! Tests the slots, refusals, answers and record of the runner.

use std::cell::RefCell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::block_on;
use http_types::{Method, Request, Response, Url};
use knapweedgap_core::size;
use knapweedgap_http::client::{self, Failure};
use knapweedgap_http::{Limit, json};
use knapweedgap_standin::payload::{Digest, Pattern};
use knapweedgap_standin::record::Recorder;
use knapweedgap_standin::runner::{Builder, Crash, Kind, Line, Point, Runner, Settings};

const SECOND: Duration = Duration::from_secs(1);

struct Fixture {
    address: SocketAddr,
    executor: Rc<LocalExecutor<'static>>,
    lines: Rc<RefCell<Vec<Line>>>,
}

impl Fixture {
    fn kinds(&self, id: &str) -> Vec<Kind> {
        let lines = self.lines.borrow();
        lines.iter().filter(|line| line.request_id == id).map(|line| line.event).collect()
    }

    async fn send(
        &self,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Result<(Response, Vec<u8>), Failure> {
        send(self.address, id, headers).await
    }

    async fn pause(&self) {
        Timer::after(Duration::from_millis(50)).await;
    }
}

async fn send(
    address: SocketAddr,
    id: &str,
    headers: &[(&str, &str)],
) -> Result<(Response, Vec<u8>), Failure> {
    let failure = |error| Failure { sent: 0, error };
    let connection = client::connect(address, SECOND, Limit::default()).await.map_err(failure)?;
    let url = Url::parse(&format!("http://{address}/portal/x")).expect("url");
    let mut request = Request::new(Method::Post, url);
    request.insert_header("x-request-id", id);
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    request.set_body("body");
    let (mut response, _busy) = connection.send(request, 5 * SECOND).await?;
    let body = json::read_body(&mut response, 1 << 24).await.map_err(failure)?;
    Ok((response, body))
}

fn with_runner<Check, Done>(builder: Builder, check: Check)
where
    Check: FnOnce(Rc<Fixture>) -> Done,
    Done: Future<Output = ()>,
{
    let lines = Rc::new(RefCell::new(Vec::new()));
    let sink = lines.clone();
    let recorder = Recorder::callback(move |line| {
        sink.borrow_mut().push(serde_json::from_str(line).expect("line"));
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let executor = Rc::new(LocalExecutor::new());
    let runner = Runner::new("r1", builder.build(), recorder);
    let running = executor.spawn(runner.run(listener));
    let fixture = Rc::new(Fixture { address, executor: executor.clone(), lines });
    block_on(executor.run(check(fixture)));
    drop(running);
}

fn fast_builder() -> Builder {
    Settings::builder().work(Duration::from_millis(1), 0.0)
}

#[test]
fn an_answer_identifies_its_request() {
    with_runner(fast_builder(), async |fixture| {
        let (response, body) =
            fixture.send("a", &[("idempotency-key", "k")]).await.expect("answer");
        assert_eq!(response.header("x-request-id").expect("id").as_str(), "a");
        let digest = Digest::of(b"body").to_string();
        assert_eq!(response.header("x-body-digest").expect("digest").as_str(), digest);
        let echo: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(echo["body_digest"], digest.as_str());
        assert!(response.header("endpoint-load-metrics").is_some());
        assert_eq!(fixture.kinds("a"), [Kind::Begin, Kind::End]);
        assert_eq!(fixture.lines.borrow()[0].key.as_deref(), Some("k"));
    });
}

#[test]
fn long_answers_are_complete_with_and_without_a_length() {
    with_runner(fast_builder(), async |fixture| {
        for chunked in ["false", "true"] {
            let headers = [("x-answer-bytes", "300000"), ("x-answer-chunked", chunked)];
            let (_, body) = fixture.send("a", &headers).await.expect("answer");
            assert_eq!(Digest::of(&body), Pattern::new("a", 300_000).digest());
        }
    });
}

#[test]
fn requests_beyond_slots_and_queue_are_refused_before_start() {
    let builder = fast_builder().slots(size::Slot::new(1)).queue(1);
    with_runner(builder, async |fixture| {
        let address = fixture.address;
        let long = [("x-work-ms", "300")];
        let first = fixture.executor.spawn(async move { send(address, "a", &long).await });
        fixture.pause().await;
        let second = fixture.executor.spawn(async move { send(address, "b", &[]).await });
        fixture.pause().await;
        let (third, _) = fixture.send("c", &[]).await.expect("answer");
        assert_eq!(u16::from(third.status()), 503);
        assert_eq!(third.header("x-not-started").expect("mark").as_str(), "true");
        let load = third.header("endpoint-load-metrics").expect("load").as_str().to_owned();
        assert_eq!(load, "TEXT named_metrics.slots_in_use=1,named_metrics.queued=1");
        assert_eq!(fixture.kinds("c"), [Kind::Refused]);
        assert!(first.await.is_ok() && second.await.is_ok());
        let begins = fixture.lines.borrow().iter().filter(|line| line.event == Kind::Begin).count();
        assert_eq!(begins, 2);
    });
}

#[test]
fn a_client_that_disconnects_releases_its_slot() {
    with_runner(fast_builder().slots(size::Slot::new(1)), async |fixture| {
        let address = fixture.address;
        let long = [("x-work-ms", "5000")];
        let first = fixture.executor.spawn(async move { send(address, "a", &long).await });
        fixture.pause().await;
        drop(first);
        let (second, _) = fixture.send("b", &[]).await.expect("answer");
        assert_eq!(u16::from(second.status()), 200);
        assert_eq!(fixture.kinds("a"), [Kind::Begin, Kind::Abandoned]);
    });
}

#[test]
fn connections_beyond_the_limit_are_closed() {
    with_runner(fast_builder().connections(size::Connection::new(1)), async |fixture| {
        let held =
            client::connect(fixture.address, SECOND, Limit::default()).await.expect("connect");
        fixture.pause().await;
        assert!(fixture.send("a", &[]).await.is_err());
        drop(held);
        fixture.pause().await;
        assert!(fixture.send("b", &[]).await.is_ok());
    });
}

#[test]
fn a_crash_before_the_work_records_no_begin_and_one_after_it_records_the_end() {
    for (point, kinds) in [(Point::Before, vec![]), (Point::After, vec![Kind::Begin, Kind::End])] {
        let crash = Some(Crash { point, request: 2 });
        with_runner(fast_builder().crash(crash), async |fixture| {
            fixture.send("a", &[]).await.expect("answer");
            let failure = fixture.send("b", &[]).await.expect_err("crashed");
            assert!(failure.sent > 0);
            assert_eq!(fixture.kinds("b"), kinds);
            assert!(fixture.send("c", &[]).await.is_err());
        });
    }
}

#[test]
fn invalid_headers_do_not_start_work() {
    with_runner(fast_builder(), async |fixture| {
        let (response, _) = fixture.send("a", &[("x-work-ms", "-1")]).await.expect("answer");
        assert_eq!(u16::from(response.status()), 400);
        assert!(fixture.kinds("a").is_empty());
    });
}
