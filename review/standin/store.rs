//! The platform's metadata store, as PROTOCOL.md describes it, without leases of keys.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, base64_decode, base64_encode, quote};

/// Largest value, as the settings file names it.
pub const VALUE_MAX: usize = 1_048_576;
/// Time that an answer takes.
pub const LATENCY: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, String)>,
}

/// What happens to one call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Answered,
    /// The answer takes this long.
    Slow(Duration),
    /// The call is done and not answered.
    Lost,
}

type Rule = Box<dyn Fn(&Request) -> Fate + Send + Sync>;

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    rule: Mutex<Option<Rule>>,
    /// Number of writes that were refused because a value was too large, and the largest value.
    pub too_large: Mutex<(u64, usize)>,
    /// Answered and lost writes since the last call of [`Store::set_rule`].
    pub writes: Mutex<(u64, u64)>,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0",
        quote(key),
        item.value,
        item.revision,
        item.created
    )
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Store> {
        let store = Arc::new(Store::default());
        let served = store.clone();
        http::serve(listener, move |request| served.handle(&request));
        store
    }

    pub fn set_rule<R>(&self, rule: Option<R>)
    where
        R: Fn(&Request) -> Fate + Send + Sync + 'static,
    {
        *self.rule.lock().unwrap() = rule.map(|rule| Box::new(rule) as Rule);
        *self.writes.lock().unwrap() = (0, 0);
    }

    /// Writes an item as an operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let revision = state.revision + 1;
        state.revision = revision;
        state.put(key, base64_encode(value.as_bytes()), revision);
        self.changed.notify_all();
    }

    /// Removes an item as the platform does.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        let revision = state.revision + 1;
        state.revision = revision;
        state.delete(key, revision);
        self.changed.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.state.lock().unwrap().items.get(key).map(|item| base64_decode(&item.value))
    }

    /// Returns the number of items under a prefix and their bytes.
    pub fn size(&self, prefix: &str) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        items.fold((0, 0), |(n, bytes), (_, item)| (n + 1, bytes + item.value.len() * 3 / 4))
    }

    fn handle(&self, request: &Request) -> Answer {
        let fate = self.rule.lock().unwrap().as_ref().map_or(Fate::Answered, |rule| rule(request));
        let path = request.path.split('?').next().unwrap_or_default();
        let is_write = path == "/kv-txn";
        let answer = match path {
            "/kv-key" => self.key(request),
            "/kv-range" => self.range(request),
            "/kv-watch" => self.watch(request),
            "/kv-txn" => self.txn(request),
            _ => (404, "{}".to_owned()),
        };
        // The call is done when it arrives; its answer takes the time.
        std::thread::sleep(if let Fate::Slow(time) = fate { time } else { LATENCY });
        if is_write {
            let mut writes = self.writes.lock().unwrap();
            if fate == Fate::Lost && answer.0 == 200 { writes.1 += 1 } else { writes.0 += 1 }
        }
        // Only an answer to a write that was done is lost.
        (fate != Fate::Lost || answer.0 != 200).then_some(answer)
    }

    fn key(&self, request: &Request) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let key = request.query("key").unwrap_or_default();
        let Some(item) = state.items.get(&key) else { return (404, "{}".into()) };
        (200, format!("{},\"at\":{}}}", item_json(&key, item), state.revision))
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after");
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in state.items.range(prefix.clone()..) {
            if !key.starts_with(&prefix) {
                break;
            }
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= PAGE_ITEMS
                || (bytes + item.value.len() > PAGE_BYTES && !items.is_empty())
            {
                more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, item) + "}");
        }
        let at = state.revision;
        (200, format!("{{\"items\":[{}],\"hasMore\":{more},\"at\":{at}}}", items.join(",")))
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = request.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until =
            Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let newer = state.events.iter().rev().take_while(|(revision, ..)| *revision > after);
            let mut events: Vec<String> = newer
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(_, _, event)| event.clone())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.reverse();
                let at = state.revision;
                return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".into()) };
        let puts = body.get("puts").list();
        let parts = puts.len()
            + body.get("expectedRevision").list().len()
            + body.get("deletes").list().len();
        if parts > 32 {
            return (400, "{}".into());
        }
        for put in puts {
            let len = base64_decode(put.get("value").text()).len();
            if len > VALUE_MAX {
                let mut too_large = self.too_large.lock().unwrap();
                *too_large = (too_large.0 + 1, too_large.1.max(len));
                return (400, "{\"error\":\"value too large\"}".into());
            }
        }
        let mut state = self.state.lock().unwrap();
        let mut failed = Vec::new();
        let mut is_met = true;
        for row in body.get("expectedRevision").list() {
            let key = row.get("key").text();
            let item = state.items.get(key);
            is_met &=
                item.map_or(0, |item| item.revision) == row.get("revision").number().unwrap_or(0);
            failed.extend(item.map(|item| item_json(key, item) + "}"));
        }
        if !is_met {
            return (412, format!("{{\"items\":[{}]}}", failed.join(",")));
        }
        let revision = state.revision + 1;
        state.revision = revision;
        for put in puts {
            state.put(put.get("key").text(), put.get("value").text().to_owned(), revision);
        }
        for key in body.get("deletes").list() {
            state.delete(key.text(), revision);
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl State {
    fn delete(&mut self, key: &str, revision: u64) {
        self.items.remove(key);
        let event = format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quote(key));
        self.events.push((revision, key.to_owned(), event));
    }

    fn put(&mut self, key: &str, value: String, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created };
        // Only these keys are watched; the others would take too much memory.
        let is_watched = !key.starts_with("knapweedgap/l");
        if is_watched {
            self.events.push((revision, key.to_owned(), item_json(key, &item) + "}"));
        }
        self.items.insert(key.to_owned(), item);
    }
}
