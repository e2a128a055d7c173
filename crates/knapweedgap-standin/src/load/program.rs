//! Command line of `standin-load`.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use async_executor::LocalExecutor;
use bpaf::{OptionParser, Parser, construct, long};
use knapweedgap_core::{id, size};

use super::{Arrival, Load, Outcome, Settings, Summary};
use crate::record;

/// Upper limit of the option `--count`.
const COUNT_MAX: u64 = 10_000_000;
/// Upper limit of the option `--seconds`.
const SECONDS_MAX: u64 = 3600;
/// Upper limit of the option `--connections`.
const CONNECTIONS_MAX: u32 = 4096;

struct Options {
    entries: Vec<SocketAddr>,
    record: Option<PathBuf>,
    service: id::Service,
    rate: Option<f64>,
    connections: size::Connection,
    count: u64,
    seconds: u64,
    non_idempotent: f64,
    deadline_ms: u64,
    repeats: u32,
    work_ms: Option<u64>,
    body_bytes: u64,
    answer_bytes: Option<u64>,
    seed: u64,
    json: bool,
}

/// Runs the program with the options of the command line. The exit code reports a failure if any
/// answer was wrong.
pub fn main() -> ExitCode {
    let options = parser().run();
    let json = options.json;
    let printed = run(options).and_then(|summary| {
        print(&summary, json)?;
        Ok(summary)
    });
    match printed {
        Ok(summary) if summary.reported.contains_key(&Outcome::Wrong) => ExitCode::FAILURE,
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: Options) -> io::Result<Summary> {
    let recorder = record::open(options.record.as_deref())?;
    let arrival = options.rate.map_or(Arrival::Closed, Arrival::Open);
    let settings = Settings::builder(options.entries, options.service)
        .arrival(arrival)
        .connections(options.connections)
        .bound(options.count, Duration::from_secs(options.seconds))
        .non_idempotent(options.non_idempotent)
        .deadline(Duration::from_millis(options.deadline_ms))
        .repeats(options.repeats)
        .work(options.work_ms.map(Duration::from_millis))
        .body(options.body_bytes, options.answer_bytes)
        .seed(options.seed)
        .build();
    let load = Load::new(settings, recorder)?;
    async_io::block_on(LocalExecutor::new().run(load.run()))
}

fn print(summary: &Summary, json: bool) -> io::Result<()> {
    let mut output = io::stdout();
    if json {
        writeln!(output, "{}", serde_json::to_string(summary)?)
    } else {
        writeln!(output, "{summary}")
    }
}

fn parser() -> OptionParser<Options> {
    let entries = long("entry").help("Address of an entry; may be repeated").argument("ADDR");
    let entries = entries.some("at least one entry is required");
    let record = record::option();
    let service = long("service").help("First path segment of the requests").argument("NAME");
    let rate =
        long("rate").help("Arrival rate per second; without it, a closed loop").argument("X");
    let rate = rate.guard(|rate| (0.001..=100_000.0).contains(rate), "0.001 to 100000").optional();
    let connections = long("connections").help("Number of keep-alive connections").argument("N");
    let connections = connections
        .guard(|count: &size::Connection| (1..=CONNECTIONS_MAX).contains(&count.get()), "1 to 4096")
        .fallback(size::Connection::new(8));
    let count = long("count").help("Maximum number of requests").argument("N");
    let count = count.guard(|count| *count <= COUNT_MAX, "at most 10000000").fallback(1000);
    let seconds = long("seconds").help("Maximum run time").argument("S");
    let seconds = seconds.guard(|seconds| *seconds <= SECONDS_MAX, "at most 3600").fallback(10);
    let non_idempotent = long("non-idempotent").help("Share of non-idempotent requests");
    let non_idempotent = non_idempotent.argument("X");
    let non_idempotent =
        non_idempotent.guard(|share| (0.0..=1.0).contains(share), "0 to 1").fallback(0.0);
    let deadline_ms = long("deadline-ms").help("Deadline of a request").argument("MS");
    let deadline_ms =
        deadline_ms.guard(|ms| (1..=600_000).contains(ms), "1 to 600000").fallback(2000);
    let repeats = long("repeats")
        .help("Maximum repeats of a request after connection failures")
        .argument("N");
    let repeats = repeats.guard(|repeats| *repeats <= 100, "at most 100").fallback(2);
    let work_ms = long("work-ms").help("Service time to request from the runner");
    let work_ms = work_ms.argument("MS").optional();
    let body_bytes = long("body-bytes").help("Length of a request body").argument("N");
    let body_bytes = body_bytes.guard(|bytes| *bytes <= 1 << 24, "at most 16777216").fallback(64);
    let answer_bytes = long("answer-bytes").help("Length of a streamed answer").argument("N");
    let answer_bytes =
        answer_bytes.guard(|bytes| *bytes <= 1 << 30, "at most 1073741824").optional();
    let seed = long("seed")
        .help("Seed of arrival times and of the choice of non-idempotent requests")
        .argument("N")
        .fallback(0);
    let json = long("json").help("Print the summary as JSON").switch();
    let options = construct!(Options {
        entries,
        record,
        service,
        rate,
        connections,
        count,
        seconds,
        non_idempotent,
        deadline_ms,
        repeats,
        work_ms,
        body_bytes,
        answer_bytes,
        seed,
        json,
    });
    options.to_options().descr("Client that sends load to the entries and checks the answers")
}
