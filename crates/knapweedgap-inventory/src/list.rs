//! List of machines and the rules by which a new answer updates it.

use std::collections::BTreeMap;

use derive_more::Display;
use knapweedgap_core::id;
use knapweedgap_core::revision::Revision;
use smol_str::SmolStr;

use crate::vm::{Record, State};

/// Machines of the platform at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct List {
    /// Revision of the list; it increases with every change.
    pub revision: Revision,
    /// Valid records by id.
    pub vms: BTreeMap<id::Vm, Record>,
}

/// Fault in a field of a record, or in a record as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("VM list, {place}: {help}")]
pub struct Fault {
    /// Position in the list, for example `vms[3].zone`.
    pub place: SmolStr,
    /// Reason why the value is invalid, or its valid form.
    pub help: SmolStr,
}

/// Readable fields of a record with a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fragment {
    /// Machine that the record describes.
    pub id: id::Vm,
    /// Whether the state in the record is `leaving`.
    pub leaving: bool,
}

/// Decoded answer: the valid records and the faults of the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Decoded {
    /// Valid records.
    pub list: List,
    /// Faults in the order of the records.
    pub faults: Vec<Fault>,
    /// Records with faults whose id is readable, in the order of the records.
    pub fragments: Vec<Fragment>,
}

/// Effect of an answer on the kept list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// The list changed.
    Changed,
    /// The answer contains nothing new.
    Unchanged,
    /// The answer has this revision, is older than the kept list and was ignored.
    Older(Revision),
}

impl List {
    /// Replaces the list by `decoded` unless `decoded` has an older revision.
    ///
    /// A machine whose new record is invalid keeps its last valid record, so that one invalid field
    /// does not take it out of service. Within one revision a leaving machine stays leaving, so
    /// that an answer from a lagging replica does not put it back into service.
    pub fn update(&mut self, decoded: &Decoded) -> Update {
        if decoded.list.revision < self.revision {
            return Update::Older(decoded.list.revision);
        }
        let mut next = decoded.list.clone();
        for fragment in &decoded.fragments {
            self.keep_record(&mut next, fragment);
        }
        if next.revision == self.revision {
            self.keep_leaving(&mut next);
        }
        if next == *self {
            return Update::Unchanged;
        }
        *self = next;
        Update::Changed
    }

    fn keep_record(&self, next: &mut List, fragment: &Fragment) {
        let Some(record) = self.vms.get(&fragment.id) else { return };
        // A second record with the id of a valid one is a fault too; the valid one is used.
        let record = next.vms.entry(fragment.id.clone()).or_insert_with(|| record.clone());
        if fragment.leaving {
            record.state = State::Leaving;
        }
    }

    fn keep_leaving(&self, next: &mut List) {
        for (id, record) in &mut next.vms {
            let leaving = self.vms.get(id).is_some_and(|kept| kept.state == State::Leaving);
            if leaving {
                record.state = State::Leaving;
            }
        }
    }
}
