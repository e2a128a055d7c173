//! Simulated worker that follows the platform's rules on fencing tokens, leases and lists.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use knapweedgap_core::{revision, size};
use knapweedgap_workload::order::{Failure, Poll, Refusal, Speed, Start, Stop, Target};
use knapweedgap_workload::task;
use knapweedgap_workload::worker::{Cause, Clock, Ended, Listed, Report, Running};

/// Longest lease that a worker grants.
pub const LEASE_MAX: Duration = Duration::from_secs(6);

/// Bound on the tail latency of the serving tasks in these tests.
pub const TAIL_TARGET: Duration = Duration::from_secs(10);

/// Run in progress.
#[derive(Debug, Clone)]
pub struct Run {
    pub number: revision::Run,
    pub worked: Duration,
    /// Time for which the run has waited for the other members of its gang.
    pub waited: Duration,
    pub checkpoint: String,
    /// Ordered speed in percent.
    pub speed: u32,
    /// When a stop that was ordered ends the run.
    pub stops_at: Option<Duration>,
}

/// Start or end of a run, recorded in order for checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    Started(task::Id, revision::Run),
    Ended(task::Id, revision::Run, Cause),
}

#[derive(Debug)]
pub struct Worker {
    pub listed: Listed,
    pub is_up: bool,
    /// The network to the worker is down; the worker keeps running.
    pub is_isolated: bool,
    /// The network refuses connections to the worker; the worker keeps running.
    pub is_refused: bool,
    /// Every run fails.
    pub fails: bool,
    /// Runs make no progress.
    pub hangs: bool,
    pub clock: Duration,
    /// Speed of the clock relative to real time.
    pub clock_rate: f64,
    pub fence: revision::Fence,
    /// Highest fencing token of the previous incarnation. A late order for that incarnation with
    /// this token or a higher one may be carried out by the current incarnation.
    pub previous_fence: Option<revision::Fence>,
    pub lease_end: Duration,
    pub runs: BTreeMap<task::Id, Run>,
    /// Highest run of each task that was stopped or ended on this worker.
    ended_runs: BTreeMap<task::Id, revision::Run>,
    ended: Vec<Ended>,
    next_end: u64,
    /// Failed runs whose end the owner has acknowledged.
    pub acknowledged_failures: Vec<(task::Id, revision::Run)>,
    /// Finished runs whose end the owner has acknowledged under the lease in which it was listed.
    pub acknowledged_done: Vec<(task::Id, revision::Run)>,
    /// Ends with lower numbers were listed before the lease last expired.
    first_end_of_lease: u64,
    /// Steps whose tasks work only together; [`super::gang::advance`] advances their runs.
    pub gangs: BTreeSet<task::Step>,
    pub events: Vec<Event>,
    /// Run time of the tasks of a step; 1 s for steps without an entry.
    pub work: BTreeMap<task::Step, Duration>,
    /// Time that a stop takes; zero by default.
    pub stop_time: Duration,
    /// Tail latency that the tasks of serving steps have without best-effort tasks, in percent of
    /// their target.
    pub uncontended: BTreeMap<task::Step, f64>,
    /// The serving tasks have no users, so their tail latency is zero.
    pub is_unused: bool,
    /// Slack that serving tasks lose to one task of a best-effort step at full speed.
    pub losses: BTreeMap<task::Step, f64>,
    /// What it reports of the time until it leaves.
    pub leaves_in: Option<Duration>,
}

impl Worker {
    pub fn new(listed: Listed) -> Worker {
        Worker {
            listed,
            is_up: true,
            is_isolated: false,
            is_refused: false,
            fails: false,
            hangs: false,
            clock: Duration::from_secs(100),
            clock_rate: 1.0,
            fence: revision::Fence::new(0),
            previous_fence: None,
            lease_end: Duration::ZERO,
            runs: BTreeMap::new(),
            ended_runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            acknowledged_failures: Vec::new(),
            acknowledged_done: Vec::new(),
            first_end_of_lease: 1,
            gangs: BTreeSet::new(),
            events: Vec::new(),
            work: BTreeMap::new(),
            stop_time: Duration::ZERO,
            uncontended: BTreeMap::new(),
            losses: BTreeMap::new(),
            is_unused: false,
            leaves_in: None,
        }
    }

