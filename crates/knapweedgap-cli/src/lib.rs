//! The command-line tool. It depends on the administration API and the settings schema, but not on
//! the scheduling engine.

pub mod command;
pub mod exit;
mod failure;
mod leaf;
mod output;
mod table;
pub mod target;
mod time;

use std::ffi::OsString;
use std::io::Write;

use async_io::block_on;
use bpaf::{Args, ParseFailure};
use knapweedgap_operator::Caller;

use crate::exit::Exit;
use crate::failure::Failure;
use crate::output::Output;
use crate::target::Target;
use knapweedgap_operator::connection::Http;

/// Width of the help text, in characters.
const HELP_WIDTH: usize = 100;

/// Environment variable with the addresses of the instances, separated by commas.
pub const INSTANCES_VARIABLE: &str = "KNAPWEEDGAP_INSTANCES";

/// Parses the arguments, runs the command and prints its result to standard output, or its failure
/// to standard error. `environment` returns the value of an environment variable.
pub fn main(
    arguments: impl Iterator<Item = OsString>,
    environment: &dyn Fn(&str) -> Option<String>,
) -> Exit {
    let arguments: Vec<OsString> = arguments.collect();
    let parsed =
        command::options().run_inner(Args::from(arguments.as_slice()).set_name("knapweedgap"));
    let invocation = match parsed {
        Ok(invocation) => invocation,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => Exit::Usage,
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Ok,
            };
        }
    };
    let json = invocation.target.json;
    match run(invocation, environment) {
        Ok(output) => {
            print(&mut std::io::stdout(), &output.render(json));
            output.exit
        }
        Err(failure) => {
            print(&mut std::io::stderr(), &failure.render(json));
            failure.exit()
        }
    }
}

fn run(
    invocation: command::Invocation,
    environment: &dyn Fn(&str) -> Option<String>,
) -> Result<Output, Failure> {
    let Target { timeout, .. } = invocation.target;
    let addresses = invocation.target.addresses(environment(INSTANCES_VARIABLE).as_deref())?;
    let instances = addresses.into_iter().map(|address| Http::new(address, timeout)).collect();
    let context = command::Context {
        caller: Caller::new(instances),
        user: environment("USER").unwrap_or_default(),
    };
    block_on(invocation.command.run(&context))
}

/// Writes the text and a final line break. Errors are ignored, because a reader such as `head` may
/// close the pipe early.
fn print(out: &mut dyn Write, text: &str) {
    let _ = out.write_all(text.as_bytes());
    if !text.ends_with('\n') {
        let _ = out.write_all(b"\n");
    }
    let _ = out.flush();
}
