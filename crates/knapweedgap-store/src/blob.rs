//! Values that exceed the maximum length of one key, stored in parts.
//!
//! The key itself holds an index that selects one of two slots; the parts are stored under the key
//! in that slot. A new value is written to the other slot and the index is written last, so a
//! reader gets either the complete old value or the complete new one. An aborted write leaves parts
//! only in the slot that the next write clears.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{Compare, Error, Key, Outcome, Store, Txn, key};

/// Length of every part except the last, in bytes; well below
/// [`VALUE_LEN_MAX`](crate::VALUE_LEN_MAX).
pub const PART_LEN: usize = 600_000;
/// Parts read per call; their total length stays far below the 16 MiB limit on an answer.
const PARTS_PER_PAGE: u32 = 8;

/// One of the two storage areas of a blob. Writes alternate between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Slot {
    A,
    B,
}

impl Slot {
    fn other(self) -> Slot {
        match self {
            Slot::A => Slot::B,
            Slot::B => Slot::A,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Slot::A => "a",
            Slot::B => "b",
        }
    }
}

/// Index of a blob, stored under the key of the blob.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Index {
    slot: Slot,
    parts: u32,
    len: usize,
}

/// Writes a value under `key`. Every transaction is conditional on `guard`, so that a writer that
/// has lost its ownership fails.
///
/// Returns `false` if the guard did not hold; the old value is kept then. Two writers whose guards
/// both hold must not write at the same time.
///
/// # Errors
///
/// The error of the call that failed. The old value is kept then, unless
/// [`Error::may_be_applied`] returns `true`: the value is then either the old or the new one.
pub async fn write<Storage>(
    store: &Storage,
    guard: &Compare,
    key: &Key,
    bytes: &[u8],
) -> Result<bool, Error>
where
    Storage: Store,
{
    let slot = read_index(store, key).await?.map_or(Slot::A, |index| index.slot.other());
    let clear = Txn::new().when(guard.clone()).delete_prefix(slot_prefix(key, slot)?);
    if store.commit(clear).await? == Outcome::Failed {
        return Ok(false);
    }
    let mut parts = 0;
    for part in bytes.chunks(PART_LEN) {
        let put = Txn::new().when(guard.clone()).put(part_key(key, slot, parts)?, part);
        if store.commit(put).await? == Outcome::Failed {
            return Ok(false);
        }
        parts += 1;
    }
    let index = serde_json::to_vec(&Index { slot, parts, len: bytes.len() }).unwrap_or_default();
    let put = Txn::new().when(guard.clone()).put(key.clone(), index);
    Ok(store.commit(put).await? != Outcome::Failed)
}

/// Reads the value under `key`; `None` if the key does not exist.
///
/// # Errors
///
/// The error of the call that failed, or [`Error::Invalid`] if a part is missing, for example
/// because another writer replaced the value during the read. A repeated read returns the new
/// value then.
pub async fn read<Storage>(store: &Storage, key: &Key) -> Result<Option<Vec<u8>>, Error>
where
    Storage: Store,
{
    let Some(index) = read_index(store, key).await? else { return Ok(None) };
    let prefix = slot_prefix(key, index.slot)?;
    let mut bytes = Vec::with_capacity(index.len.min(PART_LEN));
    let mut parts = 0;
    let mut range = key::Range::prefix(prefix.clone()).limit(PARTS_PER_PAGE);
    loop {
        let page = store.range(range).await?;
        for entry in &page.entries {
            bytes.extend_from_slice(&entry.value);
            parts += 1;
        }
        let Some(last) = page.entries.last().filter(|_| page.more) else { break };
        range = key::Range::prefix(prefix.clone()).after(last.key.clone()).limit(PARTS_PER_PAGE);
    }
    if parts != index.parts || bytes.len() != index.len {
        let help =
            format_smolstr!("expected {} parts with {} bytes in total", index.parts, index.len);
        return Err(Error::Invalid { place: SmolStr::new(key.as_str()), help });
    }
    Ok(Some(bytes))
}

async fn read_index<Storage>(store: &Storage, key: &Key) -> Result<Option<Index>, Error>
where
    Storage: Store,
{
    let page = store.range(key::Range::key(key.clone())).await?;
    let Some(entry) = page.entries.first() else { return Ok(None) };
    let index = serde_json::from_slice(&entry.value);
    let invalid = |error: serde_json::Error| Error::Invalid {
        place: SmolStr::new(key.as_str()),
        help: format_smolstr!("{error}"),
    };
    index.map(Some).map_err(invalid)
}

fn slot_prefix(key: &Key, slot: Slot) -> Result<Key, Error> {
    join(key, &format_smolstr!("{}/", slot.name()))
}

/// Returns the key of a part. The fixed width makes the key order match the numeric order.
fn part_key(key: &Key, slot: Slot, number: u32) -> Result<Key, Error> {
    join(key, &format_smolstr!("{}/{number:06}", slot.name()))
}

fn join(key: &Key, rest: &str) -> Result<Key, Error> {
    let joined: Result<Key, _> = format!("{key}/{rest}").parse();
    joined.map_err(|error| Error::Invalid {
        place: SmolStr::new(key.as_str()),
        help: format_smolstr!("{error}"),
    })
}
