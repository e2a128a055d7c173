//! Claims of non-idempotent requests with a key of the client (G6).
//!
//! The key is created in the key-value service before the request is sent, so that of all
//! instances and all repetitions one sends it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use knapweedgap_core::id;
use knapweedgap_store::{self as store, Compare, Outcome, Store, Txn, key, lease};
use serde::{Deserialize, Serialize};

use super::context::{Context, sleep};
use super::{keyspace, value};

/// Shortest time for which a claim is kept.
const CLAIM_RETENTION: Duration = Duration::from_secs(600);
/// Claims of this time share one lease, which saves a call for each of them.
const LEASE_SHARING_PERIOD: Duration = Duration::from_secs(300);
/// Attempts to record an outcome.
const RECORD_ATTEMPTS: u32 = 5;
/// Wait between the attempts.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Stored claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Request that holds the claim.
    pub(crate) request: id::Request,
    /// Hash of method, path and length of the request. Another one is a misuse of the key.
    pub(crate) fingerprint: u64,
    /// Random number of the attempt. A client may repeat the request id, so the id alone does not
    /// tell the own claim from that of another instance.
    pub(crate) nonce: u64,
    /// Status of the answer, once there is one.
    pub(crate) status: Option<u16>,
}

/// Answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The caller sends the request.
    Granted,
    /// Another request holds the claim.
    Held(Claim),
    /// The claim can't be made, so the request must not be sent.
    Unavailable,
}

/// Lease under which claims are made.
#[derive(Default)]
pub(crate) struct Claims {
    lease: Cell<Option<(lease::Id, Instant)>>,
}

/// Makes a claim.
pub(crate) async fn acquire(context: &Rc<Context>, key: &id::Key, claim: &Claim) -> Decision {
    match try_acquire(context, key, claim).await {
        Ok(decision) => decision,
        Err(error) => {
            log::debug!("[store] claim of {key}: {error}");
            Decision::Unavailable
        }
    }
}

async fn try_acquire(
    context: &Rc<Context>,
    key: &id::Key,
    claim: &Claim,
) -> Result<Decision, store::Error> {
    let lease = lease(context).await?;
    let claim_key = keyspace::claim(key);
    let txn = Txn::new().when(Compare::absent(claim_key.clone())).put_leased(
        claim_key.clone(),
        value::encode(claim),
        lease,
    );
    match context.store.commit(txn).await {
        Ok(Outcome::Succeeded(_)) => return Ok(Decision::Granted),
        Ok(Outcome::Failed) => {}
        // The read below tells whether the write with the lost answer took effect.
        Err(error) if error.may_be_applied() => {}
        Err(error) => return Err(error),
    }
    match read(context, key).await? {
        Some(found) if found == *claim => Ok(Decision::Granted),
        Some(found) => Ok(Decision::Held(found)),
        None => Ok(Decision::Unavailable),
    }
}

/// Reads a claim.
pub(crate) async fn read(context: &Context, key: &id::Key) -> Result<Option<Claim>, store::Error> {
    let page = context.store.range(key::Range::key(keyspace::claim(key))).await?;
    Ok(page.entries.first().and_then(|entry| value::decode(&entry.value).ok()))
}

/// Records the outcome of a claimed request.
pub(crate) async fn record(context: Rc<Context>, key: id::Key, claim: Claim) {
    for _ in 0..RECORD_ATTEMPTS {
        match try_record(&context, &key, &claim).await {
            Ok(()) => return,
            Err(error) => log::debug!("[store] outcome of {key}: {error}"),
        }
        sleep(RETRY_BACKOFF).await;
    }
    log::warn!("[store] outcome of request key {key} is not recorded; it reads as unknown");
}

async fn try_record(
    context: &Rc<Context>,
    key: &id::Key,
    claim: &Claim,
) -> Result<(), store::Error> {
    let lease = lease(context).await?;
    let unanswered = Claim { status: None, ..claim.clone() };
    let claim_key = keyspace::claim(key);
    let txn = Txn::new()
        .when(Compare::Value(claim_key.clone(), value::encode(&unanswered)))
        .put_leased(claim_key, value::encode(claim), lease);
    context.store.commit(txn).await.map(drop)
}

/// Releases a claim whose request certainly did not run, so that it can be repeated.
pub(crate) async fn release(context: Rc<Context>, key: id::Key, claim: Claim) {
    let claim_key = keyspace::claim(&key);
    let txn =
        Txn::new().when(Compare::Value(claim_key.clone(), value::encode(&claim))).delete(claim_key);
    if let Err(error) = context.store.commit(txn).await {
        log::debug!("[store] claim of {key} is not released: {error}");
    }
}

/// Returns a lease that keeps a claim of this moment for at least [`CLAIM_RETENTION`].
async fn lease(context: &Rc<Context>) -> Result<lease::Id, store::Error> {
    let now = context.now();
    if let Some((lease, granted)) = context.claims.lease.get()
        && now.duration_since(granted) < LEASE_SHARING_PERIOD
    {
        return Ok(lease);
    }
    let lease = context.store.grant(CLAIM_RETENTION + LEASE_SHARING_PERIOD).await?;
    context.claims.lease.set(Some((lease, now)));
    Ok(lease)
}
