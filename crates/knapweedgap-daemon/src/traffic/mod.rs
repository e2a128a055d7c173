//! Traffic threads. Each owns its listener, its connections and one router.

mod attempt;
mod dispatch;
mod endpoint;
mod message;
mod thread;
mod window;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use socket2::{Domain, Protocol, Socket, Type};

use crate::config;
use crate::publish::Reader;

pub(crate) use message::{MESSAGES_MAX, Measurement, Message};

/// Error that prevents the traffic threads from starting.
#[derive(Debug)]
pub(crate) enum Fault {
    Listen(std::io::Error),
    Thread(std::io::Error),
}

/// Handle of the running traffic threads, owned by the control thread.
#[derive(Debug)]
pub(crate) struct Threads {
    /// Closing this channel stops the listeners.
    accepting: Sender<()>,
    /// Closes when all threads have ended.
    ended: Receiver<()>,
}

impl Threads {
    /// Closes the listeners. Each connection ends after its request in progress.
    pub(crate) fn stop_accepting(&self) {
        self.accepting.close();
    }

    /// Waits until all threads have ended, at most for `limit`. A thread ends after its requests in
    /// flight.
    pub(crate) async fn wait_until_ended(&self, limit: Duration) {
        let ended = async {
            let _ = self.ended.recv().await;
        };
        let timeout = async {
            async_io::Timer::at(Instant::now() + limit).await;
            log::warn!("[process] requests still in flight after {limit:?}");
        };
        futures_lite::future::or(ended, timeout).await;
    }
}

/// Starts one traffic thread for each reader.
pub(crate) fn start(
    config: &config::Process,
    readers: Vec<Reader>,
    messages: &Sender<Message>,
) -> Result<Threads, Fault> {
    let (accepting, stop) = async_channel::bounded(1);
    let (ended_sender, ended) = async_channel::bounded(1);
    let mut sockets = Vec::new();
    for _ in &readers {
        sockets.push(bind(config.client).map_err(Fault::Listen)?);
    }
    for (number, (reader, socket)) in readers.into_iter().zip(sockets).enumerate() {
        let setup = thread::Setup {
            number: u32::try_from(number).unwrap_or_default(),
            socket,
            reader,
            messages: messages.clone(),
            stop: stop.clone(),
            ended: ended_sender.clone(),
        };
        let builder = std::thread::Builder::new().name(format!("traffic-{number}"));
        builder.spawn(move || thread::run(setup)).map_err(Fault::Thread)?;
    }
    Ok(Threads { accepting, ended })
}

/// Binds a socket that shares its port with the sockets of the other threads, so that the kernel
/// distributes connections among them. It refuses connections until its thread listens.
fn bind(address: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
