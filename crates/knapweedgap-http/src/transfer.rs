//! Copying of an encoded message to a socket, with a byte count and a timeout.

use std::time::Duration;

use async_io::Timer;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::Socket;
use crate::error::Error;

/// Size of the copy buffer, in bytes. No more of a streamed body is held in memory.
const BUFFER_LEN: usize = 16 * 1024;

/// Failed transfer; `sent` is the number of bytes that the socket accepted.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) sent: u64,
    pub(crate) error: Error,
}

/// Writes all bytes of `message` and returns their number. `progress_timeout` limits each write.
pub(crate) async fn copy<Message>(
    message: &mut Message,
    socket: &Socket,
    progress_timeout: Duration,
) -> Result<u64, Failure>
where
    Message: AsyncRead + Unpin,
{
    let mut buffer = vec![0; BUFFER_LEN];
    let mut sent = 0;
    loop {
        let count = match message.read(&mut buffer).await {
            Ok(0) => return Ok(sent),
            Ok(count) => count,
            Err(error) => return Err(Failure { sent, error: Error::Io(error) }),
        };
        let mut rest = &buffer[..count];
        while !rest.is_empty() {
            let written = write(socket, rest, progress_timeout).await;
            let written = written.map_err(|error| Failure { sent, error })?;
            sent += written as u64;
            rest = &rest[written..];
        }
    }
}

async fn write(socket: &Socket, bytes: &[u8], limit: Duration) -> Result<usize, Error> {
    let mut target = &**socket;
    let write = async {
        match target.write(bytes).await {
            Ok(0) => Err(Error::Closed),
            Ok(count) => Ok(count),
            Err(error) => Err(Error::Io(error)),
        }
    };
    let expire = async {
        Timer::after(limit).await;
        Err(Error::Timeout { what: "progress in writing", limit })
    };
    write.or(expire).await
}
