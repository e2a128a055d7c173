//! The traffic thread: client connections, readiness checks and the metrics endpoint.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use http_types::{Request, Response};
use knapweedgap_http::{Limit, Socket, listener, server};
use knapweedgap_workload::api::Answer;

use crate::exchange::{Call, Readiness};
use crate::metric;
use crate::output::STACK_LEN;
use crate::peer::Front;
use crate::settings::Settings;

/// Pause after a failed accept, for example when no file descriptor is left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Longest timeout of a client request, used also if the client sends none. It is the shortest
/// timeout among the queues.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Starts the thread. Closing `close` stops it from accepting connections. The returned channel
/// closes when the last connection has ended.
pub(crate) fn start<F>(
    settings: &Settings,
    front: F,
    calls: Sender<Call>,
    readiness: Readiness,
    close: Receiver<()>,
) -> std::io::Result<Receiver<()>>
where
    F: Front,
{
    let sockets = Sockets {
        clients: TcpListener::bind(settings.clients)?,
        checks: TcpListener::bind(settings.readiness)?,
        metrics: settings.metrics.map(TcpListener::bind).transpose()?,
    };
    let (alive, ended) = async_channel::bounded(1);
    let connections_max = settings.connections_max;
    let builder = std::thread::Builder::new().name("traffic".to_owned()).stack_size(4 * STACK_LEN);
    builder.spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let endpoint = Rc::new(Endpoint { front, calls });
        let clients = Clients { executor: executor.clone(), endpoint, close, connections_max };
        let result =
            async_io::block_on(executor.run(serve(&executor, sockets, readiness, clients)));
        if let Err(error) = result {
            log::error!("[traffic] {error}");
        }
        drop(alive);
    })?;
    Ok(ended)
}

/// Listening sockets of the thread.
struct Sockets {
    clients: TcpListener,
    checks: TcpListener,
    metrics: Option<TcpListener>,
}

async fn serve<F>(
    executor: &Rc<LocalExecutor<'static>>,
    sockets: Sockets,
    readiness: Readiness,
    clients: Clients<F>,
) -> std::io::Result<()>
where
    F: Front,
{
    let ready = move |_request: Request| {
        let status = if readiness.get() { 200u16 } else { 503 };
        Response::new(status)
    };
    executor.spawn(answer_all(executor.clone(), Async::new(sockets.checks)?, ready)).detach();
    if let Some(listener) = sockets.metrics {
        let metrics = |_request: Request| {
            let mut response = Response::new(200u16);
            response.set_body(metric::render());
            response
        };
        executor.spawn(answer_all(executor.clone(), Async::new(listener)?, metrics)).detach();
    }
    clients.serve(Async::new(sockets.clients)?).await;
    Ok(())
}

/// Server for client connections.
struct Clients<F> {
    executor: Rc<LocalExecutor<'static>>,
    endpoint: Rc<Endpoint<F>>,
    close: Receiver<()>,
    connections_max: usize,
}

impl<F> Clients<F>
where
    F: Front,
{
    /// Serves connections until `close` is closed and all connections have ended.
    async fn serve(self, listener: Async<TcpListener>) {
        let open = Rc::new(Cell::new(0usize));
        let (closed_sender, closed) = async_channel::bounded::<()>(1);
        let start = |socket| {
            if open.get() >= self.connections_max {
                // Closing the connection immediately makes the client try another instance.
                return;
            }
            open.set(open.get() + 1);
            let (open, closed_sender) = (open.clone(), closed_sender.clone());
            let connection = connection(socket, self.close.clone(), self.endpoint.clone());
            let task = async move {
                connection.await;
                open.set(open.get() - 1);
                // A full channel already holds a notification that has not been received.
                let _ = closed_sender.try_send(());
            };
            self.executor.spawn(task).detach();
        };
        while let Some(socket) = accept(&listener, &self.close).await {
            start(socket);
        }
        if let Err(error) = listener::close(listener, start).await {
            log::warn!("[traffic] accept failed: {error}");
        }
        while open.get() > 0 {
            let _ = closed.recv().await;
        }
    }
}

/// Accepts a connection, with retries after failures. Returns `None` once `close` is closed.
async fn accept(listener: &Async<TcpListener>, close: &Receiver<()>) -> Option<Socket> {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            let _ = close.recv().await;
            None
        };
        match stopped.or(accepted).await? {
            Ok((stream, _)) => {
                // Nagle's algorithm would delay the last packet of an answer until earlier ones
                // are acknowledged.
                let _ = stream.get_ref().set_nodelay(true);
                return Some(std::sync::Arc::new(stream));
            }
            Err(error) => {
                log::warn!("[traffic] accept failed: {error}");
                Timer::after(ACCEPT_BACKOFF).await;
            }
        }
    }
}

fn limit() -> Limit {
    Limit::builder().head_timeout(HEAD_TIMEOUT).idle_timeout(IDLE_TIMEOUT).build()
}

async fn connection<F>(socket: Socket, close: Receiver<()>, endpoint: Rc<Endpoint<F>>)
where
    F: Front,
{
    let answer = |request| endpoint.clone().answer(request);
    // A failed connection affects only its client, which sees the failure itself.
    let _ = server::serve(socket, limit(), close, answer).await;
}

/// Passes client requests to the control thread and returns its answers.
struct Endpoint<F> {
    front: F,
    calls: Sender<Call>,
}

impl<F> Endpoint<F>
where
    F: Front,
{
    async fn answer(self: Rc<Self>, request: Request) -> Response {
        let call = match self.front.decode(request).await {
            Ok(call) => call,
            Err(response) => return response,
        };
        let (reply, answer) = async_channel::bounded(1);
        let timeout = call.timeout.unwrap_or(CLIENT_TIMEOUT).min(CLIENT_TIMEOUT);
        let call = Call { request: call.request, timeout, reply };
        if self.calls.try_send(call).is_err() {
            return self.front.encode(&Answer::Unavailable("too many requests wait".into()));
        }
        let answer = answer.recv().await;
        let answer = answer.unwrap_or_else(|_| Answer::Unknown("the instance stops".into()));
        self.front.encode(&answer)
    }
}

/// Serves connections on a socket and answers each request with the result of `answer`.
async fn answer_all<Make>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    answer: Make,
) where
    Make: Fn(Request) -> Response + 'static,
{
    let answer = Rc::new(answer);
    let (_open, never) = async_channel::bounded::<()>(1);
    while let Some(socket) = accept(&listener, &never).await {
        let (answer, never) = (answer.clone(), never.clone());
        let task = async move {
            let respond = |request: Request| {
                let response = answer(request);
                async move { response }
            };
            // The sender repeats a check whose connection fails.
            let _ = server::serve(socket, limit(), never, respond).await;
        };
        executor.spawn(task).detach();
    }
}
