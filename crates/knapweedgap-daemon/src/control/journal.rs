//! Event journal of this instance: writes to the time line buffer and the log.

use std::cell::RefCell;
use std::rc::Rc;

use knapweedgap_core::clock::Clock;
use knapweedgap_core::id;
use knapweedgap_placement::log::Record;
use knapweedgap_timeline::event::{Builder, Kind};
use knapweedgap_timeline::{Buffer, Event, Filter, Stamp, hybrid};

/// Writer of the time line.
pub(crate) struct Journal {
    instance: id::Instance,
    clock: Rc<dyn Clock>,
    hybrid: Rc<RefCell<hybrid::Clock>>,
    buffer: RefCell<Buffer>,
}

impl Journal {
    pub(crate) fn new(
        instance: id::Instance,
        clock: Rc<dyn Clock>,
        hybrid: Rc<RefCell<hybrid::Clock>>,
    ) -> Journal {
        Journal { instance, clock, hybrid, buffer: RefCell::new(Buffer::new()) }
    }

    fn stamp(&self) -> Stamp {
        self.hybrid.borrow_mut().tick(&*self.clock)
    }

    /// Records an event. `complete` sets its optional fields.
    pub(crate) fn record<Complete>(&self, kind: Kind, complete: Complete)
    where
        Complete: FnOnce(Builder) -> Builder,
    {
        let event = complete(Event::builder(self.stamp(), self.instance.clone(), kind)).build();
        self.buffer.borrow_mut().push(event);
    }

    /// Returns the latest events that pass the filter, and the number of events dropped from the
    /// buffer.
    pub(crate) fn select(&self, filter: &Filter, limit: usize) -> (Vec<Event>, u64) {
        let buffer = self.buffer.borrow();
        (buffer.select(filter, limit), buffer.dropped())
    }

    pub(crate) fn store_changed(&self, reachable: bool) {
        if reachable {
            log::info!("[store] key-value service is reachable");
            self.record(Kind::StoreRestored, |event| event);
            return;
        }
        log::warn!("[store] key-value service does not answer; no change can be committed");
        self.record(Kind::StoreUnavailable, |event| event);
    }

    /// Records the event of a committed log record. `worker` runs the attempt named in the record
    /// and is read before the record is applied.
    pub(crate) fn committed(
        &self,
        partition: id::Partition,
        record: &Record,
        worker: Option<&id::Worker>,
    ) {
        match record {
            Record::JobSubmitted { job, .. } => self.job(partition, Kind::JobSubmitted, *job, ""),
            Record::TaskPlaced { task, attempt, assignment } => {
                let detail = format!("attempt {attempt}");
                self.task(partition, Kind::TaskPlaced, *task, Some(&assignment.worker), &detail);
            }
            Record::TaskStarted { task, attempt } => {
                let detail = format!("attempt {attempt}");
                self.task(partition, Kind::TaskStarted, *task, worker, &detail);
            }
            Record::TaskFinished { task, attempt, outcome } => {
                let detail = format!("attempt {attempt}: {outcome}");
                self.task(partition, Kind::TaskFinished, *task, worker, &detail);
            }
            other => self.committed_other(partition, other, worker),
        }
    }

    fn committed_other(
        &self,
        partition: id::Partition,
        record: &Record,
        worker: Option<&id::Worker>,
    ) {
        match record {
            Record::JobCancelled { jobs } => {
                for job in jobs {
                    self.job(partition, Kind::JobCancelled, *job, "");
                }
            }
            Record::AttemptEnded { task, attempt, cause, .. } => {
                let detail = format!("attempt {attempt}: {cause}");
                self.task(partition, Kind::TaskStopped, *task, worker, &detail);
            }
            Record::TaskStopping { task, why, .. } => {
                self.task(partition, Kind::TaskEvicted, *task, worker, &why.to_string());
            }
            Record::Resumed { task, attempt } => {
                let detail = format!("attempt {attempt}");
                self.task(partition, Kind::TaskResumed, *task, None, &detail);
            }
            Record::WorkerQuarantined { worker, .. } => {
                let vm = vm(worker);
                self.record(Kind::WorkerQuarantined, |event| {
                    with_vm(event.partition(partition), vm)
                });
            }
            _ => {}
        }
    }

    fn job(&self, partition: id::Partition, kind: Kind, job: id::Job, detail: &str) {
        self.record(kind, |event| event.partition(partition).job(job).detail(detail));
    }

    fn task(
        &self,
        partition: id::Partition,
        kind: Kind,
        task: id::Task,
        worker: Option<&id::Worker>,
        detail: &str,
    ) {
        let vm = worker.and_then(vm);
        self.record(kind, |event| {
            with_vm(event.partition(partition).task(task).detail(detail), vm)
        });
    }
}

/// Returns the VM on which a worker runs. Both have the same name.
pub(crate) fn vm(worker: &id::Worker) -> Option<id::Vm> {
    worker.as_str().parse().ok()
}

fn with_vm(event: Builder, vm: Option<id::Vm>) -> Builder {
    match vm {
        Some(vm) => event.vm(vm),
        None => event,
    }
}
