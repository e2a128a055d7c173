//! `knapweedgap settings history`

use bpaf::{Parser, construct, long};
use knapweedgap_operator::Transport;
use knapweedgap_operator::settings::Range;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;
use crate::time;

const LEAF: Leaf = Leaf {
    name: "history",
    about: "Show the latest changes of the settings",
    examples: &["knapweedgap settings history --limit 10"],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    range: Range,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let after =
        long("after").help("Only changes after this revision").argument("REVISION").optional();
    let limit =
        long("limit").help("Maximum number of changes to show").argument("COUNT").optional();
    let range = construct!(Range { after, limit });
    LEAF.parser(range.map(|range| Arguments { range }), Command::SettingsHistory)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let history = context.caller.history(self.range).await?;
        let mut text = String::new();
        for record in &history.records {
            let author = if record.author.is_empty() { "unnamed" } else { &record.author };
            text.push_str(&format!(
                "revision {} by {author} at {}\n",
                record.revision,
                time::utc(record.at_ms)
            ));
            for line in super::render(&record.changes).lines() {
                text.push_str(&format!("  {line}\n"));
            }
        }
        if history.records.is_empty() {
            text.push_str("no changes\n");
        }
        Ok(Output::new(&history, text))
    }
}
