//! Result of a command, as text and as JSON.

use serde::Serialize;
use serde_json::Value as Json;

use crate::exit::Exit;

/// Result of a command, rendered as text or, for scripts, as JSON.
#[derive(Debug)]
pub struct Output {
    json: Json,
    text: String,
    pub(crate) exit: Exit,
}

impl Output {
    /// Creates a result with exit code 0.
    pub(crate) fn new<T>(message: &T, text: impl Into<String>) -> Output
    where
        T: Serialize,
    {
        // Serialization fails only for maps whose keys are not strings; no message contains one.
        let json = serde_json::to_value(message).unwrap_or_default();
        Output { json, text: text.into(), exit: Exit::Ok }
    }

    pub(crate) fn with_exit(self, exit: Exit) -> Output {
        Output { exit, ..self }
    }

    pub(crate) fn render(&self, json: bool) -> String {
        if json { self.json.to_string() } else { self.text.clone() }
    }
}
