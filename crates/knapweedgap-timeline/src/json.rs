//! JSON codec of event lists.

use derive_more::{Display, Error};

use crate::event::Event;

/// Fault in a JSON list of events.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The text is not a JSON array.
    #[display("events: not a JSON array: {_0}")]
    Syntax(serde_json::Error),
    /// Some events are invalid. All faults are listed.
    #[display("{}", list(_0))]
    Events(#[error(not(source))] Vec<Fault>),
}

/// One invalid event.
#[derive(Debug, Display)]
#[display("events[{index}]: {reason}")]
pub struct Fault {
    /// Position in the array.
    pub index: usize,
    /// Reason of the refusal.
    pub reason: serde_json::Error,
}

fn list(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("; ")
}

/// Encodes events as a JSON array.
///
/// # Errors
///
/// Returns the error of the serializer. The types of an event always serialize.
pub fn encode(events: &[Event]) -> Result<String, serde_json::Error> {
    serde_json::to_string(events)
}

/// Decodes a JSON array of events.
///
/// # Errors
///
/// Returns [`Error::Syntax`] when the text is not a JSON array, else [`Error::Events`] with the
/// position of every invalid event.
pub fn decode(text: &str) -> Result<Vec<Event>, Error> {
    let values: Vec<serde_json::Value> = serde_json::from_str(text).map_err(Error::Syntax)?;
    let mut events = Vec::with_capacity(values.len());
    let mut faults = Vec::new();
    for (index, value) in values.into_iter().enumerate() {
        match serde_json::from_value(value) {
            Ok(event) => events.push(event),
            Err(reason) => faults.push(Fault { index, reason }),
        }
    }
    if faults.is_empty() { Ok(events) } else { Err(Error::Events(faults)) }
}
