//! Settings of one process.

use std::net::SocketAddr;

use knapweedgap_core::{id, size};
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
    pub(crate) processors: size::Processor,
    pub(crate) bounds: Bounds,
}

/// Connections of clients that are open at once when the settings name no limit.
const CONNECTIONS_MAX: usize = 1_000;

/// Builder of [`Settings`].
#[derive(Debug)]
pub struct Builder {
    settings: Settings,
}

impl Settings {
    /// Starts with the name of the process and its addresses for clients, readiness checks and
    /// links to other instances.
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
            processors: size::Processor::from_cores(1),
            bounds: Bounds::builder().build(),
        };
        Builder { settings }
    }
}

impl Builder {
    /// Sets the address on which metrics are served.
    pub fn metrics(mut self, address: SocketAddr) -> Builder {
        self.settings.metrics = Some(address);
        self
    }

    /// Sets how many connections of clients are open at once.
    pub fn connections_max(mut self, connections: usize) -> Builder {
        self.settings.connections_max = connections;
        self
    }

    /// Sets the processor time of the VM. Strong VMs claim the ownership before weak ones.
    pub fn processors(mut self, processors: size::Processor) -> Builder {
        self.settings.processors = processors;
        self
    }

    /// Sets the times and factors of the platform.
    pub fn bounds(mut self, bounds: Bounds) -> Builder {
        self.settings.bounds = bounds;
        self
    }

    /// Returns the finished settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
