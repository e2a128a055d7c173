//! Clients of the service: open-loop load at a constant rate on each entry.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use knapweedgap_core::size;
use knapweedgap_standin::load::{Arrival, Load, Settings};

use crate::fault::Fault;
use crate::layout;
use crate::platform::SERVICE;
use crate::records::Records;

/// Requests per second to one entry. The rate is low because the machine also runs every other
/// component.
const RATE_PER_S: f64 = 20.0;
/// Duration of one round of load. An entry is removed from the load between two rounds, so a round
/// must be shorter than the time for which a stopping entry keeps its listener open (2 s).
const ROUND: Duration = Duration::from_millis(500);
/// Share of non-idempotent requests, from 0 to 1.
const NON_IDEMPOTENT: f64 = 0.1;
/// Limit on the requests in one round, far above what the rate produces.
const COUNT_MAX: u64 = 1000;
/// Connections to one entry.
const CONNECTIONS: u32 = 4;

/// Running load on one entry.
pub(crate) struct Clients {
    active: Rc<Cell<bool>>,
    task: Task<Result<(), Fault>>,
}

impl Clients {
    /// Starts the load on an entry. It continues until [`Clients::finish`].
    pub(crate) fn start(
        executor: &LocalExecutor<'static>,
        entry: SocketAddr,
        records: Records,
    ) -> Clients {
        let active = Rc::new(Cell::new(true));
        let task = executor.spawn(send(entry, records, active.clone()));
        Clients { active, task }
    }

    /// Stops the load after the current round and waits for the requests in flight.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if a round of load could not run.
    pub(crate) async fn finish(self) -> Result<(), Fault> {
        self.active.set(false);
        self.task.await
    }
}

async fn send(entry: SocketAddr, records: Records, active: Rc<Cell<bool>>) -> Result<(), Fault> {
    let service = layout::parse(SERVICE)?;
    while active.get() {
        let settings = Settings::builder(vec![entry], Clone::clone(&service))
            .arrival(Arrival::Open(RATE_PER_S))
            .connections(size::Connection::new(CONNECTIONS))
            .bound(COUNT_MAX, ROUND)
            .non_idempotent(NON_IDEMPOTENT)
            .repeats(0)
            .seed(fastrand::u64(..))
            .build();
        let load = Load::new(settings, records.client());
        let load = load.map_err(|error| Fault::new("load", error))?;
        load.run().await.map_err(|error| Fault::new("load", error))?;
    }
    Ok(())
}
