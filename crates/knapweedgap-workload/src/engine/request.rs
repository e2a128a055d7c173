//! Requests of clients: submission, cancellation and state of jobs.

use std::time::{Duration, Instant};

use knapweedgap_core::id;
use smol_str::format_smolstr;

use super::room::{Class, Room};
use super::work::Job;
use super::{Deferred, Engine};
use crate::action::Ticket;
use crate::admission::{self, Decision, Load};
use crate::api::{Answer, Request, Verb};
use crate::configuration::{Policy, Queue};
use crate::event::Event;
use crate::history::Change;
use crate::{job, record};

/// Time after which a client may resubmit a job that no worker can run. The fleet changes within
/// minutes, not seconds.
const RETRY_AFTER_UNSCHEDULABLE: Duration = Duration::from_secs(60);
/// Time after which a client may resubmit a job that was refused because no worker is available.
const RETRY_AFTER_NO_WORKERS: Duration = Duration::from_secs(1);
/// Time after which a client may resubmit a job that only workers of evacuated zones could run.
/// Operators evacuate a zone for seconds to minutes.
const RETRY_AFTER_EVACUATED: Duration = Duration::from_secs(4);
/// Time by which the repeat of a request may take longer to the owner than the first attempt.
const ATTEMPT_MARGIN: Duration = Duration::from_millis(250);

/// Reason of a refusal while all workers that could run a step are in evacuated zones.
const EVACUATED: &str = "the zones of all suitable workers are evacuated";

impl Engine {
    /// Handles a request. Returns `None` if an [`crate::action::Action::Answer`] with its ticket
    /// follows. `wall_ms` is the time in milliseconds since 1970.
    pub fn request(
        &mut self,
        ticket: Ticket,
        request: Request,
        now: Instant,
        wall_ms: u64,
    ) -> Option<Answer> {
        let Some(configuration) = &self.configuration else {
            return Some(Answer::Unavailable("no configuration yet".into()));
        };
        let Some(queue) = configuration.queue(&request.host, &request.path).cloned() else {
            let Some(id) = self.attempted_job(&request, now) else { return Some(Answer::NoQueue) };
            return self.answer_accepted(ticket, id);
        };
        let name = request.path.strip_prefix(queue.prefix.as_str()).unwrap_or_default();
        if name.is_empty() && request.verb == Verb::Show {
            return Some(Answer::Waiting(self.waiting(&queue.name)));
        }
        let Ok(id) = name.parse::<id::Job>() else {
            return Some(match request.verb {
                Verb::Submit(_) => Answer::Invalid("a job id has 16 hexadecimal digits".into()),
                Verb::Show | Verb::Cancel => Answer::NoJob,
            });
        };
        match request.verb {
            Verb::Submit(spec) => self.submit(ticket, id, &queue, *spec, now, wall_ms),
            Verb::Show => Some(self.stored_state(id).map_or(Answer::NoJob, Answer::State)),
            Verb::Cancel => self.cancel(ticket, id, now),
        }
    }

    /// Returns the number of stored jobs of a queue that have no schedule and have not begun.
    fn waiting(&self, queue: &str) -> u64 {
        let waiting = |job: &&Job| {
            let is_waiting = job.stored_state.is_some() && !job.has_begun && !job.state.is_final();
            is_waiting && job.accepted.queue == queue && job.spec().schedule.is_none()
        };
        self.jobs.values().filter(waiting).count() as u64
    }

