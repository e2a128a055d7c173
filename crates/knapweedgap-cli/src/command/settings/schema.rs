//! `knapweedgap settings schema`

use bpaf::{Parser, pure};
use knapweedgap_operator::Transport;
use knapweedgap_settings::Value;
use knapweedgap_settings::schema::{self, KEYS};
use serde_json::json;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;

const LEAF: Leaf = Leaf {
    name: "schema",
    about: "Print all known keys with form, range, default and meaning, as a Markdown table",
    examples: &["knapweedgap settings schema"],
};

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Arguments;

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    LEAF.parser(pure(Arguments), Command::SettingsSchema)
}

impl Arguments {
    pub(crate) async fn run<T>(self, _context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let mut list = Vec::with_capacity(KEYS.len());
        for key in KEYS {
            let entry = key.entry();
            let levels: Vec<String> = entry.levels.iter().map(ToString::to_string).collect();
            list.push(json!({
                "key": key,
                "form": entry.kind.form(),
                "range": entry.kind.range(),
                "default": entry.default().as_ref().map(Value::to_json),
                "levels": levels,
                "meaning": entry.doc,
            }));
        }
        Ok(Output::new(&list, schema::table()))
    }
}
