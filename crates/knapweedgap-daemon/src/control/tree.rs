//! Current settings: read, watched and changed in the key-value service, and sent to peers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use knapweedgap_core::{id, rate, revision, size};
use knapweedgap_instance::wire::{self, Body};
use knapweedgap_operator::error;
use knapweedgap_operator::settings::Patched;
use knapweedgap_placement::{quota, settings as placement};
use knapweedgap_settings::{Document, Patch, Path, Record, Tree as Values, effective, patch};
use knapweedgap_store::{self as store, Compare, Outcome, Store, Txn, key};
use knapweedgap_timeline::event::Kind;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use super::context::{Context, sleep};
use super::{fixed, keyspace, partition, snapshot, value};
use crate::metric;

/// Delay after a failed call to the key-value service.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);
/// Attempts to commit a patch when other operators change the settings concurrently.
const PATCH_ATTEMPTS: u32 = 8;

/// Stored value of the current settings. The write id lets a writer whose answer was lost recognize
/// its own write.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    write: SmolStr,
    document: Document,
}

/// Current settings of this instance.
pub(crate) struct Tree {
    document: RefCell<Document>,
    /// Derived from the document when it is applied, because every ping reads it.
    placement: RefCell<placement::Settings>,
    /// Whether the settings have been read. Until then no request is served, because the defaults
    /// may differ from the stored settings.
    known: Cell<bool>,
    writes: Cell<u64>,
}

impl Tree {
    pub(crate) fn new() -> Tree {
        let placement = RefCell::new(read_placement(&Values::default()));
        Tree {
            document: RefCell::default(),
            placement,
            known: Cell::new(false),
            writes: Cell::new(0),
        }
    }

    /// Returns `true` once the settings have been read or received.
    pub(crate) fn is_known(&self) -> bool {
        self.known.get()
    }

    pub(crate) fn revision(&self) -> revision::Revision {
        self.document.borrow().revision
    }

    /// Runs a query on the current settings tree.
    pub(crate) fn query<Query, Answer>(&self, query: Query) -> Answer
    where
        Query: FnOnce(&Values) -> Answer,
    {
        query(&self.document.borrow().tree)
    }

    /// Returns the message with the current settings for a peer that has an older revision. Returns
    /// `None` until the settings are known.
    pub(crate) fn frame(&self) -> Option<Body> {
        if !self.known.get() {
            return None;
        }
        let document = self.document.borrow();
        let tree = serde_json::to_string(&*document).ok()?;
        Some(Body::Settings(wire::Settings { revision: document.revision, tree }))
    }

    /// Applies settings received from a peer, unless the current ones are at least as new.
    pub(crate) fn apply_received(&self, context: &Rc<Context>, text: &str) {
        match serde_json::from_str::<Document>(text) {
            Ok(document) => self.apply(context, document),
            Err(error) => log::warn!("[settings] invalid settings received from a peer: {error}"),
        }
    }

    /// Applies settings. A revision that is not higher is ignored, so that the settings never
    /// revert to an earlier revision.
    fn apply(&self, context: &Rc<Context>, document: Document) {
        if self.known.get() && document.revision <= self.revision() {
            return;
        }
        let revision = document.revision;
        *self.placement.borrow_mut() = read_placement(&document.tree);
        *self.document.borrow_mut() = document;
        self.known.set(true);
        let now = context.now();
        let system = self.query(|tree| effective::System::read(tree, &Path::root()));
        context.members.set_partitions(system.partitions, now);
        context.advance(crate::process::Any::serve);
        log::info!("[settings] applied revision {revision}");
        context.journal.record(Kind::SettingsApplied, |event| event.detail(&revision.to_string()));
        metrics::gauge!(metric::SETTINGS_REVISION).set(revision.get() as f64);
        snapshot::publish(context);
        for owned in context.partitions.all() {
            let settings = self.placement();
            owned.input(|engine| engine.set_settings(settings, now));
            partition::update_workers(context, &owned);
        }
    }

