//! State of a worker, driven by messages and the worker's clock. It performs no I/O.

use std::collections::BTreeMap;

use knapweedgap_core::{id, rate, revision, size};
use knapweedgap_worker::wire;
use smol_str::{SmolStr, format_smolstr};

use super::attempt::{Any, Attempt, Outcome, Running};
use super::event::{Event, Kind};
use super::settings::Settings;

/// Lease and epoch of a partition, as received by the worker.
#[derive(Debug, Clone, Copy, Default)]
struct Lease {
    /// Highest epoch received.
    epoch: revision::Epoch,
    /// End of the lease by the worker's clock, in microseconds.
    until_us: u64,
}

/// State of one incarnation of a worker.
///
/// All times are in microseconds of the worker's clock and must not decrease from call to call.
#[derive(Debug)]
pub struct State {
    settings: Settings,
    incarnation: id::Incarnation,
    leases: BTreeMap<id::Partition, Lease>,
    attempts: BTreeMap<(id::Task, id::Attempt), Any>,
    /// Highest attempt of each task that was started or stopped here. It is kept after the attempt
    /// is forgotten, so that a delayed start can't run the attempt again.
    highest: BTreeMap<id::Task, id::Attempt>,
    committed: size::Resources,
    events: Vec<Event>,
}

impl State {
    /// Creates a worker without tasks.
    pub fn new(settings: Settings, incarnation: id::Incarnation) -> State {
        State {
            settings,
            incarnation,
            leases: BTreeMap::new(),
            attempts: BTreeMap::new(),
            highest: BTreeMap::new(),
            committed: size::Resources::default(),
            events: Vec::new(),
        }
    }

    /// Returns the incarnation of the worker's process.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Returns the sum of the declared sizes of all running attempts.
    pub fn committed(&self) -> size::Resources {
        self.committed
    }

    /// Returns and clears the events since the last call, oldest first.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the clock of the next event that occurs without a message, in microseconds, or
    /// `None` if no attempt is running.
    pub fn next_event_us(&self) -> Option<u64> {
        let mut next = None;
        for any in self.attempts.values() {
            let Any::Running(attempt) = any else { continue };
            let lease_us = self.lease_end_us(attempt);
            let due_us = attempt.state.checkpoint_due_us.unwrap_or(u64::MAX);
            let at_us = attempt.outcome_time_us().min(lease_us).min(due_us);
            next = Some(next.map_or(at_us, |next: u64| next.min(at_us)));
        }
        next
    }

    /// Ends the attempts whose lease or work has ended, and writes due checkpoints.
    ///
    /// Lease expiry takes precedence over completion: if the process was paused beyond the end of
    /// the lease, the attempt does not count as completed.
    pub fn advance(&mut self, now_us: u64) {
        let keys: Vec<_> = self.attempts.keys().copied().collect();
        for key in keys {
            let Some(Any::Running(attempt)) = self.attempts.get(&key) else { continue };
            let lease_us = self.lease_end_us(attempt);
            if lease_us <= now_us {
                self.end(key, Kind::LeaseExpiry, lease_us);
                continue;
            }
            if attempt.outcome_time_us() <= now_us {
                let kind = match attempt.outcome() {
                    Outcome::Succeed => Kind::Complete,
                    Outcome::Fail => Kind::Fail,
                    Outcome::OverMemory => Kind::OverMemory,
                };
                self.end(key, kind, now_us);
                continue;
            }
            if attempt.state.checkpoint_due_us.is_some_and(|due_us| due_us <= now_us) {
                self.write_checkpoint(key, now_us);
            }
        }
    }

