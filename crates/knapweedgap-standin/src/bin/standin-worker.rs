//! `standin-worker`: stand-in of a worker of the platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    knapweedgap_standin::worker::main()
}
