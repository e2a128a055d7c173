//! Timeouts and queue limits of a link.

use std::time::Duration;

use crate::codec::FRAME_LEN_MAX;

/// Timeouts and queue limits of a link. [`Limits::default`] creates them; the methods change them.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub(crate) connect_timeout: Duration,
    pub(crate) handshake_timeout: Duration,
    pub(crate) read_timeout: Duration,
    pub(crate) write_timeout: Duration,
    pub(crate) queue_len: usize,
    pub(crate) queue_bytes: usize,
    pub(crate) calls: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connect_timeout: Duration::from_secs(1),
            handshake_timeout: Duration::from_secs(1),
            // Peers send a ping every 300 ms, so a link without a message for 5 s is broken.
            read_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
            queue_len: 256,
            queue_bytes: 2 * FRAME_LEN_MAX,
            calls: 256,
        }
    }
}

impl Limits {
    /// Sets the timeout of the TCP connection attempt, 1 s by default.
    pub fn connect_timeout(mut self, timeout: Duration) -> Limits {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the timeout of the WebSocket handshake and the exchange of hellos together, 1 s by
    /// default.
    pub fn handshake_timeout(mut self, timeout: Duration) -> Limits {
        self.handshake_timeout = timeout;
        self
    }

    /// Sets the longest time between two messages of the peer, 5 s by default.
    pub fn read_timeout(mut self, timeout: Duration) -> Limits {
        self.read_timeout = timeout;
        self
    }

    /// Sets the timeout for writing one frame, and for closing a link, 5 s by default.
    pub fn write_timeout(mut self, timeout: Duration) -> Limits {
        self.write_timeout = timeout;
        self
    }

    /// Sets the largest number of ordered frames in the send queue, 256 by default.
    pub fn queue_len(mut self, frames: usize) -> Limits {
        self.queue_len = frames;
        self
    }

    /// Sets the largest total size of the ordered frames in the send queue, in bytes; by default
    /// two frames of [`FRAME_LEN_MAX`].
    pub fn queue_bytes(mut self, bytes: usize) -> Limits {
        self.queue_bytes = bytes;
        self
    }

    /// Sets the largest number of calls that wait for a reply, 256 by default.
    pub fn calls(mut self, calls: usize) -> Limits {
        self.calls = calls;
        self
    }
}
