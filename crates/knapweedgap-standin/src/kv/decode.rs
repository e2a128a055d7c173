//! Decoding of requests in the JSON format of the etcd v3 gateway. Like the gateway, it accepts
//! field names in camel case and in snake case.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use knapweedgap_core::revision::Revision;
use knapweedgap_store::key::Range;
use knapweedgap_store::{Compare, Error, Key, Txn, lease};
use serde_json::Value;

/// Creates the error for an invalid request (gRPC `INVALID_ARGUMENT`).
pub(super) fn invalid(message: &str) -> Error {
    Error::Refused { code: 3, message: message.into() }
}

fn field<'a>(value: &'a Value, names: [&str; 2]) -> Option<&'a Value> {
    names.iter().find_map(|name| value.get(name))
}

fn bytes(value: Option<&Value>) -> Result<Vec<u8>, Error> {
    let Some(value) = value else { return Ok(Vec::new()) };
    let text = value.as_str().ok_or_else(|| invalid("expected a base64 string"))?;
    STANDARD.decode(text).map_err(|error| invalid(&error.to_string()))
}

fn number(value: Option<&Value>) -> Result<u64, Error> {
    let Some(value) = value else { return Ok(0) };
    let number = match value {
        Value::String(text) => text.parse().ok(),
        other => other.as_u64(),
    };
    number.ok_or_else(|| invalid("expected an unsigned decimal number"))
}

fn key(bytes: &[u8]) -> Result<Key, Error> {
    let text = std::str::from_utf8(bytes).map_err(|error| invalid(&error.to_string()))?;
    text.parse().map_err(|error| invalid(&format!("{error}")))
}

/// Returns the prefix whose exclusive range end is `end`.
fn prefix(mut end: Vec<u8>) -> Result<Key, Error> {
    if let Some(last) = end.last_mut() {
        *last = last.saturating_sub(1);
    }
    key(&end)
}

enum Span {
    Key(Key),
    Prefix { prefix: Key, after: Option<Key> },
}

fn span(value: &Value) -> Result<Span, Error> {
    let start = bytes(value.get("key"))?;
    let end = bytes(field(value, ["range_end", "rangeEnd"]))?;
    if end.is_empty() {
        return key(&start).map(Span::Key);
    }
    let prefix = prefix(end)?;
    if start == prefix.as_str().as_bytes() {
        return Ok(Span::Prefix { prefix, after: None });
    }
    let after = start
        .strip_suffix(&[0])
        .ok_or_else(|| invalid("only ranges over a prefix are supported"))?;
    let after = key(after)?;
    if !after.is_under(&prefix) {
        return Err(invalid("range start is outside the prefix"));
    }
    Ok(Span::Prefix { prefix, after: Some(after) })
}

fn whole_prefix(value: &Value) -> Result<Key, Error> {
    match span(value)? {
        Span::Prefix { prefix, after: None } => Ok(prefix),
        _ => Err(invalid("only ranges over a whole prefix are supported")),
    }
}

pub(super) fn range(value: &Value) -> Result<Range, Error> {
    let limit = match number(value.get("limit"))? {
        0 => u32::MAX,
        limit => u32::try_from(limit).unwrap_or(u32::MAX),
    };
    match span(value)? {
        Span::Key(key) => Ok(Range::key(key)),
        Span::Prefix { prefix, after: None } => Ok(Range::prefix(prefix).limit(limit)),
        Span::Prefix { prefix, after: Some(after) } => {
            Ok(Range::prefix(prefix).after(after).limit(limit))
        }
    }
}

/// Decodes a transaction. Returns the compares with the operations on success, and the operations
/// on failure.
pub(super) fn txn(value: &Value) -> Result<(Txn, Txn), Error> {
    let mut txn = Txn::new();
    for item in list(value, "compare") {
        txn = txn.when(compare(item)?);
    }
    let mut on_failure = Txn::new();
    for item in list(value, "success") {
        txn = write(txn, item)?;
    }
    for item in list(value, "failure") {
        on_failure = write(on_failure, item)?;
    }
    Ok((txn, on_failure))
}

fn list<'a>(value: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    value.get(name).and_then(Value::as_array).into_iter().flatten()
}

fn compare(value: &Value) -> Result<Compare, Error> {
    let result = value.get("result").and_then(Value::as_str).unwrap_or("EQUAL");
    if result != "EQUAL" {
        return Err(invalid("only EQUAL compares are supported"));
    }
    let key = key(&bytes(value.get("key"))?)?;
    let revision = |names| number(field(value, names)).map(Revision::new);
    match value.get("target").and_then(Value::as_str).unwrap_or("VERSION") {
        "VERSION" => Ok(Compare::Version(key, number(value.get("version"))?)),
        "CREATE" => Ok(Compare::Created(key, revision(["create_revision", "createRevision"])?)),
        "MOD" => Ok(Compare::Modified(key, revision(["mod_revision", "modRevision"])?)),
        "VALUE" => Ok(Compare::Value(key, bytes(value.get("value"))?)),
        _ => Err(invalid("unknown compare target")),
    }
}

fn write(txn: Txn, value: &Value) -> Result<Txn, Error> {
    if let Some(put) = field(value, ["requestPut", "request_put"]) {
        let key = key(&bytes(put.get("key"))?)?;
        let value = bytes(put.get("value"))?;
        return match number(put.get("lease"))? {
            0 => Ok(txn.put(key, value)),
            id => Ok(txn.put_leased(key, value, lease_id(id)?)),
        };
    }
    let Some(range) = field(value, ["requestDeleteRange", "request_delete_range"]) else {
        return Err(invalid("expected a put or delete operation"));
    };
    match span(range)? {
        Span::Key(key) => Ok(txn.delete(key)),
        Span::Prefix { prefix, after: None } => Ok(txn.delete_prefix(prefix)),
        Span::Prefix { .. } => Err(invalid("only ranges over a whole prefix are supported")),
    }
}

fn lease_id(number: u64) -> Result<lease::Id, Error> {
    let id = i64::try_from(number).ok().and_then(lease::Id::new);
    id.ok_or_else(|| invalid("expected a positive lease id"))
}

pub(super) fn lease(value: &Value) -> Result<lease::Id, Error> {
    lease_id(number(value.get("ID"))?)
}

/// Longest lease, in seconds, as in etcd.
const TTL_MAX: u64 = 9_000_000_000;

pub(super) fn ttl(value: &Value) -> Result<Duration, Error> {
    match number(value.get("TTL"))? {
        seconds @ 1..=TTL_MAX => Ok(Duration::from_secs(seconds)),
        _ => Err(invalid("TTL is out of range")),
    }
}

pub(super) fn watch(value: &Value) -> Result<(Key, Revision), Error> {
    let create = field(value, ["create_request", "createRequest"]);
    let create = create.ok_or_else(|| invalid("create_request is missing"))?;
    let from = number(field(create, ["start_revision", "startRevision"]))?;
    Ok((whole_prefix(create)?, Revision::new(from)))
}
