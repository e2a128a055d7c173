//! Splits the response body of a watch into messages, one JSON object per line.

use std::time::Duration;

use async_io::Timer;
use futures_lite::{AsyncRead, AsyncReadExt, FutureExt};
use http_types::Response;
use knapweedgap_http::client::Busy;

use crate::Error;
use crate::etcd::codec::{self, Message};
use crate::watch::{Batch, Batches};

/// Maximum length of a watch message, in bytes. Holds a transaction with several base64-encoded
/// values of 1 MB.
const MESSAGE_LEN_MAX: usize = 16 * 1024 * 1024;

const READ_LEN: usize = 16 * 1024;

/// Reader of watch messages from a byte stream.
#[derive(Debug)]
pub(crate) struct Reader<Source> {
    source: Source,
    buffer: Vec<u8>,
    /// Length of the start of `buffer` that is known to contain no line break.
    searched: usize,
    stall_timeout: Duration,
}

impl<Source> Reader<Source>
where
    Source: AsyncRead + Unpin,
{
    pub(crate) fn new(source: Source, stall_timeout: Duration) -> Reader<Source> {
        Reader { source, buffer: Vec::new(), searched: 0, stall_timeout }
    }

    /// Reads the next message. Any error ends the watch.
    pub(crate) async fn next(&mut self) -> Result<Message, Error> {
        loop {
            if let Some(line) = self.pop_line() {
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                return codec::decode_message(&line);
            }
            if self.buffer.len() > MESSAGE_LEN_MAX {
                return Err(Error::invalid("watch message", "longer than 16 MiB"));
            }
            self.fill().await?;
        }
    }

    fn pop_line(&mut self) -> Option<Vec<u8>> {
        let unsearched = &self.buffer[self.searched..];
        let Some(offset) = unsearched.iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let rest = self.buffer.split_off(self.searched + offset + 1);
        self.searched = 0;
        Some(std::mem::replace(&mut self.buffer, rest))
    }

    /// Reads more bytes into the buffer.
    async fn fill(&mut self) -> Result<(), Error> {
        let length = self.buffer.len();
        self.buffer.resize(length + READ_LEN, 0);
        let read = async {
            let count = self.source.read(&mut self.buffer[length..]).await;
            count.map_err(|error| Error::Unavailable(format!("watch read failed: {error}").into()))
        };
        let stall_timeout = self.stall_timeout;
        let timeout = async {
            Timer::after(stall_timeout).await;
            Err(Error::Unavailable(format!("no data on the watch for {stall_timeout:?}").into()))
        };
        let count = read.or(timeout).await;
        self.buffer.truncate(length + *count.as_ref().unwrap_or(&0));
        super::count_received("watch", self.buffer.len() - length);
        match count? {
            0 => Err(Error::Unavailable("watch closed by the service".into())),
            _ => Ok(()),
        }
    }
}

/// Returns the stream of batches of a created watch. Dropping it closes the connection.
pub(crate) fn batches(reader: Reader<Response>, connection: Busy) -> Batches {
    let state = Some((reader, connection));
    Box::pin(futures_lite::stream::unfold(state, |state| async {
        let (mut reader, connection) = state?;
        match next_batch(&mut reader).await {
            Ok(batch) => Some((Ok(batch), Some((reader, connection)))),
            Err(error) => Some((Err(error), None)),
        }
    }))
}

async fn next_batch(reader: &mut Reader<Response>) -> Result<Batch, Error> {
    loop {
        if let Message::Batch(batch) = reader.next().await? {
            return Ok(batch);
        }
    }
}
