//! Guards against links that hang, deliver a reply to the wrong call or close on a tolerable fault.

use std::cell::RefCell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use async_tungstenite::WebSocketStream;
use async_tungstenite::tungstenite::Message;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, StreamExt, future};
use knapweedgap_core::{clock, id, revision};
use knapweedgap_instance::link::{Error, Established, Incoming};
use knapweedgap_instance::sender::{Failure, Refusal};
use knapweedgap_instance::{Identity, Limits, Link, codec, link, queue, wire};
use knapweedgap_timeline::{Event, Filter, Kind, Stamp, hybrid};
use proptest::prelude::*;

/// Timeout of each test, so that a hang is a failure.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(100);

fn run<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    let expire = async {
        Timer::after(TEST_TIMEOUT).await;
        panic!("the test did not end within {TEST_TIMEOUT:?}");
    };
    block_on(test.or(expire));
}

fn identity(name: &str) -> Identity {
    Identity::new(
        name.parse().expect("valid"),
        id::Incarnation::new(1),
        "z1".parse().expect("valid"),
        Rc::new(clock::System),
        Rc::new(RefCell::new(hybrid::Clock::new())),
    )
}

fn listener() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("free port");
    let address = listener.get_ref().local_addr().expect("bound");
    (listener, address)
}

async fn pair(a: &Identity, b: &Identity) -> (Link<Established>, Link<Established>) {
    let (listener, address) = listener();
    let accept = async {
        let (stream, _) = listener.accept().await.expect("connection");
        Link::accept(stream, b).await.expect("handshake")
    };
    let connect = async { Link::connect(address, a).await.expect("handshake") };
    future::zip(connect, accept).await
}

type Raw = WebSocketStream<Async<TcpStream>>;

/// Connects a link to a peer named `raw`, whose frames the test writes itself.
async fn raw_pair(identity: &Identity) -> (Link<Established>, Raw) {
    let (listener, address) = listener();
    let accept = async {
        let (stream, _) = listener.accept().await.expect("connection");
        Link::accept(stream, identity).await.expect("handshake")
    };
    future::zip(accept, open_raw(address, hello())).await
}

/// Opens a WebSocket and sends one frame.
async fn open_raw(address: SocketAddr, first: wire::Body) -> Raw {
    let stream = Async::<TcpStream>::connect(address).await.expect("listening");
    let url = format!("ws://{address}/");
    let (mut raw, _) = async_tungstenite::client_async(url, stream).await.expect("handshake");
    raw.send(binary(1, first)).await.expect("sent");
    raw
}

/// Returns the next forward and skips other frames.
async fn next_forward(raw: &mut Raw) -> wire::Forward {
    loop {
        let message = raw.next().await.expect("open").expect("message");
        let frame = codec::decode(&message.into_data()).expect("valid");
        if let wire::Body::Forward(forward) = frame.body {
            return forward;
        }
    }
}

/// Returns a frame with an unknown kind of body.
fn unknown_body() -> Message {
    let mut bytes = codec::encode(&raw_frame(2, ping())).expect("small");
    let place = bytes.windows(4).position(|part| part == b"ping").expect("kind");
    bytes[place..place + 4].copy_from_slice(b"pang");
    Message::binary(bytes)
}

fn hello() -> wire::Body {
    wire::Body::Hello(wire::Hello { zone: "z1".parse().expect("valid") })
}

fn raw_frame(sequence: u64, body: wire::Body) -> wire::Frame {
    wire::Frame {
        sender: "raw".parse().expect("valid"),
        incarnation: id::Incarnation::new(7),
        stamp: Stamp { wall_ms: 1, counter: 1 },
        sequence: revision::Sequence::new(sequence),
        body,
    }
}

fn binary(sequence: u64, body: wire::Body) -> Message {
    Message::binary(codec::encode(&raw_frame(sequence, body)).expect("small"))
}

fn ping() -> wire::Body {
    let report = wire::Report {
        zone: "z1".parse().expect("valid"),
        store_reachable: true,
        draining: false,
        settings: revision::Revision::new(1),
        owned: Vec::new(),
        usage: Vec::new(),
    };
    wire::Body::Ping(wire::Ping { sent_us: 0, report })
}

fn release(partition: u32) -> wire::Body {
    wire::Body::Release(wire::Release {
        partition: id::Partition::new(partition),
        epoch: revision::Epoch::new(1),
        revision: revision::Revision::new(1),
    })
}

fn reply(call: wire::Call, body: &str) -> wire::Body {
    wire::Body::Reply(wire::Reply { call, status: 200, body: body.to_owned() })
}

