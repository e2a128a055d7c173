//! Builder of an installation.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use serde_json::{Value, json};

use super::child::{Child, profile_directory};
use super::proxies::Proxies;
use super::{Cluster, Entry, Link, Machine, SERVICE, call, expect, lock, start_machine};

/// Range from which the ports of the daemon are taken. It lies below the system's range of ephemeral
/// ports, so that no outgoing connection uses the port of a stopped instance.
const PORTS: std::ops::Range<u16> = 12_000..30_000;

/// Builder of [`Cluster`].
#[derive(Debug, Clone)]
pub struct Builder {
    entries: usize,
    zones: usize,
    workers: usize,
    runners: usize,
    seed: u64,
    store_proxies: bool,
    inventory_proxies: bool,
    runner_proxies: bool,
    worker_proxies: bool,
    runner_args: Vec<String>,
    one_runner_args: BTreeMap<usize, Vec<String>>,
    worker_args: Vec<String>,
    log_level: String,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            entries: 3,
            zones: 3,
            workers: 0,
            runners: 3,
            seed: 0,
            store_proxies: false,
            inventory_proxies: false,
            runner_proxies: false,
            worker_proxies: false,
            runner_args: Vec::new(),
            one_runner_args: BTreeMap::new(),
            worker_args: Vec::new(),
            log_level: "debug".to_owned(),
        }
    }
}

impl Builder {
    /// Sets the number of instances of the daemon.
    pub fn entries(mut self, count: usize) -> Builder {
        self.entries = count;
        self
    }

    /// Sets the number of availability zones, to which processes are assigned round-robin.
    pub fn zones(mut self, count: usize) -> Builder {
        self.zones = count;
        self
    }

    /// Sets the number of workers. Each has 16 processors and 60 GiB; six share a rack.
    pub fn workers(mut self, count: usize) -> Builder {
        self.workers = count;
        self
    }

    /// Sets the number of runners. Each has eight slots.
    pub fn runners(mut self, count: usize) -> Builder {
        self.runners = count;
        self
    }

