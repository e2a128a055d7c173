//! `knapweedgap partitions`

use bpaf::{Parser, pure};
use knapweedgap_operator::Transport;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;
use crate::table;

const LEAF: Leaf = Leaf {
    name: "partitions",
    about: "List the partitions and their owners",
    examples: &["knapweedgap partitions --json"],
};

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Arguments;

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    LEAF.parser(pure(Arguments), Command::Partitions)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let list = context.caller.partitions().await?;
        let mut rows = Vec::with_capacity(list.partitions.len());
        for record in &list.partitions {
            rows.push(vec![
                record.partition.to_string(),
                record.owner.as_ref().map_or("-".to_owned(), ToString::to_string),
                record.epoch.to_string(),
                record.workers.to_string(),
                record.pending_tasks.to_string(),
                record.running_tasks.to_string(),
            ]);
        }
        let headings = ["PARTITION", "OWNER", "EPOCH", "WORKERS", "WAITING", "RUNNING"];
        Ok(Output::new(&list, table::render(&headings, &rows)))
    }
}
