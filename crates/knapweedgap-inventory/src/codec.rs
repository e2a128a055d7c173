//! JSON codec of the VM list.

use std::str::FromStr;

use knapweedgap_core::revision::Revision;
use knapweedgap_core::{id, size};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use smol_str::{SmolStr, format_smolstr};

use crate::Error;
use crate::list::{Decoded, Fault, Fragment};
use crate::vm::{Record, Role, State};

/// Maximum length of a list, in bytes. 5,700 workers and their upstreams at 500 bytes each need
/// half of it.
pub const LIST_LEN_MAX: usize = 8 * 1024 * 1024;

/// Maximum length of the text of a fault, in bytes. The text may quote the answer.
const TEXT_LEN_MAX: usize = 256;

#[derive(Debug, Deserialize)]
struct Raw {
    revision: Revision,
    vms: Vec<Value>,
}

/// Decodes a list. Invalid records are omitted from it and reported as faults.
///
/// # Errors
///
/// [`Error::Invalid`] if the answer as a whole is not a list or is longer than [`LIST_LEN_MAX`].
pub fn decode(bytes: &[u8]) -> Result<Decoded, Error> {
    if bytes.len() > LIST_LEN_MAX {
        let help = format_smolstr!("longer than {LIST_LEN_MAX} bytes");
        return Err(Error::Invalid { place: "list".into(), help });
    }
    let raw = serde_json::from_slice(bytes);
    let raw: Raw = raw.map_err(|error| Error::Invalid {
        place: format_smolstr!("line {} column {}", error.line(), error.column()),
        help: truncate(&error.to_string()),
    })?;
    let mut decoded = Decoded::default();
    decoded.list.revision = raw.revision;
    for (index, value) in raw.vms.iter().enumerate() {
        decode_record(&mut decoded, index, value);
    }
    Ok(decoded)
}

fn decode_record(decoded: &mut Decoded, index: usize, value: &Value) {
    let mut fields = Fields { value, index, faults: Vec::new() };
    let record = fields.record();
    if let (Some(record), true) = (record, fields.faults.is_empty()) {
        if !decoded.list.vms.contains_key(&record.id) {
            decoded.list.vms.insert(record.id.clone(), record);
            return;
        }
        fields.fault("id", "duplicate of the id of an earlier record");
    }
    decoded.faults.append(&mut fields.faults);
    let id = value.get("id").and_then(Value::as_str).and_then(|id| id.parse().ok());
    let Some(id) = id else { return };
    let leaving = value.get("state").and_then(Value::as_str) == Some("leaving");
    decoded.fragments.push(Fragment { id, leaving });
}

/// Reader of the fields of one record that collects their faults.
struct Fields<'a> {
    value: &'a Value,
    index: usize,
    faults: Vec<Fault>,
}

impl Fields<'_> {
    /// Reads all fields even after a fault, so that all faults of the record are reported together.
    fn record(&mut self) -> Option<Record> {
        if !self.value.is_object() {
            self.faults.push(Fault {
                place: format_smolstr!("vms[{}]", self.index),
                help: "not an object".into(),
            });
            return None;
        }
        let id = self.required("id");
        let role = self.role();
        let address = self.required("address");
        let zone = self.required("zone");
        let rack = self.optional("rack");
        let state: Option<State> = self.required("state");
        let capacity = self.capacity();
        Some(Record {
            id: id?,
            role: role?,
            address: address?,
            zone: zone?,
            rack,
            state: state?,
            capacity: capacity?,
        })
    }

    fn role(&mut self) -> Option<Role> {
        let name: SmolStr = self.required("role")?;
        match name.as_str() {
            "upstream" => self.upstream(),
            "worker" => Some(Role::Worker),
            "entry" => Some(Role::Entry),
            _ => {
                self.fault("role", "write upstream, worker or entry");
                None
            }
        }
    }

    fn upstream(&mut self) -> Option<Role> {
        let service: Option<id::Service> = self.required("service");
        let slots = self.slots();
        let host = self.optional("host");
        Some(Role::Upstream { service: service?, slots: slots?, host })
    }

    fn slots(&mut self) -> Option<size::Slot> {
        let slots = self.value.get("slots").and_then(Value::as_u64);
        let slots = slots.and_then(|slots| u32::try_from(slots).ok()).filter(|slots| *slots > 0);
        if slots.is_none() {
            self.fault("slots", "write a whole number from 1 to 4294967295");
        }
        slots.map(size::Slot::new)
    }

    fn capacity(&mut self) -> Option<size::Resources> {
        let Some(value) = self.value.get("capacity").filter(|value| !value.is_null()) else {
            // Nothing is scheduled on an entry, so its record may omit the capacity.
            let is_entry = self.value.get("role").and_then(Value::as_str) == Some("entry");
            if is_entry {
                return Some(size::Resources::default());
            }
            self.fault("capacity", "missing");
            return None;
        };
        match size::Resources::deserialize(value) {
            Ok(capacity) => Some(capacity),
            Err(error) => {
                self.fault("capacity", &error.to_string());
                None
            }
        }
    }

    fn required<Field>(&mut self, name: &'static str) -> Option<Field>
    where
        Field: FromStr,
        Field::Err: std::fmt::Display,
    {
        let missing = self.value.get(name).is_none_or(Value::is_null);
        if missing {
            self.fault(name, "missing");
            return None;
        }
        self.optional(name)
    }

    fn optional<Field>(&mut self, name: &'static str) -> Option<Field>
    where
        Field: FromStr,
        Field::Err: std::fmt::Display,
    {
        let value = self.value.get(name).filter(|value| !value.is_null())?;
        let Some(text) = value.as_str() else {
            self.fault(name, "not a string");
            return None;
        };
        match text.parse() {
            Ok(field) => Some(field),
            Err(error) => {
                self.fault(name, &error.to_string());
                None
            }
        }
    }

    fn fault(&mut self, name: &str, help: &str) {
        let place = format_smolstr!("vms[{}].{name}", self.index);
        self.faults.push(Fault { place, help: truncate(help) });
    }
}

fn truncate(text: &str) -> SmolStr {
    let mut end = text.len().min(TEXT_LEN_MAX);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    SmolStr::new(&text[..end])
}

/// Encodes a record as in the list. A rack or host that is `None` is omitted.
pub fn encode(record: &Record) -> Value {
    let mut fields = Map::new();
    let mut set = |name: &str, value: Value| fields.insert(name.to_owned(), value);
    set("id", json!(record.id));
    set("role", json!(record.role.name()));
    set("address", json!(record.address));
    set("zone", json!(record.zone));
    set("state", json!(record.state.to_string()));
    set("capacity", json!(record.capacity));
    if let Some(rack) = &record.rack {
        set("rack", json!(rack));
    }
    if let Role::Upstream { service, slots, host } = &record.role {
        set("service", json!(service));
        set("slots", json!(slots));
        if let Some(host) = host {
            set("host", json!(host));
        }
    }
    Value::Object(fields)
}
