//! `knapweedgap-experiment`: measures routing and placement decisions and prints the results.

use std::process::ExitCode;

use knapweedgap_experiment::command;

fn main() -> ExitCode {
    match command::parser().run().run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("knapweedgap-experiment: {error}");
            ExitCode::FAILURE
        }
    }
}
