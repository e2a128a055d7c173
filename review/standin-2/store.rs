//! Stand-in of the platform's metadata store. Each instance has an address of its own, so that the
//! store knows which machine calls.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, base64, map, num, text, unbase64};
use crate::record::Record;

/// Time that an answer takes.
/// The longest time for which the site file has answers lost.
const LOSS: Duration = Duration::from_millis(4_500);
const LATENCY: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Table {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Revision, key and item (`None`: deleted) of each change.
    events: Vec<(u64, String, Option<Item>)>,
    last_lease: u64,
    /// Text of the first write that is done and not answered.
    lost_text: Option<String>,
    lost_at: Option<Instant>,
    /// Writes that were done within `LOSS` of the lost answer, that one included.
    writes: u64,
    /// Instance that last wrote under a condition.
    writer: Option<usize>,
    /// Instance that is answered 503.
    turned_away: Option<usize>,
}

pub struct Store {
    table: Mutex<Table>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Store> {
        let table = Table {
            items: BTreeMap::new(),
            revision: 1,
            events: Vec::new(),
            last_lease: 0,
            lost_text: None,
            lost_at: None,
            writes: 0,
            writer: None,
            turned_away: None,
        };
        Arc::new(Store { table: Mutex::new(table), changed: Condvar::new(), record })
    }

    /// Opens the address of one instance.
    pub fn listen(self: &Arc<Self>, ip: &str, instance: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = self.clone();
        http::serve(listener, Arc::new(move |request| store.answer(instance, &request)));
        Ok(address)
    }

    /// Lets the first write of which a value contains `text` be done and not answered.
    pub fn lose(&self, text: &str) {
        self.table.lock().unwrap().lost_text = Some(text.to_owned());
    }
    pub fn lost_at(&self) -> Option<Instant> {
        self.table.lock().unwrap().lost_at
    }
    pub fn writes_since_loss(&self) -> u64 {
        self.table.lock().unwrap().writes
    }
    /// Turns an instance away, and serves the others.
    pub fn turn_away(&self, instance: Option<usize>) {
        match instance {
            Some(number) => {
                self.record.line(&format!("store: turns instance {number} away (503)"));
            }
            None => self.record.line("store: serves all instances"),
        }
        self.table.lock().unwrap().turned_away = instance;
        self.changed.notify_all();
    }
    pub fn writer(&self) -> Option<usize> {
        self.table.lock().unwrap().writer
    }

    /// Writes an item as the operator or as a runner.
    pub fn put(&self, key: &str, value: &str) {
        let mut table = self.table.lock().unwrap();
        table.revision += 1;
        let revision = table.revision;
        table.write(key, base64(value.as_bytes()), 0, revision);
        drop(table);
        self.changed.notify_all();
    }

