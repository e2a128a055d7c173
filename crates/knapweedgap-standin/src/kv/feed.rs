//! Streaming body of a watch answer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use futures_lite::io::BufReader;
use futures_lite::{AsyncRead, Stream, ready};
use http_types::Body;

/// Reader of the messages of a channel. It reaches its end when the channel is closed.
#[derive(Debug)]
pub(super) struct Feed {
    messages: Pin<Box<Receiver<Vec<u8>>>>,
    current: Vec<u8>,
    offset: usize,
}

impl Feed {
    pub(super) fn new(messages: Receiver<Vec<u8>>) -> Feed {
        Feed { messages: Box::pin(messages), current: Vec::new(), offset: 0 }
    }

    pub(super) fn body(self) -> Body {
        Body::from_reader(BufReader::new(self), None)
    }
}

impl AsyncRead for Feed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.offset == self.current.len() {
            let Some(message) = ready!(self.messages.as_mut().poll_next(context)) else {
                return Poll::Ready(Ok(0));
            };
            self.current = message;
            self.offset = 0;
        }
        let rest = &self.current[self.offset..];
        let count = rest.len().min(target.len());
        target[..count].copy_from_slice(&rest[..count]);
        self.offset += count;
        Poll::Ready(Ok(count))
    }
}
