//! Size limits and timeouts of one HTTP connection.

use std::time::Duration;

/// Size limits and timeouts of one connection. Created by a [`Builder`].
#[derive(Debug, Clone)]
pub struct Limit {
    pub(crate) head_len: usize,
    pub(crate) request_head_len: usize,
    pub(crate) body_len: u64,
    pub(crate) body_timeout: Option<Duration>,
    pub(crate) head_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) progress_timeout: Duration,
    pub(crate) discard_len: u64,
}

impl Limit {
    /// Creates a builder with the defaults: heads of at most 8,000 bytes within 10 s, 60 s between
    /// requests, 30 s without progress within a message, 256 KiB of an unread body discarded, and
    /// request bodies of any length that take any time.
    pub fn builder() -> Builder {
        Builder { limit: Limit::default() }
    }
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            // async-h1 rejects heads of responses of 8,192 bytes and more. A lower limit ensures that
            // the error is the one of this package.
            head_len: 8_000,
            request_head_len: 8_000,
            body_len: u64::MAX,
            body_timeout: None,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            progress_timeout: Duration::from_secs(30),
            discard_len: 256 * 1024,
        }
    }
}

/// Largest head of a request that can be allowed, in bytes.
pub const REQUEST_HEAD_LEN_MAX: usize = 64 * 1024;

/// Builder of [`Limit`].
#[derive(Debug)]
pub struct Builder {
    limit: Limit,
}

impl Builder {
    /// Sets the largest head, in bytes. For responses it can only be lowered, so values above 8,000
    /// have no effect; requests may have heads of up to 65,536 bytes.
    pub fn head_len(mut self, bytes: usize) -> Builder {
        self.limit.head_len = bytes.min(self.limit.head_len);
        self.limit.request_head_len = bytes.min(REQUEST_HEAD_LEN_MAX);
        self
    }

    /// Sets the largest body of a request, in bytes.
    pub fn body_len(mut self, bytes: u64) -> Builder {
        self.limit.body_len = bytes;
        self
    }

    /// Sets the timeout of receiving the body of a request, from its head to its last byte.
    pub fn body_timeout(mut self, time: Duration) -> Builder {
        self.limit.body_timeout = Some(time);
        self
    }

    /// Sets the timeout of reading a head, from its first byte to its last.
    pub fn head_timeout(mut self, time: Duration) -> Builder {
        self.limit.head_timeout = time;
        self
    }

    /// Sets the longest time that a connection waits for the next request.
    pub fn idle_timeout(mut self, time: Duration) -> Builder {
        self.limit.idle_timeout = time;
        self
    }

    /// Sets the longest time without a byte read or written within a message.
    pub fn progress_timeout(mut self, time: Duration) -> Builder {
        self.limit.progress_timeout = time;
        self
    }

    /// Sets the largest number of bytes of an unread request that are discarded before the
    /// connection is closed.
    pub fn discard_len(mut self, bytes: u64) -> Builder {
        self.limit.discard_len = bytes;
        self
    }

    /// Returns the limits with the values that were set.
    pub fn build(self) -> Limit {
        self.limit
    }
}
