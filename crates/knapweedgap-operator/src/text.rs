//! JSON strings of types whose own JSON form is a bare number.

use std::fmt;

use serde::Serializer;

pub(crate) fn serialize<T, S>(value: &T, serializer: S) -> Result<S::Ok, S::Error>
where
    T: fmt::Display,
    S: Serializer,
{
    serializer.collect_str(value)
}
