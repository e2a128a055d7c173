//! Bodies that report when they are read completely or dropped.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Sender;
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufRead, AsyncRead, ready};
use http_types::Body;

use crate::source::Source;

/// Buffer of a request body, in bytes.
const READ_LEN: usize = 4 * 1024;

/// Body of a request. An endpoint that drops it may have passed the request on.
#[derive(Debug)]
pub(crate) struct Reader {
    inner: BufReader<Source>,
}

impl Reader {
    pub(crate) fn new(source: Source) -> Reader {
        Reader { inner: BufReader::with_capacity(READ_LEN, source) }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.inner.get_ref().abandon_body();
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_read(context, target)
    }
}

impl AsyncBufRead for Reader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().inner).poll_fill_buf(context)
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        Pin::new(&mut self.inner).consume(count);
    }
}

/// Body that sends one message on its channel when it is read completely. Dropping it earlier
/// closes the channel without a message.
#[derive(Debug)]
pub(crate) struct Watched<Inner> {
    inner: Inner,
    /// Number of unread bytes, if the length is known. The library stops reading at the length and
    /// does not read the end of the body.
    remaining: Option<usize>,
    end: Option<Sender<()>>,
}

impl<Inner> Watched<Inner>
where
    Inner: AsyncBufRead + Unpin + Send + Sync + 'static,
{
    pub(crate) fn body(inner: Inner, length: Option<usize>, end: Sender<()>) -> Body {
        let mut watched = Watched { inner, remaining: length, end: Some(end) };
        watched.count_bytes(0);
        Body::from_reader(watched, length)
    }
}

impl<Inner> Watched<Inner> {
    fn count_bytes(&mut self, count: usize) {
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(count);
        }
        if self.remaining == Some(0) {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some(end) = self.end.take() {
            // The channel has capacity for this single message. A closed channel has no receiver
            // that needs it.
            let _ = end.try_send(());
        }
    }
}

impl<Inner> AsyncRead for Watched<Inner>
where
    Inner: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_read(context, target))?;
        self.count_bytes(count);
        if count == 0 && !target.is_empty() {
            self.finish();
        }
        Poll::Ready(Ok(count))
    }
}

impl<Inner> AsyncBufRead for Watched<Inner>
where
    Inner: AsyncBufRead + Unpin,
{
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let bytes = ready!(Pin::new(&mut this.inner).poll_fill_buf(context))?;
        if bytes.is_empty()
            && let Some(end) = this.end.take()
        {
            let _ = end.try_send(());
        }
        Poll::Ready(Ok(bytes))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        Pin::new(&mut self.inner).consume(count);
        self.count_bytes(count);
    }
}