    /// Returns the settings of the placement engine.
    pub(crate) fn placement(&self) -> placement::Settings {
        self.placement.borrow().clone()
    }

    fn next_write(&self, context: &Context) -> SmolStr {
        let number = self.writes.get() + 1;
        self.writes.set(number);
        format_smolstr!("{}-{}-{number}", context.config.instance, context.incarnation)
    }
}

/// Derives the settings of the placement engine from the settings tree.
fn read_placement(tree: &Values) -> placement::Settings {
    let system = effective::System::read(tree, &Path::root());
    let weights = placement::Weights {
        latency: rate::Share::from_milli(system.objective.latency),
        throughput: rate::Share::from_milli(system.objective.throughput),
        evictions: rate::Share::from_milli(system.objective.evictions),
    };
    placement::Settings { quotas: quotas(tree), weights, ..placement::Settings::default() }
}

fn quotas(tree: &Values) -> quota::Table {
    let mut table = quota::Table::default();
    for (path, _) in tree.nodes() {
        let text = path.to_string();
        let Some(team) = text.strip_prefix("teams/") else { continue };
        let Ok(team) = team.parse::<id::Team>() else { continue };
        let settings = effective::Team::read(tree, &team);
        let limits = [
            settings.quota_processor.is_some(),
            settings.quota_memory.is_some(),
            settings.quota_accelerator.is_some(),
        ];
        if !limits.contains(&true) {
            continue;
        }
        let quota = size::Resources {
            processor: settings.quota_processor.unwrap_or(size::Processor::from_milli(u64::MAX)),
            memory: settings.quota_memory.unwrap_or(size::Bytes::new(u64::MAX)),
            accelerator: settings.quota_accelerator.unwrap_or(size::Accelerator::new(u32::MAX)),
        };
        table.teams.insert(team, quota);
    }
    table
}

/// Reads the settings and watches them for changes, with retries.
pub(crate) async fn watch(context: Rc<Context>) {
    loop {
        if let Err(error) = read_and_watch(&context).await {
            log::debug!("[settings] watch ended: {error}");
        }
        sleep(RETRY_BACKOFF).await;
    }
}

async fn read_and_watch(context: &Rc<Context>) -> Result<(), store::Error> {
    let page = context.store.range(key::Range::key(keyspace::settings())).await?;
    match page.entries.first() {
        Some(entry) => apply_stored(context, &entry.value),
        // No change was ever committed, so the defaults apply.
        None if !context.tree.is_known() => context.tree.apply(context, Document::default()),
        None => {}
    }
    let from = revision::Revision::new(page.revision.get() + 1);
    let mut watch = context.store.watch(keyspace::settings_prefix(), from).await?;
    loop {
        for change in watch.next().await? {
            let store::Change::Put(entry) = change else { continue };
            if entry.key == keyspace::settings() {
                apply_stored(context, &entry.value);
            }
        }
    }
}

fn apply_stored(context: &Rc<Context>, bytes: &[u8]) {
    match value::decode::<Stored>(bytes) {
        Ok(stored) => context.tree.apply(context, stored.document),
        Err(error) => log::warn!("[settings] invalid settings in the key-value service: {error}"),
    }
}

/// Commits a patch by compare-and-swap, with retries on concurrent changes.
pub(crate) async fn commit(context: &Rc<Context>, patch: &Patch) -> Result<Patched, error::Body> {
    for _ in 0..PATCH_ATTEMPTS {
        if let Some(patched) = try_commit(context, patch).await? {
            return Ok(patched);
        }
    }
    let help = "the settings are being changed concurrently; send the patch again";
    Err(error::Body::new(error::Code::NotRun, "settings", help))
}

