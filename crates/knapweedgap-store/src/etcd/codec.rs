//! JSON codec of the gateway. Bytes are base64, 64-bit numbers are decimal strings, and fields with
//! default values are omitted.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use knapweedgap_core::revision::Revision;
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::key::{Range, Span};
use crate::txn::Write;
use crate::watch::Batch;
use crate::{Change, Compare, Entry, Error, Key, Outcome, Page, Txn, lease};

/// Encodes the request body of a range call.
pub fn encode_range(range: &Range) -> Value {
    match &range.span {
        Span::Key(key) => json!({ "key": encode(key.as_str()) }),
        Span::Prefix(prefix) => {
            let start = match &range.after {
                Some(after) if after > prefix => [after.as_str().as_bytes(), &[0]].concat(),
                _ => prefix.as_str().as_bytes().to_vec(),
            };
            json!({
                "key": encode(start),
                "range_end": encode(prefix.prefix_end()),
                "limit": range.limit.to_string(),
            })
        }
    }
}

/// Encodes the request body of a transaction.
pub fn encode_txn(txn: &Txn) -> Value {
    let compare: Vec<Value> = txn.compares.iter().map(encode_compare).collect();
    let success: Vec<Value> = txn.writes.iter().map(encode_write).collect();
    json!({ "compare": compare, "success": success })
}

fn encode_compare(compare: &Compare) -> Value {
    let (key, target, field, value) = match compare {
        Compare::Version(key, version) => (key, "VERSION", "version", version.to_string()),
        Compare::Created(key, revision) => (key, "CREATE", "create_revision", revision.to_string()),
        Compare::Modified(key, revision) => (key, "MOD", "mod_revision", revision.to_string()),
        Compare::Value(key, value) => (key, "VALUE", "value", encode(value)),
    };
    json!({ "key": encode(key.as_str()), "result": "EQUAL", "target": target, field: value })
}

fn encode_write(write: &Write) -> Value {
    match write {
        Write::Put { key, value, lease } => {
            let mut put = json!({ "key": encode(key.as_str()), "value": encode(value) });
            if let Some(lease) = lease {
                put["lease"] = json!(lease.to_string());
            }
            json!({ "requestPut": put })
        }
        Write::Delete(key) => json!({ "requestDeleteRange": { "key": encode(key.as_str()) } }),
        Write::DeletePrefix(prefix) => json!({ "requestDeleteRange": {
            "key": encode(prefix.as_str()),
            "range_end": encode(prefix.prefix_end()),
        } }),
    }
}

/// Encodes the request body of a lease grant. The time to live is rounded up to whole seconds, at
/// least 1.
pub fn encode_grant(ttl: Duration) -> Value {
    let seconds = ttl.as_millis().div_ceil(1000).max(1);
    json!({ "TTL": seconds.to_string() })
}

/// Encodes the request body of a lease renewal or revocation.
pub fn encode_lease(lease: lease::Id) -> Value {
    json!({ "ID": lease.to_string() })
}

/// Encodes the request that creates a watch. It enables progress notifications, which show that the
/// stream is alive and advance the revision to resume at.
pub fn encode_watch(prefix: &Key, from: Revision) -> Value {
    json!({ "create_request": {
        "key": encode(prefix.as_str()),
        "range_end": encode(prefix.prefix_end()),
        "start_revision": from.to_string(),
        "progress_notify": true,
    } })
}

fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