/// Replies to each forward with its path until the link ends.
async fn serve(mut link: Link<Established>) -> Error {
    loop {
        match link.next().await {
            Ok(Incoming::Frame(wire::Frame { body: wire::Body::Forward(forward), .. })) => {
                link.send(reply(forward.call, &forward.path)).expect("free capacity");
            }
            Ok(_) => continue,
            Err(error) => return error,
        }
    }
}

async fn run_until_end(mut link: Link<Established>) -> Error {
    loop {
        if let Err(error) = link.next().await {
            return error;
        }
    }
}

#[test]
fn a_ping_is_delivered_and_its_round_trip_measured() {
    run(async {
        let (mut a, mut b) = pair(&identity("a"), &identity("b")).await;
        assert_eq!((a.peer().id.as_str(), b.peer().id.as_str()), ("b", "a"));
        a.send(ping()).expect("free capacity");
        let executor = LocalExecutor::new();
        let other = executor.spawn(async move {
            let Ok(Incoming::Frame(frame)) = b.next().await else { panic!("no ping") };
            assert_eq!(frame.body.name(), "ping");
            run_until_end(b).await
        });
        let incoming = executor.run(a.next()).await.expect("open");
        let Incoming::RoundTrip(time) = incoming else { panic!("no round trip: {incoming:?}") };
        assert!(time < TEST_TIMEOUT);
        drop((a, other));
    });
}

#[test]
fn concurrent_calls_receive_their_own_replies() {
    run(async {
        let (a, b) = pair(&identity("a"), &identity("b")).await;
        let executor = LocalExecutor::new();
        let sender = a.sender();
        executor.spawn(run_until_end(a)).detach();
        executor.spawn(serve(b)).detach();
        let mut calls = Vec::new();
        for number in 0..50 {
            let sender = sender.clone();
            calls.push(executor.spawn(async move {
                let path = format!("/v1/jobs/{number}");
                let reply = sender.forward("GET", &path, "", TEST_TIMEOUT).await.expect("reply");
                assert_eq!(reply.body, path);
            }));
        }
        executor
            .run(async {
                for call in calls {
                    call.await;
                }
            })
            .await;
    });
}

#[test]
fn replies_out_of_order_reach_their_callers_and_a_late_reply_is_dropped() {
    run(async {
        let identity = identity("a");
        let (a, mut raw) = raw_pair(&identity).await;
        let executor = LocalExecutor::new();
        let sender = a.sender();
        executor.spawn(run_until_end(a)).detach();
        let first = executor.spawn({
            let sender = sender.clone();
            async move { sender.forward("GET", "/1", "", TEST_TIMEOUT).await }
        });
        let second = executor.spawn({
            let sender = sender.clone();
            async move { sender.forward("GET", "/2", "", TEST_TIMEOUT).await }
        });
        let third = executor.spawn(async move { sender.forward("GET", "/3", "", SHORT).await });
        let peer = async {
            let mut calls = Vec::new();
            for _ in 0..3 {
                let forward = next_forward(&mut raw).await;
                calls.push((forward.call, forward.path));
            }
            assert_eq!(third.await, Err(Failure::Timeout));
            for (sequence, (call, path)) in calls.iter().rev().enumerate() {
                let sequence = sequence as u64 + 2;
                raw.send(binary(sequence, reply(*call, path))).await.expect("sent");
            }
            assert_eq!(first.await.expect("reply").body, "/1");
            assert_eq!(second.await.expect("reply").body, "/2");
        };
        executor.run(peer).await;
        assert_eq!(identity.counts().late, 1);
    });
}

#[test]
fn an_event_query_returns_the_list_of_the_peer() {
    run(async {
        let (a, mut b) = pair(&identity("a"), &identity("b")).await;
        let event =
            Event::builder(Stamp::default(), "b".parse().expect("valid"), Kind::InstanceStarted);
        let events = vec![event.build()];
        let executor = LocalExecutor::new();
        let sender = a.sender();
        executor.spawn(run_until_end(a)).detach();
        let reply = events.clone();
        executor
            .spawn(async move {
                let Ok(Incoming::Frame(frame)) = b.next().await else { panic!("no query") };
                let wire::Body::Events(wire::Events::Query { call, limit, .. }) = frame.body else {
                    panic!("no query")
                };
                assert_eq!(limit, 9);
                let list = wire::Events::List { call, events: reply, dropped: 3 };
                b.send(wire::Body::Events(list)).expect("free capacity");
                run_until_end(b).await
            })
            .detach();
        let list = executor.run(sender.query(Filter::default(), 9, TEST_TIMEOUT)).await;
        let Ok(wire::Events::List { events: found, dropped: 3, .. }) = list else {
            panic!("no list: {list:?}")
        };
        assert_eq!(found, events);
    });
}

