//! JSON encoding of the messages, with limits on the size of each part.

use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};

use crate::wire;

/// Largest encoded message, in bytes.
pub const MESSAGE_LEN_MAX: usize = 1 << 20;
/// Largest number of attempts in a report, and in each list of a heartbeat.
pub const TASKS_MAX: usize = 2048;
/// Largest payload of a start, in bytes.
pub const PAYLOAD_LEN_MAX: usize = 4096;
/// Longest name of a checkpoint, in bytes.
pub const CHECKPOINT_LEN_MAX: usize = 256;
/// Largest detail of a refusal, in bytes.
pub const DETAIL_LEN_MAX: usize = 512;

/// Reason why a message is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The message is longer than [`MESSAGE_LEN_MAX`].
    #[display("the message has {length} bytes; at most {MESSAGE_LEN_MAX} are allowed")]
    TooLong {
        /// Length of the message, in bytes.
        #[error(not(source))]
        length: usize,
    },
    /// The message is not valid JSON of the expected type.
    #[display("line {line}, column {column}: {detail}")]
    Syntax {
        /// Line of the error, starting at 1.
        #[error(not(source))]
        line: usize,
        /// Column of the error, starting at 1.
        #[error(not(source))]
        column: usize,
        /// Message of the JSON parser.
        #[error(not(source))]
        detail: SmolStr,
    },
    /// A field is out of bounds or contradicts another.
    #[display("{place}: {help}")]
    Field {
        /// Path of the field.
        #[error(not(source))]
        place: SmolStr,
        /// Description of a valid value.
        #[error(not(source))]
        help: &'static str,
    },
}

/// Message whose fields have bounds that their types do not express.
pub trait Message: Serialize + DeserializeOwned {
    /// Checks the bounds of all fields.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Field`] for the first field that is out of bounds.
    fn check(&self) -> Result<(), Error>;
}

/// Encodes a message as JSON.
///
/// # Errors
///
/// Returns an error if a field is out of bounds or the encoded message is too long.
pub fn encode<Body>(message: &Body) -> Result<Vec<u8>, Error>
where
    Body: Message,
{
    message.check()?;
    let bytes = serde_json::to_vec(message).map_err(|error| syntax(&error))?;
    check_len(&bytes)?;
    Ok(bytes)
}

/// Decodes a message from JSON.
///
/// # Errors
///
/// Returns an error with its place if the message is too long, is not valid JSON of its type, has
/// an unknown field or state, or has a field that is out of bounds.
pub fn decode<Body>(bytes: &[u8]) -> Result<Body, Error>
where
    Body: Message,
{
    check_len(bytes)?;
    let message: Body = serde_json::from_slice(bytes).map_err(|error| syntax(&error))?;
    message.check()?;
    Ok(message)
}

fn check_len(bytes: &[u8]) -> Result<(), Error> {
    if bytes.len() <= MESSAGE_LEN_MAX {
        return Ok(());
    }
    Err(Error::TooLong { length: bytes.len() })
}

fn syntax(error: &serde_json::Error) -> Error {
    Error::Syntax { line: error.line(), column: error.column(), detail: format_smolstr!("{error}") }
}

fn require(ok: bool, place: impl FnOnce() -> SmolStr, help: &'static str) -> Result<(), Error> {
    if ok { Ok(()) } else { Err(Error::Field { place: place(), help }) }
}

fn check_attempt(attempt: knapweedgap_core::id::Attempt, place: &str) -> Result<(), Error> {
    require(attempt.get() > 0, || SmolStr::new(place), "attempts start at 1")
}

fn check_share(share: knapweedgap_core::rate::Share, place: &str) -> Result<(), Error> {
    let ok = (1..=1000).contains(&share.milli());
    require(ok, || SmolStr::new(place), "use 1 to 1000 thousandths")
}

fn check_checkpoint(name: Option<&SmolStr>, place: &str) -> Result<(), Error> {
    let length = name.map_or(1, |name| name.len());
    let ok = (1..=CHECKPOINT_LEN_MAX).contains(&length);
    require(ok, || SmolStr::new(place), "use a name of 1 to 256 bytes")
}

impl Message for wire::Heartbeat {
    fn check(&self) -> Result<(), Error> {
        for (name, runs) in [("publish", &self.publish), ("forget", &self.forget)] {
            let ok = runs.len() <= TASKS_MAX;
            require(ok, || name.into(), "list at most 2048 attempts")?;
            for (position, run) in runs.iter().enumerate() {
                check_attempt(run.attempt, &format!("{name}[{position}].attempt"))?;
            }
        }
        Ok(())
    }
}

impl Message for wire::Report {
    fn check(&self) -> Result<(), Error> {
        require(self.tasks.len() <= TASKS_MAX, || "tasks".into(), "list at most 2048 attempts")?;
        for (position, task) in self.tasks.iter().enumerate() {
            let place = |field: &str| format!("tasks[{position}].{field}");
            check_attempt(task.attempt, &place("attempt"))?;
            check_checkpoint(task.checkpoint.as_ref(), &place("checkpoint"))?;
            check_share(task.share, &place("share"))?;
            let ok = task.exit.is_some() == (task.state == wire::State::Failed);
            let help = "give an exit code exactly when the state is failed";
            require(ok, || place("exit").into(), help)?;
        }
        Ok(())
    }
}

impl Message for wire::Start {
    fn check(&self) -> Result<(), Error> {
        check_attempt(self.head.attempt, "head.attempt")?;
        check_checkpoint(self.checkpoint.as_ref(), "checkpoint")?;
        let ok = self.payload.len() <= PAYLOAD_LEN_MAX;
        require(ok, || "payload".into(), "use at most 4096 bytes")
    }
}

impl Message for wire::Stop {
    fn check(&self) -> Result<(), Error> {
        check_attempt(self.head.attempt, "head.attempt")
    }
}

impl Message for wire::Checkpoint {
    fn check(&self) -> Result<(), Error> {
        check_attempt(self.head.attempt, "head.attempt")
    }
}

impl Message for wire::Throttle {
    fn check(&self) -> Result<(), Error> {
        check_attempt(self.head.attempt, "head.attempt")?;
        check_share(self.share, "share")
    }
}

impl Message for wire::Refusal {
    fn check(&self) -> Result<(), Error> {
        let ok = self.detail.len() <= DETAIL_LEN_MAX;
        require(ok, || "detail".into(), "use at most 512 bytes")
    }
}

impl Message for wire::Accepted {
    fn check(&self) -> Result<(), Error> {
        Ok(())
    }
}
