//! `knapweedgap-experiment`: measures the decisions and prints tables.

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
