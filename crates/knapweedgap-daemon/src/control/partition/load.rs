//! Loads the checkpoint and the log of a partition after a takeover.

use std::time::Duration;

use derive_more::{Display, Error};
use knapweedgap_placement::engine::{Engine, Owner};
use knapweedgap_placement::{log as history, replay};
use knapweedgap_store::{Store, blob};

use super::super::context::{Context, sleep};
use super::super::{keyspace, value};
use super::Owned;

const RETRY_BACKOFF: Duration = Duration::from_millis(200);

#[derive(Debug, Display, Error)]
enum Error {
    #[display("{_0}")]
    Store(knapweedgap_store::Error),
    #[display("value of {key}: {error}")]
    Value {
        #[error(not(source))]
        key: String,
        #[error(source)]
        error: serde_json::Error,
    },
    #[display("{_0}")]
    Replay(replay::Error),
}

/// Rebuilds the engine from the checkpoint and the log, with retries. Returns `None` if the
/// ownership ends first.
pub(super) async fn load(context: &Context, owned: &Owned) -> Option<Engine> {
    while !owned.closed.get() {
        match try_load(context, owned).await {
            Ok(engine) => return Some(engine),
            Err(error) => log::warn!("[partition] {}: loading failed: {error}", owned.partition),
        }
        sleep(RETRY_BACKOFF).await;
    }
    None
}

async fn try_load(context: &Context, owned: &Owned) -> Result<Engine, Error> {
    let checkpoint = read_checkpoint(context, owned).await?;
    let entries = read_log(context, owned).await?;
    let owner = Owner { partition: owned.partition, epoch: owned.epoch };
    let settings = context.tree.placement();
    Engine::replay(owner, settings, checkpoint, &entries, context.now()).map_err(Error::Replay)
}

async fn read_checkpoint(
    context: &Context,
    owned: &Owned,
) -> Result<Option<history::Checkpoint>, Error> {
    let key = keyspace::checkpoint(owned.partition);
    let bytes = blob::read(&context.store, &key).await.map_err(Error::Store)?;
    let Some(bytes) = bytes else { return Ok(None) };
    let decoded = value::decode(&bytes);
    decoded.map(Some).map_err(|error| Error::Value { key: key.to_string(), error })
}

async fn read_log(context: &Context, owned: &Owned) -> Result<Vec<history::Entry>, Error> {
    let mut entries = Vec::new();
    let mut range = keyspace::log(owned.partition);
    loop {
        let page = context.store.range(range).await.map_err(Error::Store)?;
        for entry in &page.entries {
            entries.push(decode(entry)?);
        }
        match page.entries.last() {
            Some(last) if page.more => {
                range = keyspace::log(owned.partition).after(last.key.clone())
            }
            _ => return Ok(entries),
        }
    }
}

fn decode<Value>(entry: &knapweedgap_store::Entry) -> Result<Value, Error>
where
    Value: serde::de::DeserializeOwned,
{
    let decoded = value::decode(&entry.value);
    decoded.map_err(|error| Error::Value { key: entry.key.to_string(), error })
}