#[test]
fn a_reply_of_another_kind_does_not_end_a_call() {
    run(async {
        let identity = identity("a");
        let (a, mut raw) = raw_pair(&identity).await;
        let executor = LocalExecutor::new();
        let sender = a.sender();
        executor.spawn(run_until_end(a)).detach();
        let call = executor.spawn(async move { sender.forward("GET", "/", "", SHORT).await });
        let peer = async {
            let number = next_forward(&mut raw).await.call;
            let list = wire::Events::List { call: number, events: Vec::new(), dropped: 0 };
            raw.send(binary(2, wire::Body::Events(list))).await.expect("sent");
            assert_eq!(call.await, Err(Failure::Timeout));
        };
        executor.run(peer).await;
        assert_eq!(identity.counts().late, 1);
    });
}

#[test]
fn an_unknown_body_is_counted_and_the_link_stays_open() {
    run(async {
        let identity = identity("a");
        let (mut a, mut raw) = raw_pair(&identity).await;
        raw.send(unknown_body()).await.expect("sent");
        raw.send(binary(3, release(4))).await.expect("sent");
        let fault = a.next().await.expect("open");
        assert!(matches!(fault, Incoming::Fault(codec::Error::Kind { .. })), "{fault:?}");
        let Ok(Incoming::Frame(frame)) = a.next().await else { panic!("no release") };
        assert_eq!(frame.body, release(4));
        assert_eq!(identity.counts().invalid, 1);
    });
}

#[test]
fn too_many_unknown_bodies_close_the_link() {
    run(async {
        let (a, mut raw) = raw_pair(&identity("a")).await;
        for _ in 0..=link::INVALID_BODY_MAX {
            raw.send(unknown_body()).await.expect("sent");
        }
        assert!(matches!(run_until_end(a).await, Error::Faults));
    });
}

async fn error_after(message: Message) -> (Error, u64) {
    let identity = identity("a");
    let (a, mut raw) = raw_pair(&identity).await;
    raw.send(message).await.expect("sent");
    (run_until_end(a).await, identity.counts().invalid)
}

#[test]
fn a_frame_that_violates_the_protocol_closes_the_link_and_is_counted() {
    run(async {
        let mut other_version = codec::encode(&raw_frame(2, ping())).expect("small");
        other_version[0] += 1;
        let (error, invalid) = error_after(Message::binary(other_version)).await;
        assert!(matches!(error, Error::Frame(codec::Error::Version { .. })), "{error}");
        assert_eq!(invalid, 1);

        let (error, invalid) = error_after(binary(2, hello())).await;
        assert_eq!(error.to_string(), "link.greeted: unexpected hello");
        assert_eq!(invalid, 1);

        let mut other_sender = raw_frame(2, ping());
        other_sender.sender = "x".parse().expect("valid");
        let bytes = codec::encode(&other_sender).expect("small");
        let (error, invalid) = error_after(Message::binary(bytes)).await;
        assert_eq!(error.to_string(), "link.frame.head.sender: found x, expected raw");
        assert_eq!(invalid, 1);

        let mut other_incarnation = raw_frame(2, ping());
        other_incarnation.incarnation = id::Incarnation::new(8);
        let bytes = codec::encode(&other_incarnation).expect("small");
        let (error, invalid) = error_after(Message::binary(bytes)).await;
        assert!(matches!(error, Error::Sender { .. }), "{error}");
        assert_eq!(invalid, 1);

        let (error, invalid) = error_after(Message::text("x")).await;
        assert_eq!(error.to_string(), "link.greeted: unexpected text message");
        assert_eq!(invalid, 1);
    });
}

#[test]
fn a_message_above_the_size_limit_closes_the_link() {
    run(async {
        let identity = identity("a");
        let (a, mut raw) = raw_pair(&identity).await;
        let send = async {
            // The link may close before the message is written completely.
            let _ = raw.send(Message::binary(vec![1; codec::FRAME_LEN_MAX + 1])).await;
        };
        let (error, ()) = future::zip(run_until_end(a), send).await;
        assert!(matches!(error, Error::Socket(_)), "{error}");
    });
}