    /// Handles a heartbeat: renews the lease, publishes or discards results, and returns the report
    /// of the partition's attempts.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the epoch is stale.
    pub fn heartbeat(
        &mut self,
        message: &wire::Heartbeat,
        now_us: u64,
    ) -> Result<wire::Report, wire::Refusal> {
        self.advance(now_us);
        self.check_epoch(message.partition, message.epoch)?;
        let lease = self.leases.entry(message.partition).or_default();
        // A base in the future was read from the clock of an earlier incarnation.
        if let Some(grant) = message.grant.filter(|grant| grant.based_on_us <= now_us) {
            let lease_us = grant.lease_ms.saturating_mul(1000);
            lease.until_us = lease.until_us.max(grant.based_on_us.saturating_add(lease_us));
        }
        for run in &message.publish {
            self.finalize(run, Kind::Publish, now_us);
        }
        for run in &message.forget {
            self.finalize(run, Kind::Discard, now_us);
        }
        Ok(self.report(message.partition, now_us))
    }

    /// Publishes or discards the result of an ended attempt, then forgets the attempt.
    fn finalize(&mut self, run: &wire::Run, kind: Kind, now_us: u64) {
        let key = (run.task, run.attempt);
        let Some(Any::Ended(attempt)) = self.attempts.get(&key) else { return };
        if attempt.is_succeeded() {
            let (share, progress_us) = (rate::Share::FULL, attempt.state.progress_us);
            let event = self.event(attempt, kind, share, progress_us, now_us);
            self.events.push(event);
        }
        self.attempts.remove(&key);
    }

    /// Handles a start command.
    ///
    /// The command itself grants a lease until it expires, because the owner accounts for that
    /// time and the first grant may arrive later.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the command is rejected; nothing was started then.
    pub fn start(&mut self, message: &wire::Start, now_us: u64) -> Answer {
        self.advance(now_us);
        let head = &message.head;
        self.check_head(head)?;
        let key = (head.task, head.attempt);
        match self.attempts.get(&key) {
            Some(Any::Running(_)) => return self.accept(),
            Some(Any::Ended(ended)) if !ended.is_stopped() => return self.accept(),
            _ => {}
        }
        if self.highest.get(&head.task).is_some_and(|highest| *highest >= head.attempt) {
            let detail = "this or a later attempt was started or stopped before";
            return Err(self.refusal(wire::Reason::Superseded, head.partition, detail));
        }
        if message.expires_us <= now_us {
            let detail = format_smolstr!("expired at {}, now {now_us}", message.expires_us);
            return Err(self.refusal(wire::Reason::Expired, head.partition, detail));
        }
        let attempt = self.build_attempt(message, now_us)?;
        self.end_earlier(head.task, now_us);
        self.highest.insert(head.task, head.attempt);
        self.committed += message.size;
        self.attempts.insert(key, Any::Running(attempt));
        self.record_event(key, Kind::Start, now_us);
        self.accept()
    }

    /// Handles a stop command.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the command is rejected; nothing was stopped then.
    pub fn stop(&mut self, message: &wire::Stop, now_us: u64) -> Answer {
        self.advance(now_us);
        let head = &message.head;
        self.check_head(head)?;
        let key = (head.task, head.attempt);
        if matches!(self.attempts.get(&key), Some(Any::Running(_))) {
            if message.checkpoint {
                self.write_checkpoint(key, now_us);
            }
            self.end(key, Kind::Stop, now_us);
            return self.accept();
        }
        // An attempt that was started here and forgotten is not added again.
        let highest = self.highest.entry(head.task).or_default();
        if *highest < head.attempt {
            *highest = head.attempt;
            self.attempts.insert(key, Any::Ended(Attempt::never_started(head, now_us)));
        }
        self.accept()
    }

    /// Handles a checkpoint command.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the command is rejected; no checkpoint was written then.
    pub fn checkpoint(&mut self, message: &wire::Checkpoint, now_us: u64) -> Answer {
        self.advance(now_us);
        self.check_running(&message.head)?;
        self.write_checkpoint((message.head.task, message.head.attempt), now_us);
        self.accept()
    }

