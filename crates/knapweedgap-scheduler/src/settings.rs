//! Settings of one process.

use std::net::SocketAddr;

use knapweedgap_core::{id, rate, size};
use knapweedgap_workload::bounds::Bounds;

/// Settings of one process. Built by [`Builder`].
#[derive(Debug, Clone)]
pub struct Settings {
    pub(crate) name: id::Instance,
    pub(crate) zone: id::Zone,
    pub(crate) clients: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) links: SocketAddr,
    pub(crate) metrics: Option<SocketAddr>,
    pub(crate) connections_max: usize,
    pub(crate) requests_max: size::Bytes,
    pub(crate) processors: size::Processor,
    pub(crate) link: rate::Bits,
    pub(crate) bounds: Bounds,
}

/// Default limit on concurrent client connections.
const CONNECTIONS_MAX: usize = 1_000;

/// Default limit on the memory of client connections and unfinished requests.
const REQUESTS_MAX: size::Bytes = size::Bytes::new(128 * 1024 * 1024);

/// Default bandwidth of the network link of the VM.
const LINK: rate::Bits = rate::Bits::new(1_000_000_000);

/// Builder of [`Settings`].
#[derive(Debug)]
pub struct Builder {
    settings: Settings,
}

impl Settings {
    /// Creates a builder from the name and zone of the instance and its listening addresses for
    /// clients, readiness checks and links from other instances.
    pub fn builder(
        name: id::Instance,
        zone: id::Zone,
        clients: SocketAddr,
        readiness: SocketAddr,
        links: SocketAddr,
    ) -> Builder {
        let settings = Settings {
            name,
            zone,
            clients,
            readiness,
            links,
            metrics: None,
            connections_max: CONNECTIONS_MAX,
            requests_max: REQUESTS_MAX,
            processors: size::Processor::from_cores(1),
            link: LINK,
            bounds: Bounds::builder().build(),
        };
        Builder { settings }
    }
}

impl Builder {
    /// Sets the listening address for metrics. Without it, metrics are not served.
    pub fn metrics(mut self, address: SocketAddr) -> Builder {
        self.settings.metrics = Some(address);
        self
    }

    /// Sets the limit on concurrent client connections; 1,000 by default.
    pub fn connections_max(mut self, connections: usize) -> Builder {
        self.settings.connections_max = connections;
        self
    }

    /// Sets the limit on the memory of client connections and unfinished requests; 128 MiB by
    /// default.
    pub fn requests_max(mut self, memory: size::Bytes) -> Builder {
        self.settings.requests_max = memory;
        self
    }

    /// Sets the processor capacity of the VM; one core by default. VMs with more capacity claim the
    /// ownership first.
    pub fn processors(mut self, processors: size::Processor) -> Builder {
        self.settings.processors = processors;
        self
    }

    /// Sets the bandwidth of the VM's network link; 1 Gbit/s by default. With the processors, it
    /// decides how many workers the instance talks to.
    pub fn link(mut self, link: rate::Bits) -> Builder {
        self.settings.link = link;
        self
    }

    /// Sets the time limits of the platform.
    pub fn bounds(mut self, bounds: Bounds) -> Builder {
        self.settings.bounds = bounds;
        self
    }

    /// Creates the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
