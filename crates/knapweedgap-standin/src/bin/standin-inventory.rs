//! `standin-inventory`: stand-in for the VM list service.

use bpaf::Parser;
use knapweedgap_standin::{inventory, serve};

fn main() -> std::io::Result<()> {
    let address = serve::listen().to_options().run();
    let listener = serve::bind(address)?;
    async_io::block_on(inventory::Service::new().run(listener))
}
