//! Command line of `standin-worker`.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use async_executor::LocalExecutor;
use bpaf::{OptionParser, Parser, construct, long};
use knapweedgap_core::{id, size};

use super::{Behaviour, Settings, Worker};
use crate::{record, serve};

struct Options {
    listen: SocketAddr,
    record: Option<PathBuf>,
    worker: id::Worker,
    capacity: size::Resources,
    behaviour: Behaviour,
    usage_lag_ms: u64,
    checkpoint_ms: Option<u64>,
    seed: u64,
}

/// Runs the program with the options of the command line.
pub fn main() -> ExitCode {
    let options = parser().run();
    match run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-worker: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: Options) -> io::Result<()> {
    let recorder = record::open(options.record.as_deref())?;
    let settings = Settings::builder(options.worker, options.capacity)
        .behaviour(options.behaviour)
        .usage_lag(Duration::from_millis(options.usage_lag_ms))
        .checkpoint_interval(options.checkpoint_ms.map(Duration::from_millis))
        .seed(options.seed)
        .build();
    let listener = serve::bind(options.listen)?;
    let worker = Worker::new(settings, recorder);
    async_io::block_on(LocalExecutor::new().run(worker.run(listener)))
}

fn parser() -> OptionParser<Options> {
    let listen = serve::listen();
    let record = record::option();
    let worker = long("worker").help("Id of the worker").argument("ID");
    let capacity = long("capacity").help("Capacity, such as 16/60GiB/0").argument("SIZE");
    let behaviour = behaviour();
    let usage_lag_ms =
        long("usage-lag-ms").help("Age of the reported resource usage").argument("MS");
    let usage_lag_ms = usage_lag_ms.fallback(2000);
    let checkpoint_ms = long("checkpoint-ms").help("Interval of periodic checkpoints");
    let checkpoint_ms = checkpoint_ms.argument("MS").optional();
    let seed =
        long("seed").help("Seed that selects the failing attempts").argument("N").fallback(0);
    let options = construct!(Options {
        listen,
        record,
        worker,
        capacity,
        behaviour,
        usage_lag_ms,
        checkpoint_ms,
        seed,
    });
    options.to_options().descr("Stand-in for a worker of the platform")
}

fn behaviour() -> impl Parser<Behaviour> {
    let run_time = long("run-time-factor").help("Ratio of actual to declared run time");
    let run_time = run_time.argument::<f64>("X").fallback(1.0);
    let memory = long("memory-factor").help("Ratio of actual to declared memory");
    let memory = memory.argument::<f64>("X").fallback(1.0);
    let failure = long("failure-share").help("Share of the attempts that fail, from 0 to 1");
    let failure = failure.argument::<f64>("X").fallback(0.0);
    let fail_all = long("fail-everything").help("Fail every attempt at once").switch();
    construct!(run_time, memory, failure, fail_all).parse(
        |(run_time_factor, memory_factor, failure_share, fail_all)| {
            let failure_share = if fail_all { 1.0 } else { failure_share };
            let behaviour = Behaviour { run_time_factor, memory_factor, failure_share };
            // Parsing the text form applies the same range checks as for a payload.
            behaviour.to_string().parse::<Behaviour>()
        },
    )
}