    /// Handles a throttle command, which sets the processor share.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the command is rejected; the share was not changed then.
    pub fn throttle(&mut self, message: &wire::Throttle, now_us: u64) -> Answer {
        self.advance(now_us);
        self.check_running(&message.head)?;
        let key = (message.head.task, message.head.attempt);
        let Some(Any::Running(attempt)) = self.attempts.get_mut(&key) else { return self.accept() };
        if attempt.share() != message.share {
            attempt.throttle(message.share, now_us);
            self.record_event(key, Kind::Throttle, now_us);
        }
        self.accept()
    }

    /// Creates a refusal with the highest epoch received for the partition.
    pub fn refusal(
        &self,
        reason: wire::Reason,
        partition: id::Partition,
        detail: impl Into<SmolStr>,
    ) -> wire::Refusal {
        let epoch = self.epoch(partition);
        wire::Refusal { reason, epoch, incarnation: self.incarnation, detail: detail.into() }
    }

    fn build_attempt(
        &self,
        message: &wire::Start,
        now_us: u64,
    ) -> Result<Attempt<Running>, wire::Refusal> {
        let invalid =
            |detail: SmolStr| self.refusal(wire::Reason::Invalid, message.head.partition, detail);
        let behaviour = self.settings.behaviour.with_overrides(&message.payload);
        let behaviour = behaviour.map_err(|error| {
            let detail = format_smolstr!("payload: {error}");
            invalid(shorten(&detail))
        })?;
        let draw = self.draw(&message.head);
        let attempt = Attempt::start(message, &behaviour, draw, now_us);
        let mut attempt =
            attempt.ok_or_else(|| invalid("checkpoint: unknown name format".into()))?;
        attempt.state.checkpoint_due_us = self.checkpoint_due(now_us);
        Ok(attempt)
    }

    /// Returns a pseudo-random number from 0 to 1 that depends only on the seed and the attempt,
    /// not on the order of messages.
    fn draw(&self, head: &wire::Head) -> f64 {
        let text = format_smolstr!("{}/{}/{}", self.settings.seed, head.task, head.attempt);
        let seed = rapidhash::v3::rapidhash_v3(text.as_bytes());
        fastrand::Rng::with_seed(seed).f64()
    }

    /// Ends running attempts of a task before a later attempt starts.
    fn end_earlier(&mut self, task: id::Task, now_us: u64) {
        let first = (task, id::Attempt::new(0));
        let last = (task, id::Attempt::new(u32::MAX));
        let keys: Vec<_> = self.attempts.range(first..=last).map(|(key, _)| *key).collect();
        for key in keys {
            if matches!(self.attempts.get(&key), Some(Any::Running(_))) {
                self.end(key, Kind::Superseded, now_us);
            }
        }
    }

    fn end(&mut self, key: (id::Task, id::Attempt), kind: Kind, now_us: u64) {
        let Some(Any::Running(attempt)) = self.attempts.get(&key) else { return };
        self.committed -= attempt.size;
        self.record_event(key, kind, now_us);
        let Some(Any::Running(attempt)) = self.attempts.remove(&key) else { return };
        let state = match kind {
            Kind::Complete => wire::State::Succeeded,
            Kind::Fail => wire::State::Failed,
            Kind::OverMemory => wire::State::OverMemory,
            _ => wire::State::Stopped,
        };
        self.attempts.insert(key, Any::Ended(attempt.end(state, now_us)));
    }

    fn write_checkpoint(&mut self, key: (id::Task, id::Attempt), now_us: u64) {
        let due_us = self.checkpoint_due(now_us);
        let Some(Any::Running(attempt)) = self.attempts.get_mut(&key) else { return };
        attempt.write_checkpoint(now_us);
        attempt.state.checkpoint_due_us = due_us;
        self.record_event(key, Kind::Checkpoint, now_us);
    }

    fn checkpoint_due(&self, now_us: u64) -> Option<u64> {
        let interval = self.settings.checkpoint_interval?;
        let interval_us = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
        Some(now_us.saturating_add(interval_us.max(1)))
    }

