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
use knapweedgap_core::size;
use knapweedgap_http::budget::Budget;
use knapweedgap_http::seat::{Pool, Seat};
use knapweedgap_http::{Limit, Socket, listener, server};
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::configuration::Limits;

use crate::exchange::{Call, ClientLimits, Readiness};
use crate::metric;
use crate::output::STACK_LEN;
use crate::peer::Front;
use crate::settings::Settings;

/// Pause after a failed accept, for example when no file descriptor is left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Longest timeout of a client request, used also if the client sends none. It is the shortest
/// timeout among the queues.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for receiving the body of a request. Clients wait 3 s for an answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest number of connections at the ports of readiness and of metrics, each. The balancer and
/// the operators hold a few.
const CHECKS_MAX: usize = 16;
/// Largest body of a request at these ports.
const CHECK_BODY_LEN_MAX: size::Bytes = size::Bytes::new(4 * 1024);
/// Largest memory of the connections at one of these ports.
const CHECKS_MEMORY_MAX: size::Bytes = size::Bytes::new(2 * 1024 * 1024);

/// Starts the thread. Closing `close` stops it from accepting connections. The returned channel
/// closes when the last connection has ended.
pub(crate) fn start<F>(
    settings: &Settings,
    front: F,
    calls: Sender<Call>,
    readiness: Readiness,
    limits: ClientLimits,
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
    let pool = Pool::new(Budget::new(settings.requests_max, settings.connections_max));
    let builder = std::thread::Builder::new().name("traffic".to_owned()).stack_size(4 * STACK_LEN);
    builder.spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let endpoint = Rc::new(Endpoint { front, calls });
        let clients = Clients { executor: executor.clone(), endpoint, close, pool, limits };
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
        let pool = clients.pool.clone();
        let metrics = move |_request: Request| {
            metric::set_clients(&pool.counts());
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
    pool: Pool,
    limits: ClientLimits,
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
            // Closing the connection immediately makes the client try another instance.
            let Some(seat) = self.pool.accept() else { return };
            open.set(open.get() + 1);
            let (open, closed_sender) = (open.clone(), closed_sender.clone());
            let limits = self.limits.clone();
            let limits: server::Limits = std::sync::Arc::new(move || limit(&limits.get()));
            let (close, endpoint) = (self.close.clone(), self.endpoint.clone());
            let connection = connection(socket, seat, limits, close, endpoint);
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
            // A connection that gives way closes its descriptor before the next one is accepted.
            futures_lite::future::yield_now().await;
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

/// Returns the limits of a connection.
fn limit(limits: &Limits) -> Limit {
    Limit::builder()
        .head_len(usize::try_from(limits.head_len.get()).unwrap_or(usize::MAX))
        .head_timeout(limits.head_timeout)
        .idle_timeout(limits.idle_timeout)
        .body_len(limits.body_len.get())
        .body_timeout(BODY_TIMEOUT)
        .build()
}

async fn connection<F>(
    socket: Socket,
    seat: Seat,
    limits: server::Limits,
    close: Receiver<()>,
    endpoint: Rc<Endpoint<F>>,
) where
    F: Front,
{
    let answer = |request| endpoint.clone().answer(request);
    // A failed connection affects only its client, which sees the failure itself.
    let _ = server::serve_seated(socket, limits, close, seat, answer).await;
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
    let limits = Limits { body_len: CHECK_BODY_LEN_MAX, ..Limits::default() };
    let limits: server::Limits = std::sync::Arc::new(move || limit(&limits));
    let pool = Pool::new(Budget::new(CHECKS_MEMORY_MAX, CHECKS_MAX));
    let (_open, never) = async_channel::bounded::<()>(1);
    while let Some(socket) = accept(&listener, &never).await {
        let Some(seat) = pool.accept() else { continue };
        let (answer, never, limits) = (answer.clone(), never.clone(), limits.clone());
        let task = async move {
            let respond = |request: Request| {
                let response = answer(request);
                async move { response }
            };
            // The sender repeats a check whose connection fails.
            let _ = server::serve_seated(socket, limits, never, seat, respond).await;
        };
        executor.spawn(task).detach();
    }
}
