//! Bounded queue of encoded frames that wait for the connection.

use std::collections::VecDeque;

/// Place of a frame in a [`Queue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Only the latest ping is kept.
    Ping,
    /// Only the latest answer to a ping is kept.
    Pong,
    /// Only the latest settings are kept.
    Settings,
    /// All frames are kept in order.
    Order,
}

/// What became of a pushed frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Push {
    /// The frame is queued.
    Queued,
    /// The frame replaced an older state frame.
    Replaced,
    /// The queue is full and the frame is not queued.
    Full,
}

/// Queue in which state frames replace older ones and other frames are refused when it is full.
///
/// Pings go first, so that bulk on the link does not make the sender look dead.
#[derive(Debug)]
pub struct Queue {
    ping: Option<Vec<u8>>,
    pong: Option<Vec<u8>>,
    settings: Option<Vec<u8>>,
    order: VecDeque<Vec<u8>>,
    order_bytes: usize,
    len_max: usize,
    bytes_max: usize,
}

impl Queue {
    /// Creates an empty queue with room for `len_max` frames and `bytes_max` bytes beside state
    /// frames.
    pub fn new(len_max: usize, bytes_max: usize) -> Queue {
        Queue {
            ping: None,
            pong: None,
            settings: None,
            order: VecDeque::new(),
            order_bytes: 0,
            len_max,
            bytes_max,
        }
    }

    /// Adds a frame.
    pub fn push(&mut self, place: Place, frame: Vec<u8>) -> Push {
        let slot = match place {
            Place::Ping => &mut self.ping,
            Place::Pong => &mut self.pong,
            Place::Settings => &mut self.settings,
            Place::Order => return self.append(frame),
        };
        match slot.replace(frame) {
            Some(_) => Push::Replaced,
            None => Push::Queued,
        }
    }

    fn append(&mut self, frame: Vec<u8>) -> Push {
        let bytes = self.order_bytes + frame.len();
        if self.order.len() >= self.len_max || bytes > self.bytes_max {
            return Push::Full;
        }
        self.order_bytes = bytes;
        self.order.push_back(frame);
        Push::Queued
    }

    /// Takes the next frame to write.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        let state = self.ping.take().or_else(|| self.pong.take());
        if let Some(frame) = state.or_else(|| self.settings.take()) {
            return Some(frame);
        }
        let frame = self.order.pop_front()?;
        self.order_bytes -= frame.len();
        Some(frame)
    }
}
