//! Encoding of answers in the JSON format of the etcd v3 gateway.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use knapweedgap_core::revision::Revision;
use knapweedgap_store::{Change, Entry, Page, lease};
use serde_json::{Value, json};

pub(super) fn header(revision: Revision) -> Value {
    json!({ "header": fields(revision) })
}

fn fields(revision: Revision) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": revision.to_string(),
        "raft_term": "1",
    })
}

fn entry(entry: &Entry) -> Value {
    let mut value = json!({
        "key": STANDARD.encode(entry.key.as_str()),
        "create_revision": entry.create_revision.to_string(),
        "mod_revision": entry.mod_revision.to_string(),
        "version": entry.version.to_string(),
        "value": STANDARD.encode(&entry.value),
    });
    if let Some(lease) = entry.lease {
        value["lease"] = json!(lease.to_string());
    }
    value
}

pub(super) fn page(page: &Page) -> Value {
    let mut value = header(page.revision);
    if !page.entries.is_empty() {
        value["kvs"] = page.entries.iter().map(entry).collect();
        value["count"] = json!(page.entries.len().to_string());
    }
    if page.more {
        value["more"] = json!(true);
    }
    value
}

pub(super) fn outcome(succeeded: bool, revision: Revision) -> Value {
    let mut value = header(revision);
    if succeeded {
        value["succeeded"] = json!(true);
    }
    value
}

pub(super) fn grant(id: lease::Id, ttl: Duration, revision: Revision) -> Value {
    let mut value = header(revision);
    value["ID"] = json!(id.to_string());
    value["TTL"] = json!(ttl.as_secs().to_string());
    value
}

pub(super) fn renewal(id: lease::Id, remaining: Duration, revision: Revision) -> Value {
    let mut value = header(revision);
    value["ID"] = json!(id.to_string());
    if !remaining.is_zero() {
        value["TTL"] = json!(remaining.as_secs().to_string());
    }
    json!({ "result": value })
}

pub(super) fn created(revision: Revision) -> Value {
    json!({ "result": { "header": fields(revision), "created": true } })
}

pub(super) fn compacted(revision: Revision, first: Revision) -> Value {
    json!({ "result": {
        "header": fields(revision),
        "canceled": true,
        "compact_revision": first.to_string(),
    } })
}

pub(super) fn changes(revision: Revision, changes: &[Change]) -> Value {
    let mut value = header(revision);
    if !changes.is_empty() {
        value["events"] = changes.iter().map(change).collect();
    }
    json!({ "result": value })
}

fn change(change: &Change) -> Value {
    match change {
        Change::Put(put) => json!({ "kv": entry(put) }),
        Change::Delete { key, revision } => json!({
            "type": "DELETE",
            "kv": {
                "key": STANDARD.encode(key.as_str()),
                "mod_revision": revision.to_string(),
            },
        }),
    }
}
