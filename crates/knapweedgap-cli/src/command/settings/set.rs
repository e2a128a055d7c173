//! `knapweedgap settings set`

use bpaf::{Parser, construct, long, positional};
use knapweedgap_core::revision::Revision;
use knapweedgap_operator::Transport;
use knapweedgap_settings::schema::Kind;
use knapweedgap_settings::{Key, Path};
use serde_json::Value as Json;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;

const LEAF: Leaf = Leaf {
    name: "set",
    about: "Set a value on a node. It applies to the subtree of the node unless overridden there",
    examples: &[
        "knapweedgap settings set services/dispatch request_deadline 2s",
        "knapweedgap settings set region-a/services/portal non_idempotent_methods '[\"POST\"]'",
        "knapweedgap settings set teams/plans quota_memory 512GiB --base 41",
    ],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    base: Option<Revision>,
    author: Option<String>,
    path: Path,
    key: Key,
    value: String,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let base = base();
    let author = author();
    let path = positional("PATH").help("Path of the node; / is the root");
    let key = super::key("Key of the value; \"settings schema\" lists all keys");
    let value = positional("VALUE").help("Value with its unit; JSON for lists and maps");
    let arguments = construct!(Arguments { base, author, path, key, value });
    LEAF.parser(arguments, Command::SettingsSet)
}

pub(super) fn base() -> impl Parser<Option<Revision>> {
    long("base")
        .help("Revision on which the change is based. Default: the one in force")
        .argument("REVISION")
        .optional()
}

pub(super) fn author() -> impl Parser<Option<String>> {
    long("author")
        .help("Author to record in the history. Default: $USER")
        .argument("NAME")
        .optional()
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let value = value(self.key, &self.value);
        let add_operation = |builder: knapweedgap_settings::patch::Builder| {
            builder.set(&self.path, self.key, value)
        };
        super::patch(context, self.base, self.author, add_operation).await
    }
}

/// Parses a value as JSON if its kind is not written as a string. Invalid JSON is passed on as a
/// string, which the check of the tree rejects.
fn value(key: Key, text: &str) -> Json {
    match key.entry().kind {
        Kind::Count { .. } | Kind::Methods | Kind::Weights => {
            serde_json::from_str(text).unwrap_or_else(|_| Json::from(text))
        }
        _ => Json::from(text),
    }
}
