//! Detection of duplicate and outdated frames.

use std::collections::{BTreeSet, HashMap};

use knapweedgap_core::{id, revision};
use knapweedgap_timeline::Stamp;

use crate::wire::{Body, Frame};

/// Largest number of senders in a [`Filter`]. It bounds the memory that a peer with changing names
/// can occupy.
pub const SENDER_MAX: usize = 256;

#[derive(Debug, Clone, Copy)]
struct Latest {
    incarnation: id::Incarnation,
    stamp: Stamp,
    ping: revision::Sequence,
    settings: revision::Sequence,
}

/// Detects state frames that are duplicates or older than one received before.
///
/// All links of an instance share one filter, because a frame may arrive on an old link after a
/// newer frame arrived on a new one.
#[derive(Debug, Default)]
pub struct Filter {
    senders: HashMap<id::Instance, Latest>,
}

impl Filter {
    /// Creates a filter without senders.
    pub fn new() -> Filter {
        Filter::default()
    }

    /// Records the frame and returns `true` if it is newer than the recorded ones. Frames that are
    /// not state frames are always accepted.
    ///
    /// Incarnations are random numbers and have no order, so a frame of another incarnation is
    /// newer if its stamp is larger than every stamp received from the sender.
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
            self.evict_oldest();
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

    fn evict_oldest(&mut self) {
        if self.senders.len() < SENDER_MAX {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, latest)| latest.stamp);
        if let Some(oldest) = oldest.map(|(sender, _)| sender.clone()) {
            self.senders.remove(&oldest);
        }
    }
}

/// Number of sequence numbers in a [`Window`].
pub const WINDOW_LEN: usize = 1_024;

/// Detects duplicates among the frames of one link, which may arrive in any order.
#[derive(Debug, Default)]
pub struct Window {
    seen: BTreeSet<revision::Sequence>,
    floor: revision::Sequence,
}

impl Window {
    /// Creates a window without sequence numbers.
    pub fn new() -> Window {
        Window::default()
    }

    /// Records the number and returns `true` if it is new. Numbers below the last [`WINDOW_LEN`]
    /// count as duplicates.
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
