//! Serializes types as JSON strings whose own serialized form is a number.

use std::fmt;

use serde::Serializer;

pub(crate) fn serialize<T, S>(value: &T, serializer: S) -> Result<S::Ok, S::Error>
where
    T: fmt::Display,
    S: Serializer,
{
    serializer.collect_str(value)
}
