//! Accept loop and program conventions of the worker and the runner.

use std::future::Future;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bpaf::Parser;
use knapweedgap_http::{Socket, server};

/// Pause after a failed accept, so that a full descriptor table does not make the loop spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Hands each accepted connection to `handle` on an executor of its own, until the future is
/// dropped.
///
/// # Errors
///
/// An I/O error when the listener can't be set to non-blocking mode.
pub(crate) async fn accept<Handle, Connection>(
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
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(stream) = stream.into_inner() else { continue };
            let Ok(socket) = server::socket(stream) else { continue };
            executor.spawn(handle(socket)).detach();
        }
    };
    executor.run(accept).await
}

/// Parses `--listen ADDR`.
pub(crate) fn listen() -> impl Parser<SocketAddr> {
    bpaf::long("listen").help("Address to listen on; port 0 picks a free one").argument("ADDR")
}

/// Binds `address` and prints `listening ADDR` with the bound address on standard output.
///
/// # Errors
///
/// An I/O error when the address can't be bound or the output is closed.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    let mut output = std::io::stdout();
    writeln!(output, "listening {}", listener.local_addr()?)?;
    output.flush()?;
    Ok(listener)
}