#[test]
fn a_peer_that_does_not_send_a_hello_first_is_refused() {
    run(async {
        let identity = identity("a");
        let (listener, address) = listener();
        let accept = async {
            let (stream, _) = listener.accept().await.expect("connection");
            Link::accept(stream, &identity).await.expect_err("no hello")
        };
        let (error, _raw) = future::zip(accept, open_raw(address, ping())).await;
        assert_eq!(error.to_string(), "link.greeting: unexpected ping");
        assert_eq!(identity.counts().invalid, 1);
    });
}

#[test]
fn duplicate_frames_are_dropped() {
    run(async {
        let identity = identity("a");
        let (mut a, mut raw) = raw_pair(&identity).await;
        for sequence in [5, 5, 3, 4, 3] {
            raw.send(binary(sequence, ping())).await.expect("sent");
        }
        for sequence in [7, 6, 7] {
            let partition = u32::try_from(sequence).expect("small");
            raw.send(binary(sequence, release(partition))).await.expect("sent");
        }
        let mut seen = Vec::new();
        while seen.len() < 3 {
            let Ok(Incoming::Frame(frame)) = a.next().await else { panic!("no frame") };
            seen.push(frame.sequence.get());
        }
        // An older ping is stale. Releases are accepted in any order, but only once.
        assert_eq!(seen, [5, 7, 6]);
        raw.send(binary(8, release(8))).await.expect("sent");
        let Ok(Incoming::Frame(frame)) = a.next().await else { panic!("no frame") };
        assert_eq!(frame.sequence.get(), 8);
        assert_eq!(identity.counts().stale, 5);
    });
}

#[test]
fn a_clock_far_ahead_is_counted_and_not_merged() {
    run(async {
        let identity = identity("a");
        let (mut a, mut raw) = raw_pair(&identity).await;
        let mut frame = raw_frame(2, release(1));
        frame.stamp = Stamp { wall_ms: u64::MAX / 2, counter: 0 };
        let bytes = codec::encode(&frame).expect("small");
        raw.send(Message::binary(bytes)).await.expect("sent");
        assert!(matches!(a.next().await, Ok(Incoming::Frame(_))));
        assert_eq!(identity.counts().drift, 1);
    });
}

#[test]
fn a_full_queue_refuses_calls_and_replaces_pings() {
    run(async {
        let identity = identity("a").with_limits(Limits::default().queue_len(2));
        let (a, _raw) = raw_pair(&identity).await;
        for _ in 0..10 {
            a.send(ping()).expect("a ping replaces the older one");
        }
        a.send(release(1)).expect("free capacity");
        a.send(release(2)).expect("free capacity");
        assert_eq!(a.send(release(3)), Err(Refusal::Full));
        let failure = a.sender().forward("GET", "/", "", SHORT).await.expect_err("full");
        assert_eq!(failure, Failure::Refused(Refusal::Full));
        assert!(failure.is_not_run());
        assert_eq!((identity.counts().replaced, identity.counts().refused), (9, 2));
    });
}

#[test]
fn the_queue_is_bounded_in_bytes() {
    let mut queue = queue::Queue::new(100, 10);
    assert_eq!(queue.push(queue::Class::Ordered, vec![0; 6]), queue::Push::Queued);
    assert_eq!(queue.push(queue::Class::Ordered, vec![0; 5]), queue::Push::Full);
    assert_eq!(queue.push(queue::Class::Ping, vec![1; 50]), queue::Push::Queued);
    assert_eq!(queue.pop(), Some(vec![1; 50]));
    assert_eq!(queue.pop(), Some(vec![0; 6]));
    assert_eq!(queue.push(queue::Class::Ordered, vec![0; 10]), queue::Push::Queued);
}

#[test]
fn a_refused_connection_is_distinguished_from_an_unresponsive_peer() {
    run(async {
        let limits = Limits::default().handshake_timeout(SHORT);
        let identity = identity("a").with_limits(limits);
        let (listener, address) = listener();
        // The kernel accepts the connection, but no process sends a hello.
        let error = Link::connect(address, &identity).await.expect_err("no hello");
        assert!(matches!(error, Error::Timeout { place: "greet" }), "{error}");
        assert!(!error.is_refused());
        drop(listener);
        let error = Link::connect(address, &identity).await.expect_err("closed port");
        assert!(error.is_refused(), "{error}");
    });
}

#[test]
fn a_peer_that_stops_sending_ends_the_link() {
    run(async {
        let identity = identity("a").with_limits(Limits::default().read_timeout(SHORT));
        let (a, _raw) = raw_pair(&identity).await;
        assert!(matches!(run_until_end(a).await, Error::Timeout { place: "read" }));
    });
}

