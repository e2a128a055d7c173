//! JSON codec of event lists.

use derive_more::{Display, Error};

use crate::event::Event;

/// Fault in a JSON list of events.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The text is not valid JSON or not an array.
    #[display("events: not a JSON array: {_0}")]
    Syntax(serde_json::Error),
    /// Some events are invalid, in order of their positions.
    #[display("{}", join(_0))]
    Events(#[error(not(source))] Vec<Fault>),
}

/// Fault of one event.
#[derive(Debug, Display)]
#[display("events[{index}]: {reason}")]
pub struct Fault {
    /// Position in the array, starting at 0.
    pub index: usize,
    /// Reason why the event is invalid.
    pub reason: serde_json::Error,
}

fn join(faults: &[Fault]) -> String {
    let texts: Vec<String> = faults.iter().map(Fault::to_string).collect();
    texts.join("; ")
}

/// Encodes events as a JSON array.
///
/// # Errors
///
/// Returns the error of the serializer. The types of an event always serialize without error.
pub fn encode(events: &[Event]) -> Result<String, serde_json::Error> {
    serde_json::to_string(events)
}

/// Decodes a JSON array of events.
///
/// # Errors
///
/// Returns [`Error::Syntax`] if the text is not a JSON array, and [`Error::Events`] with every
/// invalid event if at least one is invalid.
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
