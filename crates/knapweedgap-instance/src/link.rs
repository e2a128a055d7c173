//! Connection to one peer.

use std::future::{self, Future};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::{Async, Timer};
use async_tungstenite::tungstenite::protocol::WebSocketConfig;
use async_tungstenite::tungstenite::{self, Message};
use async_tungstenite::{WebSocketReceiver, WebSocketSender, WebSocketStream};
use derive_more::{Display, Error};
use futures_lite::{FutureExt, Stream, StreamExt};
use knapweedgap_core::id;

use crate::codec::{self, FRAME_LEN_MAX};
use crate::identity::Identity;
use crate::sender::{Refusal, Sender, Shared};
use crate::sequence::Window;
use crate::wire::{Body, Events, Frame, Hello};

/// Invalid bodies after which a link closes. Fewer are expected while releases are mixed.
pub const FAULT_MAX: u32 = 100;

/// Messages that are read before other tasks of the executor run.
const BURST: u32 = 64;

const READ_BUFFER: usize = 16 * 1024;
const WRITE_BUFFER: usize = 16 * 1024;

/// Connection in one state: [`Connecting`], [`Established`] or [`Closed`].
#[derive(Debug)]
pub struct Link<State> {
    state: State,
}

type Socket = WebSocketStream<Async<TcpStream>>;

/// Writer of one link. It is kept across calls of [`Link::next`], so that a cancelled call does not
/// cut a frame.
type Writer = Pin<Box<dyn Future<Output = Result<(), Error>>>>;

/// The WebSocket is open, and the peer is not yet known.
#[derive(Debug)]
pub struct Connecting {
    socket: Socket,
    shared: Rc<Shared>,
}

/// Both sides have sent their greeting.
pub struct Established {
    peer: Peer,
    shared: Rc<Shared>,
    reader: WebSocketReceiver<Async<TcpStream>>,
    writer: Option<Writer>,
    idle: Timer,
    window: Window,
    faults: u32,
    burst: u32,
}

/// The connection has ended.
#[derive(Debug)]
pub struct Closed {
    peer: Peer,
}

/// Peer of a link, as its greeting names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Instance.
    pub id: id::Instance,
    /// Run of the instance.
    pub incarnation: id::Incarnation,
    /// Availability zone.
    pub zone: id::Zone,
}

/// What a link received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Incoming {
    /// A frame for the caller. Answers to calls, greetings and pongs are not among them.
    Frame(Frame),
    /// The peer answered a ping after this time.
    RoundTrip(Duration),
    /// A body was invalid. It was counted and the link goes on.
    Fault(codec::Error),
}

/// Reason for which a link ended.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The connection could not be opened.
    #[display("link.connect: {_0}")]
    Connect(std::io::Error),
    /// A step took too long.
    #[display("link.{place}: no progress in time: check the network and the peer")]
    Timeout {
        /// Step.
        #[error(not(source))]
        place: &'static str,
    },
    /// The WebSocket protocol was violated or the connection failed.
    #[display("link.socket: {_0}")]
    Socket(tungstenite::Error),
    /// A frame was invalid so that the rest of the stream cannot be trusted.
    #[display("link.{_0}")]
    Frame(codec::Error),
    /// A frame named another sender than the greeting.
    #[display("link.frame.head.sender: found {found}, expected {expected}")]
    Sender {
        /// Sender of the frame.
        #[error(not(source))]
        found: id::Instance,
        /// Sender of the greeting.
        #[error(not(source))]
        expected: id::Instance,
    },
    /// A body came in a state in which it is not allowed.
    #[display("link.{state}: unexpected {found}")]
    State {
        /// State of the link.
        #[error(not(source))]
        state: &'static str,
        /// What was received.
        #[error(not(source))]
        found: &'static str,
    },
    /// The peer sent too many invalid bodies.
    #[display("link: more than {FAULT_MAX} invalid bodies: run one release everywhere")]
    Faults,
    /// The peer closed the connection.
    #[display("link: closed by the peer")]
    Closed,
}

impl Error {
    /// Tells whether the machine of the peer refused the connection, which proves that no process
    /// listens there.
    pub fn is_refused(&self) -> bool {
        let Error::Connect(error) = self else { return false };
        error.kind() == std::io::ErrorKind::ConnectionRefused
    }
}

impl Link<Connecting> {
    /// Connects to a peer and exchanges greetings.
    ///
    /// # Errors
    ///
    /// Returns the reason for which no greeting was received within the limits.
    pub async fn connect(address: SocketAddr, identity: &Identity) -> Result<Link<Established>, Error> {
        let limits = identity.limits;
        let connect = async { Async::<TcpStream>::connect(address).await.map_err(Error::Connect) };
        let stream = within(connect, limits.connect, "connect").await?;
        let handshake = async {
            prepare(&stream)?;
            let url = format!("ws://{address}/");
            let socket =
                async_tungstenite::client_async_with_config(url, stream, Some(config())).await;
            let (socket, _) = socket.map_err(Error::Socket)?;
            Link::new(socket, identity).handshake().await
        };
        within(handshake, limits.handshake, "greet").await
    }