/// Tries to commit once. Returns `None` if the settings were changed concurrently.
async fn try_commit(context: &Rc<Context>, patch: &Patch) -> Result<Option<Patched>, error::Body> {
    let (current, unchanged) = read_current(context).await.map_err(not_run)?;
    let history = read_history(context).await.map_err(not_run)?;
    let merged = patch.merge(&current, &history).map_err(refused)?;
    let fixed = fixed::check(&merged.changes);
    if !fixed.is_empty() {
        return Err(error::Body::invalid(fixed));
    }
    let revision = merged.document.revision;
    let patched = Patched { revision, changes: merged.changes.clone() };
    if merged.changes.is_empty() {
        return Ok(Some(patched));
    }
    let write = context.tree.next_write(context);
    let at_ms = wall_ms(context);
    let record = Record { revision, author: patch.author.clone(), at_ms, changes: merged.changes };
    let stored = Stored { write, document: merged.document };
    let mut txn = Txn::new()
        .when(unchanged)
        .put(keyspace::settings(), value::encode(&stored))
        .put(keyspace::change(revision), value::encode(&record));
    let retained =
        context.tree.query(|tree| effective::System::read(tree, &Path::root()).settings_history);
    if let Some(old) = revision.get().checked_sub(u64::from(retained)).filter(|old| *old > 0) {
        txn = txn.delete(keyspace::change(revision::Revision::new(old)));
    }
    match context.store.commit(txn).await {
        Ok(Outcome::Succeeded(_)) => {}
        Ok(Outcome::Failed) => return Ok(None),
        Err(error) if error.may_be_applied() => confirm(context, &stored).await?,
        Err(error) => return Err(not_run(error)),
    }
    context.journal.record(Kind::SettingsCommitted, |event| event.detail(&revision.to_string()));
    context.tree.apply(context, stored.document);
    Ok(Some(patched))
}

async fn read_current(context: &Context) -> Result<(Document, Compare), store::Error> {
    let page = context.store.range(key::Range::key(keyspace::settings())).await?;
    let Some(entry) = page.entries.first() else {
        return Ok((Document::default(), Compare::absent(keyspace::settings())));
    };
    let stored: Stored = value::decode(&entry.value).map_err(|error| store::Error::Invalid {
        place: "settings".into(),
        help: error.to_string().into(),
    })?;
    Ok((stored.document, Compare::Modified(keyspace::settings(), entry.mod_revision)))
}

/// Returns the stored settings changes, oldest first.
pub(crate) async fn read_history(context: &Context) -> Result<Vec<Record>, store::Error> {
    let page = context.store.range(keyspace::changes()).await?;
    Ok(page.entries.iter().filter_map(|entry| value::decode(&entry.value).ok()).collect())
}

/// Determines whether a write whose answer was lost took effect.
async fn confirm(context: &Context, stored: &Stored) -> Result<(), error::Body> {
    const CONFIRM_ATTEMPTS: u32 = 10;
    for _ in 0..CONFIRM_ATTEMPTS {
        sleep(RETRY_BACKOFF).await;
        let Ok(page) = context.store.range(key::Range::key(keyspace::settings())).await else {
            continue;
        };
        let found = page.entries.first();
        let found = found.and_then(|entry| value::decode::<Stored>(&entry.value).ok());
        match found {
            Some(found) if found.write == stored.write => return Ok(()),
            // A later change hides the write id.
            Some(found) if found.document.revision > stored.document.revision => break,
            _ => {}
        }
    }
    let help = "no answer from the key-value service; read the settings to check whether the \
                change was applied";
    Err(error::Body::new(error::Code::Unknown, "settings", help))
}

fn wall_ms(context: &Context) -> u64 {
    let elapsed = context.clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

fn not_run(error: store::Error) -> error::Body {
    let help = format!("{error}; retry the call when the key-value service is reachable");
    error::Body::new(error::Code::NotRun, "store", help)
}

fn refused(error: patch::Error) -> error::Body {
    match error {
        patch::Error::Invalid(findings) => error::Body::invalid(findings),
        patch::Error::Conflict(conflict) => error::Body::conflict(conflict),
    }
}
