//! Starts every component in one process on free loopback ports and runs the main job.
//!
//! The exit code is 0 if everything that must hold did hold, and 1 otherwise.

mod clients;
mod entries;
mod evidence;
mod fault;
mod job;
mod layout;
mod platform;
mod progress;
mod run;
mod timeline;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;

use fault::Fault;

/// Longest run. A component that hangs must not hang the program.
const LONGEST: Duration = Duration::from_secs(90);

fn main() -> ExitCode {
    let executor = Rc::new(LocalExecutor::new());
    let bounded = async {
        let late = executor.spawn(async {
            Timer::after(LONGEST).await;
            eprintln!("quickstart: the run did not end within {} s", LONGEST.as_secs());
            std::process::exit(1);
        });
        let result = run::run(executor.clone()).await;
        late.cancel().await;
        result
    };
    let result: Result<bool, Fault> = async_io::block_on(executor.run(bounded));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("quickstart: {fault}");
            ExitCode::FAILURE
        }
    }
}