    /// Accepts a connection from a peer and exchanges greetings.
    ///
    /// # Errors
    ///
    /// Returns the reason for which no greeting was received within the limits.
    pub async fn accept(
        stream: Async<TcpStream>,
        identity: &Identity,
    ) -> Result<Link<Established>, Error> {
        let handshake = async {
            prepare(&stream)?;
            let socket = async_tungstenite::accept_async_with_config(stream, Some(config())).await;
            Link::new(socket.map_err(Error::Socket)?, identity).handshake().await
        };
        within(handshake, identity.limits.handshake, "greet").await
    }

    fn new(socket: Socket, identity: &Identity) -> Link<Connecting> {
        let shared = Rc::new(Shared::new(identity));
        Link { state: Connecting { socket, shared } }
    }

    async fn handshake(self) -> Result<Link<Established>, Error> {
        let Connecting { mut socket, shared } = self.state;
        let hello = Body::Hello(Hello { zone: shared.identity.zone.clone() });
        let hello = codec::encode(&shared.identity.frame(hello)).map_err(Error::Frame)?;
        socket.send(Message::binary(hello)).await.map_err(Error::Socket)?;
        let message = socket.next().await.ok_or(Error::Closed)?.map_err(Error::Socket)?;
        let frame = match message {
            Message::Binary(bytes) => codec::decode(&bytes).map_err(Error::Frame),
            Message::Close(_) => Err(Error::Closed),
            other => Err(Error::State { state: "greeting", found: name(&other) }),
        };
        let frame = frame.inspect_err(|error| shared.count_invalid(error))?;
        let Body::Hello(hello) = frame.body else {
            let error = Error::State { state: "greeting", found: frame.body.name() };
            shared.count_invalid(&error);
            return Err(error);
        };
        shared.identity.merge(frame.stamp);
        let mut window = Window::new();
        window.accept(frame.sequence);
        let peer = Peer { id: frame.sender, incarnation: frame.incarnation, zone: hello.zone };
        let (sender, reader) = socket.split();
        let writer: Writer = Box::pin(write(sender, Rc::clone(&shared)));
        let idle = Timer::after(shared.limits.read);
        let writer = Some(writer);
        let state = Established { peer, shared, reader, writer, idle, window, faults: 0, burst: 0 };
        Ok(Link { state })
    }
}

impl Link<Established> {
    /// Returns the peer.
    pub fn peer(&self) -> &Peer {
        &self.state.peer
    }

    /// Returns a handle that queues frames for this link.
    pub fn sender(&self) -> Sender {
        Sender { shared: Rc::clone(&self.state.shared) }
    }

    /// Queues a frame, as [`Sender::send`].
    ///
    /// # Errors
    ///
    /// Returns the reason for which the frame was not queued.
    pub fn send(&self, body: Body) -> Result<(), Refusal> {
        self.sender().send(body)
    }

    /// Waits for the next frame and writes queued frames meanwhile. The caller calls it in a loop;
    /// frames are written only while it runs. A call may be cancelled without loss.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the link ended; it is not to be called again.
    pub async fn next(&mut self) -> Result<Incoming, Error> {
        loop {
            self.state.yield_after_burst().await;
            let message = future::poll_fn(|context| self.state.poll(context)).await?;
            let incoming = match message {
                Message::Binary(bytes) => self.state.receive(&bytes),
                Message::Ping(_) | Message::Pong(_) => continue,
                Message::Close(_) => return Err(Error::Closed),
                other => Err(Error::State { state: "greeted", found: name(&other) }),
            };
            match incoming.inspect_err(|error| self.state.shared.count_invalid(error))? {
                Some(incoming) => return Ok(incoming),
                None => continue,
            }
        }
    }

    /// Writes the queued frames within the write timeout and closes the connection.
    pub async fn close(mut self) -> Link<Closed> {
        self.state.shared.finish();
        let peer = self.state.peer.clone();
        if let Some(writer) = self.state.writer.take() {
            let timeout = self.state.shared.limits.write;
            // The connection ends either way.
            let _ = within(writer, timeout, "close").await;
        }
        Link { state: Closed { peer } }
    }
}

impl Link<Closed> {
    /// Returns the peer that the link was connected to.
    pub fn peer(&self) -> &Peer {
        &self.state.peer
    }
}

impl Established {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Result<Message, Error>> {
        if let Some(writer) = &mut self.writer
            && let Poll::Ready(result) = writer.as_mut().poll(context)
        {
            self.writer = None;
            return Poll::Ready(Err(result.err().unwrap_or(Error::Closed)));
        }
        if let Poll::Ready(message) = Pin::new(&mut self.reader).poll_next(context) {
            self.idle.set_after(self.shared.limits.read);
            let message = message.ok_or(Error::Closed);
            return Poll::Ready(message.and_then(|message| message.map_err(Error::Socket)));
        }
        match self.idle.poll(context) {
            Poll::Ready(_) => Poll::Ready(Err(Error::Timeout { place: "read" })),
            Poll::Pending => Poll::Pending,
        }
    }

