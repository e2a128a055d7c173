//! Commits of the owner: batches of the log, and a beat when nothing changes.
//!
//! One commit is on its way at a time. Each depends on the revision of the owner record and on
//! that of the sequence record, which it rewrites. A commit without an answer is repeated as it
//! is: whichever copy comes first takes effect, and the others fail on the sequence record.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use knapweedgap_core::revision;
use knapweedgap_store::{Outcome, Store, Txn, key};
use knapweedgap_workload::engine::Batch;

use super::election::{Claimed, allowance, sequence_value, unchanged};
use super::term::Term;
use super::{Node, keys, orders};
use crate::metric;
use crate::peer::Platform;

/// Shortest time between the starts of two commits. It bounds the calls to 40 a second, a tenth
/// of what the store takes, and gathers what changes meanwhile.
const COMMIT_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time between two commits, so that others see that the owner lives.
const BEAT: Duration = Duration::from_millis(300);
/// Pause before a commit is repeated.
const RETRY: Duration = Duration::from_millis(60);

/// Commits until the ownership is lost.
pub(super) async fn run<P>(node: Rc<Node<P>>, term: Rc<Term>, claimed: Claimed)
where
    P: Platform,
{
    let Claimed { sequence, allowance, .. } = claimed;
    let mut journal = Journal { node, term, sequence, allowance, commits: 0 };
    let mut last = journal.node.now();
    loop {
        let seen = journal.term.work.count();
        let age = journal.node.now().saturating_duration_since(last);
        if !journal.has_batch() && age < BEAT {
            journal.term.work.after(seen, BEAT - age).await;
            continue;
        }
        if age < COMMIT_INTERVAL {
            Timer::after(COMMIT_INTERVAL - age).await;
        }
        last = journal.node.now();
        let batch = journal.take_batch(last);
        if !journal.commit(batch.as_ref()).await {
            return journal.term.end("the ownership is lost");
        }
        if let Some(batch) = batch {
            let now = journal.node.now();
            journal.term.with_engine(|engine| engine.committed(&batch, now));
            orders::carry_out(&journal.node, &journal.term);
            journal.term.stored.notify();
        }
    }
}

struct Journal<P> {
    node: Rc<Node<P>>,
    term: Rc<Term>,
    /// Revision of the sequence record.
    sequence: revision::Revision,
    /// Time without a commit that others are told to allow.
    allowance: Duration,
    commits: u64,
}

/// What the records say after a commit failed on a condition.
enum Settled {
    /// An earlier copy of the commit took effect at this revision.
    Done(revision::Revision),
    /// Nothing has changed; the commit may be repeated.
    Open,
    /// Another instance owns the workload.
    Lost,
}

impl<P> Journal<P>
where
    P: Platform,
{
    fn has_batch(&self) -> bool {
        self.term.with_engine(|engine| engine.has_batch()).unwrap_or(false)
    }

    fn take_batch(&self, now: Instant) -> Option<Batch> {
        let wall_ms = self.node.wall_ms();
        self.term.with_engine(|engine| {
            engine.tick(now, wall_ms);
            engine.take_batch(now)
        })?
    }

    /// Stores a batch, or only a beat; false when the ownership is lost.
    async fn commit(&mut self, batch: Option<&Batch>) -> bool {
        self.commits += 1;
        let workers = self.term.with_engine(|engine| engine.worker_count()).unwrap_or_default();
        // Until the fleet is known, the allowance of the owner before holds on.
        if workers > 0 {
            self.allowance = allowance(workers);
        }
        let mark = format!("{} {} {}", self.term.epoch, self.node.incarnation, self.commits);
        let mark = sequence_value(self.allowance, &mark);
        let txn = self.transaction(batch, &mark);
        let begun = self.node.now();
        let mut failures = 0u32;
        loop {
            let sent = self.node.now();
            let result = self.node.platform.store().commit(txn.clone()).await;
            let revision = match result {
                Ok(Outcome::Succeeded(revision)) => Some(revision),
                Ok(Outcome::Failed) => match self.settle(&mark).await {
                    Some(Settled::Done(revision)) => Some(revision),
                    Some(Settled::Lost) => return false,
                    Some(Settled::Open) | None => None,
                },
                Err(error) => {
                    if failures == 0 {
                        log::warn!("[store] commit={} outcome=failed reason={error}", self.commits);
                    }
                    None
                }
            };
            if let Some(revision) = revision {
                self.sequence = revision;
                self.term.validated.set(sent);
                self.confirmed(batch, begun, failures);
                return true;
            }
            failures += 1;
            self.term.store_answers.set(false);
            Timer::after(RETRY).await;
        }
    }

    fn confirmed(&self, batch: Option<&Batch>, begun: Instant, failures: u32) {
        let took = self.node.now().saturating_duration_since(begun);
        if failures > 0 {
            let commit = self.commits;
            log::info!("[store] commit={commit} outcome=stored took_ms={}", took.as_millis());
        }
        self.term.store_answers.set(true);
        metrics::histogram!(metric::COMMIT_SECONDS).record(took.as_secs_f64());
        metrics::counter!(metric::COMMITS).increment(1);
        let bytes = batch.map_or(0, |batch| batch.value.len());
        metrics::counter!(metric::COMMIT_BYTES).increment(bytes as u64);
    }

    fn transaction(&self, batch: Option<&Batch>, mark: &str) -> Txn {
        let mut txn = Txn::new()
            .when(unchanged(keys::OWNER, self.term.owner))
            .when(unchanged(keys::SEQUENCE, self.sequence))
            .put(keys::key(keys::SEQUENCE), mark);
        let Some(batch) = batch else { return txn };
        if !batch.value.is_empty() {
            txn = txn.put(keys::log(batch.sequence), batch.value.clone());
        }
        for &entry in &batch.deletes {
            txn = txn.delete(keys::log(entry));
        }
        txn
    }

    /// Finds out why a condition of a commit did not hold.
    async fn settle(&self, mark: &str) -> Option<Settled> {
        let range = key::Range::prefix(keys::key(keys::LEAD));
        let page = match self.node.platform.store().range(range).await {
            Ok(page) => page,
            Err(error) => {
                log::info!("[store] the owner record can't be read: {error}");
                return None;
            }
        };
        let mut settled = Settled::Open;
        for entry in page.entries {
            let revision = entry.mod_revision;
            match entry.key.as_str() {
                keys::OWNER if revision != self.term.owner => return Some(Settled::Lost),
                keys::SEQUENCE if entry.value == mark.as_bytes() => {
                    settled = Settled::Done(revision);
                }
                keys::SEQUENCE if revision != self.sequence => return Some(Settled::Lost),
                _ => {}
            }
        }
        Some(settled)
    }
}
