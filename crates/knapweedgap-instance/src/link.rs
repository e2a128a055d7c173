//! WebSocket connection to one peer, as a typestate over its life cycle.

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

/// Number of invalid bodies that a link tolerates before it closes. During an update, instances of
/// two releases exchange frames, and some bodies are unknown to the older release.
pub const INVALID_BODY_MAX: u32 = 100;

/// Number of messages that a link reads before it yields to the other tasks of the executor.
const MESSAGES_PER_YIELD: u32 = 64;

/// Size of the read buffer of a WebSocket, in bytes.
const READ_BUFFER_LEN: usize = 16 * 1024;
/// Size of the write buffer of a WebSocket, in bytes.
const WRITE_BUFFER_LEN: usize = 16 * 1024;

/// Connection in one of the states [`Connecting`], [`Established`] or [`Closed`].
#[derive(Debug)]
pub struct Link<State> {
    state: State,
}

type Socket = WebSocketStream<Async<TcpStream>>;

/// Future that writes the queued frames of one link. It is kept across calls of [`Link::next`], so
/// that a cancelled call does not truncate a frame.
type Writer = Pin<Box<dyn Future<Output = Result<(), Error>>>>;

/// State of an open WebSocket before the handshake identifies the peer.
#[derive(Debug)]
pub struct Connecting {
    socket: Socket,
    shared: Rc<Shared>,
}

/// State after the handshake, in which frames are exchanged.
pub struct Established {
    peer: Peer,
    shared: Rc<Shared>,
    reader: WebSocketReceiver<Async<TcpStream>>,
    writer: Option<Writer>,
    idle: Timer,
    window: Window,
    invalid_bodies: u32,
    messages_since_yield: u32,
}

/// State after the end of the connection.
#[derive(Debug)]
pub struct Closed {
    peer: Peer,
}

/// Instance at the other end of a link, as identified by its handshake.
#[expect(missing_docs, reason = "each field is named after its type")]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    pub id: id::Instance,
    pub incarnation: id::Incarnation,
    pub zone: id::Zone,
}

/// Event of a link that the caller handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Incoming {
    /// A frame was received. The link handles hellos, pongs and replies to calls itself and does
    /// not return them.
    Frame(Frame),
    /// A pong was received this long after the ping was queued.
    RoundTrip(Duration),
    /// A body was invalid. It is counted, and the link stays open.
    Fault(codec::Error),
}

/// Reason why a link ended.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The TCP connection could not be opened or configured.
    #[display("link.connect: {_0}")]
    Connect(std::io::Error),
    /// A step exceeded its timeout in [`Limits`](crate::Limits).
    #[display("link.{place}: timed out: check the network and the peer")]
    Timeout {
        /// Step that timed out: `connect`, `greet`, `read`, `write` or `close`.
        #[error(not(source))]
        place: &'static str,
    },
    /// The WebSocket protocol was violated or the connection failed.
    #[display("link.socket: {_0}")]
    Socket(tungstenite::Error),
    /// A frame was invalid, and the rest of the stream cannot be trusted.
    #[display("link.{_0}")]
    Frame(codec::Error),
    /// The sender of a frame differs from the one of the handshake.
    #[display("link.frame.head.sender: found {found}, expected {expected}")]
    Sender {
        /// Sender named in the frame.
        #[error(not(source))]
        found: id::Instance,
        /// Sender named in the handshake.
        #[error(not(source))]
        expected: id::Instance,
    },
    /// A message was received in a state that does not allow it.
    #[display("link.{state}: unexpected {found}")]
    State {
        /// State of the link: `greeting` during the handshake, `greeted` after it.
        #[error(not(source))]
        state: &'static str,
        /// Kind of the body or of the WebSocket message.
        #[error(not(source))]
        found: &'static str,
    },
    /// The peer sent more than [`INVALID_BODY_MAX`] invalid bodies.
    #[display(
        "link: more than {INVALID_BODY_MAX} invalid bodies: run the same release on all instances"
    )]
    Faults,
    /// The peer closed the connection.
    #[display("link: closed by the peer")]
    Closed,
}

