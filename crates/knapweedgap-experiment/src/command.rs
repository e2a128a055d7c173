//! Commands of `knapweedgap-experiment`.

use bpaf::{OptionParser, Parser, construct};

use crate::{cost, placement, routing};

/// Experiment to run.
#[derive(Debug, Clone)]
pub enum Command {
    /// Compares the choice of upstreams with baselines.
    Routing(routing::Options),
    /// Compares colocation with baselines.
    Placement(placement::Options),
    /// Measures memory, log size and processing time of one engine.
    Cost(cost::Options),
}

impl Command {
    /// Runs the experiment and prints its results.
    ///
    /// # Errors
    ///
    /// Returns the error of writing the results or, from `cost`, of encoding or replaying the log.
    pub fn run(&self) -> std::io::Result<()> {
        match self {
            Command::Routing(options) => routing::run(options),
            Command::Placement(options) => placement::run(options),
            Command::Cost(options) => cost::run(options),
        }
    }
}

/// Returns the parser of the command line.
pub fn parser() -> OptionParser<Command> {
    let routing = routing::options()
        .to_options()
        .descr("Compare the choice of upstreams with baselines and with one shared queue")
        .command("routing")
        .map(Command::Routing);
    let placement = placement::options()
        .to_options()
        .descr("Compare colocation with no colocation, blind packing and reaction only")
        .command("placement")
        .map(Command::Placement);
    let cost = cost::options()
        .to_options()
        .descr("Measure memory, log size, replay time and report time of one engine")
        .command("cost")
        .map(Command::Cost);
    construct!([routing, placement, cost])
        .to_options()
        .descr("Measure routing and placement decisions and print the results")
}
