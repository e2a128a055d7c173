//! Closing a listener while clients connect.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use http_types::{Request, Response};
use knapweedgap_http::{Limit, Socket, listener, server};

/// Number of listeners that are closed. The time in which a connection can be reset is short.
const ROUNDS: usize = 40;
const CLIENTS: usize = 8;
/// Time from the start of the clients to the close.
const OPEN_TIME: Duration = Duration::from_millis(20);
/// Time after which a client takes the listener for closed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Connects again and again until the listener is closed. Returns the number of connections that
/// ended without an answer.
fn connect(address: SocketAddr) -> usize {
    let mut resets = 0;
    while let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        let request = "GET / HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
        let mut answer = Vec::new();
        let sent = stream.write_all(request.as_bytes());
        let received = sent.and_then(|()| stream.read_to_end(&mut answer));
        if received.is_err() || answer.is_empty() {
            resets += 1;
        }
    }
    resets
}

fn serve(executor: &Rc<LocalExecutor<'static>>, open: &Rc<AtomicUsize>, socket: Socket) {
    open.fetch_add(1, Ordering::Relaxed);
    let open = open.clone();
    let (_open, stop) = async_channel::bounded(1);
    let connection = async move {
        let answer = |_request: Request| async { Response::new(200u16) };
        // A connection without an answer is counted by its client.
        let _ = server::serve(socket, Limit::default(), stop, answer).await;
        open.fetch_sub(1, Ordering::Relaxed);
    };
    executor.spawn(connection).detach();
}

/// Accepts connections for [`OPEN_TIME`], closes the listener and ends all connections.
async fn accept(listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>) {
    let open = Rc::new(AtomicUsize::new(0));
    let accepting = async {
        loop {
            let (stream, _) = listener.accept().await.expect("accepted");
            serve(&executor, &open, Socket::new(stream));
        }
    };
    let timer = async {
        Timer::after(OPEN_TIME).await;
    };
    futures_lite::FutureExt::or(timer, accepting).await;
    listener::close(listener, |socket| serve(&executor, &open, socket)).await.expect("closed");
    while open.load(Ordering::Relaxed) > 0 {
        Timer::after(Duration::from_millis(1)).await;
    }
}

/// Guards against connections that are established between the last accept and the close of the
/// listener, and then reset.
#[test]
fn closing_a_listener_resets_no_connection() {
    let mut resets = 0;
    for _ in 0..ROUNDS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let clients: Vec<_> =
            (0..CLIENTS).map(|_| std::thread::spawn(move || connect(address))).collect();
        let executor = Rc::new(LocalExecutor::new());
        let listener = Async::new(listener).expect("non-blocking");
        block_on(executor.run(accept(listener, executor.clone())));
        for client in clients {
            resets += client.join().expect("no panic");
        }
    }
    assert_eq!(resets, 0, "connections were reset");
}
