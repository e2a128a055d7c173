//! Platform stand-ins: key-value service, VM list, workers and runners.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use knapweedgap_core::{id, size};
use knapweedgap_standin::runner::{self, Runner};
use knapweedgap_standin::worker::{self, Worker};
use knapweedgap_standin::{inventory, kv};
use serde_json::{Value, json};

use crate::fault::Fault;
use crate::layout;
use crate::records::Records;

/// Name of the service that the runners provide.
pub(crate) const SERVICE: &str = "dispatch";
/// Median service time of the runners.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Standard deviation of the natural logarithm of the service time.
const SERVICE_TIME_SPREAD: f64 = 0.3;
/// Interval between the checkpoints that tasks write without a command.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);

/// Stand-ins that run on the executor of the main thread.
pub(crate) struct Platform {
    /// Address of the key-value service.
    pub(crate) store: SocketAddr,
    /// Address of the VM list.
    pub(crate) inventory: SocketAddr,
    executor: Rc<LocalExecutor<'static>>,
    records: Records,
    workers: BTreeMap<id::Worker, Task<()>>,
    services: Vec<Task<()>>,
    vms: Vec<Value>,
}

impl Platform {
    /// Starts all stand-ins.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if a port can't be bound or a name is not valid.
    pub(crate) fn start(
        executor: Rc<LocalExecutor<'static>>,
        records: Records,
        workers: &BTreeMap<u32, Vec<id::Worker>>,
        hosts: &[id::Worker],
    ) -> Result<Platform, Fault> {
        let (store, store_address) = listen()?;
        let (list, list_address) = listen()?;
        let mut platform = Platform {
            store: store_address,
            inventory: list_address,
            executor,
            records,
            workers: BTreeMap::new(),
            services: Vec::new(),
            vms: Vec::new(),
        };
        platform.spawn("key-value service", kv::Service::new().run(store));
        for worker in workers.values().flatten() {
            platform.start_worker(worker)?;
        }
        for (number, host) in hosts.iter().enumerate() {
            platform.start_runner(number + 1, host)?;
        }
        let service = inventory::Service::new();
        let change =
            inventory::Change { replace: Some(platform.vms.clone()), ..Default::default() };
        service.change(change);
        platform.spawn("VM list", service.run(list));
        Ok(platform)
    }

    /// Kills a worker: closes all its connections and ends its tasks.
    pub(crate) async fn kill(&mut self, worker: &id::Worker) {
        if let Some(task) = self.workers.remove(worker) {
            task.cancel().await;
        }
    }

    fn start_worker(&mut self, worker: &id::Worker) -> Result<(), Fault> {
        let (listener, address) = listen()?;
        let settings = worker::Settings::builder(worker.clone(), layout::worker_capacity())
            .checkpoint_interval(Some(CHECKPOINT_INTERVAL))
            .build();
        let run = Worker::new(settings, self.records.worker()).run(listener);
        let name = worker.clone();
        let task = self.executor.spawn(async move {
            if let Err(error) = run.await {
                eprintln!("quickstart: worker {name} failed: {error}");
            }
        });
        self.workers.insert(worker.clone(), task);
        let zone = self.vms.len() % 3 + 1;
        self.vms.push(json!({
            "id": worker, "role": "worker", "address": address.to_string(),
            "zone": format!("zone-{zone}"), "rack": format!("rack-{zone}"), "state": "live",
            "capacity": capacity(layout::worker_capacity()),
        }));
        Ok(())
    }

    fn start_runner(&mut self, number: usize, host: &id::Worker) -> Result<(), Fault> {
        let (listener, address) = listen()?;
        let name = format!("runner-{number}");
        let settings =
            runner::Settings::builder().work(SERVICE_TIME, SERVICE_TIME_SPREAD).seed(1).build();
        let runner = Runner::new(&name, settings, self.records.runner());
        let run = async move { runner.run(listener).await.map(drop) };
        self.spawn("runner", run);
        self.vms.push(json!({
            "id": name, "role": "upstream", "service": SERVICE, "address": address.to_string(),
            "zone": format!("zone-{number}"), "rack": format!("rack-{number}"), "state": "live",
            "slots": 8, "host": host, "capacity": capacity(layout::runner_capacity()),
        }));
        Ok(())
    }

    fn spawn<Run>(&mut self, name: &'static str, run: Run)
    where
        Run: Future<Output = std::io::Result<()>> + 'static,
    {
        self.services.push(self.executor.spawn(async move {
            if let Err(error) = run.await {
                eprintln!("quickstart: {name} failed: {error}");
            }
        }));
    }
}

/// Binds a free port on the loopback interface.
///
/// # Errors
///
/// Returns a [`Fault`] if no port can be bound.
pub(crate) fn listen() -> Result<(TcpListener, SocketAddr), Fault> {
    let bound = TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let bound = bound.and_then(|listener| Ok((listener.local_addr()?, listener)));
    let (address, listener) = bound.map_err(|error| Fault::new("loopback port", error))?;
    Ok((listener, address))
}

fn capacity(size: size::Resources) -> Value {
    json!({
        "processor": size.processor.milli(),
        "memory": size.memory.get(),
        "accelerator": size.accelerator.get(),
    })
}
