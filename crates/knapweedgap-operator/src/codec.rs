//! JSON encoding of messages.

use knapweedgap_settings::Findings;
use knapweedgap_settings::finding::{Code, Finding};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest message, in bytes. A settings tree of up to 1 MB must fit into a patch or a check, also if
/// the client indents the JSON.
pub const LEN_MAX: usize = 4 << 20;

/// Decodes a message.
///
/// # Errors
/// The message exceeds [`LEN_MAX`], is not JSON, or has a missing, unknown or invalid field.
pub fn decode<T>(bytes: &[u8]) -> Result<T, Findings>
where
    T: DeserializeOwned,
{
    if bytes.len() > LEN_MAX {
        let help = format!("send at most {LEN_MAX} bytes");
        let found = format!("{} bytes", bytes.len());
        return Err(Finding::new(Code::TooLarge, "$", found, help).into());
    }
    serde_json::from_slice(bytes).map_err(|error| {
        let place = format!("$ (line {}, column {})", error.line(), error.column());
        let code = if error.is_data() { Code::WrongType } else { Code::Syntax };
        Finding::new(code, place, "an invalid message", error.to_string()).into()
    })
}

/// Encodes a message.
pub fn encode<T>(message: &T) -> Vec<u8>
where
    T: Serialize,
{
    // Serialization fails only for maps whose keys are not strings; no message contains one.
    serde_json::to_vec(message).unwrap_or_default()
}
