//! Command line of `standin-runner`.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use async_executor::LocalExecutor;
use bpaf::{OptionParser, Parser, construct, long};
use knapweedgap_core::size;

use super::{CONNECTIONS, Crash, End, Point, Runner, SLOTS, Settings};
use crate::{record, serve};

/// Exit code after a configured crash.
const CRASH_EXIT_CODE: u8 = 9;

struct Options {
    listen: SocketAddr,
    record: Option<PathBuf>,
    name: String,
    slots: size::Slot,
    queue: u32,
    connections: size::Connection,
    work_ms: u64,
    spread: f64,
    seed: u64,
    crash: Option<Crash>,
}

/// Runs the program with the options of the command line.
pub fn main() -> ExitCode {
    let options = parser().run();
    match run(options) {
        Ok(End::Crashed) => ExitCode::from(CRASH_EXIT_CODE),
        Err(error) => {
            eprintln!("standin-runner: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: Options) -> io::Result<End> {
    let recorder = record::open(options.record.as_deref())?;
    let settings = Settings::builder()
        .slots(options.slots)
        .queue(options.queue)
        .connections(options.connections)
        .work(Duration::from_millis(options.work_ms), options.spread)
        .seed(options.seed)
        .crash(options.crash)
        .build();
    let listener = serve::bind(options.listen)?;
    let runner = Runner::new(&options.name, settings, recorder);
    async_io::block_on(LocalExecutor::new().run(runner.run(listener)))
}

fn parser() -> OptionParser<Options> {
    let listen = serve::listen();
    let record = record::option();
    let name = long("name").help("Name in the record").argument("NAME");
    let name = name.fallback("runner".to_owned());
    let slots = long("slots").help("Requests processed concurrently").argument("N");
    let slots = slots.fallback(size::Slot::new(SLOTS));
    let queue = long("queue").help("Requests that may wait for a slot").argument("N").fallback(16);
    let connections = long("connections").help("Maximum number of open connections").argument("N");
    let connections = connections.fallback(size::Connection::new(CONNECTIONS));
    let work_ms = long("work-ms").help("Median service time").argument("MS").fallback(20);
    let spread =
        long("work-spread").help("Standard deviation of the logarithm of the service time");
    let spread = spread.argument::<f64>("X").guard(|spread| (0.0..=3.0).contains(spread), "0 to 3");
    let spread = spread.fallback(0.5);
    let seed = long("seed").help("Seed of the service times").argument("N").fallback(0);
    let crash = crash();
    let options = construct!(Options {
        listen,
        record,
        name,
        slots,
        queue,
        connections,
        work_ms,
        spread,
        seed,
        crash,
    });
    options.to_options().descr("Stand-in for an upstream with slots and a queue")
}

fn crash() -> impl Parser<Option<Crash>> {
    let before =
        long("die-before").help("Exit after reading the Nth request, before its work begins");
    let before = before.argument("N").map(|request| Crash { point: Point::Before, request });
    let after = long("die-after").help("Exit after the work of the Nth request, before its answer");
    let after = after.argument("N").map(|request| Crash { point: Point::After, request });
    construct!([before, after]).optional()
}
