//! Clients of the service: a steady load on each entry.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use knapweedgap_core::size;
use knapweedgap_standin::load::{Arrival, Load, Settings};

use crate::evidence::Evidence;
use crate::fault::Fault;
use crate::layout;
use crate::platform::SERVICE;

/// Requests a second to one entry, a light load for a machine that also runs everything else.
const RATE: f64 = 20.0;
/// Length of one round of load. A load balancer takes an entry out between two rounds, so a round
/// must be shorter than the time for which a stopping entry keeps its listener open (2 s).
const ROUND: Duration = Duration::from_millis(500);
/// Share of the requests that are non-idempotent.
const NON_IDEMPOTENT: f64 = 0.1;
/// Most requests in one round.
const COUNT_MAX: u64 = 1000;
/// Connections to one entry.
const CONNECTIONS: u32 = 4;

/// Clients of one entry.
pub(crate) struct Clients {
    open: Rc<Cell<bool>>,
    task: Task<Result<(), Fault>>,
}

impl Clients {
    /// Starts to send load to an entry.
    pub(crate) fn start(
        executor: &LocalExecutor<'static>,
        entry: SocketAddr,
        evidence: Evidence,
    ) -> Clients {
        let open = Rc::new(Cell::new(true));
        let task = executor.spawn(send(entry, evidence, open.clone()));
        Clients { open, task }
    }

    /// Takes the entry out of the load and waits for the answers of the requests in flight.
    ///
    /// # Errors
    ///
    /// The load could not be sent.
    pub(crate) async fn finish(self) -> Result<(), Fault> {
        self.open.set(false);
        self.task.await
    }
}

async fn send(entry: SocketAddr, evidence: Evidence, open: Rc<Cell<bool>>) -> Result<(), Fault> {
    let service = layout::parse(SERVICE)?;
    while open.get() {
        let settings = Settings::builder(vec![entry], Clone::clone(&service))
            .arrival(Arrival::Open(RATE))
            .connections(size::Connection::new(CONNECTIONS))
            .bound(COUNT_MAX, ROUND)
            .non_idempotent(NON_IDEMPOTENT)
            .repeats(0)
            .seed(fastrand::u64(..))
            .build();
        let load = Load::new(settings, evidence.client());
        let load = load.map_err(|error| Fault::new("load", error))?;
        load.run().await.map_err(|error| Fault::new("load", error))?;
    }
    Ok(())
}
