//! Watches and the changes that they report.

use std::fmt;
use std::pin::Pin;
use std::time::Duration;

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
        /// Key that no longer exists.
        key: Key,
        /// Revision of the deletion.
        revision: Revision,
    },
}

impl Change {
    /// Returns the key that was written or deleted.
    pub fn key(&self) -> &Key {
        match self {
            Change::Put(entry) => &entry.key,
            Change::Delete { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Change::Put(entry) => entry.mod_revision,
            Change::Delete { revision, .. } => *revision,
        }
    }
}

/// Changes in one message of a watch and the revision up to which the message is complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Changes in order of their revisions; empty for a progress notification.
    pub changes: Vec<Change>,
    /// Revision after the last one that the message covers; 0 if it covers none.
    pub next: Revision,
    /// Time for which the service has at least waited before the message, which is complete as of
    /// then; zero if it does not say.
    pub waited: Duration,
}

/// Stream of the messages of a watch. It ends after its first error.
pub type Batches = Pin<Box<dyn Stream<Item = Result<Batch, Error>>>>;

/// Open watch. Dropping it cancels the watch.
pub struct Watch {
    batches: Batches,
    next: Revision,
}

impl Watch {
    /// Creates a watch that starts at revision `from` from the stream of its messages.
    pub fn new(from: Revision, batches: Batches) -> Watch {
        Watch { batches, next: from }
    }

    /// Waits for the next changes. Every change is returned once, in order of the revisions.
    ///
    /// # Errors
    ///
    /// Any error ends the watch; open a new one at [`Watch::resume_revision`]. After
    /// [`Error::Compacted`] read the keys first.
    pub async fn next(&mut self) -> Result<Vec<Change>, Error> {
        loop {
            let batch = self.next_batch().await?;
            if !batch.changes.is_empty() {
                return Ok(batch.changes);
            }
        }
    }

    /// Waits for the next message, which may have no changes.
    ///
    /// # Errors
    ///
    /// Those of [`Watch::next`].
    pub async fn next_batch(&mut self) -> Result<Batch, Error> {
        let batch = self.batches.next().await;
        let closed = || Error::Unavailable("watch closed by the service".into());
        let batch = batch.ok_or_else(closed)??;
        self.check_order(&batch)?;
        self.next = self.next.max(batch.next);
        Ok(batch)
    }

    /// Returns the first revision whose changes the watch has not reported.
    pub fn resume_revision(&self) -> Revision {
        self.next
    }

    fn check_order(&self, batch: &Batch) -> Result<(), Error> {
        let mut revision_min = self.next;
        for (index, change) in batch.changes.iter().enumerate() {
            if change.revision() < revision_min {
                let place = format!("events[{index}].kv.mod_revision");
                let help = format!("revision {} after {revision_min}", change.revision());
                return Err(Error::invalid(place, help));
            }
            revision_min = change.revision();
        }
        Ok(())
    }
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch").field("next", &self.next).finish_non_exhaustive()
    }
}
