//! `knapweedgap request outcome`

use bpaf::{Parser, positional};
use knapweedgap_core::id;
use knapweedgap_operator::Transport;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;

const LEAF: Leaf = Leaf {
    name: "outcome",
    about: "Show the recorded outcome of a non-idempotent request",
    examples: &["knapweedgap request outcome rebuild-2031-04-01"],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    key: id::Key,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let key = positional("KEY").help("Idempotency key of the request");
    LEAF.parser(key.map(|key| Arguments { key }), Command::RequestOutcome)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let record = context.caller.outcome(self.key).await?;
        let mut text = format!("outcome: {}\n", record.outcome);
        if let Some(request) = &record.request_id {
            text.push_str(&format!("request: {request}\n"));
        }
        if let Some(status) = record.status {
            text.push_str(&format!("status: {status}\n"));
        }
        if !record.help.is_empty() {
            text.push_str(&format!("{}\n", record.help));
        }
        Ok(Output::new(&record, text))
    }
}
