//! `standin-load`: client that sends load to the entries and checks the answers.

use std::process::ExitCode;

fn main() -> ExitCode {
    knapweedgap_standin::load::main()
}
