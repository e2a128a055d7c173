//! Starts every component in one process on free loopback ports and runs the main scenario.
//!
//! The exit code is 0 if all checks passed, and 1 otherwise.

mod clients;
mod entries;
mod fault;
mod job;
mod layout;
mod platform;
mod progress;
mod records;
mod run;
mod timeline;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;

use fault::Fault;

/// Limit on the whole run, so that a component that hangs does not hang the program.
const RUN_TIMEOUT: Duration = Duration::from_secs(90);

fn main() -> ExitCode {
    let executor = Rc::new(LocalExecutor::new());
    let run_with_timeout = async {
        let watchdog = executor.spawn(async {
            Timer::after(RUN_TIMEOUT).await;
            eprintln!("quickstart: run timed out after {} s", RUN_TIMEOUT.as_secs());
            std::process::exit(1);
        });
        let result = run::run(executor.clone()).await;
        watchdog.cancel().await;
        result
    };
    let result: Result<bool, Fault> = async_io::block_on(executor.run(run_with_timeout));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("quickstart: {fault}");
            ExitCode::FAILURE
        }
    }
}
