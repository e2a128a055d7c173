//! Reader that returns the bytes of one message at a time.
//!
//! The library wraps its reader in a buffer that it drops after each message. This reader never
//! returns bytes beyond the current message, so that no byte of the next message is lost. It
//! reports the end of the connection within a message as an error.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use async_io::Timer;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt, ready};

use crate::error::Error;
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
    /// Chunks follow; the decoder determines where they end.
    Chunked,
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
}

/// Shared reader of one connection. All clones are used by one thread, so its lock is never
/// contended; the lock exists because the library requires readers to be `Send`.
#[derive(Debug, Clone)]
pub(crate) struct Source {
    state: Arc<Mutex<State>>,
}

impl Source {
    pub(crate) fn new(socket: Socket, limit: &Limit) -> Source {
        let state = State {
            socket,
            buffer: Vec::new(),
            start: 0,
            head_remaining: 0,
            framing: Framing::Empty,
            progress_timeout: limit.progress_timeout,
            timer: None,
            body_end: None,
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
        let mut searched = 0;
        let timeout = limit.head_timeout;
        let read = async {
            loop {
                let head_end = self.lock().head_end(searched);
                if let Some(length) = head_end {
                    return self.start_head(length, limit.head_len);
                }
                searched = self.lock().unread().len();
                if searched >= limit.head_len {
                    return Err(Error::HeadTooLong(limit.head_len));
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
        let read =
            async { poll_fn(|context| self.lock().poll_fill(context)).await.map_err(Error::Io) };
        let expire = async {
            Timer::after(timeout).await;
            Err(Error::Timeout { what, limit: timeout })
        };
        read.or(expire).await
    }

    /// Sets the framing of the body that follows the current head.
    pub(crate) fn set_framing(&self, framing: Framing) {
        let mut state = self.lock();
        state.framing = match framing {
            Framing::Length(0) => Framing::Empty,
            other => other,
        };
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
        self.start += count;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        }
        count
    }

    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let max = match self.framing {
            Framing::Empty => return Poll::Ready(Ok(0)),
            Framing::Length(remaining) => usize::try_from(remaining).unwrap_or(usize::MAX),
            Framing::Chunked | Framing::UntilClose => usize::MAX,
        };
        let count = if self.unread().is_empty() {
            let wanted = target.len().min(max);
            ready!(self.poll_socket(context, &mut target[..wanted]))?
        } else {
            self.copy_out(target, max)
        };
        self.count_bytes(count)?;
        Poll::Ready(Ok(count))
    }

    /// Reads body bytes directly into the caller's buffer, within the progress timeout.
    fn poll_socket(
        &mut self,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let socket = self.socket.clone();
        let read = Pin::new(&mut &*socket).poll_read(context, target);
        if read.is_ready() {
            self.timer = None;
            return read;
        }
        let progress_timeout = self.progress_timeout;
        let timer = self.timer.get_or_insert_with(|| Timer::after(progress_timeout));
        ready!(timer.poll(context));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "no byte of the body within the timeout",
        )))
    }

    fn count_bytes(&mut self, count: usize) -> io::Result<()> {
        match &mut self.framing {
            Framing::Length(remaining) if count > 0 => {
                *remaining = remaining.saturating_sub(count as u64);
                if *remaining == 0 {
                    self.end_body();
                }
            }
            Framing::UntilClose if count == 0 => self.end_body(),
            Framing::Length(_) | Framing::Chunked if count == 0 => {
                let text = "body truncated: the connection ended before the body";
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
            }
            _ => {}
        }
        Ok(())
    }

    fn end_body(&mut self) {
        self.framing = Framing::Empty;
        if let Some(waker) = self.body_end.take() {
            waker.wake();
        }
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
