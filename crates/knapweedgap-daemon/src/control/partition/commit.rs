//! Writes to the log and the checkpoint of a partition.
//!
//! Every write compares the owner record with the revision of this ownership, so that the write
//! of a former owner fails whatever its clock says.

use std::rc::Rc;
use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_placement::engine::Engine;
use knapweedgap_placement::log::{Checkpoint, Entry, Record};
use knapweedgap_store::{Compare, Error, Outcome, Store, Txn, blob, key};

use super::super::context::{Context, sleep};
use super::super::{place, value};
use super::Owned;
use crate::metric;

/// Wait before a write is repeated or given up after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Deletions in one transaction; the service limits the operations of a transaction to 128.
const DELETES_MAX: usize = 100;

/// Result of one attempt to write an entry.
enum Written {
    Yes,
    /// The owner record or the entry was written by another owner.
    OwnerChanged,
    /// It is certain that the entry was not written.
    No(Error),
    Unknown(Error),
}

/// Commits an entry and tells the engine.
pub(super) async fn append(context: Rc<Context>, owned: Rc<Owned>, entry: Entry) {
    let mut uncertain = false;
    loop {
        match write(&context, &owned, &entry).await {
            Written::Yes => {
                confirm(&context, &owned, &entry);
                break;
            }
            Written::OwnerChanged => {
                log::warn!("[partition] {}: another owner wrote the log", owned.partition);
                context.members.poll_soon();
                break;
            }
            Written::No(error) if !uncertain => {
                log::debug!("[partition] {}: not committed: {error}", owned.partition);
                context.note_store(false);
                sleep(RETRY_INTERVAL).await;
                let now = context.now();
                owned.input(|engine| engine.commit_failed(entry.sequence, now));
                break;
            }
            Written::No(error) | Written::Unknown(error) => {
                // An earlier call may still be applied, so only a repetition of the same write
                // settles the entry.
                log::debug!("[partition] {}: commit unknown: {error}", owned.partition);
                uncertain = true;
                sleep(RETRY_INTERVAL).await;
            }
        }
        if owned.closed.get() {
            break;
        }
    }
    owned.writes.set(owned.writes.get().saturating_sub(1));
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

/// Returns the worker of the attempt that a record is about.
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
    owned.ask(assignment).flatten()
}

async fn write(context: &Context, owned: &Owned, entry: &Entry) -> Written {
    let key = place::log_entry(owned.partition, entry.sequence);
    let txn = Txn::new()
        .when(Compare::Modified(place::owner(owned.partition), owned.revision))
        .when(Compare::absent(key.clone()))
        .put(key.clone(), value::encode(entry));
    match context.store.commit(txn).await {
        Ok(Outcome::Succeeded(_)) => Written::Yes,
        Ok(Outcome::Failed) => read_back(context, key, entry).await,
        Err(error) if error.may_be_applied() => Written::Unknown(error),
        Err(error) => Written::No(error),
    }
}

/// Finds out whether the entry in place is the own one, written by a call whose answer was lost.
async fn read_back(context: &Context, key: knapweedgap_store::Key, entry: &Entry) -> Written {
    match context.store.range(key::Range::key(key)).await {
        Ok(page) => {
            let found = page.entries.first().and_then(|found| value::decode(&found.value).ok());
            if found.as_ref() == Some(entry) { Written::Yes } else { Written::OwnerChanged }
        }
        Err(error) => Written::Unknown(error),
    }
}

/// Stores a checkpoint and deletes the entries that it contains. A failure costs only space; the
/// next checkpoint makes up for it.
pub(super) async fn store(context: Rc<Context>, owned: Rc<Owned>, checkpoint: Box<Checkpoint>) {
    if let Err(error) = try_store(&context, &owned, &checkpoint).await {
        log::warn!("[partition] {}: checkpoint not stored: {error}", owned.partition);
    }
    owned.writes.set(owned.writes.get().saturating_sub(1));
}

async fn try_store(context: &Context, owned: &Owned, checkpoint: &Checkpoint) -> Result<(), Error> {
    let unchanged = Compare::Modified(place::owner(owned.partition), owned.revision);
    let key = place::checkpoint(owned.partition);
    let bytes = value::encode(checkpoint);
    if !blob::write(&context.store, &unchanged, &key, &bytes).await? {
        context.members.poll_soon();
        return Ok(());
    }
    let last = place::log_entry(owned.partition, checkpoint.sequence);
    loop {
        let page = context.store.range(place::log(owned.partition)).await?;
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
