//! `standin-proxy`: fault-injecting proxy. The second line of its output is `control ADDR`, the
//! address of the control port, which sets the faults.

use std::net::{SocketAddr, TcpListener};

use bpaf::{Parser, construct};
use futures_lite::FutureExt;
use knapweedgap_standin::proxy::Proxy;
use knapweedgap_standin::serve;

fn main() -> std::io::Result<()> {
    let target = bpaf::long("target").help("Address to forward to").argument::<SocketAddr>("ADDR");
    let control = bpaf::long("control").help("Address of the control port, which sets the faults");
    let control = control.argument::<SocketAddr>("ADDR");
    let listen = serve::listen();
    let (listen, target, control) = construct!(listen, target, control).to_options().run();
    let listener = TcpListener::bind(listen)?;
    let control = TcpListener::bind(control)?;
    let addresses = [("listening", listener.local_addr()?), ("control", control.local_addr()?)];
    serve::announce(&addresses)?;
    let proxy = Proxy::new(target);
    async_io::block_on(proxy.clone().run(listener).or(proxy.run_control(control)))
}
