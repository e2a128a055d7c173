//! `knapweedgap health`

use std::collections::BTreeMap;

use bpaf::{Parser, pure};
use knapweedgap_operator::Transport;
use serde_json::json;

use crate::command::{Command, Context, Invocation};
use crate::exit::Exit;
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;
use crate::table;

const LEAF: Leaf = Leaf {
    name: "health",
    about: "Show whether all named instances are ready. Exit code 1: one is not ready, 3: one did \
            not answer",
    examples: &["knapweedgap health --json"],
};

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Arguments;

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    LEAF.parser(pure(Arguments), Command::Health)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let gathered = context.caller.health().await?;
        let mut exit = Exit::Ok;
        let mut rows = Vec::new();
        for (address, report) in &gathered.answers {
            if !report.ready {
                exit = Exit::Refused;
            }
            rows.push(vec![
                address.clone(),
                report.instance.to_string(),
                report.state.to_string(),
                if report.ready { "yes" } else { "no" }.to_owned(),
                report.reasons.join("; "),
            ]);
        }
        for attempt in &gathered.missing {
            exit = Exit::Unreachable;
            let reason = attempt.reason.clone();
            let unknown = || "-".to_owned();
            rows.push(vec![attempt.address.clone(), unknown(), unknown(), unknown(), reason]);
        }
        let text = table::render(&["ADDRESS", "INSTANCE", "STATE", "READY", "REASON"], &rows);
        let missing: Vec<String> = gathered.missing.iter().map(ToString::to_string).collect();
        let reports: BTreeMap<_, _> = gathered.answers.into_iter().collect();
        Ok(Output::new(&json!({"reports": reports, "missing": missing}), text).with_exit(exit))
    }
}