    /// Ends all runs.
    pub fn end_all(&mut self, cause: Cause) {
        for task in self.runs.keys().copied().collect::<Vec<_>>() {
            self.end(task, cause);
        }
    }

    /// Ends the process with all its runs, for good.
    pub fn fail(&mut self) {
        self.is_up = false;
        self.runs.clear();
    }

    /// Restarts with the same id and an empty state. Keeps what was recorded for checks.
    pub fn restart(&mut self) {
        let mut listed = self.listed.clone();
        listed.incarnation = revision::Incarnation::new(listed.incarnation.get() + 1);
        let events = std::mem::take(&mut self.events);
        let acknowledged_failures = std::mem::take(&mut self.acknowledged_failures);
        let acknowledged_done = std::mem::take(&mut self.acknowledged_done);
        let gangs = std::mem::take(&mut self.gangs);
        let fence = self.fence;
        *self = Worker::new(listed);
        self.events = events;
        self.acknowledged_failures = acknowledged_failures;
        self.acknowledged_done = acknowledged_done;
        self.gangs = gangs;
        self.previous_fence = Some(fence);
    }

    /// Restarts with a number of processors. Late orders for an incarnation of another size are
    /// refused, because no owner could know that they no longer fit.
    pub fn restart_as(&mut self, cores: u32) {
        let processor = size::Processor::from_cores(cores);
        let is_same = self.listed.capacity.processor == processor;
        self.restart();
        self.listed.capacity.processor = processor;
        self.previous_fence = self.previous_fence.filter(|_| is_same);
    }

    pub fn advance(&mut self, time: Duration) {
        if !self.is_up {
            return;
        }
        self.clock += time.mul_f64(self.clock_rate);
        let tasks: Vec<task::Id> = self.runs.keys().copied().collect();
        if self.clock > self.lease_end {
            for task in tasks {
                self.end(task, Cause::LeaseExpired);
            }
            self.first_end_of_lease = self.next_end;
            return;
        }
        for task in tasks {
            let run_time = self.work.get(&task.step).copied().unwrap_or(Duration::from_secs(1));
            let (fails, hangs) = (self.fails, self.hangs);
            let Some(run) = self.runs.get_mut(&task) else { continue };
            if let Some(stops_at) = run.stops_at {
                if self.clock >= stops_at {
                    self.end(task, Cause::Stopped);
                }
                continue;
            }
            if hangs || self.gangs.contains(&task.step) {
                continue;
            }
            run.worked += time * run.speed / 100;
            run.checkpoint = format!("{}", run.worked.as_millis());
            if fails {
                self.end(task, Cause::Failed);
            } else if run.worked >= run_time {
                self.end(task, Cause::Done);
            }
        }
    }

