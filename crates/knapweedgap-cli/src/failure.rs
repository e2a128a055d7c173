//! Failures of commands and their rendering.

use std::fmt::Write;

use knapweedgap_operator::caller::Error;
use knapweedgap_operator::error::{Body, Code};
use knapweedgap_settings::{Change, Findings};
use serde_json::{Value as Json, json};

use crate::exit::Exit;

/// Reason why a command has no result.
#[derive(Debug)]
pub enum Failure {
    /// The arguments or a given file are unusable.
    Usage(String),
    /// A job, a setting or the content of a file is invalid.
    Findings(Findings),
    /// The call failed.
    Call(Error),
    /// The expected state was not reached within the timeout.
    TimedOut(String),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Failure {
        match error {
            Error::Unreachable(attempts) if attempts.is_empty() => Failure::Usage(
                "specify an instance with --instance ADDR or in KNAPWEEDGAP_INSTANCES".to_owned(),
            ),
            other => Failure::Call(other),
        }
    }
}

impl From<Findings> for Failure {
    fn from(findings: Findings) -> Failure {
        Failure::Findings(findings)
    }
}

impl Failure {
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Failure::Usage(_) => Exit::Usage,
            Failure::Findings(_) => Exit::Refused,
            Failure::TimedOut(_) => Exit::TimedOut,
            Failure::Call(Error::Refused(body)) => match body.code {
                Code::NotFound => Exit::NotFound,
                Code::Conflict => Exit::Conflict,
                _ => Exit::Refused,
            },
            Failure::Call(_) => Exit::Unreachable,
        }
    }

    pub(crate) fn render(&self, json: bool) -> String {
        if json {
            return json!({"error": self.json(), "exit": self.exit().code()}).to_string();
        }
        let text = match self {
            Failure::Usage(text) | Failure::TimedOut(text) => text.clone(),
            Failure::Findings(findings) => findings.to_string(),
            Failure::Call(Error::Refused(body)) => render_refusal(body),
            Failure::Call(error) => error.to_string(),
        };
        format!("knapweedgap: {text}")
    }

    fn json(&self) -> Json {
        let error = |code: &str, help: &str| json!({"code": code, "help": help});
        match self {
            Failure::Usage(text) => error("usage", text),
            Failure::TimedOut(text) => error("timed_out", text),
            Failure::Findings(findings) => json!({"code": "invalid", "findings": findings}),
            Failure::Call(Error::Refused(body)) => json!(body),
            Failure::Call(cause @ Error::Unknown(_)) => error("unknown", &cause.to_string()),
            Failure::Call(cause) => error("unreachable", &cause.to_string()),
        }
    }
}

fn render_refusal(body: &Body) -> String {
    let mut text = body.to_string();
    for finding in body.findings.list() {
        let _ = write!(text, "\n  {finding}");
    }
    let Some(conflict) = &body.conflict else { return text };
    let _ = write!(text, "\n  {conflict}");
    for change in &conflict.changed {
        let overlaps = conflict.overlapping.contains(change);
        let suffix = if overlaps { " (also in this patch)" } else { "" };
        let _ = write!(text, "\n  {}{suffix}", describe(change));
    }
    text
}

/// Renders a change in one line: path, key, old and new value.
pub(crate) fn describe(change: &Change) -> String {
    let render = |value: &Option<Json>| match value {
        Some(Json::String(text)) => text.clone(),
        Some(other) => other.to_string(),
        None => "inherited".to_owned(),
    };
    format!(
        "{} {}: {} -> {}",
        change.path,
        change.key,
        render(&change.before),
        render(&change.after)
    )
}
