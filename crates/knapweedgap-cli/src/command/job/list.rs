//! `knapweedgap job list`

use bpaf::{Parser, construct, long};
use knapweedgap_operator::Transport;
use knapweedgap_operator::job::Filter;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;

const LEAF: Leaf = Leaf {
    name: "list",
    about: "List jobs by id, one page at a time",
    examples: &[
        "knapweedgap job list --team plans --state running",
        "knapweedgap job list --limit 100 --after 00c0ffee00c0ffee --json",
    ],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    filter: Filter,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let team = long("team").help("Only jobs of this team").argument("TEAM").optional();
    let class = long("class").help("Only jobs of this class").argument("CLASS").optional();
    let state = long("state")
        .help(
            "Only jobs in this state: pending, running, cancelling, finished, failed or cancelled",
        )
        .argument("STATE")
        .optional();
    let after =
        long("after").help("Only jobs with an id greater than this one").argument("JOB").optional();
    let limit = long("limit").help("Maximum number of jobs to list").argument("COUNT").optional();
    let filter = construct!(Filter { team, class, state, after, limit });
    LEAF.parser(filter.map(|filter| Arguments { filter }), Command::JobList)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let list = context.caller.jobs(self.filter).await?;
        let mut text = super::render(&list.jobs);
        if let Some(next) = list.next {
            text.push_str(&format!("more jobs: add --after {next}\n"));
        }
        for partition in &list.missing {
            text.push_str(&format!("jobs of partition {partition} are missing: no answer\n"));
        }
        Ok(Output::new(&list, text))
    }
}