    fn submit(
        &mut self,
        ticket: Ticket,
        id: id::Job,
        queue: &Queue,
        spec: job::Spec,
        now: Instant,
        wall_ms: u64,
    ) -> Option<Answer> {
        if self.closed.contains_key(&id) || self.jobs.contains_key(&id) {
            return self.answer_accepted(ticket, id);
        }
        if let Some(refusal) = self.refuse_withdrawn(id, now) {
            return Some(refusal);
        }
        if !self.store_available {
            return Some(Answer::Unavailable("the store takes no commits".into()));
        }
        let findings = spec.check();
        if !findings.is_empty() {
            let text: Vec<String> = findings.iter().map(ToString::to_string).collect();
            return Some(Answer::Invalid(text.join("; ").into()));
        }
        if let Some(retry_after) = self.observer.refusal(now) {
            let reason = "the owner is overloaded";
            let backlog = self.observer.delay();
            let queue = queue.name.clone();
            self.emit(Event::Refuse {
                job: id,
                queue,
                reason: reason.into(),
                backlog,
                retry_after,
            });
            return Some(Answer::Refused { retry_after, reason: reason.into() });
        }
        let load = self.load(queue, now);
        if let Some(refusal) = self.refuse(id, queue, &spec, &load) {
            return Some(refusal);
        }
        let accepted = record::Accepted {
            queue: queue.name.clone(),
            service: queue.policy.service.clone(),
            at_ms: wall_ms,
            attempts_max: queue.policy.attempts_max,
            policy: Some(queue.policy.clone()),
            spec,
        };
        if let Some(refusal) = self.refuse_oversize(id, &accepted, &load) {
            return Some(refusal);
        }
        self.emit(Event::Accept {
            job: id,
            queue: queue.name.clone(),
            tasks: accepted.spec.steps.iter().map(|step| step.count).sum(),
            backlog: load.backlog(),
        });
        self.accept(id, accepted, now);
        self.add_load(id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.history.add(Change::Accept, None, now);
        }
        self.defer(Deferred::Answer(ticket, Answer::Accepted));
        None
    }

    /// Returns the job that an earlier attempt at a submission has submitted to this owner. Its queue
    /// may have been removed since. A job that was submitted before that attempt is none of it, and
    /// how long ago an earlier owner accepted a job is not known exactly.
    fn attempted_job(&self, request: &Request, now: Instant) -> Option<id::Job> {
        let attempted = request.attempted?;
        if !matches!(request.verb, Verb::Submit(_)) {
            return None;
        }
        // The prefix is that of a queue which is not known any more.
        let name = request.path.get(request.path.len().checked_sub(id::Job::TEXT_LEN)?..)?;
        let id = name.parse().ok()?;
        let submitted_at = match self.jobs.get(&id) {
            Some(job) => job.submitted_at,
            None => self.closed.get(&id)?.submitted_at,
        };
        let submitted_at = submitted_at?;
        let age = now.saturating_duration_since(submitted_at);
        (age <= attempted.saturating_add(ATTEMPT_MARGIN)).then_some(id)
    }

    /// Answers a submission of a known job once its acceptance is stored.
    fn answer_accepted(&mut self, ticket: Ticket, id: id::Job) -> Option<Answer> {
        let is_stored = match self.jobs.get(&id) {
            Some(job) => job.stored_state.is_some(),
            None => self.closed.get(&id).is_some_and(|closed| closed.is_stored),
        };
        self.answer_once_stored(ticket, is_stored, Answer::Accepted)
    }

    /// Returns the refusal of a job that no worker can run or that can't be completed in time;
    /// `None` if the job is accepted.
    fn refuse(
        &mut self,
        id: id::Job,
        queue: &Queue,
        spec: &job::Spec,
        load: &Load,
    ) -> Option<Answer> {
        let objective = queue.policy.objective(spec.declared_critical_path());
        let unschedulable = self.unschedulable_reason(queue, spec);
        let (retry_after, reason) = if let Some(EVACUATED) = unschedulable {
            (RETRY_AFTER_EVACUATED, EVACUATED)
        } else if load.processors == 0 {
            (RETRY_AFTER_NO_WORKERS, "no workers")
        } else if let Some(reason) = unschedulable {
            (RETRY_AFTER_UNSCHEDULABLE, reason)
        } else {
            let decision = if spec.is_long_running() {
                self.decide_long_running(queue, spec)
            } else {
                admission::decide(load, objective)
            };
            match decision {
                Decision::Accept => return None,
                Decision::Refuse(after) => (after, "backlog"),
            }
        };
        self.emit(Event::Refuse {
            job: id,
            queue: queue.name.clone(),
            reason: reason.into(),
            backlog: load.backlog(),
            retry_after,
        });
        Some(Answer::Refused { retry_after, reason: reason.into() })
    }

