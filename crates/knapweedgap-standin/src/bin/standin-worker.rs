//! `standin-worker`: stand-in for a worker of the platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    knapweedgap_standin::worker::main()
}
