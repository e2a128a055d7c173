//! `knapweedgap settings effective`

use bpaf::{Parser, construct, positional};
use knapweedgap_operator::Transport;
use knapweedgap_settings::path::Level;
use knapweedgap_settings::schema::KEYS;
use knapweedgap_settings::{Key, Path, Value};
use serde_json::json;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;
use crate::table;

const LEAF: Leaf = Leaf {
    name: "effective",
    about: "Show the values in effect on a node and the node that sets each",
    examples: &[
        "knapweedgap settings effective region-a/zone-1/services/dispatch",
        "knapweedgap settings effective teams/plans quota_memory",
    ],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    path: Path,
    key: Option<Key>,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let path = positional("PATH").help("Path of the node; / is the root");
    let key = super::key("Key of one value. Default: all keys that may be set on the node");
    let key = key.optional();
    LEAF.parser(construct!(Arguments { path, key }), Command::SettingsEffective)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let tree = super::current(context).await?;
        let mut list = Vec::new();
        let mut rows = Vec::new();
        for key in selected(self.key, self.path.level()) {
            let effective = tree.effective(&self.path, key);
            let json = effective.value.as_ref().map(Value::to_json);
            list.push(json!({"key": key, "value": json, "source": effective.source.to_string()}));
            let value = effective.value.map_or("unset".to_owned(), |value| value.to_string());
            rows.push(vec![key.to_string(), value, effective.source.to_string()]);
        }
        let text = table::render(&["KEY", "VALUE", "FROM"], &rows);
        Ok(Output::new(&json!({"path": self.path, "values": list}), text))
    }
}

fn selected(key: Option<Key>, level: Level) -> Vec<Key> {
    match key {
        Some(key) => vec![key],
        None => KEYS.iter().copied().filter(|key| key.entry().levels.contains(&level)).collect(),
    }
}