    /// Sets the random seed of the stand-ins.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = seed;
        self
    }

    /// Adds a proxy between each entry and the key-value service.
    pub fn store_proxies(mut self) -> Builder {
        self.store_proxies = true;
        self
    }

    /// Adds a proxy between each entry and the VM list.
    pub fn inventory_proxies(mut self) -> Builder {
        self.inventory_proxies = true;
        self
    }

    /// Adds a proxy in front of each runner.
    pub fn runner_proxies(mut self) -> Builder {
        self.runner_proxies = true;
        self
    }

    /// Adds a proxy in front of each worker.
    pub fn worker_proxies(mut self) -> Builder {
        self.worker_proxies = true;
        self
    }

    /// Adds a command-line option for all runners.
    pub fn runner_arg(mut self, arg: &str) -> Builder {
        self.runner_args.push(arg.to_owned());
        self
    }

    /// Adds a command-line option for one runner.
    pub fn one_runner_arg(mut self, index: usize, arg: &str) -> Builder {
        self.one_runner_args.entry(index).or_default().push(arg.to_owned());
        self
    }

    /// Adds a command-line option for all workers.
    pub fn worker_arg(mut self, arg: &str) -> Builder {
        self.worker_args.push(arg.to_owned());
        self
    }

    /// Starts all processes and waits until they are ready.
    ///
    /// # Panics
    ///
    /// Panics if a process can't be started or is not ready within 15 s.
    pub fn start(self) -> Cluster {
        let lock = lock::acquire();
        let id = fastrand::u64(..);
        let directory = profile_directory().join("system-tests").join(format!("{id:016x}"));
        std::fs::create_dir_all(&directory).expect("the directory of a test should be creatable");
        println!("seed {}", self.seed);
        let (store, inventory) =
            (service("standin-kv", &directory), service("standin-inventory", &directory));
        let mut cluster = Cluster {
            entries: Vec::new(),
            runners: Vec::new(),
            workers: Vec::new(),
            store: store.1,
            inventory: inventory.1,
            proxies: Proxies::default(),
            services: vec![store.0, inventory.0],
            loads: 0,
            lag: std::time::Duration::ZERO,
            directory,
            _lock: lock,
        };
        let mut vms = Vec::new();
        self.add_runners(&mut cluster, &mut vms);
        self.add_workers(&mut cluster, &mut vms);
        self.add_entries(&mut cluster, &mut vms);
        cluster.proxies.start();
        let change = json!({ "replace": vms });
        expect(call(cluster.inventory, "POST", "/control/vms", Some(&change)));
        for index in 0..self.entries {
            cluster.start_entry(index);
        }
        cluster.wait_ready();
        cluster
    }

    fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.zones + 1)
    }

    fn add_runners(&self, cluster: &mut Cluster, vms: &mut Vec<Value>) {
        for index in 0..self.runners {
            let name = format!("runner-{index}");
            let mut args = vec![format!("--name={name}"), format!("--seed={}", self.seed)];
            args.extend(self.runner_args.iter().cloned());
            args.extend(self.one_runner_args.get(&index).into_iter().flatten().cloned());
            let machine = self.machine(cluster, "standin-runner", index, name, args);
            let mut address = machine.address;
            if self.runner_proxies {
                address = cluster.proxies.add(Link::Runner(index), address);
            }
            vms.push(json!({
                "id": machine.name, "role": "upstream", "service": SERVICE, "address": address,
                "zone": machine.zone, "state": "live", "slots": 8,
                "capacity": capacity(1, 1),
            }));
            cluster.runners.push(machine);
        }
    }

    fn add_workers(&self, cluster: &mut Cluster, vms: &mut Vec<Value>) {
        for index in 0..self.workers {
            let name = format!("worker-{index}");
            let mut args = vec![
                format!("--worker={name}"),
                "--capacity=16/60GiB/0".to_owned(),
                format!("--seed={}", self.seed),
            ];
            args.extend(self.worker_args.iter().cloned());
            let machine = self.machine(cluster, "standin-worker", index, name, args);
            let mut address = machine.address;
            if self.worker_proxies {
                address = cluster.proxies.add(Link::Worker(index), address);
            }
            vms.push(json!({
                "id": machine.name, "role": "worker", "address": address, "zone": machine.zone,
                "rack": format!("rack-{}", index / 6), "state": "live",
                "capacity": capacity(16, 60),
            }));
            cluster.workers.push(machine);
        }
    }

    fn machine(
        &self,
        cluster: &Cluster,
        program: &str,
        index: usize,
        name: String,
        args: Vec<String>,
    ) -> Machine {
        let record = cluster.directory.join(format!("{name}.jsonl"));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut machine =
            Machine { name, zone: self.zone(index), address, record, args, child: None };
        start_machine(program, &mut machine, &cluster.directory);
        machine
    }

    fn add_entries(&self, cluster: &mut Cluster, vms: &mut Vec<Value>) {
        let mut ports = Ports::new();
        for index in 0..self.entries {
            let name = format!("entry-{index}");
            let (client, operator, peer) = (ports.next(), ports.next(), ports.next());
            let (mut store, mut inventory) = (cluster.store, cluster.inventory);
            if self.store_proxies {
                store = cluster.proxies.add(Link::Store(index), store);
            }
            if self.inventory_proxies {
                inventory = cluster.proxies.add(Link::Inventory(index), inventory);
            }
            let zone = self.zone(index);
            let text = json!({
                "instance": name, "zone": zone, "client": client, "operator": operator,
                "peer": peer, "store": [store], "inventory": inventory,
                "log_level": self.log_level,
            });
            let settings = cluster.directory.join(format!("{name}.json"));
            std::fs::write(&settings, text.to_string())
                .expect("a configuration file should be writable");
            vms.push(json!({
                "id": name, "role": "entry", "address": peer, "zone": zone, "state": "live",
                "capacity": capacity(2, 4),
            }));
            cluster.entries.push(Entry { name, zone, client, operator, settings, child: None });
        }
    }
}

/// Starts a stand-in for a service and returns it with its address.
fn service(program: &str, directory: &Path) -> (Child, SocketAddr) {
    let log = directory.join(format!("{program}.log"));
    let mut child = Child::start(program, &["--listen=127.0.0.1:0".to_owned()], &log);
    let address = child.read_address();
    (child, address)
}

/// Generator of free ports for the daemon, whose configuration must name them.
struct Ports {
    next: u16,
}

impl Ports {
    /// Starts at a random port to avoid ports that recent installations have just closed.
    fn new() -> Ports {
        Ports { next: fastrand::u16(PORTS) }
    }

    /// Returns the next local address whose port is free.
    fn next(&mut self) -> SocketAddr {
        loop {
            let port = self.next;
            self.next = if port + 1 < PORTS.end { port + 1 } else { PORTS.start };
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }
}

/// Returns a capacity in the format of the VM list.
fn capacity(processors: u64, memory_gib: u64) -> Value {
    json!({ "processor": processors * 1000, "memory": memory_gib << 30, "accelerator": 0 })
}
