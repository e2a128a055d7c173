//! Order of the state frames of each sender.

use std::collections::{BTreeSet, HashMap};

use knapweedgap_core::{id, revision};
use knapweedgap_timeline::Stamp;

use crate::wire::{Body, Frame};

/// Senders that a [`Filter`] remembers. The limit bounds the memory that a peer with changing names
/// can use.
pub const SENDER_MAX: usize = 256;

#[derive(Debug, Clone, Copy)]
struct Latest {
    incarnation: id::Incarnation,
    stamp: Stamp,
    ping: revision::Sequence,
    settings: revision::Sequence,
}

/// Recognises state frames that are duplicates or older than one received before.
///
/// One filter serves all links of an instance, because a frame may arrive on an old link after a
/// newer frame arrived on a new one.
#[derive(Debug, Default)]
pub struct Filter {
    senders: HashMap<id::Instance, Latest>,
}

impl Filter {
    /// Creates a filter that has seen no frame.
    pub fn new() -> Filter {
        Filter::default()
    }

    /// Tells whether the frame is to be used, and remembers it. Frames that carry no state are
    /// always used.
    ///
    /// The runs of a sender have random numbers, so a frame of another run counts as newer when
    /// its stamp is larger than every stamp seen from the sender.
    pub fn accept(&mut self, frame: &Frame) -> bool {
        if !frame.body.is_state() {
            return true;
        }
        let fresh = Latest {
            incarnation: frame.incarnation,
            stamp: frame.stamp,
            ping: revision::Sequence::new(0),
            settings: revision::Sequence::new(0),
        };
        if !self.senders.contains_key(&frame.sender) {
            self.make_room();
        }
        let latest = self.senders.entry(frame.sender.clone()).or_insert(fresh);
        if latest.incarnation != frame.incarnation {
            if frame.stamp <= latest.stamp {
                return false;
            }
            *latest = fresh;
        }
        let last = match &frame.body {
            Body::Settings(_) => &mut latest.settings,
            _ => &mut latest.ping,
        };
        if frame.sequence <= *last {
            return false;
        }
        *last = frame.sequence;
        latest.stamp = latest.stamp.max(frame.stamp);
        true
    }

    fn make_room(&mut self) {
        if self.senders.len() < SENDER_MAX {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, latest)| latest.stamp);
        if let Some(oldest) = oldest.map(|(sender, _)| sender.clone()) {
            self.senders.remove(&oldest);
        }
    }
}

/// Sequence numbers that a [`Window`] remembers.
pub const WINDOW_LEN: usize = 1_024;

/// Recognises duplicates among the frames of one link, in any order.
#[derive(Debug, Default)]
pub struct Window {
    seen: BTreeSet<revision::Sequence>,
    floor: revision::Sequence,
}

impl Window {
    /// Creates a window that has seen no frame.
    pub fn new() -> Window {
        Window::default()
    }

    /// Tells whether the number is new. Numbers that are older than the last [`WINDOW_LEN`] count
    /// as duplicates.
    pub fn accept(&mut self, sequence: revision::Sequence) -> bool {
        if sequence <= self.floor || !self.seen.insert(sequence) {
            return false;
        }
        if self.seen.len() > WINDOW_LEN {
            self.floor = self.seen.pop_first().unwrap_or(self.floor);
        }
        true
    }
}