/// Unsigned 64-bit number, encoded as a string or, by some gateways, as a JSON number.
#[derive(Debug, Clone, Copy, Default)]
struct Number(u64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<Source>(source: Source) -> Result<Number, Source::Error>
    where
        Source: Deserializer<'de>,
    {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Raw {
            Text(SmolStr),
            Plain(u64),
        }
        match Raw::deserialize(source)? {
            Raw::Plain(number) => Ok(Number(number)),
            Raw::Text(text) => match text.parse() {
                Ok(number) => Ok(Number(number)),
                Err(_) => Err(serde::de::Error::custom("not an unsigned number")),
            },
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawHeader {
    revision: Number,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawEntry {
    key: String,
    value: String,
    version: Number,
    create_revision: Number,
    mod_revision: Number,
    lease: Number,
}

#[derive(Debug, Deserialize)]
struct RawPage {
    header: RawHeader,
    #[serde(default)]
    kvs: Vec<RawEntry>,
    #[serde(default)]
    more: bool,
}

#[derive(Debug, Deserialize)]
struct RawOutcome {
    header: RawHeader,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Debug, Deserialize)]
struct RawGrant {
    #[serde(rename = "ID")]
    id: Number,
}

#[derive(Debug, Deserialize)]
struct RawRenewal {
    result: RawTtl,
}

#[derive(Debug, Deserialize)]
struct RawTtl {
    #[serde(rename = "TTL", default)]
    ttl: Number,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawFailure {
    message: SmolStr,
    error: SmolStr,
    code: Option<u32>,
    grpc_code: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct RawMessage {
    result: Option<RawWatch>,
    error: Option<RawFailure>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawWatch {
    header: RawHeader,
    created: bool,
    canceled: bool,
    compact_revision: Number,
    cancel_reason: SmolStr,
    events: Vec<RawEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawEvent {
    #[serde(rename = "type")]
    kind: SmolStr,
    kv: RawEntry,
}

/// Message of a watch stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// The watch was created when the service had this revision.
    Created(Revision),
    /// Changes, or a progress notification without changes.
    Batch(Batch),
}

fn parse<'a, Raw>(bytes: &'a [u8]) -> Result<Raw, Error>
where
    Raw: Deserialize<'a>,
{
    serde_json::from_slice(bytes).map_err(|error| {
        let place = format!("line {} column {}", error.line(), error.column());
        Error::invalid(place, truncate(&error.to_string()))
    })
}

/// Maximum length of a message of the service quoted in an error, in bytes.
const TEXT_LEN_MAX: usize = 256;

fn truncate(text: &str) -> &str {
    let mut end = text.len().min(TEXT_LEN_MAX);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

fn decode_key(text: &str, place: &str) -> Result<Key, Error> {
    let invalid = |help: String| Error::invalid(format!("{place}.key"), help);
    let bytes = STANDARD.decode(text).map_err(|error| invalid(error.to_string()))?;
    let text = std::str::from_utf8(&bytes).map_err(|error| invalid(error.to_string()))?;
    text.parse().map_err(|error| invalid(format!("{error}")))
}

fn decode_entry(raw: RawEntry, place: &str) -> Result<Entry, Error> {
    let key = decode_key(&raw.key, place)?;
    let value = STANDARD.decode(&raw.value);
    let value =
        value.map_err(|error| Error::invalid(format!("{place}.value"), error.to_string()))?;
    for (field, number) in [("version", raw.version), ("mod_revision", raw.mod_revision)] {
        if number.0 == 0 {
            return Err(Error::invalid(format!("{place}.{field}"), "missing or 0"));
        }
    }
    let lease = i64::try_from(raw.lease.0);
    let lease = lease.map_err(|_| Error::invalid(format!("{place}.lease"), "exceeds 63 bits"))?;
    Ok(Entry {
        key,
        value,
        version: raw.version.0,
        create_revision: Revision::new(raw.create_revision.0),
        mod_revision: Revision::new(raw.mod_revision.0),
        lease: lease::Id::new(lease),
    })
}

/// Decodes the answer to a range call.
///
/// # Errors
///
/// [`Error::Invalid`] with the position of the first fault.
pub fn decode_page(bytes: &[u8]) -> Result<Page, Error> {
    let raw: RawPage = parse(bytes)?;
    let mut entries = Vec::with_capacity(raw.kvs.len());
    for (index, entry) in raw.kvs.into_iter().enumerate() {
        entries.push(decode_entry(entry, &format!("kvs[{index}]"))?);
    }
    Ok(Page { revision: Revision::new(raw.header.revision.0), entries, more: raw.more })
}

/// Decodes the answer to a transaction.
///
/// # Errors
///
/// [`Error::Invalid`] with the position of the fault.
pub fn decode_outcome(bytes: &[u8]) -> Result<Outcome, Error> {
    let raw: RawOutcome = parse(bytes)?;
    if !raw.succeeded {
        return Ok(Outcome::Failed);
    }
    if raw.header.revision.0 == 0 {
        return Err(Error::invalid("header.revision", "missing or 0"));
    }
    Ok(Outcome::Succeeded(Revision::new(raw.header.revision.0)))
}

/// Decodes the answer to a lease grant.
///
/// # Errors
///
/// [`Error::Invalid`] with the position of the fault.
pub fn decode_grant(bytes: &[u8]) -> Result<lease::Id, Error> {
    let raw: RawGrant = parse(bytes)?;
    let id = i64::try_from(raw.id.0).ok().and_then(lease::Id::new);
    id.ok_or_else(|| Error::invalid("ID", "not a positive 64-bit number"))
}

/// Decodes the remaining time from the answer to a lease renewal; zero if the lease has ended.
///
/// # Errors
///
/// [`Error::Invalid`] with the position of the fault.
pub fn decode_renewal(bytes: &[u8]) -> Result<Duration, Error> {
    let raw: RawRenewal = parse(bytes)?;
    Ok(Duration::from_secs(raw.result.ttl.0))
}

/// Decodes the body of an error response into its gRPC code, if it has one, and its message.
pub fn decode_failure(bytes: &[u8]) -> (Option<u32>, SmolStr) {
    let Ok(raw) = serde_json::from_slice::<RawFailure>(bytes) else {
        return (None, truncate(&String::from_utf8_lossy(bytes)).into());
    };
    let text = if raw.message.is_empty() { raw.error } else { raw.message };
    (raw.code.or(raw.grpc_code), truncate(&text).into())
}

/// Decodes one message of a watch stream.
///
/// # Errors
///
/// [`Error::Compacted`] or [`Error::Unavailable`] if the service ends the watch, and
/// [`Error::Invalid`] with the position of the fault.
pub fn decode_message(bytes: &[u8]) -> Result<Message, Error> {
    let raw: RawMessage = parse(bytes)?;
    if let Some(failure) = raw.error {
        let text = if failure.message.is_empty() { failure.error } else { failure.message };
        return Err(Error::Unavailable(truncate(&text).into()));
    }
    let watch = raw.result.ok_or_else(|| Error::invalid("result", "missing"))?;
    if watch.compact_revision.0 != 0 {
        return Err(Error::Compacted(Revision::new(watch.compact_revision.0)));
    }
    if watch.canceled {
        return Err(Error::Unavailable(truncate(&watch.cancel_reason).into()));
    }
    if watch.created {
        return Ok(Message::Created(Revision::new(watch.header.revision.0)));
    }
    decode_batch(watch).map(Message::Batch)
}

fn decode_batch(watch: RawWatch) -> Result<Batch, Error> {
    let mut changes = Vec::with_capacity(watch.events.len());
    for (index, event) in watch.events.into_iter().enumerate() {
        changes.push(decode_change(event, &format!("events[{index}]"))?);
    }
    // The header revision of a message with changes may be newer than its last change, and changes
    // in between may follow in another message. Only a message without changes reports progress.
    let covered = changes.last().map_or(watch.header.revision.0, |last| last.revision().get());
    let next = if covered == 0 { 0 } else { covered.saturating_add(1) };
    Ok(Batch { changes, next: Revision::new(next), waited: Duration::ZERO })
}

fn decode_change(event: RawEvent, place: &str) -> Result<Change, Error> {
    let place_kv = format!("{place}.kv");
    match event.kind.as_str() {
        "" | "PUT" => decode_entry(event.kv, &place_kv).map(Change::Put),
        "DELETE" => {
            let key = decode_key(&event.kv.key, &place_kv)?;
            let revision = Revision::new(event.kv.mod_revision.0);
            if revision.get() == 0 {
                return Err(Error::invalid(format!("{place_kv}.mod_revision"), "missing or 0"));
            }
            Ok(Change::Delete { key, revision })
        }
        _ => Err(Error::invalid(format!("{place}.type"), "neither PUT nor DELETE")),
    }
}