    fn answer(&self, instance: usize, request: &Request) -> Reply {
        std::thread::sleep(LATENCY / 2);
        if self.table.lock().unwrap().turned_away == Some(instance) {
            return Reply::Json(503, "{}".to_owned());
        }
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.key(request),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(instance, request),
            ("POST", "/kv-txn") => self.txn(instance, request),
            ("POST", "/kv-lease") => {
                let mut table = self.table.lock().unwrap();
                table.last_lease += 1;
                let body = map(vec![("lease", num(table.last_lease)), ("ttlMs", num(3000))]);
                Reply::Json(200, body.to_string())
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                Reply::Json(200, map(vec![("ttlMs", num(3000))]).to_string())
            }
            _ => Reply::Json(404, "{}".to_owned()),
        };
        std::thread::sleep(LATENCY / 2);
        reply
    }

    fn key(&self, request: &Request) -> Reply {
        let table = self.table.lock().unwrap();
        let key = request.query.get("key").cloned().unwrap_or_default();
        let Some(item) = table.items.get(&key) else { return Reply::Json(404, "{}".to_owned()) };
        let Json::Map(mut fields) = encoded(&key, item) else { return Reply::Close };
        fields.insert("at".to_owned(), num(table.revision));
        Reply::Json(200, Json::Map(fields).to_string())
    }

    fn range(&self, request: &Request) -> Reply {
        let table = self.table.lock().unwrap();
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let after = request.query.get("after").cloned().unwrap_or_default();
        let items = table.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut items: Vec<Json> = items.take(501).map(|(key, item)| encoded(key, item)).collect();
        let more = items.len() > 500;
        items.truncate(500);
        let fields = vec![
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(more)),
            ("at", num(table.revision)),
        ];
        Reply::Json(200, map(fields).to_string())
    }

    fn watch(&self, instance: usize, request: &Request) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|it| it.parse::<u64>().ok());
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut table = self.table.lock().unwrap();
        loop {
            if table.turned_away == Some(instance) {
                return Reply::Json(503, "{}".to_owned());
            }
            let is_new = |(revision, key, _): &&(u64, String, Option<Item>)| {
                *revision > after && key.starts_with(&prefix)
            };
            let events: Vec<Json> = table.events.iter().filter(is_new).map(event).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let fields = vec![("events", Json::List(events)), ("at", num(table.revision))];
                return Reply::Json(200, map(fields).to_string());
            }
            table = self.changed.wait_timeout(table, end - now).unwrap().0;
        }
    }

    fn txn(&self, instance: usize, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Json(400, "{}".to_owned());
        };
        let mut table = self.table.lock().unwrap();
        let conditions = body.get("expectedRevision").list();
        let current = |key: &str| table.items.get(key).map_or(0, |item| item.revision);
        let is_met =
            conditions.iter().all(|row| current(row.get("key").str()) == row.get("revision").u64());
        if !is_met {
            let rows = conditions.iter().filter_map(|row| {
                let key = row.get("key").str();
                Some(encoded(key, table.items.get(key)?))
            });
            let body = map(vec![("items", Json::List(rows.collect()))]);
            return Reply::Json(412, body.to_string());
        }
        if !conditions.is_empty() {
            table.writer = Some(instance);
        }
        table.revision += 1;
        let revision = table.revision;
        let puts = body.get("puts").list();
        for put in puts {
            let value = put.get("value").str().to_owned();
            table.write(put.get("key").str(), value, put.get("lease").u64(), revision);
        }
        for key in body.get("deletes").list() {
            if table.items.remove(key.str()).is_some() {
                table.events.push((revision, key.str().to_owned(), None));
            }
        }
        let contains = |marker: &str| {
            puts.iter().any(|put| {
                let value = unbase64(put.get("value").str());
                value.windows(marker.len()).any(|window| window == marker.as_bytes())
            })
        };
        let is_lost = table.lost_text.as_deref().is_some_and(contains);
        let mut reply = Reply::Json(200, map(vec![("revision", num(revision))]).to_string());
        if is_lost {
            table.lost_text = None;
            table.lost_at = Some(Instant::now());
            self.record
                .line(&format!("store: does a write of instance {instance} and gives no answer"));
            reply = Reply::Silence;
        }
        if table.lost_at.is_some_and(|at| at.elapsed() < LOSS) {
            table.writes += 1;
        }
        drop(table);
        self.changed.notify_all();
        reply
    }
}

impl Table {
    fn write(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }
}

fn encoded(key: &str, item: &Item) -> Json {
    map(vec![
        ("key", text(key)),
        ("value", text(item.value.clone())),
        ("revision", num(item.revision)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ])
}

fn event((revision, key, item): &(u64, String, Option<Item>)) -> Json {
    match item {
        Some(item) => encoded(key, item),
        None => {
            let fields: HashMap<&str, Json> = HashMap::from([
                ("key", text(key.clone())),
                ("revision", num(*revision)),
                ("deleted", Json::Bool(true)),
            ]);
            map(fields.into_iter().collect())
        }
    }
}
