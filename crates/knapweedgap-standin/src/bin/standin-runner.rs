//! `standin-runner`: stand-in for an upstream with slots and a queue.

use std::process::ExitCode;

fn main() -> ExitCode {
    knapweedgap_standin::runner::main()
}
