//! `knapweedgap instances`

use bpaf::{Parser, pure};
use knapweedgap_operator::Transport;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;
use crate::table;

const LEAF: Leaf = Leaf {
    name: "instances",
    about: "List the instances known to the first instance that answers",
    examples: &["knapweedgap instances"],
};

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Arguments;

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    LEAF.parser(pure(Arguments), Command::Instances)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let list = context.caller.instances().await?;
        let mut rows = Vec::with_capacity(list.instances.len());
        for record in &list.instances {
            let partitions: Vec<String> =
                record.partitions.iter().map(ToString::to_string).collect();
            rows.push(vec![
                record.instance.to_string(),
                record.zone.to_string(),
                record.state.to_string(),
                record.address.clone(),
                record.settings_revision.to_string(),
                if record.store_reachable { "yes" } else { "no" }.to_owned(),
                partitions.join(","),
            ]);
        }
        let headings = ["INSTANCE", "ZONE", "STATE", "ADDRESS", "SETTINGS", "STORE", "PARTITIONS"];
        Ok(Output::new(&list, table::render(&headings, &rows)))
    }
}
