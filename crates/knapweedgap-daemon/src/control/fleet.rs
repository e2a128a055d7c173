//! VM list: the upstreams, workers and entries of the installation.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use knapweedgap_core::{id, revision, size};
use knapweedgap_inventory::list::{Fault, Update};
use knapweedgap_inventory::vm::{Role, State};
use knapweedgap_inventory::{Error, List, Poller};
use knapweedgap_membership::{record, rendezvous};
use knapweedgap_operator::doctor::{Finding, Severity};
use knapweedgap_placement::worker::Spec;
use knapweedgap_placement::{job, pack};
use knapweedgap_settings::effective;
use knapweedgap_timeline::event::Kind;

use super::context::{Context, sleep};
use super::{partition, snapshot};

/// Timeout of a call to the VM list.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of findings about records of the list.
const FINDINGS_MAX: usize = 100;

/// VM that runs a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Runner {
    pub(crate) id: id::Upstream,
    pub(crate) service: id::Service,
    pub(crate) address: SocketAddr,
    pub(crate) zone: id::Zone,
    pub(crate) slots: Option<size::Slot>,
    pub(crate) leaving: bool,
}

/// Worker and the address of its API.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) spec: Spec,
    pub(crate) address: SocketAddr,
}

/// VM list as last read.
#[derive(Default)]
pub(crate) struct Fleet {
    list: RefCell<List>,
    /// Number of changes of `list`.
    changes: Cell<u64>,
    /// Invalid records of the last answer.
    faults: RefCell<Vec<Fault>>,
    /// Error of the last read; `None` if it succeeded.
    read_error: RefCell<Option<Error>>,
}

impl Fleet {
    /// Returns a revision that increases with every change of the list. Local to this process.
    pub(crate) fn revision(&self) -> revision::Revision {
        revision::Revision::new(self.changes.get())
    }

    /// Returns the runners of all services.
    pub(crate) fn runners(&self) -> Vec<Runner> {
        let mut runners = Vec::new();
        for vm in self.list.borrow().vms.values() {
            let Role::Upstream { service, slots, .. } = &vm.role else { continue };
            let Some(id) = vm.upstream() else { continue };
            runners.push(Runner {
                id,
                service: service.clone(),
                address: vm.address,
                zone: vm.zone.clone(),
                slots: Some(*slots).filter(|slots| slots.get() > 0),
                leaving: vm.state == State::Leaving,
            });
        }
        runners
    }

    /// Returns the worker that hosts an upstream. Returns `None` if the upstream is not in the list
    /// or its record has no host.
    pub(crate) fn host(&self, upstream: &id::Upstream) -> Option<id::Worker> {
        let vm: id::Vm = upstream.as_str().parse().ok()?;
        match &self.list.borrow().vms.get(&vm)?.role {
            Role::Upstream { host, .. } => host.clone(),
            Role::Worker | Role::Entry => None,
        }
    }

    /// Returns the link addresses of the entries.
    pub(crate) fn entries(&self) -> BTreeMap<id::Instance, SocketAddr> {
        let mut entries = BTreeMap::new();
        for vm in self.list.borrow().vms.values() {
            let Ok(id) = vm.id.as_str().parse() else { continue };
            if vm.role == Role::Entry {
                entries.insert(id, vm.address);
            }
        }
        entries
    }

    /// Returns the workers of one partition.
    pub(crate) fn workers(&self, context: &Context, partition: id::Partition) -> Vec<Worker> {
        let list = self.list.borrow();
        let count = context.members.partitions();
        let mut workers: BTreeMap<id::Worker, Worker> = BTreeMap::new();
        for vm in list.vms.values() {
            let Some(id) = vm.worker() else { continue };
            if rendezvous::partition(&id, count) != partition {
                continue;
            }
            let rack = vm.rack.clone();
            let spec = Spec {
                id: id.clone(),
                zone: vm.zone.clone(),
                rack: rack.unwrap_or_else(|| default_rack(&vm.zone)),
                capacity: vm.capacity,
                reserved: size::Resources::default(),
                services: Vec::new(),
                leaving: vm.state == State::Leaving,
            };
            workers.insert(id, Worker { spec, address: vm.address });
        }
        for vm in list.vms.values() {
            let Role::Upstream { service, host: Some(host), .. } = &vm.role else { continue };
            let Some(worker) = workers.get_mut(host) else { continue };
            worker.spec.reserved += vm.capacity;
            worker.spec.services.push(service.clone());
        }
        workers.into_values().collect()
    }

    /// Returns the first partition with a worker that is large enough for a task of the job, or
    /// `None` if there is none.
    pub(crate) fn partition_for(
        &self,
        context: &Context,
        job: &job::Spec,
    ) -> Option<id::Partition> {
        let can_hold = |worker: &Worker| {
            let spec = &worker.spec;
            let admitted = pack::admits_at(&job.constraint, &spec.zone, &spec.rack);
            admitted && !spec.leaving && spec.available().fits(&job.size)
        };
        for number in 0..context.members.partitions() {
            let partition = id::Partition::new(number);
            if self.workers(context, partition).iter().any(can_hold) {
                return Some(partition);
            }
        }
        None
    }