    /// A peer that sends without pause would keep the other tasks from running.
    async fn yield_after_burst(&mut self) {
        self.burst += 1;
        if self.burst >= BURST {
            self.burst = 0;
            futures_lite::future::yield_now().await;
        }
    }

    /// Handles one frame. Returns `None` when there is nothing for the caller.
    fn receive(&mut self, bytes: &[u8]) -> Result<Option<Incoming>, Error> {
        let frame = match codec::decode(bytes) {
            Ok(frame) => frame,
            Err(fault) if fault.closes_link() => return Err(Error::Frame(fault)),
            Err(fault) => return self.fault(fault).map(Some),
        };
        if frame.sender != self.peer.id || frame.incarnation != self.peer.incarnation {
            return Err(Error::Sender { found: frame.sender, expected: self.peer.id.clone() });
        }
        let identity = &self.shared.identity;
        identity.merge(frame.stamp);
        let fresh =
            self.window.accept(frame.sequence) && identity.filter.borrow_mut().accept(&frame);
        if !fresh {
            identity.count(|counts| counts.stale += 1);
            return Ok(None);
        }
        match &frame.body {
            Body::Hello(_) => Err(Error::State { state: "greeted", found: "hello" }),
            Body::Ping(ping) => {
                self.shared.answer_ping(ping.sent_us);
                Ok(Some(Incoming::Frame(frame)))
            }
            Body::Pong(pong) => {
                let elapsed_us = self.shared.elapsed_us().checked_sub(pong.sent_us);
                Ok(elapsed_us.map(|us| Incoming::RoundTrip(Duration::from_micros(us))))
            }
            Body::Reply(reply) => {
                self.answer(reply.call, frame.body);
                Ok(None)
            }
            Body::Events(Events::List { call, .. }) => {
                self.answer(*call, frame.body);
                Ok(None)
            }
            Body::Settings(_)
            | Body::Forward(_)
            | Body::Events(_)
            | Body::Release(_)
            | Body::Latencies(_) => Ok(Some(Incoming::Frame(frame))),
        }
    }

    fn answer(&self, call: crate::wire::Call, body: Body) {
        if !self.shared.answer(call, body) {
            self.shared.identity.count(|counts| counts.late += 1);
        }
    }

    fn fault(&mut self, fault: codec::Error) -> Result<Incoming, Error> {
        self.faults += 1;
        if self.faults > FAULT_MAX {
            return Err(Error::Faults);
        }
        self.shared.identity.count(|counts| counts.invalid += 1);
        Ok(Incoming::Fault(fault))
    }
}

impl Drop for Established {
    fn drop(&mut self) {
        self.shared.close();
    }
}

impl std::fmt::Debug for Established {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Established").field("peer", &self.peer).finish_non_exhaustive()
    }
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").field("opened_at", &self.opened_at).finish_non_exhaustive()
    }
}

impl Shared {
    fn count_invalid(&self, error: &Error) {
        let invalid = matches!(
            error,
            Error::Frame(_) | Error::Sender { .. } | Error::State { .. } | Error::Faults
        );
        if invalid {
            self.identity.count(|counts| counts.invalid += 1);
        }
    }
}

async fn write(
    mut sender: WebSocketSender<Async<TcpStream>>,
    shared: Rc<Shared>,
) -> Result<(), Error> {
    let timeout = shared.limits.write;
    while let Some(frame) = shared.next_frame().await {
        let send = async { sender.send(Message::binary(frame)).await.map_err(Error::Socket) };
        within(send, timeout, "write").await?;
    }
    sender.close(None).await.map_err(Error::Socket)
}

async fn within<Step, Value>(
    step: Step,
    limit: Duration,
    place: &'static str,
) -> Result<Value, Error>
where
    Step: Future<Output = Result<Value, Error>>,
{
    let expire = async {
        Timer::after(limit).await;
        Err(Error::Timeout { place })
    };
    step.or(expire).await
}

/// Pings are small and must not wait for more data.
fn prepare(stream: &Async<TcpStream>) -> Result<(), Error> {
    stream.get_ref().set_nodelay(true).map_err(Error::Connect)
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER)
        .write_buffer_size(WRITE_BUFFER)
        .max_write_buffer_size(WRITE_BUFFER + 2 * FRAME_LEN_MAX)
        .max_message_size(Some(FRAME_LEN_MAX))
        .max_frame_size(Some(FRAME_LEN_MAX))
}

const fn name(message: &Message) -> &'static str {
    match message {
        Message::Text(_) => "text message",
        Message::Binary(_) => "binary message",
        Message::Ping(_) => "ping message",
        Message::Pong(_) => "pong message",
        Message::Close(_) => "close message",
        Message::Frame(_) => "raw frame",
    }
}
