//! Bounded buffer of the latest events of one instance.

use std::collections::VecDeque;

use crate::event::Event;
use crate::filter::Filter;

/// Events that one instance keeps.
pub const CAPACITY: usize = 65_536;

/// Ring buffer that drops the oldest event when it is full.
#[derive(Debug)]
pub struct Buffer {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl Buffer {
    /// Creates an empty buffer of [`CAPACITY`] events.
    pub fn new() -> Buffer {
        Buffer::with_capacity(CAPACITY)
    }

    /// Creates an empty buffer of `capacity` events, at least one. Memory is allocated as events
    /// arrive.
    pub fn with_capacity(capacity: usize) -> Buffer {
        Buffer { events: VecDeque::new(), capacity: capacity.max(1), dropped: 0 }
    }

    /// Appends an event.
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Returns the latest `limit` events that pass the filter, oldest first.
    pub fn select(&self, filter: &Filter, limit: usize) -> Vec<Event> {
        let latest = self.events.iter().rev().filter(|event| filter.matches(event)).take(limit);
        let mut selected: Vec<Event> = latest.cloned().collect();
        selected.reverse();
        selected
    }

    /// Returns the number of events kept.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Tells whether no event is kept.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the number of events that were dropped because the buffer was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

impl Default for Buffer {
    fn default() -> Buffer {
        Buffer::new()
    }
}
