//! `knapweedgap doctor`

use std::collections::BTreeMap;

use bpaf::{Parser, pure};
use knapweedgap_operator::Transport;
use knapweedgap_operator::doctor::Severity;
use serde_json::json;

use crate::command::{Command, Context, Invocation};
use crate::exit::Exit;
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;
use crate::table;

const LEAF: Leaf = Leaf {
    name: "doctor",
    about: "Show the problems that the named instances report, and how to correct them. Exit code \
            1: a fault was found, 3: an instance did not answer",
    examples: &["knapweedgap doctor --instance 10.0.0.1:7600 --instance 10.0.0.2:7600"],
};

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Arguments;

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    LEAF.parser(pure(Arguments), Command::Doctor)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let gathered = context.caller.doctor().await?;
        let mut exit = if gathered.missing.is_empty() { Exit::Ok } else { Exit::Unreachable };
        let mut rows = Vec::new();
        for (_, report) in &gathered.answers {
            for finding in &report.findings {
                if finding.severity == Severity::Fault {
                    exit = Exit::Refused;
                }
                let row = vec![
                    finding.severity.to_string(),
                    finding.place.clone(),
                    finding.code.to_string(),
                    finding.help.clone(),
                ];
                // Each instance reports on the whole installation, so most findings are repeated.
                if !rows.contains(&row) {
                    rows.push(row);
                }
            }
        }
        let mut text = if rows.is_empty() {
            "nothing found\n".to_owned()
        } else {
            table::render(&["SEVERITY", "PLACE", "CODE", "HELP"], &rows)
        };
        for attempt in &gathered.missing {
            text.push_str(&format!("no answer from {attempt}\n"));
        }
        let missing: Vec<String> = gathered.missing.iter().map(ToString::to_string).collect();
        let reports: BTreeMap<_, _> = gathered.answers.into_iter().collect();
        Ok(Output::new(&json!({"reports": reports, "missing": missing}), text).with_exit(exit))
    }
}
