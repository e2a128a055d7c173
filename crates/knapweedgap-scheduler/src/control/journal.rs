//! Commits of the owner: batches of the log, and heartbeats when nothing changes.
//!
//! At most one commit is in flight. Each commit is conditional on the revisions of the owner record
//! and of the sequence record, and rewrites the latter. A commit without a response is repeated
//! unchanged: the first copy that reaches the store takes effect, and the others fail on the
//! sequence record.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_core::{revision, size};
use knapweedgap_membership::steadiness::{Commit, UNKNOWN_FLEET_TIMEOUT};
use knapweedgap_store::{Error, Outcome, Store, Txn, key};
use knapweedgap_workload::engine::Batch;
use knapweedgap_workload::round_trip::Estimator;
use smol_str::format_smolstr;

use super::cost::Part;
use super::election::{Claimed, commit_timeout, unchanged};
use super::term::Term;
use super::{Node, keys, orders};
use crate::metric;
use crate::peer::Platform;

/// Shortest time between the starts of two commits. It limits the calls to 40 a second, a tenth of
/// the store's capacity, and groups the changes made meanwhile.
const COMMIT_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time between two commits. Without changes, an empty commit shows that the owner is
/// alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Pause before a failed commit is repeated.
const COMMIT_BACKOFF: Duration = Duration::from_millis(60);

/// Shortest timeout of one attempt at a call to the store, which answers in 4 ms. With the 900 ms of
/// other calls, a few lost answers in a row stop all commits for longer than clients wait.
const ATTEMPT_TIMEOUT_MIN: Duration = Duration::from_millis(120);
/// Time without an answer after which the store counts as unreachable. New jobs are refused while it
/// does, so a single lost answer must not suffice.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(900);

/// Lower limit on the size of values that a refusal leads to. It holds the records of a job of a few
/// tasks.
const VALUE_MAX_MIN: size::Bytes = size::Bytes::new(16 << 10);

/// Commits batches and heartbeats until the ownership is lost.
pub(super) async fn run<P>(node: Rc<Node<P>>, term: Rc<Term>, claimed: Claimed)
where
    P: Platform,
{
    let Claimed { sequence, commit_timeout, .. } = claimed;
    let round_trips = Estimator::with_min(ATTEMPT_TIMEOUT_MIN);
    let mut journal = Journal { node, term, sequence, commit_timeout, commits: 0, round_trips };
    let mut last = journal.node.now();
    loop {
        let seen = journal.term.commit_requested.count();
        let age = journal.node.now().saturating_duration_since(last);
        let is_due = journal.has_batch() || journal.states_too_short(journal.node.now());
        if !is_due && age < HEARTBEAT_INTERVAL {
            journal.term.commit_requested.wait(seen, HEARTBEAT_INTERVAL - age).await;
            continue;
        }
        if age < COMMIT_INTERVAL {
            Timer::after(COMMIT_INTERVAL - age).await;
        }
        last = journal.node.now();
        let batch = journal.take_batch(last);
        if let Err(reason) = journal.commit(batch.as_ref()).await {
            return journal.term.end(reason);
        }
        if let Some(batch) = batch {
            let now = journal.node.now();
            journal.node.meter.measure(Part::Commits, || {
                journal.term.with_engine(|engine| engine.committed(&batch, now));
            });
            orders::execute_actions(&journal.node, &journal.term);
            journal.term.stored.notify();
        }
    }
}

struct Journal<P> {
    node: Rc<Node<P>>,
    term: Rc<Term>,
    /// Revision of the sequence record.
    sequence: revision::Revision,
    /// Time without a commit after which others may replace this owner; stored by each commit.
    commit_timeout: Duration,
    commits: u64,
    /// Round trips of answered commits.
    round_trips: Estimator,
}

