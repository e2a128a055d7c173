//! State shared by the tasks of the control thread.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use knapweedgap_core::clock::Clock;
use knapweedgap_core::id;
use knapweedgap_operator::instance;
use knapweedgap_store::etcd::Gateway;

use super::{claim, fleet, journal, links, members, partition, quota, tree};
use crate::config;
use crate::metric;
use crate::process;
use crate::publish::Publisher;

/// Shared state of the control thread. Borrows of its cells are never held across an `await`.
pub(crate) struct Context {
    pub(crate) config: config::Process,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) clock: Rc<dyn Clock>,
    /// Weak, because the tasks of the executor hold this context and a strong reference would be a
    /// cycle.
    pub(crate) executor: Weak<LocalExecutor<'static>>,
    pub(crate) store: Gateway,
    pub(crate) journal: journal::Journal,
    pub(crate) tree: tree::Tree,
    pub(crate) fleet: fleet::Fleet,
    pub(crate) members: members::Members,
    pub(crate) links: links::Links,
    pub(crate) partitions: partition::Partitions,
    pub(crate) claims: claim::Claims,
    pub(crate) quotas: quota::Reports,
    pub(crate) publisher: Publisher,
    pub(crate) process: Cell<Option<process::Any>>,
    pub(crate) store_reachable: Cell<bool>,
    pub(crate) published: RefCell<super::snapshot::Input>,
}

impl Context {
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Spawns a detached task on the control thread.
    pub(crate) fn spawn<Run>(&self, run: Run)
    where
        Run: Future<Output = ()> + 'static,
    {
        if let Some(task) = self.start(run) {
            task.detach();
        }
    }

    /// Spawns a task on the control thread. Returns `None` if the executor has ended.
    pub(crate) fn start<Run>(&self, run: Run) -> Option<Task<Run::Output>>
    where
        Run: Future + 'static,
        Run::Output: 'static,
    {
        Some(self.executor.upgrade()?.spawn(run))
    }

    /// Returns the life-cycle state of the process.
    pub(crate) fn state(&self) -> instance::State {
        let process = self.process.take();
        let state = process.as_ref().map_or(instance::State::Starting, process::Any::state);
        self.process.set(process);
        state
    }

    /// Applies a transition to the life-cycle state of the process.
    pub(crate) fn advance<Step>(&self, step: Step)
    where
        Step: FnOnce(process::Any) -> process::Any,
    {
        let process = self.process.take();
        self.process.set(process.map(step));
    }

    /// Records whether the last call to the key-value service was answered and informs the
    /// membership engine.
    pub(crate) fn set_store_reachable(&self, reachable: bool) {
        if self.store_reachable.replace(reachable) != reachable {
            self.journal.store_changed(reachable);
        }
        metrics::gauge!(metric::STORE_REACHABLE).set(f64::from(u8::from(reachable)));
        let now = self.now();
        self.members.input(|engine| engine.set_store_reachable(reachable, now));
    }
}

/// Suspends the calling task without blocking the control thread.
pub(crate) async fn sleep(time: Duration) {
    async_io::Timer::after(time).await;
}
