//! Commands on the settings tree.

pub mod check;
pub mod diff;
pub mod effective;
pub mod get;
pub mod history;
pub mod schema;
pub mod set;
pub mod unset;

use bpaf::{Parser, positional};
use knapweedgap_core::revision::Revision;
use knapweedgap_operator::{Transport, caller};
use knapweedgap_settings::patch::Builder;
use knapweedgap_settings::{Change, Key, Patch, Tree};

use crate::command::{Context, Invocation};
use crate::failure::{Failure, describe};
use crate::leaf::group;
use crate::output::Output;

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let commands = vec![
        get::parser(),
        set::parser(),
        unset::parser(),
        effective::parser(),
        check::parser(),
        diff::parser(),
        history::parser(),
        schema::parser(),
    ];
    group("settings", "Read and change the settings tree", commands)
}

/// Builds the parser of a key; the error for an unknown key suggests the most similar one.
fn key(help: &'static str) -> impl Parser<Key> {
    positional::<String>("KEY").help(help).parse(|text| {
        text.parse::<Key>().map_err(|error| match Key::nearest(&text) {
            Some(key) => format!("{error}; did you mean {key}?"),
            None => error.to_string(),
        })
    })
}

/// Requests the tree in force.
async fn current<T>(context: &Context<T>) -> Result<Tree, Failure>
where
    T: Transport,
{
    let snapshot = context.caller.settings().await?;
    Ok(Tree::from_json(&snapshot.tree)?)
}

/// Sends a patch with the operation that `add_operation` adds. Without `base`, the patch is based on
/// the revision in force.
async fn patch<T>(
    context: &Context<T>,
    base: Option<Revision>,
    author: Option<String>,
    add_operation: impl FnOnce(Builder) -> Builder,
) -> Result<Output, Failure>
where
    T: Transport,
{
    let base = match base {
        Some(base) => base,
        None => context.caller.settings().await?.revision,
    };
    let author = author.unwrap_or_else(|| context.user.clone());
    let patch = add_operation(Patch::builder(base).author(author)).build();
    let patched = context.caller.patch(&patch).await.map_err(|error| match error {
        caller::Error::Unknown(attempt) => {
            let reason = format!("{}; check \"settings history\" before a retry", attempt.reason);
            caller::Error::Unknown(caller::Attempt { reason, ..attempt })
        }
        other => other,
    })?;
    let mut text = render(&patched.changes);
    if patched.changes.is_empty() {
        text.push_str("nothing changed\n");
    }
    text.push_str(&format!("revision {} is in force\n", patched.revision));
    Ok(Output::new(&patched, text))
}

/// Renders changes, one per line.
fn render(changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes {
        text.push_str(&describe(change));
        text.push('\n');
    }
    text
}
