//! Accept loop, HTTP service and command-line conventions shared by the stand-ins.

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

/// Longest request body, in bytes. It suffices for a transaction with several values of 1 MB in
/// base64.
const BODY_MAX: usize = 16 * 1024 * 1024;

/// Pause after a failed accept, so that the loop does not spin while no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Response of a stand-in to one request.
#[derive(Debug)]
pub enum Reply {
    /// Sends the answer.
    Answer(Box<Response>),
    /// Closes the connection without an answer.
    Close,
}

impl Reply {
    /// Creates an answer with a JSON body.
    pub fn json<Value>(status: u16, value: &Value) -> Reply
    where
        Value: Serialize,
    {
        Reply::Answer(Box::new(json::response(status, value)))
    }

    /// Creates an error answer with a code and a help text.
    pub fn error(status: u16, code: &str, help: &str) -> Reply {
        Reply::json(status, &serde_json::json!({ "code": code, "help": help }))
    }
}

/// Reads a JSON body.
///
/// # Errors
///
/// Returns a reply with status 400 if the body is too long or incomplete, or if it is not valid
/// JSON of the expected type; its help text gives the place of the error.
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
/// Returns an I/O error if the listener can't be set to non-blocking mode.
pub async fn run<Endpoint, Answer>(listener: TcpListener, endpoint: Endpoint) -> std::io::Result<()>
where
    Endpoint: Fn(Request) -> Answer + 'static,
    Answer: Future<Output = Reply> + 'static,
{
    let endpoint = Rc::new(endpoint);
    accept(listener, move |socket| connection(socket, endpoint.clone())).await
}

/// Accepts connections and runs `handle` for each on an executor owned by this future, until the
/// future is dropped.
///
/// # Errors
///
/// Returns an I/O error if the listener can't be set to non-blocking mode.
pub async fn accept<Handle, Connection>(
    listener: TcpListener,
    handle: Handle,
) -> std::io::Result<()>
where
    Handle: Fn(Socket) -> Connection,
    Connection: Future<Output = ()> + 'static,
{
    let executor = LocalExecutor::new();
    executor.run(accept_on(&executor, listener, handle)).await
}

/// Accepts connections and runs `handle` for each on `executor`, until the future is dropped. The
/// connections outlive this future.
///
/// # Errors
///
/// Returns an I/O error if the listener can't be set to non-blocking mode.
pub(crate) async fn accept_on<Handle, Connection>(
    executor: &LocalExecutor<'static>,
    listener: TcpListener,
    handle: Handle,
) -> std::io::Result<()>
where
    Handle: Fn(Socket) -> Connection,
    Connection: Future<Output = ()> + 'static,
{
    let listener = Async::new(listener)?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_BACKOFF).await;
            continue;
        };
        // Without this, a small segment waits for the acknowledgement of the previous one.
        let _ = stream.get_ref().set_nodelay(true);
        executor.spawn(handle(Socket::new(stream))).detach();
    }
}

async fn connection<Endpoint, Answer>(socket: Socket, endpoint: Rc<Endpoint>)
where
    Endpoint: Fn(Request) -> Answer + 'static,
    Answer: Future<Output = Reply> + 'static,
{
    let (close, closed) = async_channel::bounded(1);
    let (_stop_sender, stop) = async_channel::bounded(1);
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
    let serving = async {
        // A client that closes its connection early is not a failure of the stand-in.
        let _ = server::serve(socket, Limit::default(), stop, answer).await;
    };
    let closed = async {
        let _ = closed.recv().await;
    };
    serving.or(closed).await;
}

/// Parses `--listen ADDR`.
pub fn listen() -> impl Parser<SocketAddr> {
    bpaf::long("listen").help("Address to listen on; port 0 selects a free port").argument("ADDR")
}

/// Binds `address` and prints `listening ADDR` with the bound address on standard output.
///
/// # Errors
///
/// Returns an I/O error if the address can't be bound or standard output is closed.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    announce(&[("listening", listener.local_addr()?)])?;
    Ok(listener)
}

/// Prints a line `NAME ADDR` for each address on standard output, in a single write, because the
/// reader may close the output after the first line.
///
/// # Errors
///
/// Returns an I/O error if standard output is closed.
pub fn announce(addresses: &[(&str, SocketAddr)]) -> std::io::Result<()> {
    let mut text = String::new();
    for (name, address) in addresses {
        text.push_str(&format!("{name} {address}\n"));
    }
    let mut output = std::io::stdout().lock();
    output.write_all(text.as_bytes())?;
    output.flush()
}
