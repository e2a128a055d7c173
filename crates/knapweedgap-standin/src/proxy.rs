//! TCP proxy that injects faults between its clients and a target.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use http_types::{Method, Request};
use knapweedgap_http::Socket;
use serde::{Deserialize, Serialize};

use crate::serve::{self, Reply};
use crate::signal::Signal;

/// Size of the read buffer, in bytes.
const CHUNK_LEN: usize = 16 * 1024;

/// Maximum number of buffered chunks for each direction of a connection; 1 MiB in total.
const CHUNK_COUNT: usize = 64;

/// Limit on the time for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Direction of a byte stream through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

/// Direction in which no bytes are forwarded. The bytes are buffered and delivered after the cut.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Bytes are forwarded in both directions.
    #[default]
    None,
    /// Bytes to the target are held.
    ToTarget,
    /// Bytes to the client are held.
    ToClient,
}

/// Active faults.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Delay of each direction, in milliseconds.
    pub delay_ms: u64,
    /// Upper limit of an additional delay, in milliseconds, that is sampled uniformly for each
    /// chunk. Bytes are not reordered.
    pub jitter_ms: u64,
    /// Holds the bytes of both directions, and new connections.
    pub stall: bool,
    /// Resets open and new connections.
    pub reset: bool,
    /// Refuses new connections by closing the listening socket. Open connections remain.
    pub refuse: bool,
    /// Direction that is cut. New connections are held during a cut of either direction.
    pub cut: Cut,
    /// Limit on each direction of each connection, in bytes per second; 0 for no limit.
    pub bandwidth: u64,
}

/// Change of faults; an absent field leaves its fault unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// See [`Fault::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`Fault::jitter_ms`].
    pub jitter_ms: Option<u64>,
    /// See [`Fault::stall`].
    pub stall: Option<bool>,
    /// See [`Fault::reset`].
    pub reset: Option<bool>,
    /// See [`Fault::refuse`].
    pub refuse: Option<bool>,
    /// See [`Fault::cut`].
    pub cut: Option<Cut>,
    /// See [`Fault::bandwidth`].
    pub bandwidth: Option<u64>,
}

/// Connection and byte counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Accepted connections.
    pub connections: u64,
    /// Connections that are currently open.
    pub open: u64,
    /// Bytes delivered to the target.
    pub to_target_bytes: u64,
    /// Bytes delivered to clients.
    pub to_client_bytes: u64,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    changed: Signal,
    stats: Stats,
}

/// Proxy in front of one target. Clones share faults and counts.
#[derive(Debug, Clone)]
pub struct Proxy {
    target: SocketAddr,
    state: Rc<RefCell<State>>,
}

impl Proxy {
    /// Creates a proxy without faults.
    pub fn new(target: SocketAddr) -> Proxy {
        Proxy { target, state: Rc::default() }
    }

    /// Forwards connections until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the listener can't be set to non-blocking mode, or can't be bound
    /// again after connections were refused.
    pub async fn run(self, listener: TcpListener) -> io::Result<()> {
        let executor = LocalExecutor::new();
        executor.run(self.accept(&executor, listener)).await
    }

    async fn accept(
        &self,
        executor: &LocalExecutor<'static>,
        mut listener: TcpListener,
    ) -> io::Result<()> {
        let address = listener.local_addr()?;
        loop {
            let handle = |client| self.clone().connection(client);
            let accept = serve::accept_on(executor, listener, handle);
            let refuse = async {
                self.wait(|fault| fault.refuse).await;
                Ok(())
            };
            refuse.or(accept).await?;
            self.wait(|fault| !fault.refuse).await;
            listener = TcpListener::bind(address)?;
        }
    }

    /// Serves `POST /control` and `GET /control/stats` until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the listener can't be set to non-blocking mode.
    pub async fn run_control(self, listener: TcpListener) -> io::Result<()> {
        let endpoint = move |request| {
            let proxy = self.clone();
            async move { proxy.reply(request).await }
        };
        serve::run(listener, endpoint).await
    }

    /// Changes the injected faults and returns the active faults.
    pub fn inject(&self, change: &Change) -> Fault {
        let mut state = self.state.borrow_mut();
        change.apply(&mut state.fault);
        state.changed.notify();
        state.fault.clone()
    }

    /// Returns the counts since the start.
    pub fn stats(&self) -> Stats {
        self.state.borrow().stats
    }

    async fn reply(&self, mut request: Request) -> Reply {
        match (request.method(), request.url().path()) {
            (Method::Get, "/control/stats") => Reply::json(200, &self.stats()),
            (Method::Post, "/control") => match serve::body(&mut request).await {
                Ok(change) => Reply::json(200, &self.inject(&change)),
                Err(reply) => reply,
            },
            _ => Reply::error(404, "no_such_path", "use /control or /control/stats"),
        }
    }

    async fn connection(self, client: Socket) {
        let _open = Open::new(&self.state);
        if self.forward(&client).await.is_err() {
            abort(&client);
        }
    }

