//! Encoding of values stored in the key-value service.

use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) fn encode<Value>(value: &Value) -> Vec<u8>
where
    Value: Serialize,
{
    // Serialization fails only for maps with non-string keys, which no stored value contains.
    serde_json::to_vec(value).unwrap_or_default()
}

pub(crate) fn decode<Value>(bytes: &[u8]) -> Result<Value, serde_json::Error>
where
    Value: DeserializeOwned,
{
    serde_json::from_slice(bytes)
}
