//! `knapweedgap`: the command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    let exit = knapweedgap_cli::main(std::env::args_os().skip(1), &|name| std::env::var(name).ok());
    ExitCode::from(exit.code())
}
