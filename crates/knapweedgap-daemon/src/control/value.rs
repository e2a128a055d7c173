//! Values of this project in the key-value service.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a value.
pub(crate) fn encode<Value>(value: &Value) -> Vec<u8>
where
    Value: Serialize,
{
    // Serialization fails only for maps with keys that are not strings; no value has one.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes a value.
pub(crate) fn decode<Value>(bytes: &[u8]) -> Result<Value, serde_json::Error>
where
    Value: DeserializeOwned,
{
    serde_json::from_slice(bytes)
}
