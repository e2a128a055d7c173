//! Stand-in for the service that publishes the VM list, with injected lag and outages.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_types::{Method, Request, Response};
use knapweedgap_core::revision::Revision;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::serve::{self, Reply};

/// Number of versions kept for serving an earlier list under lag.
const VERSION_COUNT: usize = 64;

/// Active faults.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Answers requests for the list with status 503.
    pub outage: bool,
    /// Minimum age of the served version of the list, in milliseconds.
    pub lag_ms: u64,
}

/// Change of faults; an absent field leaves its fault unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// See [`Fault::outage`].
    pub outage: Option<bool>,
    /// See [`Fault::lag_ms`].
    pub lag_ms: Option<u64>,
}

/// Change of the list, applied in the order of the fields. Records are not validated, so that
/// tests can serve invalid ones.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Records that replace the whole list, if present.
    pub replace: Option<Vec<Value>>,
    /// Fields to set, by id of their record. An unknown id adds a record.
    pub patch: BTreeMap<SmolStr, serde_json::Map<String, Value>>,
    /// Ids of records to remove.
    pub remove: Vec<SmolStr>,
}

#[derive(Debug)]
struct Version {
    since: Instant,
    revision: Revision,
    body: Vec<u8>,
}

#[derive(Debug, Default)]
struct State {
    vms: Vec<Value>,
    revision: u64,
    versions: VecDeque<Version>,
    fault: Fault,
}

/// Stand-in for the VM list service. Clones share the list.
#[derive(Debug, Clone, Default)]
pub struct Service {
    state: Rc<RefCell<State>>,
}

impl Service {
    /// Creates an empty list at revision 1.
    pub fn new() -> Service {
        let service = Service::default();
        service.change(Change::default());
        service
    }

    /// Serves connections until the future is dropped. The list remains.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the listener can't be set to non-blocking mode.
    pub async fn run(self, listener: TcpListener) -> std::io::Result<()> {
        let endpoint = move |request| {
            let service = self.clone();
            async move { service.reply(request).await }
        };
        serve::run(listener, endpoint).await
    }

    /// Changes the list and returns its new revision.
    pub fn change(&self, change: Change) -> Revision {
        self.state.borrow_mut().change(change)
    }

    /// Changes the injected faults and returns the active faults.
    pub fn inject(&self, change: &FaultChange) -> Fault {
        let mut state = self.state.borrow_mut();
        state.fault.outage = change.outage.unwrap_or(state.fault.outage);
        state.fault.lag_ms = change.lag_ms.unwrap_or(state.fault.lag_ms);
        state.fault.clone()
    }

    async fn reply(&self, mut request: Request) -> Reply {
        match (request.method(), request.url().path()) {
            (Method::Get, "/v1/vms") => self.state.borrow().list(),
            (Method::Post, "/control") => match serve::body(&mut request).await {
                Ok(change) => Reply::json(200, &self.inject(&change)),
                Err(reply) => reply,
            },
            (Method::Post, "/control/vms") => match serve::body(&mut request).await {
                Ok(change) => Reply::json(200, &json!({ "revision": self.change(change) })),
                Err(reply) => reply,
            },
            _ => Reply::error(404, "no_such_path", "use /v1/vms, /control or /control/vms"),
        }
    }
}

impl State {
    fn change(&mut self, change: Change) -> Revision {
        if let Some(vms) = change.replace {
            self.vms = vms;
        }
        for (id, fields) in change.patch {
            self.patch(&id, fields);
        }
        self.vms.retain(|vm| !change.remove.iter().any(|id| has_id(vm, id)));
        self.revision += 1;
        let revision = Revision::new(self.revision);
        let body = json!({ "revision": revision, "vms": self.vms }).to_string().into_bytes();
        self.versions.push_back(Version { since: Instant::now(), revision, body });
        if self.versions.len() > VERSION_COUNT {
            self.versions.pop_front();
        }
        revision
    }

    fn patch(&mut self, id: &str, fields: serde_json::Map<String, Value>) {
        let existing = self.vms.iter_mut().find(|vm| has_id(vm, id));
        let Some(Value::Object(record)) = existing else {
            let mut record = fields;
            record.insert("id".to_owned(), json!(id));
            self.vms.push(Value::Object(record));
            return;
        };
        record.extend(fields);
    }

    fn list(&self) -> Reply {
        if self.fault.outage {
            return Reply::error(503, "outage", "the VM list is unavailable (injected outage)");
        }
        let lag = Duration::from_millis(self.fault.lag_ms);
        let mut old_enough =
            self.versions.iter().rev().filter(|version| version.since.elapsed() >= lag);
        let Some(version) = old_enough.next().or(self.versions.front()) else {
            return Reply::error(503, "no_list", "the VM list has no version");
        };
        let mut response = Response::new(200);
        response.set_body(version.body.clone());
        response.insert_header("content-type", "application/json");
        response.insert_header("etag", format!("\"{}\"", version.revision));
        Reply::Answer(Box::new(response))
    }
}

fn has_id(vm: &Value, id: &str) -> bool {
    vm.get("id").and_then(Value::as_str) == Some(id)
}
