//! Cases: users, weightings and methods.

use derive_more::Display;
use knapweedgap_core::{rate, size};
use knapweedgap_placement::settings::Weights;

/// Duration of a full run, in virtual seconds.
pub const FULL_SECONDS: u32 = 3600;
/// Duration of a quick run, in virtual seconds.
pub const QUICK_SECONDS: u32 = 600;

const GIB: u64 = 1 << 30;

/// Organisation whose fleet is simulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum User {
    /// 65 workers of 16 cores and 60 GB.
    #[display("65x16")]
    Anadolu,
    /// 50 workers of 64 cores and 250 GB.
    #[display("50x64")]
    Karoo,
}

impl User {
    /// All users.
    pub const ALL: [User; 2] = [User::Anadolu, User::Karoo];

    /// Returns the number of workers.
    pub fn workers(self) -> usize {
        match self {
            User::Anadolu => 65,
            User::Karoo => 50,
        }
    }

    /// Returns the number of cores of each worker.
    pub fn cores(self) -> u32 {
        match self {
            User::Anadolu => 16,
            User::Karoo => 64,
        }
    }

    /// Returns the number of workers in a rack.
    pub fn rack_len(self) -> usize {
        match self {
            User::Anadolu => 10,
            User::Karoo => 8,
        }
    }

    /// Returns the total capacity of each worker.
    pub fn capacity(self) -> size::Resources {
        let gib = match self {
            User::Anadolu => 60,
            User::Karoo => 250,
        };
        resources(self.cores(), gib)
    }

    /// Returns the capacity that the service reserves on each worker, about a quarter of it.
    pub fn reserved(self) -> size::Resources {
        let gib = match self {
            User::Anadolu => 15,
            User::Karoo => 62,
        };
        resources(self.cores() / 4, gib)
    }
}

/// Creates a size from whole cores and GiB of memory, without accelerators.
pub fn resources(cores: u32, gib: u64) -> size::Resources {
    size::Resources {
        processor: size::Processor::from_cores(cores),
        memory: size::Bytes::new(gib * GIB),
        accelerator: size::Accelerator::new(0),
    }
}

/// Objective with the largest weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Weighting {
    /// Throughput of batch work.
    #[display("throughput")]
    Throughput,
    /// Latency of services.
    #[display("latency")]
    Latency,
}

impl Weighting {
    /// All weightings.
    pub const ALL: [Weighting; 2] = [Weighting::Throughput, Weighting::Latency];

    /// Returns the weights: 60 % for the main objective and 20 % for each of the others.
    pub fn weights(self) -> Weights {
        let (main, other) = (rate::Share::from_milli(600), rate::Share::from_milli(200));
        match self {
            Weighting::Throughput => Weights { latency: other, throughput: main, evictions: other },
            Weighting::Latency => Weights { latency: main, throughput: other, evictions: other },
        }
    }
}

/// Method of placing batch work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Method {
    /// No batch work on workers that host a service, which are all workers in this experiment.
    #[display("no colocation")]
    Isolated,
    /// Best fit by declared sizes; the engine receives neither latency reports nor measured usage.
    #[display("blind packing")]
    Blind,
    /// The engine only reacts to latency reports: each arrives under a new service name, so the
    /// engine learns nothing about pairs of service and class, and the declared size is reported
    /// as measured usage.
    #[display("reaction only")]
    Reactive,
    /// The engine with latency reports and measured usage.
    #[display("engine")]
    Engine,
}

impl Method {
    /// All methods.
    pub const ALL: [Method; 4] =
        [Method::Isolated, Method::Blind, Method::Reactive, Method::Engine];
}

/// Parameters of one run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Organisation whose fleet is simulated.
    pub user: User,
    /// Objective with the largest weight.
    pub weighting: Weighting,
    /// Method of placing batch work.
    pub method: Method,
    /// Duration, in virtual seconds.
    pub seconds: u32,
    /// Seed of the load and of the hosts.
    pub seed: u64,
}

impl Setup {
    /// Returns the first measured second. Before it, the fleet fills with batch work.
    pub fn warm_up(&self) -> u32 {
        self.seconds / 10
    }
}
