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

/// Timeout of one operator call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// One running instance.
pub(crate) struct Entry {
    pub(crate) id: id::Instance,
    /// Listening address for clients.
    pub(crate) client: SocketAddr,
    /// Listening address of the administration API.
    pub(crate) operator: SocketAddr,
    stop: Sender<()>,
    ended: Receiver<Result<(), String>>,
}

impl Entry {
    /// Starts `count` instances, each in its own availability zone.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if no port can be bound or a thread can't be started.
    pub(crate) fn start_all(
        count: usize,
        store: SocketAddr,
        inventory: SocketAddr,
    ) -> Result<Vec<Entry>, Fault> {
        // Keeps all listeners open until every port is chosen, so that the ports differ.
        let mut listeners = Vec::new();
        for _ in 0..count * 3 {
            listeners.push(platform::listen()?);
        }
        let addresses: Vec<SocketAddr> = listeners.iter().map(|(_, address)| *address).collect();
        drop(listeners);
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

    /// Starts a graceful shutdown of the instance.
    pub(crate) fn stop(&self) {
        self.stop.close();
    }

    /// Waits until the control thread of the instance has ended.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the instance could not start or its control thread panicked.
    pub(crate) async fn wait_ended(&self) -> Result<(), Fault> {
        match self.ended.recv().await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(reason)) => Err(Fault::new(self.id.as_str(), reason)),
            Err(_) => Err(Fault::new(self.id.as_str(), "the control thread panicked")),
        }
    }

    /// Returns a client of the administration API that calls only this instance.
    pub(crate) fn caller(&self) -> Caller<Http> {
        Caller::new(vec![Http::new(self.operator, CALL_TIMEOUT)])
    }
}