    /// Appends an event of a running attempt.
    fn record_event(&mut self, key: (id::Task, id::Attempt), kind: Kind, clock_us: u64) {
        let Some(Any::Running(attempt)) = self.attempts.get(&key) else { return };
        let (share, progress_us) = (attempt.share(), attempt.progress_us(clock_us));
        let event = self.event(attempt, kind, share, progress_us, clock_us);
        self.events.push(event);
    }

    fn event<Phase>(
        &self,
        attempt: &Attempt<Phase>,
        kind: Kind,
        share: rate::Share,
        progress_us: u64,
        clock_us: u64,
    ) -> Event {
        Event {
            event: kind,
            clock_us,
            task: attempt.run.task,
            attempt: attempt.run.attempt,
            partition: attempt.partition,
            epoch: self.epoch(attempt.partition),
            size: attempt.size,
            committed: self.committed,
            capacity: self.settings.capacity,
            share,
            progress_us,
            checkpoint: attempt.checkpoint.clone(),
        }
    }

    fn report(&mut self, partition: id::Partition, now_us: u64) -> wire::Report {
        let lag_us = u64::try_from(self.settings.usage_lag.as_micros()).unwrap_or(u64::MAX);
        let mut tasks = Vec::new();
        for any in self.attempts.values_mut() {
            if any.partition() != partition {
                continue;
            }
            tasks.push(match any {
                Any::Running(attempt) => attempt.report(now_us, lag_us),
                Any::Ended(attempt) => attempt.report(),
            });
        }
        wire::Report {
            worker: self.settings.worker.clone(),
            incarnation: self.incarnation,
            clock_us: now_us,
            epoch: self.epoch(partition),
            capacity: self.settings.capacity,
            tasks,
        }
    }

    fn lease_end_us(&self, attempt: &Attempt<Running>) -> u64 {
        let lease = self.leases.get(&attempt.partition).copied().unwrap_or_default();
        attempt.lease_end_us(lease.until_us)
    }

    fn epoch(&self, partition: id::Partition) -> revision::Epoch {
        self.leases.get(&partition).copied().unwrap_or_default().epoch
    }

    fn check_epoch(
        &mut self,
        partition: id::Partition,
        epoch: revision::Epoch,
    ) -> Result<(), wire::Refusal> {
        let seen = self.epoch(partition);
        if epoch < seen {
            let detail = format_smolstr!("epoch {epoch} is below {seen}");
            return Err(self.refusal(wire::Reason::StaleEpoch, partition, detail));
        }
        self.leases.entry(partition).or_default().epoch = epoch;
        Ok(())
    }

    fn check_head(&mut self, head: &wire::Head) -> Result<(), wire::Refusal> {
        self.check_epoch(head.partition, head.epoch)?;
        if head.incarnation != self.incarnation {
            let detail = format_smolstr!("this is incarnation {}", self.incarnation);
            return Err(self.refusal(wire::Reason::OtherIncarnation, head.partition, detail));
        }
        Ok(())
    }

    fn check_running(&mut self, head: &wire::Head) -> Result<(), wire::Refusal> {
        self.check_head(head)?;
        if matches!(self.attempts.get(&(head.task, head.attempt)), Some(Any::Running(_))) {
            return Ok(());
        }
        let detail = "the attempt is not running";
        Err(self.refusal(wire::Reason::Superseded, head.partition, detail))
    }

    fn accept(&self) -> Answer {
        Ok(wire::Accepted { incarnation: self.incarnation })
    }
}

/// Answer to a command.
pub type Answer = Result<wire::Accepted, wire::Refusal>;

/// Truncates a detail text to the length limit of a refusal.
pub(super) fn shorten(text: &str) -> SmolStr {
    let end = text.floor_char_boundary(knapweedgap_worker::codec::DETAIL_LEN_MAX);
    SmolStr::new(&text[..end])
}
