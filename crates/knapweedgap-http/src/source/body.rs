//! Reading of bodies: their ends, limits and timeouts.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_io::Timer;
use futures_lite::{AsyncRead, FutureExt, ready};

use super::{Framing, State};
use crate::error::Error;

/// Largest number of reads without data of a body before other connections get their turn. A client
/// can send chunk extensions and trailers without data.
const CHUNK_READS_MAX: usize = 8;

impl State {
    pub(super) fn poll_body(
        &mut self,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let max = match self.framing {
            Framing::Empty => return Poll::Ready(Ok(0)),
            Framing::Length(remaining) => usize::try_from(remaining).unwrap_or(usize::MAX),
            Framing::Chunked | Framing::UntilClose => usize::MAX,
            Framing::Chunks => return self.poll_chunks(context, target),
        };
        let count = if self.unread().is_empty() {
            let wanted = target.len().min(max);
            ready!(self.poll_socket(context, &mut target[..wanted]))?
        } else {
            self.copy_out(target, max)
        };
        self.charge(count)?;
        self.count_bytes(count)?;
        Poll::Ready(Ok(count))
    }

    /// Decodes the chunks of a body. The buffer holds at most one read of the socket.
    fn poll_chunks(
        &mut self,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        for _ in 0..CHUNK_READS_MAX {
            if self.unread().is_empty() {
                let read = self.poll_fill(context);
                if ready!(self.poll_progress(context, read))? == 0 {
                    return Poll::Ready(Err(truncated()));
                }
            }
            let input = &self.buffer[self.start..];
            let step = match self.decoder.decode(input, target) {
                Ok(step) => step,
                Err(error) => return Poll::Ready(Err(self.refuse(error))),
            };
            self.skip(step.consumed);
            let written = step.written as u64;
            if written > self.body_remaining {
                let max = usize::try_from(self.body_max).unwrap_or(usize::MAX);
                return Poll::Ready(Err(self.refuse(Error::BodyTooLong(max))));
            }
            self.body_remaining -= written;
            self.charge(step.written)?;
            if self.decoder.is_done() {
                self.end_body();
                return Poll::Ready(Ok(step.written));
            }
            if step.written > 0 {
                return Poll::Ready(Ok(step.written));
            }
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Reads body bytes directly into the caller's buffer, within the progress timeout.
    fn poll_socket(
        &mut self,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let socket = self.socket.clone();
        let read = Pin::new(&mut &*socket).poll_read(context, target);
        self.poll_progress(context, read)
    }

    /// Returns the result of a read, or an error if none has succeeded within the progress timeout or
    /// the body is incomplete after its timeout.
    fn poll_progress(
        &mut self,
        context: &mut Context<'_>,
        read: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Some(limit) = self.body_timeout {
            let timer = self.body_timer.get_or_insert_with(|| Timer::after(limit));
            if timer.poll(context).is_ready() {
                if let Some(seat) = &self.seat {
                    seat.expire();
                }
                return Poll::Ready(Err(self.refuse(Error::Timeout { what: "body", limit })));
            }
        }
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
                return Err(truncated());
            }
            _ => {}
        }
        Ok(())
    }

    fn end_body(&mut self) {
        self.framing = Framing::Empty;
        self.body_timer = None;
        if let Some(seat) = &self.seat {
            seat.complete();
        }
        if let Some(waker) = self.body_end.take() {
            waker.wake();
        }
    }
}

fn truncated() -> io::Error {
    let text = "body truncated: the connection ended before the body";
    io::Error::new(io::ErrorKind::UnexpectedEof, text)
}