    /// Returns the refusal of a job whose records may not fit one value of the store.
    fn refuse_oversize(
        &mut self,
        id: id::Job,
        accepted: &record::Accepted,
        load: &Load,
    ) -> Option<Answer> {
        let (needed, value_max) = (accepted.size_max(1), self.bounds.value_max);
        if needed <= value_max {
            return None;
        }
        let reason = format_smolstr!(
            "the job needs up to {} bytes in the store, which takes {}: fewer tasks or a shorter text",
            needed.get(),
            value_max.get()
        );
        let retry_after = RETRY_AFTER_UNSCHEDULABLE;
        self.emit(Event::Refuse {
            job: id,
            queue: accepted.queue.clone(),
            reason: reason.clone(),
            backlog: load.backlog(),
            retry_after,
        });
        Some(Answer::Refused { retry_after, reason })
    }

    fn decide_long_running(&self, queue: &Queue, spec: &job::Spec) -> Decision {
        let requested = spec.steps.iter().map(requested_processor).sum();
        let of_service = self.workers.values().filter(|worker| {
            let is_usable = worker.is_listed && !worker.is_evacuated;
            is_usable && worker.listed.service == queue.policy.service
        });
        let capacity = of_service.map(|worker| worker.listed.capacity.processor.milli()).sum();
        let jobs = self
            .jobs
            .values()
            .filter(|job| !job.state.is_final() && job.accepted.queue == queue.name);
        let mut room = Room::default();
        let mut reserved = 0;
        for job in jobs {
            for step in &job.spec().steps {
                if self.has_worker(job, step, &mut room) {
                    reserved += requested_processor(step);
                }
            }
        }
        admission::decide_long_running(requested, reserved, capacity)
    }

