//! `standin-kv`: stand-in for the key-value service.

use bpaf::Parser;
use knapweedgap_standin::{kv, serve};

fn main() -> std::io::Result<()> {
    let address = serve::listen().to_options().run();
    let listener = serve::bind(address)?;
    async_io::block_on(kv::Service::new().run(listener))
}
