//! What is measured: users, weightings and methods.

use derive_more::Display;
use knapweedgap_core::{rate, size};
use knapweedgap_placement::settings::Weights;

/// Virtual length of a run.
pub const FULL_SECONDS: u32 = 3600;
/// Virtual length of a quick run.
pub const QUICK_SECONDS: u32 = 600;

const GIB: u64 = 1 << 30;

/// Sizes of the fleets.
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
    /// Every user.
    pub const ALL: [User; 2] = [User::Anadolu, User::Karoo];

    /// Returns the number of workers.
    pub fn workers(self) -> usize {
        match self {
            User::Anadolu => 65,
            User::Karoo => 50,
        }
    }

    /// Returns the cores of a worker.
    pub fn cores(self) -> u32 {
        match self {
            User::Anadolu => 16,
            User::Karoo => 64,
        }
    }

    /// Returns the workers of a rack.
    pub fn rack_len(self) -> usize {
        match self {
            User::Anadolu => 10,
            User::Karoo => 8,
        }
    }

    /// Returns the size of a worker.
    pub fn capacity(self) -> size::Resources {
        let gib = match self {
            User::Anadolu => 60,
            User::Karoo => 250,
        };
        resources(self.cores(), gib)
    }

    /// Returns the reservation of the service on each worker: a quarter of it.
    pub fn reserved(self) -> size::Resources {
        let gib = match self {
            User::Anadolu => 15,
            User::Karoo => 62,
        };
        resources(self.cores() / 4, gib)
    }
}

/// Returns a size without accelerators.
pub fn resources(cores: u32, gib: u64) -> size::Resources {
    size::Resources {
        processor: size::Processor::from_cores(cores),
        memory: size::Bytes::new(gib * GIB),
        accelerator: size::Accelerator::new(0),
    }
}

/// What counts most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Weighting {
    /// Batch throughput.
    #[display("throughput")]
    Throughput,
    /// Latency of services.
    #[display("latency")]
    Latency,
}

impl Weighting {
    /// Every weighting.
    pub const ALL: [Weighting; 2] = [Weighting::Throughput, Weighting::Latency];

    /// Returns the weights: 60 % for what counts most and 20 % for each of the others.
    pub fn weights(self) -> Weights {
        let (most, other) = (rate::Share::from_milli(600), rate::Share::from_milli(200));
        match self {
            Weighting::Throughput => Weights { latency: other, throughput: most, evictions: other },
            Weighting::Latency => Weights { latency: most, throughput: other, evictions: other },
        }
    }
}

/// Way of placing batch work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Method {
    /// No batch work on workers with a service, which is every worker here.
    #[display("no colocation")]
    Apart,
    /// Best fit on declared sizes; the engine receives neither latency nor measured use.
    #[display("blind packing")]
    Blind,
    /// The engine receives latency reports under a new service name each, so that nothing is
    /// learned about a pair, and the declared size as measured use.
    #[display("reaction only")]
    Unlearned,
    /// The engine as it is.
    #[display("engine")]
    Learned,
}

impl Method {
    /// Every method.
    pub const ALL: [Method; 4] = [Method::Apart, Method::Blind, Method::Unlearned, Method::Learned];
}

/// One run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Sizes.
    pub user: User,
    /// What counts most.
    pub weighting: Weighting,
    /// Way of placing.
    pub method: Method,
    /// Virtual length.
    pub seconds: u32,
    /// Seed.
    pub seed: u64,
}

impl Setup {
    /// Returns the second from which on is measured. The fleet fills up before.
    pub fn warm_up(&self) -> u32 {
        self.seconds / 10
    }
}