impl Error {
    /// Returns `true` if the host of the peer refused the connection, which proves that no process
    /// listens on the port.
    pub fn is_refused(&self) -> bool {
        let Error::Connect(error) = self else { return false };
        error.kind() == std::io::ErrorKind::ConnectionRefused
    }
}

impl Link<Connecting> {
    /// Connects to a peer and performs the handshake.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection or the handshake failed or exceeded its timeout.
    pub async fn connect(
        address: SocketAddr,
        identity: &Identity,
    ) -> Result<Link<Established>, Error> {
        let limits = identity.limits;
        let connect = async { Async::<TcpStream>::connect(address).await.map_err(Error::Connect) };
        let stream = with_timeout(connect, limits.connect_timeout, "connect").await?;
        let handshake = async {
            disable_nagle(&stream)?;
            let url = format!("ws://{address}/");
            let socket =
                async_tungstenite::client_async_with_config(url, stream, Some(websocket_config()))
                    .await;
            let (socket, _) = socket.map_err(Error::Socket)?;
            Link::new(socket, identity).handshake().await
        };
        with_timeout(handshake, limits.handshake_timeout, "greet").await
    }

    /// Performs the handshake on a connection that a peer opened.
    ///
    /// # Errors
    ///
    /// Returns an error if the handshake failed or exceeded its timeout.
    pub async fn accept(
        stream: Async<TcpStream>,
        identity: &Identity,
    ) -> Result<Link<Established>, Error> {
        let handshake = async {
            disable_nagle(&stream)?;
            let socket =
                async_tungstenite::accept_async_with_config(stream, Some(websocket_config())).await;
            Link::new(socket.map_err(Error::Socket)?, identity).handshake().await
        };
        with_timeout(handshake, identity.limits.handshake_timeout, "greet").await
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
            other => Err(Error::State { state: "greeting", found: message_kind(&other) }),
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
        let idle = Timer::after(shared.limits.read_timeout);
        let writer = Some(writer);
        let state = Established {
            peer,
            shared,
            reader,
            writer,
            idle,
            window,
            invalid_bodies: 0,
            messages_since_yield: 0,
        };
        Ok(Link { state })
    }
}

impl Link<Established> {
    /// Returns the peer that the handshake identified.
    pub fn peer(&self) -> &Peer {
        &self.state.peer
    }

    /// Returns a handle that queues frames for this link.
    pub fn sender(&self) -> Sender {
        Sender { shared: Rc::clone(&self.state.shared) }
    }

    /// Queues a frame, as [`Sender::send`] does.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Sender::send`].
    pub fn send(&self, body: Body) -> Result<(), Refusal> {
        self.sender().send(body)
    }

