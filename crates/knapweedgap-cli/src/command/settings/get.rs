//! `knapweedgap settings get`

use bpaf::{Parser, positional};
use knapweedgap_operator::Transport;
use knapweedgap_settings::Path;
use serde_json::{Value as Json, json};

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;
use crate::table;

const LEAF: Leaf = Leaf {
    name: "get",
    about: "Show the values that are set in the subtree of a node",
    examples: &[
        "knapweedgap settings get",
        "knapweedgap settings get region-a/zone-1",
        "knapweedgap settings get --json > settings.json",
    ],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    path: Path,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let path =
        positional("PATH").help("Path of the node. Default: the root").fallback(Path::root());
    LEAF.parser(path.map(|path| Arguments { path }), Command::SettingsGet)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let snapshot = context.caller.settings().await?;
        // The tree is read as untyped JSON, so that keys of a later version are shown too.
        let mut node = &snapshot.tree;
        for name in self.path.names() {
            node = &node["children"][name.as_str()];
        }
        let mut rows = Vec::new();
        collect(node, &self.path.to_string(), &mut rows);
        let mut text = format!("revision {}\n", snapshot.revision);
        if rows.is_empty() {
            text.push_str(&format!("no value is set in the subtree of {}\n", self.path));
        } else {
            text.push_str(&table::render(&["NODE", "KEY", "VALUE"], &rows));
        }
        let subtree = if node.is_null() { json!({}) } else { node.clone() };
        Ok(Output::new(&json!({"revision": snapshot.revision, "tree": subtree}), text))
    }
}

/// Adds a row for each value in the subtree. The JSON parser limits the depth of the recursion.
fn collect(node: &Json, path: &str, rows: &mut Vec<Vec<String>>) {
    for (key, value) in node["settings"].as_object().into_iter().flatten() {
        let cell = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        rows.push(vec![path.to_owned(), key.clone(), cell]);
    }
    for (name, child) in node["children"].as_object().into_iter().flatten() {
        let child_path = if path == "/" { name.clone() } else { format!("{path}/{name}") };
        collect(child, &child_path, rows);
    }
}
