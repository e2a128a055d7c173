//! `knapweedgap settings unset`

use bpaf::{Parser, construct, positional};
use knapweedgap_core::revision::Revision;
use knapweedgap_operator::Transport;
use knapweedgap_settings::{Key, Path};

use super::set::{author, base};
use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;

const LEAF: Leaf = Leaf {
    name: "unset",
    about: "Remove a value from a node, so that it is inherited again",
    examples: &["knapweedgap settings unset services/dispatch request_deadline"],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    base: Option<Revision>,
    author: Option<String>,
    path: Path,
    key: Key,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let base = base();
    let author = author();
    let path = positional("PATH").help("Path of the node; / is the root");
    let key = super::key("Key of the value");
    LEAF.parser(construct!(Arguments { base, author, path, key }), Command::SettingsUnset)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let add_operation =
            |builder: knapweedgap_settings::patch::Builder| builder.unset(&self.path, self.key);
        super::patch(context, self.base, self.author, add_operation).await
    }
}