#[test]
fn a_peer_that_does_not_read_ends_the_link() {
    run(async {
        let limits = Limits::default().write_timeout(SHORT).queue_len(1_000);
        let limits = limits.queue_bytes(20 * codec::FRAME_LEN_MAX);
        let identity = identity("a").with_limits(limits);
        let (a, _raw) = raw_pair(&identity).await;
        let body = "x".repeat(1 << 20);
        for number in 0..16 {
            a.send(reply(wire::Call::new(number), &body)).expect("free capacity");
        }
        assert!(matches!(run_until_end(a).await, Error::Timeout { place: "write" }));
    });
}

#[test]
fn closing_writes_the_queued_frames_first() {
    run(async {
        let (a, mut b) = pair(&identity("a"), &identity("b")).await;
        let sender = a.sender();
        for partition in 0..20 {
            a.send(release(partition)).expect("free capacity");
        }
        let receive = async {
            for partition in 0..20 {
                let Ok(Incoming::Frame(frame)) = b.next().await else { panic!("no release") };
                assert_eq!(frame.body, release(partition));
            }
            assert!(matches!(run_until_end(b).await, Error::Closed));
        };
        let (closed, ()) = future::zip(a.close(), receive).await;
        assert_eq!(closed.peer().id.as_str(), "b");
        assert_eq!(sender.send(ping()), Err(Refusal::Closed));
    });
}

#[test]
fn a_call_ends_when_the_link_ends() {
    run(async {
        let (a, b) = pair(&identity("a"), &identity("b")).await;
        let sender = a.sender();
        let executor = LocalExecutor::new();
        let call = executor.spawn(async move {
            let failure = sender.forward("GET", "/", "", TEST_TIMEOUT).await.expect_err("closed");
            assert!(!failure.is_not_run());
            failure
        });
        let ended = executor.spawn(run_until_end(a));
        drop(b);
        let failure = executor
            .run(async {
                ended.await;
                call.await
            })
            .await;
        assert_eq!(failure, Failure::Closed);
    });
}

#[test]
fn a_cancelled_read_loses_no_frame() {
    run(async {
        let (mut a, b) = pair(&identity("a"), &identity("b")).await;
        let executor = LocalExecutor::new();
        for partition in 0..200 {
            b.send(release(partition)).expect("free capacity");
        }
        executor.spawn(run_until_end(b)).detach();
        let receive = async {
            let mut next = 0;
            while next < 200 {
                let cancel = async {
                    future::yield_now().await;
                    None
                };
                let incoming = async { Some(a.next().await) }.or(cancel).await;
                let Some(incoming) = incoming else { continue };
                let Ok(Incoming::Frame(frame)) = incoming else { panic!("no release") };
                assert_eq!(frame.body, release(next));
                next += 1;
            }
        };
        executor.run(receive).await;
    });
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn arbitrary_bytes_on_the_connection_end_in_an_error(
        bytes in prop::collection::vec(any::<u8>(), 0..4_000),
    ) {
        run(async {
            let (listener, address) = listener();
            let identity = identity("a").with_limits(Limits::default().handshake_timeout(SHORT));
            let accept = async {
                let (stream, _) = listener.accept().await.expect("connection");
                Link::accept(stream, &identity).await.expect_err("no handshake")
            };
            let connect = async {
                let mut stream = Async::<TcpStream>::connect(address).await.expect("listening");
                // The link may close while the bytes are written.
                let _ = stream.write_all(&bytes).await;
                let _ = stream.close().await;
                let _ = stream.read_to_end(&mut Vec::new()).await;
            };
            future::zip(accept, connect).await;
        });
    }

    #[test]
    fn arbitrary_messages_end_in_an_error_or_a_counted_fault(
        messages in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..500), 1..5),
        known_head in any::<bool>(),
    ) {
        run(async {
            let identity = identity("a");
            let (mut a, mut raw) = raw_pair(&identity).await;
            let head = codec::encode(&raw_frame(2, release(1))).expect("small");
            for message in &messages {
                let mut bytes = message.clone();
                if known_head {
                    // The body of a release occupies the last bytes of the frame.
                    bytes.splice(..0, head[..head.len() - 20].iter().copied());
                }
                raw.send(Message::binary(bytes)).await.expect("sent");
            }
            let received = a.next().await;
            assert!(!matches!(received, Ok(Incoming::Frame(_))), "{received:?}");
            assert!(identity.counts().invalid >= 1);
        });
    }
}
