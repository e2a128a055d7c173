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
    about: "Wait until a job has ended. Exit code 0: finished, 1: failed or cancelled, 6: not \
            ended in time",
    examples: &["knapweedgap job wait 00c0ffee00c0ffee --for 2h"],
};

const LONGEST: Duration = Duration::from_secs(600);
const INTERVAL: Duration = Duration::from_secs(1);
/// Shortest interval, so that a waiting script does not load the control thread of an instance.
const INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    longest: Duration,
    interval: Duration,
    job: id::Job,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let longest = long("for")
        .help("Longest wait. Default: 10min")
        .argument::<Text>("TIME")
        .map(Text::get)
        .fallback(LONGEST);
    let interval = long("interval")
        .help("Interval of the questions, at least 100ms. Default: 1s")
        .argument::<Text>("TIME")
        .map(|text| text.get().max(INTERVAL_MIN))
        .fallback(INTERVAL);
    let job = positional("JOB").help("Id of the job");
    LEAF.parser(construct!(Arguments { longest, interval, job }), Command::JobWait)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let start = Instant::now();
        loop {
            let result = context.caller.job(self.job).await;
            let late = start.elapsed() + self.interval > self.longest;
            match result {
                Ok(status) if status.state.is_final() => {
                    let finished = status.state == State::Finished;
                    let exit = if finished { Exit::Ok } else { Exit::Refused };
                    let text = super::render(std::slice::from_ref(&status));
                    return Ok(Output::new(&status, text).with_exit(exit));
                }
                Ok(status) if late => {
                    let text = format!("job {} is still {}", status.job, status.state);
                    return Err(Failure::TimedOut(text));
                }
                // Instances may be replaced during the wait.
                Err(Error::Unreachable(_)) if !late => {}
                Err(error) => return Err(error.into()),
                Ok(_) => {}
            }
            Timer::after(self.interval).await;
        }
    }
}
