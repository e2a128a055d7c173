//! Watches and the changes they report.

use std::fmt;
use std::pin::Pin;

use futures_lite::{Stream, StreamExt};
use knapweedgap_core::revision::Revision;

use crate::{Entry, Error, Key};

/// Change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Entry),
    /// The key was deleted, or its lease ended.
    Delete {
        /// Key.
        key: Key,
        /// Revision of the deletion.
        revision: Revision,
    },
}

impl Change {
    /// Returns the key.
    pub fn key(&self) -> &Key {
        match self {
            Change::Put(entry) => &entry.key,
            Change::Delete { key, .. } => key,
        }
    }

    /// Returns the revision that made the change.
    pub fn revision(&self) -> Revision {
        match self {
            Change::Put(entry) => entry.mod_revision,
            Change::Delete { revision, .. } => *revision,
        }
    }
}

/// Changes of one message, in order, with the next revision that the watch has not seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Changes; empty for a report of progress.
    pub changes: Vec<Change>,
    /// Revision after the last one that is covered; 0 when the message covers none.
    pub next: Revision,
}

/// Messages of a watch.
pub type Batches = Pin<Box<dyn Stream<Item = Result<Batch, Error>>>>;

/// Waiting watch. Dropping it ends it.
pub struct Watch {
    batches: Batches,
    next: Revision,
}

impl Watch {
    /// Wraps the messages of a watch that starts at `from`.
    pub fn new(from: Revision, batches: Batches) -> Watch {
        Watch { batches, next: from }
    }

    /// Waits for the next changes, in order of their revisions and each once.
    ///
    /// # Errors
    ///
    /// The watch is over after any error; watch again from [`Watch::resume`]. After
    /// [`Error::Compacted`] read the keys first.
    pub async fn next(&mut self) -> Result<Vec<Change>, Error> {
        loop {
            let batch = self.batches.next().await;
            let closed = || Error::Unavailable("watch closed by the service".into());
            let batch = batch.ok_or_else(closed)??;
            self.check_order(&batch)?;
            self.next = self.next.max(batch.next);
            if !batch.changes.is_empty() {
                return Ok(batch.changes);
            }
        }
    }

    /// Returns the first revision that the watch has not reported.
    pub fn resume(&self) -> Revision {
        self.next
    }

    fn check_order(&self, batch: &Batch) -> Result<(), Error> {
        let mut lowest = self.next;
        for (index, change) in batch.changes.iter().enumerate() {
            if change.revision() < lowest {
                let place = format!("events[{index}].kv.mod_revision");
                let help = format!("revision {} after {lowest}", change.revision());
                return Err(Error::invalid(place, help));
            }
            lowest = change.revision();
        }
        Ok(())
    }
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch").field("next", &self.next).finish_non_exhaustive()
    }
}