    /// Waits for the next event and writes queued frames in the meantime. Queued frames are written
    /// only while this future is polled, so the caller awaits it in a loop. Cancelling it loses no
    /// frame.
    ///
    /// # Errors
    ///
    /// Returns the reason why the link ended. The method must not be called again afterwards.
    pub async fn next(&mut self) -> Result<Incoming, Error> {
        loop {
            self.state.yield_regularly().await;
            let message = future::poll_fn(|context| self.state.poll(context)).await?;
            let incoming = match message {
                Message::Binary(bytes) => self.state.receive(&bytes),
                Message::Ping(_) | Message::Pong(_) => continue,
                Message::Close(_) => return Err(Error::Closed),
                other => Err(Error::State { state: "greeted", found: message_kind(&other) }),
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
            let timeout = self.state.shared.limits.write_timeout;
            // The connection is closed even if writing fails.
            let _ = with_timeout(writer, timeout, "close").await;
        }
        Link { state: Closed { peer } }
    }
}

impl Link<Closed> {
    /// Returns the peer to which the link was connected.
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
            self.idle.set_after(self.shared.limits.read_timeout);
            let message = message.ok_or(Error::Closed);
            return Poll::Ready(message.and_then(|message| message.map_err(Error::Socket)));
        }
        match self.idle.poll(context) {
            Poll::Ready(_) => Poll::Ready(Err(Error::Timeout { place: "read" })),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Yields after every [`MESSAGES_PER_YIELD`] messages, so that a peer that sends without pause
    /// does not starve the other tasks.
    async fn yield_regularly(&mut self) {
        self.messages_since_yield += 1;
        if self.messages_since_yield >= MESSAGES_PER_YIELD {
            self.messages_since_yield = 0;
            futures_lite::future::yield_now().await;
        }
    }

    /// Handles one frame. Returns `None` if there is no event for the caller.
    fn receive(&mut self, bytes: &[u8]) -> Result<Option<Incoming>, Error> {
        let frame = match codec::decode(bytes) {
            Ok(frame) => frame,
            Err(error) if error.closes_link() => return Err(Error::Frame(error)),
            Err(error) => return self.count_invalid_body(error).map(Some),
        };
        if frame.sender != self.peer.id || frame.incarnation != self.peer.incarnation {
            return Err(Error::Sender { found: frame.sender, expected: self.peer.id.clone() });
        }
        let identity = &self.shared.identity;
        identity.merge(frame.stamp);
        let is_new =
            self.window.accept(frame.sequence) && identity.filter.borrow_mut().accept(&frame);
        if !is_new {
            identity.count(|counts| counts.stale += 1);
            return Ok(None);
        }
        match &frame.body {
            Body::Hello(_) => Err(Error::State { state: "greeted", found: "hello" }),
            Body::Ping(ping) => {
                self.shared.send_pong(ping.sent_us);
                Ok(Some(Incoming::Frame(frame)))
            }
            Body::Pong(pong) => {
                let elapsed_us = self.shared.elapsed_us().checked_sub(pong.sent_us);
                Ok(elapsed_us.map(|us| Incoming::RoundTrip(Duration::from_micros(us))))
            }
            Body::Reply(reply) => {
                self.deliver_reply(reply.call, frame.body);
                Ok(None)
            }
            Body::Events(Events::List { call, .. }) => {
                self.deliver_reply(*call, frame.body);
                Ok(None)
            }
            Body::Settings(_)
            | Body::Forward(_)
            | Body::Events(_)
            | Body::Release(_)
            | Body::Latencies(_)
            | Body::Orders(_)
            | Body::Outcomes(_) => Ok(Some(Incoming::Frame(frame))),
        }
    }

    fn deliver_reply(&self, call: crate::wire::Call, body: Body) {
        if !self.shared.deliver_reply(call, body) {
            self.shared.identity.count(|counts| counts.late += 1);
        }
    }

    fn count_invalid_body(&mut self, error: codec::Error) -> Result<Incoming, Error> {
        self.invalid_bodies += 1;
        if self.invalid_bodies > INVALID_BODY_MAX {
            return Err(Error::Faults);
        }
        self.shared.identity.count(|counts| counts.invalid += 1);
        Ok(Incoming::Fault(error))
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
    let timeout = shared.limits.write_timeout;
    while let Some(frame) = shared.next_frame().await {
        let send = async { sender.send(Message::binary(frame)).await.map_err(Error::Socket) };
        with_timeout(send, timeout, "write").await?;
    }
    sender.close(None).await.map_err(Error::Socket)
}

async fn with_timeout<Step, Value>(
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

/// Disables Nagle's algorithm. Pings are small and must not wait until more data is queued.
fn disable_nagle(stream: &Async<TcpStream>) -> Result<(), Error> {
    stream.get_ref().set_nodelay(true).map_err(Error::Connect)
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_LEN)
        .write_buffer_size(WRITE_BUFFER_LEN)
        .max_write_buffer_size(WRITE_BUFFER_LEN + 2 * FRAME_LEN_MAX)
        .max_message_size(Some(FRAME_LEN_MAX))
        .max_frame_size(Some(FRAME_LEN_MAX))
}

const fn message_kind(message: &Message) -> &'static str {
    match message {
        Message::Text(_) => "text message",
        Message::Binary(_) => "binary message",
        Message::Ping(_) => "ping message",
        Message::Pong(_) => "pong message",
        Message::Close(_) => "close message",
        Message::Frame(_) => "raw frame",
    }
}
