//! Jobs that clients have cancelled before they were submitted.
//!
//! The submission may still be under way: in a queue of an instance, or unread in the socket of one
//! that is suspended. An acknowledged cancellation has to hold for it, so the owner keeps the id and
//! refuses the submission. The log holds the id before the cancellation is acknowledged, so that the
//! next owner refuses the submission as well.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};

use super::Engine;
use crate::action::Ticket;
use crate::api::Answer;
use crate::event::Event;

/// Most jobs that are withdrawn at the same time.
pub const WITHDRAWALS_MAX: usize = 4_096;

/// Withdrawn jobs, by id and by age.
#[derive(Debug, Default)]
pub(super) struct Withdrawals {
    by_id: BTreeMap<id::Job, Withdrawal>,
    by_age: BTreeSet<(Instant, id::Job)>,
}

#[derive(Debug)]
struct Withdrawal {
    /// When the job was last cancelled, or read from the log.
    since: Instant,
    /// Log entry that holds the id; `None` before the first one.
    entry: Option<revision::Sequence>,
}

impl Withdrawals {
    pub(super) fn contains(&self, id: id::Job) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Returns the time until another job can be withdrawn; `None` if there is room for one.
    fn full_for(&self, retention: Duration, now: Instant) -> Option<Duration> {
        if self.by_id.len() < WITHDRAWALS_MAX {
            return None;
        }
        let (since, _) = self.by_age.first()?;
        Some(retention.saturating_sub(now.saturating_duration_since(*since)))
    }

    /// Adds a job, or renews its withdrawal.
    pub(super) fn insert(&mut self, id: id::Job, now: Instant) {
        let entry = self.remove(id);
        self.by_id.insert(id, Withdrawal { since: now, entry });
        self.by_age.insert((now, id));
    }

    /// Removes a job and returns the log entry that holds it.
    fn remove(&mut self, id: id::Job) -> Option<revision::Sequence> {
        let Withdrawal { since, entry } = self.by_id.remove(&id)?;
        self.by_age.remove(&(since, id));
        entry
    }

    /// Sets the log entry that holds a job, and returns the former one.
    fn record(&mut self, id: id::Job, entry: revision::Sequence) -> Option<revision::Sequence> {
        self.by_id.get_mut(&id)?.entry.replace(entry)
    }

    /// Returns the jobs that a log entry before `limit` holds.
    pub(super) fn recorded_before(
        &self,
        limit: revision::Sequence,
    ) -> impl Iterator<Item = id::Job> {
        let is_old = move |withdrawal: &Withdrawal| withdrawal.entry.is_some_and(|it| it < limit);
        self.by_id.iter().filter(move |(_, withdrawal)| is_old(withdrawal)).map(|(id, _)| *id)
    }

    /// Returns the time for which a job stays withdrawn; `None` if it isn't.
    fn remaining(&self, id: id::Job, retention: Duration, now: Instant) -> Option<Duration> {
        let since = self.by_id.get(&id)?.since;
        let remaining = retention.checked_sub(now.saturating_duration_since(since))?;
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns the job that was withdrawn longest ago, if that is at least `retention` ago.
    fn first_expired(&self, retention: Duration, now: Instant) -> Option<id::Job> {
        let &(since, id) = self.by_age.first()?;
        (now.saturating_duration_since(since) >= retention).then_some(id)
    }
}

impl Engine {
    /// Handles the cancellation of a job that is not known. Returns `None` if an answer follows once
    /// the withdrawal is stored.
    pub(super) fn withdraw(&mut self, ticket: Ticket, id: id::Job, now: Instant) -> Option<Answer> {
        self.expire_withdrawals(now);
        let is_new = !self.withdrawals.contains(id);
        if is_new && !self.store_available {
            return Some(Answer::Unavailable("the store takes no commits".into()));
        }
        if is_new && let Some(retry_after) = self.withdrawals.full_for(self.bounds.retention, now) {
            let reason = "too many unknown jobs were cancelled".into();
            return Some(Answer::Refused { retry_after, reason });
        }
        self.withdrawals.insert(id, now);
        if is_new {
            self.mark_dirty(id);
            self.emit(Event::Withdraw { job: id });
        }
        let is_stored = self.unstored_generation(id).is_none();
        self.answer_once_stored(ticket, is_stored, Answer::NoJob)
    }

    /// Notes that a log entry holds a withdrawn job.
    pub(super) fn withdrawal_recorded(&mut self, id: id::Job, sequence: revision::Sequence) {
        let old = self.withdrawals.record(id, sequence);
        self.log.release(old);
        self.log.retain(sequence);
    }

    /// Returns the refusal of a job that was cancelled before its submission; `None` for any other.
    pub(super) fn refuse_withdrawn(&self, id: id::Job, now: Instant) -> Option<Answer> {
        let retry_after = self.withdrawals.remaining(id, self.bounds.retention, now)?;
        let reason = "the job was cancelled before it was submitted".into();
        Some(Answer::Refused { retry_after, reason })
    }

    /// Forgets the jobs whose retention time has passed.
    pub(super) fn expire_withdrawals(&mut self, now: Instant) {
        let retention = self.bounds.retention;
        while let Some(id) = self.withdrawals.first_expired(retention, now) {
            self.forget_withdrawal(id);
        }
    }

    /// Forgets that a job was withdrawn.
    pub(super) fn forget_withdrawal(&mut self, id: id::Job) {
        let entry = self.withdrawals.remove(id);
        self.log.release(entry);
    }
}