    async fn forward(&self, client: &Socket) -> io::Result<()> {
        let target = async {
            self.wait(|fault| !fault.stall && fault.cut == Cut::None).await;
            connect(self.target).await
        };
        let target = self.unless_reset(target).await?;
        let to_target = self.relay(Direction::ToTarget, client, &target);
        let to_client = self.relay(Direction::ToClient, &target, client);
        let ended = self.unless_reset(future::try_zip(to_target, to_client)).await;
        if ended.is_err() {
            abort(&target);
        }
        ended.map(drop)
    }

    /// Runs `work` until it ends or the reset fault is set. The fault is checked first, so a
    /// connection that was accepted under it forwards no bytes.
    async fn unless_reset<Output>(
        &self,
        work: impl Future<Output = io::Result<Output>>,
    ) -> io::Result<Output> {
        let reset = async {
            self.wait(|fault| fault.reset).await;
            Err(io::ErrorKind::ConnectionReset.into())
        };
        reset.or(work).await
    }

    async fn relay(&self, direction: Direction, from: &Socket, to: &Socket) -> io::Result<()> {
        let (sender, receiver) = async_channel::bounded(CHUNK_COUNT);
        let read = self.read(from, sender);
        let write = self.write(direction, to, receiver);
        future::try_zip(read, write).await.map(drop)
    }

    async fn read(&self, from: &Socket, chunks: Sender<Chunk>) -> io::Result<()> {
        let mut due = Instant::now();
        let mut buffer = vec![0; CHUNK_LEN];
        loop {
            let count = (&**from).read(&mut buffer).await?;
            due = due.max(Instant::now() + self.sample_delay());
            let chunk = Chunk { due, bytes: buffer[..count].to_vec() };
            let sent = chunks.send(chunk).await;
            if count == 0 || sent.is_err() {
                return Ok(());
            }
        }
    }

    async fn write(
        &self,
        direction: Direction,
        to: &Socket,
        chunks: Receiver<Chunk>,
    ) -> io::Result<()> {
        while let Ok(chunk) = chunks.recv().await {
            Timer::at(chunk.due).await;
            self.wait(|fault| fault.passes(direction)).await;
            if chunk.bytes.is_empty() {
                return to.get_ref().shutdown(Shutdown::Write);
            }
            (&**to).write_all(&chunk.bytes).await?;
            self.count_bytes(direction, chunk.bytes.len());
            Timer::after(self.transfer_time(chunk.bytes.len())).await;
        }
        Ok(())
    }

    fn count_bytes(&self, direction: Direction, count: usize) {
        let stats = &mut self.state.borrow_mut().stats;
        match direction {
            Direction::ToTarget => stats.to_target_bytes += count as u64,
            Direction::ToClient => stats.to_client_bytes += count as u64,
        }
    }

    fn sample_delay(&self) -> Duration {
        let state = self.state.borrow();
        let jitter = fastrand::u64(0..=state.fault.jitter_ms.saturating_mul(1000));
        Duration::from_millis(state.fault.delay_ms) + Duration::from_micros(jitter)
    }

    fn transfer_time(&self, count: usize) -> Duration {
        match self.state.borrow().fault.bandwidth {
            0 => Duration::ZERO,
            rate => Duration::from_secs(1).mul_f64(count as f64 / rate as f64),
        }
    }

    /// Waits until the active faults satisfy `condition`.
    async fn wait(&self, condition: impl Fn(&Fault) -> bool) {
        loop {
            let changed = {
                let state = self.state.borrow();
                if condition(&state.fault) {
                    return;
                }
                state.changed.wait()
            };
            changed.await;
        }
    }
}

/// Bytes to be delivered at `due`; empty for the end of the stream.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Counts a connection as open until it is dropped.
struct Open {
    state: Rc<RefCell<State>>,
}

impl Open {
    fn new(state: &Rc<RefCell<State>>) -> Open {
        let stats = &mut state.borrow_mut().stats;
        stats.connections += 1;
        stats.open += 1;
        Open { state: state.clone() }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.state.borrow_mut().stats.open -= 1;
    }
}

impl Fault {
    fn passes(&self, direction: Direction) -> bool {
        let cut = match direction {
            Direction::ToTarget => self.cut == Cut::ToTarget,
            Direction::ToClient => self.cut == Cut::ToClient,
        };
        !self.stall && !cut
    }
}

impl Change {
    fn apply(&self, fault: &mut Fault) {
        fault.delay_ms = self.delay_ms.unwrap_or(fault.delay_ms);
        fault.jitter_ms = self.jitter_ms.unwrap_or(fault.jitter_ms);
        fault.stall = self.stall.unwrap_or(fault.stall);
        fault.reset = self.reset.unwrap_or(fault.reset);
        fault.refuse = self.refuse.unwrap_or(fault.refuse);
        fault.cut = self.cut.unwrap_or(fault.cut);
        fault.bandwidth = self.bandwidth.unwrap_or(fault.bandwidth);
    }
}

async fn connect(target: SocketAddr) -> io::Result<Socket> {
    let connect = Async::<TcpStream>::connect(target);
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = connect.or(timeout).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(Socket::new(stream))
}

/// Makes closing the socket send a reset.
fn abort(socket: &Socket) {
    // Setting the option on a socket that is already reset fails without consequence.
    let _ = socket2::SockRef::from(socket.get_ref()).set_linger(Some(Duration::ZERO));
}
