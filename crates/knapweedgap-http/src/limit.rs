//! Limits that one HTTP connection keeps.

use std::time::Duration;

/// Limits on sizes and times of one connection. Built by [`Builder`].
#[derive(Debug, Clone)]
pub struct Limit {
    pub(crate) head_len: usize,
    pub(crate) head_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) progress_timeout: Duration,
    pub(crate) discard_len: u64,
}

impl Limit {
    /// Starts from the defaults: heads of 8,000 bytes within 10 s, 60 s between requests, 30 s
    /// without progress inside a body, 256 KiB of an unread body discarded.
    pub fn builder() -> Builder {
        Builder { limit: Limit::default() }
    }
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            // async-h1 accepts heads below 8,192 bytes, so ours must stay under that to give our
            // own error.
            head_len: 8_000,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            progress_timeout: Duration::from_secs(30),
            discard_len: 256 * 1024,
        }
    }
}

/// Builder of [`Limit`].
#[derive(Debug)]
pub struct Builder {
    limit: Limit,
}

impl Builder {
    /// Sets the longest head in bytes; values above 8,000 have no effect.
    pub fn head_len(mut self, bytes: usize) -> Builder {
        self.limit.head_len = bytes.min(self.limit.head_len);
        self
    }

    /// Sets the time from the first byte of a head to its last.
    pub fn head_timeout(mut self, time: Duration) -> Builder {
        self.limit.head_timeout = time;
        self
    }

    /// Sets the time that a connection may wait for the next request.
    pub fn idle_timeout(mut self, time: Duration) -> Builder {
        self.limit.idle_timeout = time;
        self
    }

    /// Sets the time without a byte read or written inside a message.
    pub fn progress_timeout(mut self, time: Duration) -> Builder {
        self.limit.progress_timeout = time;
        self
    }

    /// Sets how many bytes of an unread request body are read to keep the connection usable.
    pub fn discard_len(mut self, bytes: u64) -> Builder {
        self.limit.discard_len = bytes;
        self
    }

    /// Returns the finished limits.
    pub fn build(self) -> Limit {
        self.limit
    }
}
