//! Cases of the review, each on a small installation of real processes on loopback addresses.
//! Usage: `cases CASE FOLDER`, with `TROUBLE=0` in the environment to leave the disruption out.
//! It writes `FOLDER/record.txt` and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod advice;
mod cases;
mod http;
mod json;
mod record;
mod runner;
mod site;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(&case, &folder, trouble) {
        Ok(true) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
