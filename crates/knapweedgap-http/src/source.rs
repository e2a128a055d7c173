//! Reader that returns the bytes of one message at a time.
//!
//! The library wraps its reader in a buffer that it drops after each message. This reader never
//! returns bytes beyond the current message, so that no byte of the next message is lost. It
//! reports the end of the connection within a message as an error.

mod body;

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use async_io::Timer;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};

use crate::chunk::Decoder;
use crate::error::Error;
use crate::seat::Seat;
use crate::{Limit, Socket, head};

/// Size of one read from the socket, in bytes.
const READ_LEN: usize = 16 * 1024;

/// Framing of the body that follows a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// No body follows.
    Empty,
    /// This many bytes follow.
    Length(u64),
    /// Chunks follow; the decoder of the library determines where they end.
    Chunked,
    /// Chunks follow, which this reader decodes.
    Chunks,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

#[derive(Debug)]
struct State {
    socket: Socket,
    buffer: Vec<u8>,
    /// Start of the unread bytes in `buffer`.
    start: usize,
    /// Number of unread bytes of the current head.
    head_remaining: usize,
    framing: Framing,
    progress_timeout: Duration,
    timer: Option<Timer>,
    body_end: Option<Waker>,
    decoder: Decoder,
    /// Place of the connection in the budget; clients have none.
    seat: Option<Arc<Seat>>,
    /// Longest body and its remaining length, in bytes.
    body_max: u64,
    body_remaining: u64,
    body_timeout: Option<Duration>,
    body_timer: Option<Timer>,
    /// Reason for which the current request has to be refused.
    refusal: Option<Error>,
}

/// Shared reader of one connection. All clones are used by one thread, so its lock is never
/// contended; the lock exists because the library requires readers to be `Send`.
#[derive(Debug, Clone)]
pub(crate) struct Source {
    state: Arc<Mutex<State>>,
}

impl Source {
    pub(crate) fn new(socket: Socket, limit: &Limit) -> Source {
        Source::with_seat(socket, limit, None)
    }

