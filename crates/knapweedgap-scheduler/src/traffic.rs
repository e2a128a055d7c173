//! The traffic thread: connections of clients and readiness checks.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use http_types::{Request, Response};
use knapweedgap_http::{Limit, Socket, server};
use knapweedgap_workload::api::Answer;

use crate::exchange::{Call, Readiness};
use crate::metric;
use crate::output::STACK_LEN;
use crate::peer::Front;
use crate::settings::Settings;

/// Wait after a failed accept, for example when no file descriptor is left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Time that a client waits when it does not say so: the shortest time limit of the queues.
const PATIENCE: Duration = Duration::from_secs(3);
/// Time in which a request must arrive whole.
const HEAD_TIME: Duration = Duration::from_secs(3);
/// Time that a connection may be idle.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Starts the thread. The returned channel closes when its last connection has ended after
/// `close` was closed.
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
    let thread = std::thread::Builder::new().name("traffic".to_owned()).stack_size(4 * STACK_LEN);
    thread.spawn(move || {
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

/// Connections of clients.
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
    /// Serves connections until `close` fires and all of them have ended.
    async fn serve(self, listener: Async<TcpListener>) {
        let open = Rc::new(Cell::new(0usize));
        let (closed_sender, closed) = async_channel::bounded::<()>(1);
        let start = |socket| {
            if open.get() >= self.connections_max {
                // Closing at once tells the client to turn to another entry.
                return;
            }
            open.set(open.get() + 1);
            let (open, closed_sender) = (open.clone(), closed_sender.clone());
            let connection = connection(socket, self.close.clone(), self.endpoint.clone());
            let task = async move {
                connection.await;
                open.set(open.get() - 1);
                // A full channel means that the waiter has not yet looked at an earlier end.
                let _ = closed_sender.try_send(());
            };
            self.executor.spawn(task).detach();
        };
        while let Some(socket) = accept(&listener, &self.close).await {
            start(socket);
        }
        // Closing the listener would reset the connections that wait to be accepted.
        while let Ok((stream, _)) = listener.get_ref().accept() {
            match Async::new(stream) {
                Ok(stream) => start(std::sync::Arc::new(stream)),
                Err(error) => log::warn!("[traffic] accept failed: {error}"),
            }
        }
        drop(listener);
        while open.get() > 0 {
            let _ = closed.recv().await;
        }
    }
}

/// Accepts a connection; nothing when the listener is to be closed.
async fn accept(listener: &Async<TcpListener>, close: &Receiver<()>) -> Option<Socket> {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            let _ = close.recv().await;
            None
        };
        match stopped.or(accepted).await? {
            Ok((stream, _)) => {
                // Without this the last packet of an answer may wait for an acknowledgement.
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
    Limit::builder().head_time(HEAD_TIME).idle_time(IDLE_TIME).build()
}

async fn connection<F>(socket: Socket, close: Receiver<()>, endpoint: Rc<Endpoint<F>>)
where
    F: Front,
{
    let answer = |request| endpoint.clone().answer(request);
    // A connection that ends early concerns only its client.
    let _ = server::serve(socket, limit(), close, answer).await;
}

/// Answers requests of clients.
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
        let timeout = call.timeout.unwrap_or(PATIENCE).min(PATIENCE);
        let call = Call { request: call.request, timeout, reply };
        if self.calls.try_send(call).is_err() {
            return self.front.encode(&Answer::Unavailable("too many requests wait".into()));
        }
        let answer = answer.recv().await;
        let answer = answer.unwrap_or_else(|_| Answer::Unknown("the instance stops".into()));
        self.front.encode(&answer)
    }
}

/// Answers every request on a socket with what `answer` returns.
async fn answer_all<Make>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    answer: Make,
) where
    Make: Fn(Request) -> Response + 'static,
{
    let answer = Rc::new(answer);
    let (_keep, never) = async_channel::bounded::<()>(1);
    while let Some(socket) = accept(&listener, &never).await {
        let (answer, never) = (answer.clone(), never.clone());
        let task = async move {
            let respond = |request: Request| {
                let response = answer(request);
                async move { response }
            };
            // A check that is cut off is repeated by its sender.
            let _ = server::serve(socket, limit(), never, respond).await;
        };
        executor.spawn(task).detach();
    }
}
