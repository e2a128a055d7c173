//! Claims of non-idempotent requests that carry a client key (G6).
//!
//! The key is created in the key-value service before the request is sent, so that only one of all
//! instances and repetitions sends the request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use knapweedgap_core::id;
use knapweedgap_store::{self as store, Compare, Outcome, Store, Txn, key, lease};
use serde::{Deserialize, Serialize};

use super::context::{Context, sleep};
use super::{keyspace, value};

/// Minimum time for which a claim is kept.
const CLAIM_RETENTION: Duration = Duration::from_secs(600);
/// Period during which new claims share one lease, which saves one call per claim.
const LEASE_SHARING_PERIOD: Duration = Duration::from_secs(300);
const RECORD_ATTEMPTS: u32 = 5;
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Claim as stored in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Id of the request that holds the claim.
    pub(crate) request: id::Request,
    /// Hash of the method, path and length of the request. A different hash under the same key
    /// means that the client reused the key for another request.
    pub(crate) fingerprint: u64,
    /// Random number of the attempt. A client may repeat the request id, so the id alone does not
    /// distinguish this claim from one made by another instance.
    pub(crate) nonce: u64,
    /// HTTP status of the answer; `None` until the outcome is recorded.
    pub(crate) status: Option<u16>,
}

/// Result of an attempt to claim a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The caller holds the claim and may send the request.
    Granted,
    /// Another request holds the claim.
    Held(Claim),
    /// The key-value service could not grant the claim, so the request must not be sent.
    Unavailable,
}

/// Lease that new claims share, with the time at which it was granted.
#[derive(Default)]
pub(crate) struct Claims {
    lease: Cell<Option<(lease::Id, Instant)>>,
}

/// Claims a key for a request.
pub(crate) async fn acquire(context: &Rc<Context>, key: &id::Key, claim: &Claim) -> Decision {
    match try_acquire(context, key, claim).await {
        Ok(decision) => decision,
        Err(error) => {
            log::debug!("[store] claim of request key {key} failed: {error}");
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
        // The read below shows whether the write whose answer was lost took effect.
        Err(error) if error.may_be_applied() => {}
        Err(error) => return Err(error),
    }
    match read(context, key).await? {
        Some(found) if found == *claim => Ok(Decision::Granted),
        Some(found) => Ok(Decision::Held(found)),
        None => Ok(Decision::Unavailable),
    }
}

/// Reads a claim. Returns `None` if there is none or its value is invalid.
pub(crate) async fn read(context: &Context, key: &id::Key) -> Result<Option<Claim>, store::Error> {
    let page = context.store.range(key::Range::key(keyspace::claim(key))).await?;
    Ok(page.entries.first().and_then(|entry| value::decode(&entry.value).ok()))
}

/// Records the outcome of a claimed request, with retries.
pub(crate) async fn record(context: Rc<Context>, key: id::Key, claim: Claim) {
    for _ in 0..RECORD_ATTEMPTS {
        match try_record(&context, &key, &claim).await {
            Ok(()) => return,
            Err(error) => log::debug!("[store] outcome of request key {key} failed: {error}"),
        }
        sleep(RETRY_BACKOFF).await;
    }
    log::warn!("[store] outcome of request key {key} not recorded; it is reported as unknown");
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

/// Releases a claim whose request definitely did not run, so that the client can repeat it.
pub(crate) async fn release(context: Rc<Context>, key: id::Key, claim: Claim) {
    let claim_key = keyspace::claim(&key);
    let txn =
        Txn::new().when(Compare::Value(claim_key.clone(), value::encode(&claim))).delete(claim_key);
    if let Err(error) = context.store.commit(txn).await {
        log::debug!("[store] claim of request key {key} not released: {error}");
    }
}

/// Returns a lease under which a claim made now is kept for at least [`CLAIM_RETENTION`].
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