    /// Creates the reader of a connection that has a place in a budget.
    pub(crate) fn with_seat(socket: Socket, limit: &Limit, seat: Option<Arc<Seat>>) -> Source {
        let state = State {
            socket,
            buffer: Vec::new(),
            start: 0,
            head_remaining: 0,
            framing: Framing::Empty,
            progress_timeout: limit.progress_timeout,
            timer: None,
            body_end: None,
            decoder: Decoder::new(),
            seat,
            body_max: u64::MAX,
            body_remaining: u64::MAX,
            body_timeout: None,
            body_timer: None,
            refusal: None,
        };
        Source { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the first byte of the next message is buffered. Returns `false` at the end of
    /// the connection.
    pub(crate) async fn wait_message(&self, idle_timeout: Duration) -> Result<bool, Error> {
        if !self.lock().unread().is_empty() {
            return Ok(true);
        }
        let read = self.fill("request", idle_timeout).await?;
        Ok(read != 0)
    }

    /// Reads a complete head into the buffer, as the next bytes to return.
    ///
    /// Returns `true` if the head contained an `Expect` header, which is masked.
    pub(crate) async fn read_head(&self, limit: &Limit) -> Result<bool, Error> {
        self.read_head_of(limit.head_len, limit.head_timeout).await
    }

    /// Reads a complete head of at most `max` bytes within `timeout`, like [`Source::read_head`].
    pub(crate) async fn read_head_of(&self, max: usize, timeout: Duration) -> Result<bool, Error> {
        let mut searched = 0;
        let read = async {
            loop {
                let head_end = self.lock().head_end(searched);
                if let Some(length) = head_end {
                    return self.start_head(length, max);
                }
                searched = self.lock().unread().len();
                if searched >= max {
                    return Err(Error::HeadTooLong(max));
                }
                if self.fill("message head", timeout).await? == 0 {
                    return Err(Error::Closed);
                }
            }
        };
        let expire = async {
            Timer::after(timeout).await;
            Err(Error::Timeout { what: "message head", limit: timeout })
        };
        read.or(expire).await
    }

    fn start_head(&self, length: usize, max: usize) -> Result<bool, Error> {
        if length > max {
            return Err(Error::HeadTooLong(max));
        }
        let mut state = self.lock();
        let start = state.start;
        let head = &mut state.buffer[start..start + length];
        if !head.is_ascii() {
            // The library panics on a header value outside ASCII.
            return Err(Error::Malformed("bytes outside ASCII in the message head".to_owned()));
        }
        let expects_continue = head::mask_expect(head);
        state.head_remaining = length;
        state.framing = Framing::Empty;
        Ok(expects_continue)
    }

    async fn fill(&self, what: &'static str, timeout: Duration) -> Result<usize, Error> {
        let read = async {
            let read = poll_fn(|context| self.lock().poll_fill(context)).await;
            read.map_err(|error| self.take_refusal().unwrap_or(Error::Io(error)))
        };
        let expire = async {
            Timer::after(timeout).await;
            Err(Error::Timeout { what, limit: timeout })
        };
        read.or(expire).await
    }

    /// Passes the buffered head to `parse` and removes it from the buffer.
    pub(crate) fn parse_head<Parse, Output>(&self, parse: Parse) -> Output
    where
        Parse: FnOnce(&[u8]) -> Output,
    {
        let mut state = self.lock();
        let length = std::mem::take(&mut state.head_remaining);
        let (start, end) = (state.start, state.start + length);
        let output = parse(&state.buffer[start..end]);
        state.skip(length);
        if let Some(seat) = &state.seat {
            seat.put_back(state.unread().len());
        }
        output
    }

    /// Sets the framing of the body that follows the current head.
    pub(crate) fn set_framing(&self, framing: Framing) {
        let mut state = self.lock();
        state.framing = match framing {
            Framing::Length(0) => Framing::Empty,
            other => other,
        };
        state.decoder = Decoder::new();
        if state.framing == Framing::Empty
            && let Some(seat) = &state.seat
        {
            seat.complete();
        }
    }

    /// Sets the limits of the body that follows the current head.
    pub(crate) fn limit_body(&self, limit: &Limit) {
        let mut state = self.lock();
        state.body_max = limit.body_len;
        state.body_remaining = limit.body_len;
        state.body_timeout = limit.body_timeout;
        state.body_timer = None;
        state.refusal = None;
    }

    /// Returns the reason for which the current request has to be refused.
    pub(crate) fn take_refusal(&self) -> Option<Error> {
        self.lock().refusal.take()
    }

    /// The rest of the body is not read, so the request may be passed on.
    pub(crate) fn abandon_body(&self) {
        if let Some(seat) = &self.lock().seat {
            seat.complete();
        }
    }

    /// Returns the framing of the unread rest of the current body.
    pub(crate) fn framing(&self) -> Framing {
        self.lock().framing
    }

    /// Returns `true` if bytes beyond the current message were received.
    pub(crate) fn has_surplus(&self) -> bool {
        !self.lock().unread().is_empty()
    }

    /// Waits until the current body is read completely.
    pub(crate) async fn body_end(&self) {
        poll_fn(|context| {
            let mut state = self.lock();
            if state.framing == Framing::Empty && state.head_remaining == 0 {
                return Poll::Ready(());
            }
            state.body_end = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

impl State {
    fn unread(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    fn head_end(&self, searched: usize) -> Option<usize> {
        head::find_end(self.unread(), searched)
    }

    /// Reads once from the socket into the buffer.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        let length = self.buffer.len();
        self.buffer.resize(length + READ_LEN, 0);
        let socket = self.socket.clone();
        let read = Pin::new(&mut &*socket).poll_read(context, &mut self.buffer[length..]);
        let count = match &read {
            Poll::Ready(Ok(count)) => *count,
            _ => 0,
        };
        self.buffer.truncate(length + count);
        if self.framing == Framing::Empty
            && let Err(error) = self.charge(count)
        {
            return Poll::Ready(Err(error));
        }
        if self.buffer.is_empty() {
            // An idle connection holds no buffer, so that many of them need little memory.
            self.buffer = Vec::new();
        }
        read
    }

    /// Copies at most `max` buffered bytes to `target`.
    fn copy_out(&mut self, target: &mut [u8], max: usize) -> usize {
        let count = target.len().min(max).min(self.unread().len());
        target[..count].copy_from_slice(&self.buffer[self.start..self.start + count]);
        self.skip(count);
        count
    }

    /// Removes bytes from the front of the buffer.
    fn skip(&mut self, count: usize) {
        self.start += count;
        if self.start == self.buffer.len() {
            // Most connections wait after a message, so the memory is returned.
            self.buffer = Vec::new();
            self.start = 0;
        }
    }

    /// Charges received bytes to the budget. The error is not seen by clients: the server answers with
    /// the refusal.
    fn charge(&mut self, count: usize) -> io::Result<()> {
        let Some(seat) = &self.seat else { return Ok(()) };
        match seat.receive(count) {
            Ok(()) => Ok(()),
            Err(_) => Err(self.refuse(Error::Overload)),
        }
    }

    /// Keeps the reason of a refusal for the server and returns the error of the reader.
    fn refuse(&mut self, refusal: Error) -> io::Error {
        let error = io::Error::other(refusal.to_string());
        self.refusal = Some(refusal);
        error
    }
}

impl AsyncRead for Source {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if target.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let mut state = self.lock();
        if state.head_remaining == 0 {
            return state.poll_body(context, target);
        }
        let max = state.head_remaining;
        let count = state.copy_out(target, max);
        state.head_remaining -= count;
        Poll::Ready(Ok(count))
    }
}

/// The library requires a writer as well, but writes only in response to an `Expect` header, which
/// is masked.
impl AsyncWrite for Source {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = self.lock().socket.clone();
        Pin::new(&mut &*socket).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
