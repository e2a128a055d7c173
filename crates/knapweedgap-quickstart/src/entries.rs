//! Daemon instances, each on its own control thread.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use knapweedgap_core::id;
use knapweedgap_daemon::config;
use knapweedgap_operator::Caller;
use knapweedgap_operator::connection::Http;
use knapweedgap_settings::Path;

use crate::fault::Fault;
use crate::layout;
use crate::platform;

/// Longest wait for the answer to an operator call.
const CALL_TIME: Duration = Duration::from_secs(5);

/// One running instance.
pub(crate) struct Entry {
    /// Id of the instance.
    pub(crate) id: id::Instance,
    /// Address for clients.
    pub(crate) client: SocketAddr,
    /// Address for operators.
    pub(crate) operator: SocketAddr,
    stop: Sender<()>,
    ended: Receiver<Result<(), String>>,
}

impl Entry {
    /// Starts `count` instances in availability zones of their own.
    ///
    /// # Errors
    ///
    /// A port can't be found or a thread can't be started.
    pub(crate) fn start_all(
        count: usize,
        store: SocketAddr,
        inventory: SocketAddr,
    ) -> Result<Vec<Entry>, Fault> {
        // All ports are held until all are known, so that they differ.
        let mut held = Vec::new();
        for _ in 0..count * 3 {
            held.push(platform::listen()?);
        }
        let addresses: Vec<SocketAddr> = held.iter().map(|(_, address)| *address).collect();
        drop(held);
        let mut entries = Vec::new();
        for (index, ports) in addresses.chunks(3).enumerate() {
            let [client, operator, peer] = *ports else { continue };
            let process = config::Process {
                instance: layout::parse(&format!("entry-{}", index + 1))?,
                zone: layout::parse(&format!("zone-{}", index + 1))?,
                place: Path::root(),
                client,
                operator,
                peer,
                store: vec![store],
                inventory,
                traffic_threads: 1,
                log_level: log::LevelFilter::Off,
                log_file: None,
            };
            entries.push(Entry::start(process)?);
        }
        Ok(entries)
    }

    fn start(process: config::Process) -> Result<Entry, Fault> {
        let (stop, stopped) = async_channel::bounded(1);
        let (end, ended) = async_channel::bounded(1);
        let id = process.instance.clone();
        let (client, operator) = (process.client, process.operator);
        let builder = thread::Builder::new().name(format!("control-{id}"));
        let control = move || {
            let result = knapweedgap_daemon::run(process, stopped);
            let _ = end.try_send(result.map_err(|fault| fault.to_string()));
        };
        builder.spawn(control).map_err(|error| Fault::new("control thread", error))?;
        Ok(Entry { id, client, operator, stop, ended })
    }

    /// Asks the instance for a graceful shutdown.
    pub(crate) fn stop(&self) {
        self.stop.close();
    }

    /// Waits until the instance has ended.
    ///
    /// # Errors
    ///
    /// The instance could not start.
    pub(crate) async fn ended(&self) -> Result<(), Fault> {
        match self.ended.recv().await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(reason)) => Err(Fault::new(self.id.as_str(), reason)),
            Err(_) => Err(Fault::new(self.id.as_str(), "the control thread panicked")),
        }
    }

    /// Returns a caller of the administration API of this instance alone.
    pub(crate) fn caller(&self) -> Caller<Http> {
        Caller::new(vec![Http::new(self.operator, CALL_TIME)])
    }
}