    /// Returns the reason if no worker of the service can run some step of the job; `None` if each
    /// step has one.
    fn unschedulable_reason(&self, queue: &Queue, spec: &job::Spec) -> Option<&'static str> {
        let (mut usable, mut all) = (Room::default(), Room::with_evacuated());
        let mut is_evacuated = false;
        for step in &spec.steps {
            let class = Class::new(&queue.policy.service, step);
            let size = step.reserved_size();
            if !all.fits(self, class.clone(), &size) {
                return Some("no worker is large enough or has the label");
            }
            is_evacuated |= !usable.fits(self, class.clone(), &size);
            if !step.gang {
                continue;
            }
            let (mut slots, mut evacuated_slots) = (0u64, 0u64);
            for worker in self.workers.values().filter(|worker| class.contains(worker)) {
                let of_worker = step.slots(&worker.listed.capacity);
                if worker.is_evacuated {
                    evacuated_slots = evacuated_slots.saturating_add(of_worker);
                } else {
                    slots = slots.saturating_add(of_worker);
                }
            }
            if slots.saturating_add(evacuated_slots) < u64::from(step.count) {
                return Some("the gang is wider than the fleet");
            }
            is_evacuated |= slots < u64::from(step.count);
        }
        is_evacuated.then_some(EVACUATED)
    }

    /// Returns the load that a new job of a queue finds. It is computed once for the jobs that arrive
    /// between two ticks, plus what was accepted of them.
    fn load(&mut self, queue: &Queue, now: Instant) -> Load {
        if let Some(load) = self.loads.get(&queue.name) {
            return *load;
        }
        let load = self.present_load(queue, now);
        self.loads.insert(queue.name.clone(), load);
        load
    }

    /// Adds an accepted job to the known loads that it belongs to.
    fn add_load(&mut self, id: id::Job) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(configuration) = &self.configuration else { return };
        let Policy { service, priority, .. } = self.policy_of(job);
        let work = self.remaining_work(job, &mut Room::default());
        let mut names = Vec::new();
        for queue in &configuration.queues {
            if queue.policy.service == *service && queue.policy.priority >= *priority {
                names.push(queue.name.clone());
            }
        }
        for name in names {
            let Some(load) = self.loads.get_mut(&name) else { continue };
            load.work = load.work.saturating_add(work);
        }
    }

    /// Returns the accepted work that is not less urgent than a new job of a queue, and the
    /// processor time that its service has for it. Less urgent work does not delay the job.
    fn present_load(&self, queue: &Queue, now: Instant) -> Load {
        let service = &queue.policy.service;
        let mut processors = 0;
        for worker in self.workers.values() {
            if worker.listed.service != *service || !worker.is_open(now) {
                continue;
            }
            processors += worker.unused_by_long_running();
        }
        let mut work = 0;
        let mut capacity = Room::default();
        for job in self.jobs.values() {
            let policy = self.policy_of(job);
            if job.state.is_final() || policy.priority > queue.policy.priority {
                continue;
            }
            if policy.service == *service {
                work = self.remaining_work(job, &mut capacity).saturating_add(work);
            }
        }
        Load { work, processors }
    }

    /// Returns `false` if no worker has the label that a step requires and is large enough. A step
    /// without a label fitted some worker at its admission, and any worker of its service will do.
    fn has_worker(&self, job: &Job, step: &job::Step, capacity: &mut Room) -> bool {
        if step.requires.is_none() {
            return true;
        }
        capacity.fits(self, Class::new(&self.policy_of(job).service, step), &step.reserved_size())
    }

    /// Returns the declared work of all tasks that are not done and that some worker could run,
    /// except long-running ones, in thousandths of a core times milliseconds. Work without a worker
    /// takes no capacity from other jobs.
    fn remaining_work(&self, job: &Job, capacity: &mut Room) -> u64 {
        let mut work = 0u64;
        for occurrence in job.occurrences.values() {
            for (spec, step) in job.spec().steps.iter().zip(&occurrence.steps) {
                if spec.long_running || step.is_done() {
                    continue;
                }
                if !self.has_worker(job, spec, capacity) {
                    continue;
                }
                let unfinished = (step.tasks.len() as u64).saturating_sub(u64::from(step.done));
                let millis = u64::try_from(spec.estimate.as_millis()).unwrap_or(u64::MAX);
                let each = spec.size.processor.milli().saturating_mul(millis);
                work = work.saturating_add(unfinished.saturating_mul(each));
            }
        }
        work
    }

    fn accept(&mut self, id: id::Job, accepted: record::Accepted, now: Instant) {
        self.forget_withdrawal(id);
        let timed = accepted.spec.schedule.is_some();
        let mut job = Job::new(accepted.into(), now);
        job.submitted_at = Some(now);
        if !timed {
            job.begin_occurrence(now);
        }
        self.jobs.insert(id, job);
        if timed {
            self.timed.insert(id);
        }
        self.refresh_ready(id);
        self.mark_dirty(id);
        self.place_due = true;
    }

    /// Returns an answer if what it rests on is stored; otherwise defers it until all changes so far
    /// are, and returns `None`.
    pub(super) fn answer_once_stored(
        &mut self,
        ticket: Ticket,
        is_stored: bool,
        answer: Answer,
    ) -> Option<Answer> {
        if is_stored {
            return Some(answer);
        }
        self.defer(Deferred::Answer(ticket, answer));
        None
    }

    fn cancel(&mut self, ticket: Ticket, id: id::Job, now: Instant) -> Option<Answer> {
        if let Some(closed) = self.closed.get(&id) {
            return self.answer_once_stored(ticket, closed.is_stored, Answer::Cancelled);
        }
        let Some(job) = self.jobs.get(&id) else { return self.withdraw(ticket, id, now) };
        let state = job.state;
        if !state.is_final() {
            self.emit(Event::Cancel { job: id, state });
            self.finish(id, job::State::Cancelled, now);
        }
        self.defer(Deferred::Answer(ticket, Answer::Cancelled));
        None
    }
}

/// Returns the processor time that the tasks of a step request together, in thousandths of a core.
fn requested_processor(step: &job::Step) -> u64 {
    step.size.processor.milli() * u64::from(step.count)
}
