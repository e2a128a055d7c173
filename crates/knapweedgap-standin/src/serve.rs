//! Accept loop and program conventions shared by the stand-ins.

use std::future::Future;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bpaf::Parser;
use futures_lite::FutureExt;
use http_types::{Request, Response};
use knapweedgap_http::{Limit, Socket, json, server};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest request body, in bytes. It holds a transaction of a few values of 1 MB in base64.
const BODY_MAX: usize = 16 * 1024 * 1024;

/// Pause after a failed accept, so that a full descriptor table does not make the loop spin.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Reaction to one request.
#[derive(Debug)]
pub enum Reply {
    /// Sends the answer.
    Answer(Box<Response>),
    /// Closes the connection without an answer.
    Close,
}

impl Reply {
    /// Builds an answer with a JSON body.
    pub fn json<Value>(status: u16, value: &Value) -> Reply
    where
        Value: Serialize,
    {
        Reply::Answer(Box::new(json::response(status, value)))
    }

    /// Builds an error answer with a code and a help text.
    pub fn error(status: u16, code: &str, help: &str) -> Reply {
        Reply::json(status, &serde_json::json!({ "code": code, "help": help }))
    }
}

/// Reads a JSON body.
///
/// # Errors
///
/// A 400 reply that gives the place of the error.
pub async fn body<Value>(request: &mut Request) -> Result<Value, Reply>
where
    Value: DeserializeOwned,
{
    let bytes = json::read_body(request, BODY_MAX).await;
    let bytes = bytes.map_err(|error| Reply::error(400, "bad_body", &error.to_string()))?;
    let value = serde_json::from_slice(&bytes);
    value.map_err(|error| Reply::error(400, "bad_json", &error.to_string()))
}

/// Serves HTTP connections until the future is dropped.
///
/// # Errors
///
/// An I/O error when the listener can't be set to non-blocking mode.
pub async fn run<Endpoint, Answer>(listener: TcpListener, endpoint: Endpoint) -> std::io::Result<()>
where
    Endpoint: Fn(Request) -> Answer + 'static,
    Answer: Future<Output = Reply> + 'static,
{
    let endpoint = Rc::new(endpoint);
    accept(listener, move |socket| connection(socket, endpoint.clone())).await
}

/// Hands each accepted connection to `handle` on an executor of its own, until the future is
/// dropped.
///
/// # Errors
///
/// An I/O error when the listener can't be set to non-blocking mode.
pub async fn accept<Handle, Connection>(
    listener: TcpListener,
    handle: Handle,
) -> std::io::Result<()>
where
    Handle: Fn(Socket) -> Connection,
    Connection: Future<Output = ()> + 'static,
{
    let listener = Async::new(listener)?;
    let executor = LocalExecutor::new();
    let accept = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_BACKOFF).await;
                continue;
            };
            // A small segment must not wait for the acknowledgement of the one before.
            let _ = stream.get_ref().set_nodelay(true);
            executor.spawn(handle(Socket::new(stream))).detach();
        }
    };
    executor.run(accept).await
}

async fn connection<Endpoint, Answer>(socket: Socket, endpoint: Rc<Endpoint>)
where
    Endpoint: Fn(Request) -> Answer + 'static,
    Answer: Future<Output = Reply> + 'static,
{
    let (close, closed) = async_channel::bounded(1);
    let (_running, stop) = async_channel::bounded(1);
    let answer = |request| {
        let reply = endpoint(request);
        let close = close.clone();
        async move {
            match reply.await {
                Reply::Answer(response) => *response,
                Reply::Close => {
                    let _ = close.try_send(());
                    std::future::pending().await
                }
            }
        }
    };
    let served = async {
        // A client that breaks its connection off is no failure of the stand-in.
        let _ = server::serve(socket, Limit::default(), stop, answer).await;
    };
    let closed = async {
        let _ = closed.recv().await;
    };
    served.or(closed).await;
}

/// Parses `--listen ADDR`.
pub fn listen() -> impl Parser<SocketAddr> {
    bpaf::long("listen").help("Address to listen on; port 0 picks a free one").argument("ADDR")
}

/// Binds `address` and prints `listening ADDR` with the bound address on standard output.
///
/// # Errors
///
/// An I/O error when the address can't be bound or the output is closed.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    announce(&[("listening", listener.local_addr()?)])?;
    Ok(listener)
}

/// Prints a line `NAME ADDR` for each address, all in one write: the reader may close the output
/// after the first line.
///
/// # Errors
///
/// An I/O error when the output is closed.
pub fn announce(addresses: &[(&str, SocketAddr)]) -> std::io::Result<()> {
    let mut text = String::new();
    for (name, address) in addresses {
        text.push_str(&format!("{name} {address}\n"));
    }
    let mut output = std::io::stdout().lock();
    output.write_all(text.as_bytes())?;
    output.flush()
}
