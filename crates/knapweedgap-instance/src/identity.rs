//! Identity and shared state of the local instance.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;

use knapweedgap_core::clock::Clock;
use knapweedgap_core::{id, revision};
use knapweedgap_timeline::{Stamp, hybrid};

use crate::counts::Counts;
use crate::limits::Limits;
use crate::sequence;
use crate::wire::{Body, Frame};

/// Identity, clocks and counters that all links of an instance share. Clones share them as well.
#[derive(Clone)]
pub struct Identity {
    pub(crate) shared: Rc<Shared>,
    pub(crate) limits: Limits,
}

pub(crate) struct Shared {
    pub(crate) id: id::Instance,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) zone: id::Zone,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) counts: Cell<Counts>,
    pub(crate) filter: RefCell<sequence::Filter>,
    hybrid: Rc<RefCell<hybrid::Clock>>,
    sequence: Cell<revision::Sequence>,
}

impl Identity {
    /// Creates the identity of one incarnation of an instance. The hybrid clock is shared with the
    /// other parts of the process that stamp events.
    pub fn new(
        id: id::Instance,
        incarnation: id::Incarnation,
        zone: id::Zone,
        clock: Rc<dyn Clock>,
        hybrid: Rc<RefCell<hybrid::Clock>>,
    ) -> Identity {
        let shared = Shared {
            id,
            incarnation,
            zone,
            clock,
            counts: Cell::default(),
            filter: RefCell::default(),
            hybrid,
            sequence: Cell::default(),
        };
        Identity { shared: Rc::new(shared), limits: Limits::default() }
    }

    /// Sets the limits of the links that are opened with this value or its later clones.
    pub fn with_limits(mut self, limits: Limits) -> Identity {
        self.limits = limits;
        self
    }

    /// Returns the sums over all links of the instance.
    pub fn counts(&self) -> Counts {
        self.shared.counts.get()
    }
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shared = &self.shared;
        write!(f, "Identity({} {} {})", shared.id, shared.incarnation, shared.zone)
    }
}

impl Shared {
    /// Creates the frame of a body with the next stamp and sequence number.
    pub(crate) fn frame(&self, body: Body) -> Frame {
        let sequence = self.sequence.get().next();
        self.sequence.set(sequence);
        Frame {
            sender: self.id.clone(),
            incarnation: self.incarnation,
            stamp: self.hybrid.borrow_mut().tick(&*self.clock),
            sequence,
            body,
        }
    }

    /// Advances the hybrid clock past the stamp of a received frame. A stamp too far ahead is only
    /// counted.
    pub(crate) fn merge(&self, remote: Stamp) {
        let merged = self.hybrid.borrow_mut().merge(remote, &*self.clock);
        if merged.is_err() {
            self.count(|counts| counts.drift += 1);
        }
    }

    pub(crate) fn count<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut Counts),
    {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
