//! Limits of a link.

use std::time::Duration;

use crate::codec::FRAME_LEN_MAX;

/// Times and sizes that bound a link. Created with [`Limits::default`] and changed by its methods.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub(crate) connect: Duration,
    pub(crate) handshake: Duration,
    pub(crate) read: Duration,
    pub(crate) write: Duration,
    pub(crate) queue_len: usize,
    pub(crate) queue_bytes: usize,
    pub(crate) calls: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connect: Duration::from_secs(1),
            handshake: Duration::from_secs(1),
            // Pings arrive every 300 ms, so a silent link is broken long before.
            read: Duration::from_secs(5),
            write: Duration::from_secs(5),
            queue_len: 256,
            queue_bytes: 2 * FRAME_LEN_MAX,
            calls: 256,
        }
    }
}

impl Limits {
    /// Sets the limit on the TCP connection attempt.
    pub fn connect(mut self, timeout: Duration) -> Limits {
        self.connect = timeout;
        self
    }

    /// Sets the limit on the WebSocket handshake and the greeting together.
    pub fn handshake(mut self, timeout: Duration) -> Limits {
        self.handshake = timeout;
        self
    }

    /// Sets the longest time between two messages of the peer.
    pub fn read(mut self, timeout: Duration) -> Limits {
        self.read = timeout;
        self
    }

    /// Sets the longest time to write one frame.
    pub fn write(mut self, timeout: Duration) -> Limits {
        self.write = timeout;
        self
    }

    /// Sets the number of frames that wait for the connection, beside state frames.
    pub fn queue_len(mut self, frames: usize) -> Limits {
        self.queue_len = frames;
        self
    }

    /// Sets the number of bytes that wait for the connection, beside state frames.
    pub fn queue_bytes(mut self, bytes: usize) -> Limits {
        self.queue_bytes = bytes;
        self
    }

    /// Sets the number of calls that wait for an answer.
    pub fn calls(mut self, calls: usize) -> Limits {
        self.calls = calls;
        self
    }
}
