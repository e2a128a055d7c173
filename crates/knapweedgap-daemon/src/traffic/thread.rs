//! Main loop of one traffic thread.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use knapweedgap_http::{Limit, Socket, listener, server};

use super::dispatch::Dispatcher;
use super::endpoint::Endpoint;
use super::message::Message;
use crate::publish::Reader;

/// Delay after a failed accept, for example because no file descriptor is available.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1024;

/// Parameters of a traffic thread.
pub(super) struct Setup {
    pub(super) number: u32,
    /// Bound socket. The thread listens on it once the instance is ready.
    pub(super) socket: socket2::Socket,
    pub(super) reader: Reader,
    pub(super) messages: Sender<Message>,
    /// Fires when the listener must be closed.
    pub(super) stop: Receiver<()>,
    /// Dropped when the thread ends.
    pub(super) ended: Sender<()>,
}

/// Runs the thread until shutdown.
pub(super) fn run(setup: Setup) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(setup, executor.clone())));
}

async fn serve(setup: Setup, executor: Rc<LocalExecutor<'static>>) {
    let Setup { number, socket, reader, messages, stop, ended } = setup;
    let dispatcher = Rc::new(Dispatcher::new(number, reader, messages.clone()));
    executor.spawn(dispatcher.clone().watch_views()).detach();
    executor.spawn(dispatcher.clone().expire()).detach();
    let listener = listen(socket, &dispatcher, &stop).await;
    let endpoint = Rc::new(Endpoint::new(dispatcher, messages, executor.clone()));
    let open_connections = Rc::new(Cell::new(0usize));
    let (closed_sender, closed) = async_channel::bounded::<()>(1);
    if let Some(listener) = listener {
        let spawn_connection = |socket| {
            open_connections.set(open_connections.get() + 1);
            let connection = connection(socket, stop.clone(), endpoint.clone());
            let (open_connections, closed_sender) =
                (open_connections.clone(), closed_sender.clone());
            let task = async move {
                connection.await;
                open_connections.set(open_connections.get() - 1);
                // A full channel means that an earlier signal has not been received yet.
                let _ = closed_sender.try_send(());
            };
            executor.spawn(task).detach();
        };
        while let Some(socket) = accept(&listener, &stop).await {
            spawn_connection(socket);
        }
        if let Err(error) = listener::close(listener, spawn_connection).await {
            log::warn!("[traffic] accept failed: {error}");
        }
    }
    // The listener is closed. The connections end after their requests in progress.
    while open_connections.get() > 0 {
        let _ = closed.recv().await;
    }
    drop(ended);
}

/// Listens once the instance is ready. Returns `None` if it is stopped before. Until then,
/// connections are refused so that clients try another entry; they do not retry after an answer
/// "not ready".
async fn listen(
    socket: socket2::Socket,
    dispatcher: &Dispatcher,
    stop: &Receiver<()>,
) -> Option<Async<TcpListener>> {
    let ready = async {
        dispatcher.wait_until_ready().await;
        Some(())
    };
    let stopped = async {
        let _ = stop.recv().await;
        None
    };
    stopped.or(ready).await?;
    socket.listen(BACKLOG).ok()?;
    Async::new(socket.into()).ok()
}

/// Accepts a connection. Returns `None` when the listener must be closed.
async fn accept(listener: &Async<TcpListener>, stop: &Receiver<()>) -> Option<Socket> {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        match stopped.or(accepted).await? {
            Ok((stream, _)) => {
                // Otherwise the last packet of an answer may be delayed until an acknowledgement.
                let _ = stream.get_ref().set_nodelay(true);
                return Some(std::sync::Arc::new(stream));
            }
            Err(_) => {
                Timer::after(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn connection(socket: Socket, stop: Receiver<()>, endpoint: Rc<Endpoint>) {
    let answer = |request| endpoint.clone().answer(request);
    // An error ends only this connection, and its client observes it.
    let _ = server::serve(socket, Limit::default(), stop, answer).await;
}