/// State of the records after a commit failed on a condition.
enum Resolution {
    /// An earlier copy of the commit took effect at this revision.
    Committed(revision::Revision),
    /// The records are unchanged; the commit can be repeated.
    Unchanged,
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
        let meter = &self.node.meter;
        meter.measure(Part::Tick, || self.term.with_engine(|engine| engine.tick(now, wall_ms)));
        meter.measure(Part::Commits, || self.term.with_engine(|engine| engine.take_batch(now)))?
    }

    /// Returns the commit timeout to state with a commit that is sent at `now`.
    fn timeout(&self, now: Instant) -> Duration {
        let workers = self.term.with_engine(|engine| engine.worker_count()).unwrap_or_default();
        if workers == 0 {
            // The previous owner may have stated the short time.
            return self.commit_timeout.max(UNKNOWN_FLEET_TIMEOUT);
        }
        self.term.steadiness.borrow().timeout(commit_timeout(workers), now)
    }

    /// Returns `true` if the last commit states a shorter time than the owner needs now.
    fn states_too_short(&self, now: Instant) -> bool {
        self.timeout(now) > self.commit_timeout
    }

    /// Stores a batch, or a heartbeat if `batch` is `None`, with retries until it succeeds.
    ///
    /// # Errors
    ///
    /// The reason why the term ends: the ownership is lost, or the store refuses the content.
    async fn commit(&mut self, batch: Option<&Batch>) -> Result<(), &'static str> {
        self.commits += 1;
        let tag = format!("{} {} {}", self.term.epoch, self.node.incarnation, self.commits);
        let started = self.node.now();
        self.state_timeout(started);
        let leases = Some(self.term.lease_times(started));
        let commit_timeout = self.commit_timeout;
        let value = keys::Sequence { commit_timeout, leases, tag }.to_string();
        let txn = self.transaction(batch, &value);
        let transfer = self.transfer_time(batch);
        let mut failures = 0u32;
        loop {
            let sent = self.node.now();
            let timeout = self.round_trips.retry_timeout(failures) + transfer;
            let commit = self.node.platform.store().commit(txn.clone());
            let result = commit.or(unanswered(timeout)).await;
            if result.is_ok() {
                self.round_trips.record(self.node.now().saturating_duration_since(sent));
            }
            let committed = match result {
                Ok(Outcome::Succeeded(revision)) => Some((revision, sent)),
                Ok(Outcome::Failed) => match self.resolve(&value, failures).await {
                    // Any of the earlier copies may have taken effect, also the first one.
                    Some(Resolution::Committed(revision)) => Some((revision, started)),
                    Some(Resolution::Lost) => return Err("ownership lost"),
                    Some(Resolution::Unchanged) | None => None,
                },
                Err(error) if error.is_content_refused() => {
                    self.lower_value_max(batch, &error);
                    return Err("the store refuses the content of a commit");
                }
                Err(error) => {
                    if failures == 0 {
                        log::warn!("[store] commit={} outcome=failed reason={error}", self.commits);
                    }
                    let elapsed = self.node.now().saturating_duration_since(started);
                    if !matches!(error, Error::Unknown(_)) || elapsed >= UNREACHABLE_TIMEOUT {
                        self.term.store_reachable.set(false);
                    }
                    None
                }
            };
            if let Some((revision, sent)) = committed {
                self.sequence = revision;
                // A successor counts the grace of this owner from its first read of this commit.
                self.term.confirm(sent);
                self.record_commit(batch, started, sent, failures);
                return Ok(());
            }
            failures += 1;
            Timer::after(COMMIT_BACKOFF).await;
        }
    }

    /// Sets the commit timeout that the next commit stores.
    fn state_timeout(&mut self, now: Instant) {
        let (stated, timeout) = (self.commit_timeout, self.timeout(now));
        if stated == timeout {
            return;
        }
        self.commit_timeout = timeout;
        metrics::gauge!(metric::COMMIT_TIMEOUT).set(timeout.as_secs_f64());
        let kind = if timeout < stated { "shorten" } else { "lengthen" };
        let line = format!(
            "[term] epoch={} decision={kind}_commit_timeout from_ms={} to_ms={} steady={}",
            self.term.epoch,
            stated.as_millis(),
            timeout.as_millis(),
            self.term.steadiness.borrow().is_steady(now)
        );
        if self.node.limiter.admit(kind, &line, now) {
            log::info!("{line}");
        }
    }

    /// Makes the next term write smaller values than the one that the store has refused. The term
    /// ends, because no effect of the refused batch may be released.
    fn lower_value_max(&self, batch: Option<&Batch>, error: &Error) {
        let bytes = size::Bytes::new(batch.map_or(0, |batch| batch.value.len()) as u64);
        let mut lowered = self.node.value_max.get();
        if bytes > VALUE_MAX_MIN {
            lowered = lowered.min(size::Bytes::new(bytes.get() / 2).max(VALUE_MAX_MIN));
        }
        self.node.value_max.set(lowered);
        let commit = self.commits;
        log::error!(
            "[store] commit={commit} outcome=refused bytes={bytes} next_max={lowered} reason={error}"
        );
    }

    /// Records a successful commit in the term, the log and the metrics. It confirms the ownership as
    /// of `sent`.
    fn record_commit(&self, batch: Option<&Batch>, started: Instant, sent: Instant, failures: u32) {
        let now = self.node.now();
        let elapsed = now.saturating_duration_since(started);
        if failures > 0 {
            let commit = self.commits;
            log::info!(
                "[store] commit={commit} outcome=stored took_ms={} confirmed_age_ms={}",
                elapsed.as_millis(),
                now.saturating_duration_since(sent).as_millis()
            );
        }
        self.term.store_reachable.set(true);
        let completed = Commit { sent_at: started, answered_at: now };
        self.term.steadiness.borrow_mut().record_commit(completed);
        metrics::histogram!(metric::COMMIT_SECONDS).record(elapsed.as_secs_f64());
        metrics::counter!(metric::COMMITS).increment(1);
        let bytes = batch.map_or(0, |batch| batch.value.len());
        metrics::counter!(metric::COMMIT_BYTES).increment(bytes as u64);
    }

    /// Returns twice the time that the value of a batch takes on the link of this instance, which
    /// carries other traffic as well.
    fn transfer_time(&self, batch: Option<&Batch>) -> Duration {
        let bits = batch.map_or(0, |batch| batch.value.len()) as f64 * 8.0;
        Duration::from_secs_f64(2.0 * bits / (self.node.settings.link.get().max(1) as f64))
    }

    fn transaction(&self, batch: Option<&Batch>, value: &str) -> Txn {
        let mut txn = Txn::new()
            .when(unchanged(keys::OWNER, self.term.owner))
            .when(unchanged(keys::SEQUENCE, self.sequence))
            .put(keys::key(keys::SEQUENCE), value);
        let Some(batch) = batch else { return txn };
        if !batch.value.is_empty() {
            txn = txn.put(keys::log(batch.sequence), batch.value.clone());
        }
        for &entry in &batch.deletes {
            txn = txn.delete(keys::log(entry));
        }
        txn
    }

    /// Reads the records to find out why a condition of a commit failed. `value` is what the commit
    /// writes to the sequence record, and `failures` the number of failed attempts at it. Returns
    /// `None` if the read fails.
    async fn resolve(&self, value: &str, failures: u32) -> Option<Resolution> {
        let range = key::Range::prefix(keys::key(keys::LEAD));
        let read = self.node.platform.store().range(range);
        let timeout = self.round_trips.retry_timeout(failures);
        let page = match read.or(unanswered(timeout)).await {
            Ok(page) => page,
            Err(error) => {
                log::info!("[store] reading the owner record failed: {error}");
                return None;
            }
        };
        let mut resolution = Resolution::Unchanged;
        for entry in page.entries {
            let revision = entry.mod_revision;
            match entry.key.as_str() {
                keys::OWNER if revision != self.term.owner => return Some(Resolution::Lost),
                keys::SEQUENCE if entry.value == value.as_bytes() => {
                    resolution = Resolution::Committed(revision);
                }
                keys::SEQUENCE if revision != self.sequence => return Some(Resolution::Lost),
                _ => {}
            }
        }
        Some(resolution)
    }
}

/// Fails after `timeout`, as a call without an answer does. The call may take effect nevertheless.
async fn unanswered<Value>(timeout: Duration) -> Result<Value, Error> {
    Timer::after(timeout).await;
    Err(Error::Unknown(format_smolstr!("no answer within {} ms", timeout.as_millis())))
}
