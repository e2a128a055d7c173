//! `knapweedgap job cancel`

use bpaf::{Parser, positional};
use knapweedgap_core::id;
use knapweedgap_operator::Transport;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;

const LEAF: Leaf = Leaf {
    name: "cancel",
    about: "Cancel a job. Its running tasks are stopped; repeating the cancellation has no effect",
    examples: &["knapweedgap job cancel 00c0ffee00c0ffee"],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    job: id::Job,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let arguments = positional("JOB").help("Id of the job").map(|job| Arguments { job });
    LEAF.parser(arguments, Command::JobCancel)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let cancelled = context.caller.cancel(self.job).await?;
        let text = format!("job {} is {}", cancelled.job, cancelled.state);
        Ok(Output::new(&cancelled, text))
    }
}