    pub fn end(&mut self, task: task::Id, cause: Cause) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.ended_runs.insert(task, run.number);
        self.events.push(Event::Ended(task, run.number, cause));
        self.ended.push(Ended {
            number: revision::End::new(self.next_end),
            task,
            run: run.number,
            cause,
            checkpoint: run.checkpoint.into(),
        });
        self.next_end += 1;
    }

    fn check_order(&mut self, target: &Target, fence: revision::Fence) -> Result<(), Failure> {
        let (requested, own) = (target.incarnation.get(), self.listed.incarnation.get());
        let is_late = self.previous_fence.is_some_and(|previous| fence >= previous);
        if requested != own && !(requested + 1 == own && is_late) {
            return Err(Failure::Refused(Refusal::Incarnation));
        }
        self.check_fence(fence)
    }

    fn check_fence(&mut self, fence: revision::Fence) -> Result<(), Failure> {
        if fence < self.fence {
            return Err(Failure::Refused(Refusal::Fence));
        }
        self.fence = fence;
        Ok(())
    }

    fn extend(&mut self, lease_end: Clock) {
        let requested = Duration::from_millis(lease_end.millis());
        self.lease_end = self.lease_end.max(requested.min(self.clock + LEASE_MAX));
    }

    pub fn start(&mut self, target: &Target, start: &Start) -> Result<(), Failure> {
        self.check_order(target, start.fence)?;
        if self.runs.get(&start.task).is_some_and(|run| run.number == start.run) {
            return Ok(());
        }
        if self.ended_runs.get(&start.task).is_some_and(|run| *run >= start.run) {
            return Err(Failure::Refused(Refusal::Old));
        }
        if Duration::from_millis(start.lease_end.millis()) <= self.clock {
            return Err(Failure::Refused(Refusal::Late));
        }
        self.extend(start.lease_end);
        let run = Run {
            number: start.run,
            worked: Duration::ZERO,
            waited: Duration::ZERO,
            checkpoint: start.checkpoint.to_string(),
            speed: 100,
            stops_at: None,
        };
        self.runs.insert(start.task, run);
        self.events.push(Event::Started(start.task, start.run));
        Ok(())
    }

    pub fn stop(&mut self, target: &Target, stop: &Stop) -> Result<(), Failure> {
        self.check_order(target, stop.fence)?;
        let stops_at = self.clock + self.stop_time;
        let is_slow = !self.stop_time.is_zero();
        match self.runs.get_mut(&stop.task).filter(|run| run.number == stop.run) {
            Some(run) if is_slow => run.stops_at = run.stops_at.or(Some(stops_at)),
            Some(_) => self.end(stop.task, Cause::Stopped),
            None => {}
        }
        let ended = self.ended_runs.entry(stop.task).or_default();
        *ended = (*ended).max(stop.run);
        Ok(())
    }

    pub fn set_speed(&mut self, target: &Target, speed: &Speed) -> Result<(), Failure> {
        self.check_order(target, speed.fence)?;
        let run = self.runs.get_mut(&speed.task).filter(|run| run.number == speed.run);
        let Some(run) = run else { return Err(Failure::Refused(Refusal::Old)) };
        run.speed = speed.percent;
        Ok(())
    }

    /// Returns the slack of the tasks of a serving step; `None` for other steps.
    pub fn slack(&self, step: task::Step) -> Option<f64> {
        let uncontended = 100.0 / self.uncontended.get(&step)?;
        let loss = |(task, run): (&task::Id, &Run)| {
            let loss = self.losses.get(&task.step).copied().unwrap_or_default();
            loss * f64::from(run.speed) / 100.0
        };
        let lost: f64 = self.runs.iter().map(loss).sum();
        Some((uncontended - lost).max(0.01))
    }

    /// Answers a poll. It names the worker by its id, which all its incarnations have in common.
    pub fn poll(&mut self, target: &Target, poll: &Poll) -> Result<Report, Failure> {
        if target.worker != self.listed.id {
            return Err(Failure::Refused(Refusal::Incarnation));
        }
        self.check_fence(poll.fence)?;
        if let Some(lease_end) = poll.lease_end {
            self.extend(lease_end);
        }
        let (open, acknowledged): (Vec<Ended>, Vec<Ended>) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|ended| ended.number > poll.acknowledged);
        self.ended = open;
        for ended in acknowledged {
            if ended.cause == Cause::Failed {
                self.acknowledged_failures.push((ended.task, ended.run));
            }
            if ended.cause == Cause::Done && ended.number.get() >= self.first_end_of_lease {
                self.acknowledged_done.push((ended.task, ended.run));
            }
        }
        let running = |(task, run): (&task::Id, &Run)| Running {
            task: *task,
            run: run.number,
            checkpoint: run.checkpoint.clone().into(),
            progress: (run.worked.as_millis() / 10) as u32,
            measure: self
                .slack(task.step)
                .map(|slack| (TAIL_TARGET.as_millis() as f64 / slack) as u64)
                .map(|tail| if self.is_unused { 0 } else { tail }),
        };
        Ok(Report {
            incarnation: Some(self.listed.incarnation),
            clock: Clock::from_millis(self.clock.as_millis() as u64),
            leaves_in: self.leaves_in,
            running: self.runs.iter().map(running).collect(),
            ended: self.ended.clone(),
            undecoded: 0,
        })
    }
}
