//! Writes the log and the checkpoint of a partition.
//!
//! Every write is conditional on the owner record still having the revision of this ownership.
//! A write by a former owner therefore fails regardless of its clock.

use std::rc::Rc;
use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_placement::engine::Engine;
use knapweedgap_placement::log::{Checkpoint, Entry, Record};
use knapweedgap_store::{Compare, Error, Outcome, Store, Txn, blob, key};

use super::super::context::{Context, sleep};
use super::super::{keyspace, value};
use super::Owned;
use crate::metric;

/// Delay after a failed call before the write is repeated or abandoned.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum number of deletions per transaction. The key-value service limits a transaction to 128
/// operations.
const DELETES_MAX: usize = 100;

/// Result of one attempt to write a log entry.
enum Write {
    Committed,
    /// Another owner wrote the owner record or the entry.
    OwnerChanged,
    /// The entry was definitely not written by this call.
    Rejected(Error),
    /// The entry may have been written by this call.
    Unknown(Error),
}

/// Writes a log entry, repeats the write until its result is known, and reports it to the engine.
pub(super) async fn append(context: Rc<Context>, owned: Rc<Owned>, entry: Entry) {
    let mut earlier_unknown = false;
    loop {
        match write(&context, &owned, &entry).await {
            Write::Committed => {
                confirm(&context, &owned, &entry);
                break;
            }
            Write::OwnerChanged => {
                log::warn!(
                    "[partition] {}: log entry was written by another owner",
                    owned.partition
                );
                context.members.poll_soon();
                break;
            }
            Write::Rejected(error) if !earlier_unknown => {
                log::debug!("[partition] {}: entry not committed: {error}", owned.partition);
                context.set_store_reachable(false);
                sleep(RETRY_BACKOFF).await;
                let now = context.now();
                owned.input(|engine| engine.commit_failed(entry.sequence, now));
                break;
            }
            Write::Rejected(error) | Write::Unknown(error) => {
                // An earlier call may still be applied. Only repeating the same write shows
                // whether the entry is committed.
                log::debug!("[partition] {}: commit result unknown: {error}", owned.partition);
                earlier_unknown = true;
                sleep(RETRY_BACKOFF).await;
            }
        }
        if owned.closed.get() {
            break;
        }
    }
    owned.pending_writes.set(owned.pending_writes.get().saturating_sub(1));
}

fn confirm(context: &Context, owned: &Owned, entry: &Entry) {
    metrics::counter!(metric::COMMITS).increment(1);
    for record in &entry.records {
        let worker = worker(owned, record);
        context.journal.committed(owned.partition, record, worker.as_ref());
    }
    let now = context.now();
    owned.input(|engine| engine.committed(entry.sequence, now));
}

/// Returns the worker that runs the attempt named in the record.
fn worker(owned: &Owned, record: &Record) -> Option<id::Worker> {
    let task = match record {
        Record::TaskStarted { task, .. }
        | Record::TaskStopping { task, .. }
        | Record::AttemptEnded { task, .. }
        | Record::TaskFinished { task, .. } => task,
        _ => return None,
    };
    let assignment =
        |engine: &mut Engine| Some(engine.state().task(task)?.assignment()?.worker.clone());
    owned.query(assignment).flatten()
}

async fn write(context: &Context, owned: &Owned, entry: &Entry) -> Write {
    let key = keyspace::log_entry(owned.partition, entry.sequence);
    let txn = Txn::new()
        .when(Compare::Modified(keyspace::owner(owned.partition), owned.revision))
        .when(Compare::absent(key.clone()))
        .put(key.clone(), value::encode(entry));
    match context.store.commit(txn).await {
        Ok(Outcome::Succeeded(_)) => Write::Committed,
        Ok(Outcome::Failed) => read_back(context, key, entry).await,
        Err(error) if error.may_be_applied() => Write::Unknown(error),
        Err(error) => Write::Rejected(error),
    }
}

/// Reads the entry to determine whether it was written by an earlier call whose answer was lost.
async fn read_back(context: &Context, key: knapweedgap_store::Key, entry: &Entry) -> Write {
    match context.store.range(key::Range::key(key)).await {
        Ok(page) => {
            let found = page.entries.first().and_then(|found| value::decode(&found.value).ok());
            if found.as_ref() == Some(entry) { Write::Committed } else { Write::OwnerChanged }
        }
        Err(error) => Write::Unknown(error),
    }
}

/// Stores a checkpoint and deletes the log entries that it covers. After a failure the entries
/// remain and use storage until the next checkpoint deletes them.
pub(super) async fn store_checkpoint(
    context: Rc<Context>,
    owned: Rc<Owned>,
    checkpoint: Box<Checkpoint>,
) {
    if let Err(error) = try_store_checkpoint(&context, &owned, &checkpoint).await {
        log::warn!("[partition] {}: checkpoint not stored: {error}", owned.partition);
    }
    owned.pending_writes.set(owned.pending_writes.get().saturating_sub(1));
}

async fn try_store_checkpoint(
    context: &Context,
    owned: &Owned,
    checkpoint: &Checkpoint,
) -> Result<(), Error> {
    let unchanged = Compare::Modified(keyspace::owner(owned.partition), owned.revision);
    let key = keyspace::checkpoint(owned.partition);
    let bytes = value::encode(checkpoint);
    if !blob::write(&context.store, &unchanged, &key, &bytes).await? {
        context.members.poll_soon();
        return Ok(());
    }
    let last = keyspace::log_entry(owned.partition, checkpoint.sequence);
    loop {
        let page = context.store.range(keyspace::log(owned.partition)).await?;
        let contained = page.entries.iter().map(|entry| &entry.key).filter(|key| **key <= last);
        let contained: Vec<_> = contained.take(DELETES_MAX).cloned().collect();
        if contained.is_empty() {
            return Ok(());
        }
        let mut txn = Txn::new().when(unchanged.clone());
        for key in contained {
            txn = txn.delete(key);
        }
        if context.store.commit(txn).await? == Outcome::Failed {
            return Ok(());
        }
    }
}
