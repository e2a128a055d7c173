//! Command line of the daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use knapweedgap_daemon::{config, log as output, run};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code for an unreadable or invalid settings file.
const EXIT_INVALID_CONFIG: u8 = 2;
/// Exit code for a daemon that can't start.
const EXIT_START_FAILED: u8 = 1;

struct Options {
    config: PathBuf,
    check: bool,
}

fn options() -> OptionParser<Options> {
    let config = long("config")
        .short('c')
        .help("Settings file of this process, in JSON")
        .argument::<PathBuf>("FILE");
    let check = long("check").help("Check the settings file and exit").switch();
    construct!(Options { config, check })
        .to_options()
        .descr("Scheduler daemon for colocated services and batch jobs")
        .footer("Example: knapweedgapd --config entry-1.json")
}

fn main() -> ExitCode {
    let options = options().run();
    let text = match std::fs::read_to_string(&options.config) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}; specify a readable file", options.config.display());
            return ExitCode::from(EXIT_INVALID_CONFIG);
        }
    };
    let process = match config::Process::parse(&text) {
        Ok(process) => process,
        Err(findings) => {
            eprintln!("{}: {findings}", options.config.display());
            return ExitCode::from(EXIT_INVALID_CONFIG);
        }
    };
    if options.check {
        println!("{}: no findings", options.config.display());
        return ExitCode::SUCCESS;
    }
    match start(process) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("{text}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn start(process: config::Process) -> Result<(), String> {
    output::start(process.log_level, process.log_file.as_deref())
        .map_err(|fault| fault.to_string())?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|error| error.to_string())?;
    let (sender, stop) = async_channel::bounded(1);
    std::thread::spawn(move || {
        signals.forever().next();
        sender.close();
    });
    run(process, stop).map_err(|fault| fault.to_string())
}
