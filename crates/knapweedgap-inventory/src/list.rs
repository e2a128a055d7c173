//! The list of machines and how a newer one replaces it.

use std::collections::BTreeMap;

use derive_more::Display;
use knapweedgap_core::id;
use knapweedgap_core::revision::Revision;
use smol_str::SmolStr;

use crate::vm::{Record, State};

/// Machines by id, at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct List {
    /// Revision of the list; it grows with every change.
    pub revision: Revision,
    /// Machines by id.
    pub vms: BTreeMap<id::Vm, Record>,
}

/// Bad field of a record.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("VM list, {place}: {help}")]
pub struct Fault {
    /// Place inside the list, for example `vms[3].zone`.
    pub place: SmolStr,
    /// What was expected.
    pub help: SmolStr,
}

/// Id of a record with a fault, as far as it can be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// Machine that the record is about.
    pub id: id::Vm,
    /// Whether the record says that the machine leaves.
    pub leaving: bool,
}

/// Decoded answer: the good records, and what is wrong with the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Decoded {
    /// Good records.
    pub list: List,
    /// Faults in the order of the records.
    pub faults: Vec<Fault>,
    /// Records with faults whose id is readable.
    pub broken: Vec<Broken>,
}

/// What an answer did to the kept list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// The list changed.
    Changed,
    /// The list says what was known.
    Same,
    /// The answer is older than the kept list and was ignored.
    Older(Revision),
}

impl List {
    /// Takes over `decoded` unless it is older.
    ///
    /// A machine whose new record is broken keeps its last good record, so that one bad field
    /// does not take it out of service. Within one revision a machine that leaves stays leaving,
    /// since an answer from a lagging replica must not bring it back.
    pub fn update(&mut self, decoded: &Decoded) -> Update {
        if decoded.list.revision < self.revision {
            return Update::Older(decoded.list.revision);
        }
        let mut next = decoded.list.clone();
        for broken in &decoded.broken {
            self.keep_record(&mut next, broken);
        }
        if next.revision == self.revision {
            self.keep_leaving(&mut next);
        }
        if next == *self {
            return Update::Same;
        }
        *self = next;
        Update::Changed
    }

    fn keep_record(&self, next: &mut List, broken: &Broken) {
        let Some(record) = self.vms.get(&broken.id) else { return };
        // A second record under the id of a good one is broken too; the good one counts.
        let record = next.vms.entry(broken.id.clone()).or_insert_with(|| record.clone());
        if broken.leaving {
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
