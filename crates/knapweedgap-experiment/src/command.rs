//! Commands of `knapweedgap-experiment`.

use bpaf::{OptionParser, Parser, construct};

use crate::{cost, placement, routing};

/// One experiment to run.
#[derive(Debug, Clone)]
pub enum Command {
    /// Measures the choice of upstreams.
    Routing(routing::Options),
    /// Measures colocation.
    Placement(placement::Options),
    /// Measures the cost of one engine.
    Cost(cost::Options),
}

impl Command {
    /// Runs the experiment and prints its results.
    ///
    /// # Errors
    ///
    /// Returns the error of writing the results.
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
        .descr("Measures the choice of upstreams against baselines and one shared queue")
        .command("routing")
        .map(Command::Routing);
    let placement = placement::options()
        .to_options()
        .descr("Measures colocation against no colocation, blind packing and reaction only")
        .command("placement")
        .map(Command::Placement);
    let cost = cost::options()
        .to_options()
        .descr("Measures memory, log and reports of one engine at one size")
        .command("cost")
        .map(Command::Cost);
    construct!([routing, placement, cost])
        .to_options()
        .descr("Measures the decisions and prints tables")
}
