//! `knapweedgap job wait`

use std::time::{Duration, Instant};

use async_io::Timer;
use bpaf::{Parser, construct, long, positional};
use knapweedgap_core::id;
use knapweedgap_operator::Transport;
use knapweedgap_operator::caller::Error;
use knapweedgap_operator::job::State;
use knapweedgap_settings::duration::Text;

use crate::command::{Command, Context, Invocation};
use crate::exit::Exit;
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;

const LEAF: Leaf = Leaf {
    name: "wait",
    about: "Wait until a job has ended. Exit code 0: finished, 1: failed or cancelled, 6: timed out",
    examples: &["knapweedgap job wait 00c0ffee00c0ffee --for 2h"],
};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(600);
const DEFAULT_INTERVAL: Duration = Duration::from_secs(1);
/// Lower limit of the interval, which bounds the load of waiting scripts on the control thread of an
/// instance.
const INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    timeout: Duration,
    interval: Duration,
    job: id::Job,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let timeout = long("for")
        .help("Timeout for the end of the job. Default: 10min")
        .argument::<Text>("TIME")
        .map(Text::get)
        .fallback(DEFAULT_TIMEOUT);
    let interval = long("interval")
        .help("Interval between polls, at least 100ms. Default: 1s")
        .argument::<Text>("TIME")
        .map(|text| text.get().max(INTERVAL_MIN))
        .fallback(DEFAULT_INTERVAL);
    let job = positional("JOB").help("Id of the job");
    LEAF.parser(construct!(Arguments { timeout, interval, job }), Command::JobWait)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let start = Instant::now();
        loop {
            let result = context.caller.job(self.job).await;
            let times_out = start.elapsed() + self.interval > self.timeout;
            match result {
                Ok(status) if status.state.is_final() => {
                    let finished = status.state == State::Finished;
                    let exit = if finished { Exit::Ok } else { Exit::Refused };
                    let text = super::render(std::slice::from_ref(&status));
                    return Ok(Output::new(&status, text).with_exit(exit));
                }
                Ok(status) if times_out => {
                    let text = format!("job {} is still {}", status.job, status.state);
                    return Err(Failure::TimedOut(text));
                }
                // Instances may be unreachable for a time while they are replaced.
                Err(Error::Unreachable(_)) if !times_out => {}
                Err(error) => return Err(error.into()),
                Ok(_) => {}
            }
            Timer::after(self.interval).await;
        }
    }
}
