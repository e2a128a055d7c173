//! The platform's key-value store.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Handler, Reply, Request};
use crate::json::{Json, base64, unbase64};
use crate::map;

/// Time that an answer takes.
const LATENCY: Duration = Duration::from_millis(4);
/// Largest number of items of a page, and size of their values.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Table {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and the item, which is absent after a deletion.
    history: Vec<(u64, String, Option<Item>)>,
    is_down: bool,
}

#[derive(Default)]
pub struct Store {
    table: Mutex<Table>,
    changed: Condvar,
}

impl Table {
    fn put(&mut self, key: &str, value: String) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }
}

fn item(key: &str, item: &Item) -> Json {
    map! {
        "key": key, "value": item.value.as_str(), "revision": item.revision,
        "created": item.created, "lease": 0u64,
    }
}

impl Store {
    /// Makes the store silent, or lets it answer again.
    pub fn set_down(&self, is_down: bool) {
        self.table.lock().unwrap().is_down = is_down;
    }

    pub fn is_down(&self) -> bool {
        self.table.lock().unwrap().is_down
    }

    /// Writes an item of an operator or of a runner.
    pub fn write(&self, key: &str, value: &str) {
        let mut table = self.table.lock().unwrap();
        table.revision += 1;
        table.put(key, base64(value.as_bytes()));
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut table = self.table.lock().unwrap();
        table.revision += 1;
        table.delete(key);
        self.changed.notify_all();
    }

    pub fn read(&self, key: &str) -> Option<String> {
        let table = self.table.lock().unwrap();
        let bytes = unbase64(&table.items.get(key)?.value);
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    pub fn handler(self: &Arc<Self>) -> Handler {
        let store = self.clone();
        Arc::new(move |request| store.answer(&request))
    }

    fn answer(&self, request: &Request) -> Reply {
        if self.is_down() {
            return Reply::Silent;
        }
        std::thread::sleep(LATENCY);
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.key(request.query("key")),
            ("GET", "/kv-range") => self.range(request.query("prefix"), request.query("after")),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.txn(&request.body),
            _ => (404, "{}".to_owned()),
        };
        if self.is_down() {
            return Reply::Silent;
        }
        Reply::Answer(reply.0, reply.1)
    }

    fn key(&self, key: &str) -> (u16, String) {
        let table = self.table.lock().unwrap();
        let Some(found) = table.items.get(key) else { return (404, "{}".to_owned()) };
        let Json::Map(mut rows) = item(key, found) else { return (404, "{}".to_owned()) };
        rows.push(("at".to_owned(), table.revision.into()));
        (200, Json::Map(rows).to_string())
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let table = self.table.lock().unwrap();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, found) in table.items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            bytes += found.value.len();
            if !items.is_empty() && (items.len() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
                more = true;
                break;
            }
            items.push(item(key, found));
        }
        (200, map! { "items": items, "hasMore": more, "at": table.revision }.to_string())
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let prefix = request.query("prefix");
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut table = self.table.lock().unwrap();
        loop {
            let start = table.history.partition_point(|(revision, ..)| *revision <= after);
            let mut events = Vec::new();
            for (revision, key, found) in &table.history[start..] {
                if !key.starts_with(prefix) {
                    continue;
                }
                events.push(match found {
                    Some(found) => item(key, found),
                    None => map! { "key": key.as_str(), "revision": *revision, "deleted": true },
                });
            }
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || table.is_down {
                return (200, map! { "events": events, "at": table.revision }.to_string());
            }
            table = self.changed.wait_timeout(table, left).unwrap().0;
        }
    }

    fn txn(&self, body: &[u8]) -> (u16, String) {
        let Some(txn) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let mut table = self.table.lock().unwrap();
        let revision = |key: &str| table.items.get(key).map_or(0, |item| item.revision);
        let rows = txn.get("expectedRevision").list();
        let holds = |row: &Json| revision(row.get("key").text()) == row.get("revision").number();
        if !rows.iter().all(holds) {
            let keys = rows.iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|key| Some(item(key, table.items.get(key)?)));
            return (412, map! { "items": items.collect::<Vec<_>>() }.to_string());
        }
        let puts = txn.get("puts").list();
        let written = puts.iter().map(|put| put.get("key").text());
        let deleted = txn.get("deletes").list().iter().map(Json::text);
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if written.chain(deleted).any(is_foreign) {
            return (403, "{}".to_owned());
        }
        table.revision += 1;
        for put in puts {
            table.put(put.get("key").text(), put.get("value").text().to_owned());
        }
        for key in txn.get("deletes").list() {
            table.delete(key.text());
        }
        let answer = map! { "revision": table.revision }.to_string();
        self.changed.notify_all();
        (200, answer)
    }
}