    /// Returns the largest capacity for batch tasks on one worker that the constraint of the job
    /// admits, over all partitions.
    pub(crate) fn largest_available(&self, context: &Context, job: &job::Spec) -> size::Resources {
        let mut largest_available = size::Resources::default();
        let order = |size: &size::Resources| (size.accelerator, size.memory, size.processor);
        for number in 0..context.members.partitions() {
            for worker in self.workers(context, id::Partition::new(number)) {
                let spec = &worker.spec;
                let admitted = pack::admits_at(&job.constraint, &spec.zone, &spec.rack);
                if admitted && !spec.leaving && order(&spec.available()) > order(&largest_available)
                {
                    largest_available = spec.available();
                }
            }
        }
        largest_available
    }

    /// Returns findings about the VM list as read by this instance.
    pub(crate) fn findings(&self, instance: &id::Instance) -> Vec<Finding> {
        let mut findings = Vec::new();
        if let Some(error) = &*self.read_error.borrow() {
            findings.push(Finding {
                severity: Severity::Warning,
                code: "inventory_unreadable".into(),
                place: format!("instance {instance}"),
                help: format!("{error}; the last list read stays in use; restore the VM list"),
            });
        }
        for fault in self.faults.borrow().iter().take(FINDINGS_MAX) {
            findings.push(Finding {
                severity: Severity::Warning,
                code: "inventory_record".into(),
                place: format!("VM list, {}", fault.place),
                help: format!("the record is ignored: {}; correct it in the VM list", fault.help),
            });
        }
        findings
    }

    fn entry_vms(&self) -> BTreeMap<id::Instance, record::Vm> {
        let mut entry_vms = BTreeMap::new();
        for vm in self.list.borrow().vms.values() {
            let Ok(id) = vm.id.as_str().parse() else { continue };
            if vm.role != Role::Entry {
                continue;
            }
            let state = match vm.state {
                State::Live => record::Vm::Live,
                State::Leaving => record::Vm::Leaving,
            };
            entry_vms.insert(id, state);
        }
        entry_vms
    }
}

/// Returns the rack of a worker for which the platform reports none. The name of the zone is a
/// valid rack name.
fn default_rack(zone: &id::Zone) -> id::Rack {
    zone.as_str().parse().expect("zones and racks admit the same characters")
}

/// Reads the VM list at the interval from the settings and applies its changes. A leaving upstream
/// gets no new requests once the read that reports it is applied.
pub(crate) async fn poll(context: Rc<Context>) {
    let mut poller = Poller::new(context.config.inventory, CALL_TIMEOUT);
    loop {
        match poller.poll().await {
            Ok(report) => {
                if report.update == Update::Changed {
                    apply(&context, poller.list());
                }
                context.fleet.read_error.take();
                let before = context.fleet.faults.replace(report.faults.clone());
                for fault in report.faults.iter().filter(|fault| !before.contains(fault)) {
                    log::warn!("[fleet] {fault}");
                }
            }
            Err(error) => {
                let is_first_failure = context.fleet.read_error.borrow().is_none();
                if is_first_failure {
                    log::warn!("[fleet] {error}; the last VM list read stays in use");
                }
                *context.fleet.read_error.borrow_mut() = Some(error);
            }
        }
        let read = |tree: &_| effective::System::read(tree, &context.config.place);
        sleep(context.tree.query(read).inventory_interval).await;
    }
}

fn apply(context: &Rc<Context>, list: &List) {
    let before = context.fleet.list.replace(list.clone());
    context.fleet.changes.set(context.fleet.changes.get() + 1);
    record_changes(context, &before, list);
    snapshot::publish(context);
    let now = context.now();
    let entry_vms = context.fleet.entry_vms();
    context.members.input(|engine| engine.update_vms(&entry_vms, now));
    for owned in context.partitions.all() {
        partition::update_workers(context, &owned);
    }
}

fn record_changes(context: &Context, before: &List, after: &List) {
    for (id, vm) in &after.vms {
        let kind = match before.vms.get(id) {
            None => Kind::VmAdded,
            Some(known) if known.state != vm.state && vm.state == State::Leaving => Kind::VmLeaving,
            Some(_) => continue,
        };
        context.journal.record(kind, |event| event.vm(id.clone()).detail(vm.role.name()));
    }
    for (id, vm) in &before.vms {
        if after.vms.contains_key(id) {
            continue;
        }
        context
            .journal
            .record(Kind::VmRemoved, |event| event.vm(id.clone()).detail(vm.role.name()));
    }
}
