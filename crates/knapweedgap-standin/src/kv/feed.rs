//! Body of a watch answer that is fed while it is sent.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use futures_lite::io::BufReader;
use futures_lite::{AsyncRead, Stream, ready};
use http_types::Body;

/// Reader of the messages of a channel; it ends with the channel.
#[derive(Debug)]
pub(super) struct Feed {
    messages: Pin<Box<Receiver<Vec<u8>>>>,
    current: Vec<u8>,
    start: usize,
}

impl Feed {
    pub(super) fn new(messages: Receiver<Vec<u8>>) -> Feed {
        Feed { messages: Box::pin(messages), current: Vec::new(), start: 0 }
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
        while self.start == self.current.len() {
            let Some(message) = ready!(self.messages.as_mut().poll_next(context)) else {
                return Poll::Ready(Ok(0));
            };
            self.current = message;
            self.start = 0;
        }
        let rest = &self.current[self.start..];
        let count = rest.len().min(target.len());
        target[..count].copy_from_slice(&rest[..count]);
        self.start += count;
        Poll::Ready(Ok(count))
    }
}
