//! `knapweedgap settings diff`

use std::path::PathBuf;

use bpaf::{Parser, construct, positional};
use knapweedgap_operator::Transport;
use knapweedgap_settings::Tree;
use serde_json::json;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;
use crate::target::read_file;

const LEAF: Leaf = Leaf {
    name: "diff",
    about: "Show the values that differ between two trees",
    examples: &[
        "knapweedgap settings diff settings.json",
        "knapweedgap settings diff before.json after.json",
    ],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    file: PathBuf,
    other: Option<PathBuf>,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let file = positional("FILE").help("JSON file with a tree");
    let other = positional("OTHER")
        .help("JSON file with the new tree. Default: FILE is compared with the tree in force");
    let other = other.optional();
    LEAF.parser(construct!(Arguments { file, other }), Command::SettingsDiff)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let tree = Tree::parse(&read_file(&self.file)?)?;
        let (before, after) = match &self.other {
            Some(other) => (tree, Tree::parse(&read_file(other)?)?),
            None => (super::current(context).await?, tree),
        };
        let changes = before.diff(&after);
        let text = if changes.is_empty() {
            "no differences\n".to_owned()
        } else {
            super::render(&changes)
        };
        Ok(Output::new(&json!({"changes": changes}), text))
    }
}
