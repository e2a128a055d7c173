//! `knapweedgap job status`

use bpaf::{Parser, positional};
use knapweedgap_core::id;
use knapweedgap_operator::Transport;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;

const LEAF: Leaf = Leaf {
    name: "status",
    about: "Show the state of a job",
    examples: &["knapweedgap job status 00c0ffee00c0ffee"],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    job: id::Job,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let arguments = positional("JOB").help("Id of the job").map(|job| Arguments { job });
    LEAF.parser(arguments, Command::JobStatus)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let status = context.caller.job(self.job).await?;
        let mut text = super::render(std::slice::from_ref(&status));
        if let Some(detail) = &status.detail {
            text.push_str(detail);
        }
        Ok(Output::new(&status, text))
    }
}
