//! `knapweedgap settings check`

use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use knapweedgap_operator::{Transport, codec, settings};
use knapweedgap_settings::Tree;

use crate::command::{Command, Context, Invocation};
use crate::exit::Exit;
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;
use crate::target::read_file;

const LEAF: Leaf = Leaf {
    name: "check",
    about: "Check a tree in a file without storing it, and show all faults or the resulting changes",
    examples: &[
        "knapweedgap settings check settings.json",
        "knapweedgap settings check --offline settings.json",
    ],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    offline: bool,
    file: PathBuf,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let offline = long("offline")
        .help("Check with the schema of this tool, without calling an instance")
        .switch();
    let file = positional("FILE").help("JSON file with a tree; - reads standard input");
    LEAF.parser(construct!(Arguments { offline, file }), Command::SettingsCheck)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let bytes = read_file(&self.file)?;
        let checked = if self.offline {
            let findings = Tree::parse(&bytes).err().unwrap_or_default();
            settings::Checked { findings, changes: Vec::new() }
        } else {
            context.caller.check(&codec::decode(&bytes)?).await?
        };
        if !checked.findings.is_empty() {
            let text = checked.findings.to_string();
            return Ok(Output::new(&checked, text).with_exit(Exit::Refused));
        }
        let text = format!("{}the tree is valid\n", super::render(&checked.changes));
        Ok(Output::new(&checked, text))
    }
}
