//! Fault-injecting proxies of an installation, all on one thread.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use async_channel::Sender;
use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use knapweedgap_standin::proxy::Proxy;

use super::Link;

/// Proxies of an installation. Dropping them closes all their connections.
#[derive(Debug, Default)]
pub(super) struct Proxies {
    controls: BTreeMap<Link, SocketAddr>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
    plans: Vec<Plan>,
}

#[derive(Debug)]
struct Plan {
    target: SocketAddr,
    listener: TcpListener,
    control: TcpListener,
}

impl Proxies {
    /// Adds a proxy and returns its address, to be used in place of the target's.
    pub(super) fn add(&mut self, link: Link, target: SocketAddr) -> SocketAddr {
        let (listener, control) = (bind(), bind());
        let address = local(&listener);
        self.controls.insert(link, local(&control));
        self.plans.push(Plan { target, listener, control });
        address
    }

    /// Returns the address at which the faults of a link are set.
    pub(super) fn control(&self, link: Link) -> SocketAddr {
        *self.controls.get(&link).unwrap_or_else(|| panic!("{link:?} has no proxy"))
    }

    /// Starts all added proxies.
    pub(super) fn start(&mut self) {
        let plans = std::mem::take(&mut self.plans);
        let (stop, stopped) = async_channel::bounded::<()>(1);
        self.stop = Some(stop);
        self.thread = Some(std::thread::spawn(move || {
            let executor = LocalExecutor::new();
            for plan in plans {
                let proxy = Proxy::new(plan.target);
                let run = proxy.clone().run(plan.listener).or(proxy.run_control(plan.control));
                executor.spawn(run).detach();
            }
            async_io::block_on(executor.run(async {
                let _ = stopped.recv().await;
            }));
        }));
    }
}

impl Drop for Proxies {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            // The thread has already printed the message of a panic.
            let _ = thread.join();
        }
    }
}

fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a local port should be free")
}

fn local(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound listener has an address")
}
