//! Bounded buffer of the most recent events of one instance.

use std::collections::VecDeque;

use crate::event::Event;
use crate::filter::Filter;

/// Number of events that an instance keeps.
pub const CAPACITY: usize = 65_536;

/// Ring buffer that drops the oldest event when it is full.
#[derive(Debug)]
pub struct Buffer {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl Buffer {
    /// Creates an empty buffer for [`CAPACITY`] events.
    pub fn new() -> Buffer {
        Buffer::with_capacity(CAPACITY)
    }

    /// Creates an empty buffer for `capacity` events; 0 is treated as 1. Memory is allocated as
    /// events arrive.
    pub fn with_capacity(capacity: usize) -> Buffer {
        Buffer { events: VecDeque::new(), capacity: capacity.max(1), dropped: 0 }
    }

    /// Appends an event and drops the oldest one if the buffer is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Returns at most `limit` of the most recent events that match the filter, oldest first.
    pub fn select(&self, filter: &Filter, limit: usize) -> Vec<Event> {
        let newest = self.events.iter().rev().filter(|event| filter.matches(event)).take(limit);
        let mut selected: Vec<Event> = newest.cloned().collect();
        selected.reverse();
        selected
    }

    /// Returns the number of events in the buffer.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns `true` if the buffer holds no event.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the number of events dropped because the buffer was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

impl Default for Buffer {
    fn default() -> Buffer {
        Buffer::new()
    }
}
