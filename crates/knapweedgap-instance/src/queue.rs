//! Bounded send queue of encoded frames.

use std::collections::VecDeque;

/// Class of a frame in a [`Queue`], which decides its priority and whether it replaces an older
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Ping. A newer one replaces it.
    Ping,
    /// Reply to a ping. A newer one replaces it.
    Pong,
    /// Settings. Newer ones replace them.
    Settings,
    /// Any other frame. All of them are sent in order.
    Ordered,
}

/// Result of [`Queue::push`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Push {
    /// The frame was added.
    Queued,
    /// The frame replaced an older one of its class.
    Replaced,
    /// The queue is full, and the frame was dropped.
    Full,
}

/// Queue in which pings, pongs and settings replace older ones; other frames are refused if it is
/// full.
///
/// Pings are sent first, so that bulk traffic on the link does not make the sender appear dead.
#[derive(Debug)]
pub struct Queue {
    ping: Option<Vec<u8>>,
    pong: Option<Vec<u8>>,
    settings: Option<Vec<u8>>,
    ordered: VecDeque<Vec<u8>>,
    ordered_bytes: usize,
    len_max: usize,
    bytes_max: usize,
}

impl Queue {
    /// Creates an empty queue for at most `len_max` ordered frames of at most `bytes_max` bytes in
    /// total.
    pub fn new(len_max: usize, bytes_max: usize) -> Queue {
        Queue {
            ping: None,
            pong: None,
            settings: None,
            ordered: VecDeque::new(),
            ordered_bytes: 0,
            len_max,
            bytes_max,
        }
    }

    /// Adds a frame of the given class.
    pub fn push(&mut self, class: Class, frame: Vec<u8>) -> Push {
        let slot = match class {
            Class::Ping => &mut self.ping,
            Class::Pong => &mut self.pong,
            Class::Settings => &mut self.settings,
            Class::Ordered => return self.append(frame),
        };
        match slot.replace(frame) {
            Some(_) => Push::Replaced,
            None => Push::Queued,
        }
    }

    fn append(&mut self, frame: Vec<u8>) -> Push {
        let bytes = self.ordered_bytes + frame.len();
        if self.ordered.len() >= self.len_max || bytes > self.bytes_max {
            return Push::Full;
        }
        self.ordered_bytes = bytes;
        self.ordered.push_back(frame);
        Push::Queued
    }

    /// Removes and returns the next frame to write: a ping, a pong, settings, then the ordered
    /// frames.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        let state = self.ping.take().or_else(|| self.pong.take());
        if let Some(frame) = state.or_else(|| self.settings.take()) {
            return Some(frame);
        }
        let frame = self.ordered.pop_front()?;
        self.ordered_bytes -= frame.len();
        Some(frame)
    }
}
