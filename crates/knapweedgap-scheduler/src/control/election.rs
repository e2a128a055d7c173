//! Ownership of the workload.
//!
//! One instance owns the workload at a time. The owner record in the store says which, and every
//! commit depends on its revision, so that a commit of an earlier owner fails whatever that owner
//! believes. An instance that does not hear of its leader looks at the store: while the sequence
//! record changes, the leader is alive. One that does not change for [`STALE`], or whose process
//! is shown to have ended, is replaced.
//!
//! The life cycle is a type for each state: [`Follower`], [`Claimed`], then [`super::term::Term`].

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_core::{revision, size};
use knapweedgap_instance::link::Link;
use knapweedgap_store::{Compare, Entry, Outcome, Store, Txn, key};

use super::keys::{self, Owner};
use super::{Node, term};
use crate::peer::Platform;

/// Time without a commit after which the owner of a small fleet may be replaced. The owner commits
/// at least every 300 ms; the rest covers slow answers of the store.
const STALE: Duration = Duration::from_millis(900);
/// Workers up to which [`STALE`] holds.
const STALE_WORKERS: usize = 100;
/// Time added for each further worker. The first reports of 490 workers kept a new owner of a
/// quarter of a core busy for 2 s.
const STALE_PER_WORKER: Duration = Duration::from_millis(5);
/// The same for an owner that has said for a second that it does not reach the store.
const STALE_ADMITTED: Duration = Duration::from_millis(450);
/// Pause between two looks at the store.
const PAUSE: Duration = Duration::from_millis(150);
/// Largest random wait before a claim, so that claims seldom collide.
const JITTER_MS: u64 = 25;
/// Waits before a claim by processor time in thousandths of a core: a VM with less than the first
/// figure waits for the second. The owner of 490 workers used 0.3 cores, so a stronger VM goes
/// first where there is one. All see the end of a process within a few milliseconds, but the
/// standstill of an owner without the store only within two [`PAUSE`]s and the time of a read.
const DEFERENCES: [(u64, Duration); 2] =
    [(200, Duration::from_millis(600)), (400, Duration::from_millis(30))];
/// Time added to the wait of all but the strongest when there is no owner yet: VMs start within
/// 0.3 s of each other.
const FIRST_WAIT: Duration = Duration::from_millis(400);
/// Limit on a read of the two records.
const READ_TIME: Duration = Duration::from_millis(900);

/// Instance that does not own the workload.
pub(super) struct Follower {
    observed: Option<Observed>,
}

/// Sequence record as it was last seen.
struct Observed {
    sequence: revision::Revision,
    since: Instant,
    /// The address of the owner was tried since then.
    probed: bool,
}

/// Ownership that was gained; the term has not begun.
pub(super) struct Claimed {
    pub(super) epoch: revision::Epoch,
    /// Revision of the owner record, on which every commit depends.
    pub(super) owner: revision::Revision,
    /// Revision of the sequence record.
    pub(super) sequence: revision::Revision,
    /// Time without a commit that the owner before allowed itself.
    pub(super) allowance: Duration,
}

/// The two records of the ownership.
struct Lead {
    owner: Option<(Owner, revision::Revision)>,
    sequence: revision::Revision,
    /// Time that the owner may let pass without a commit, as its last commit says.
    allowance: Duration,
}

/// Returns the time without a commit that the owner of a fleet may need.
pub(super) fn allowance(workers: usize) -> Duration {
    let further = workers.saturating_sub(STALE_WORKERS);
    STALE + STALE_PER_WORKER * u32::try_from(further).unwrap_or(u32::MAX)
}

/// Writes the value of the sequence record: the allowance, then a mark that tells commits apart.
pub(super) fn sequence_value(allowance: Duration, mark: &str) -> String {
    format!("{} {mark}", allowance.as_millis())
}

/// Reads the allowance from the value of the sequence record.
fn read_allowance(value: &[u8]) -> Duration {
    let text = std::str::from_utf8(value).unwrap_or_default();
    let millis = text.split(' ').next().and_then(|millis| millis.parse().ok());
    millis.map_or(STALE, Duration::from_millis)
}

/// Follows the leader and takes over when it is gone, until the process drains.
pub(super) async fn run<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    loop {
        let mut follower = Follower { observed: None };
        let claimed = loop {
            let seen = node.changed.count();
            if node.draining.get() {
                return;
            }
            let trust = trust(&node);
            node.readiness.set(trust != Trust::None);
            if trust == Trust::Full {
                node.changed.after(seen, PAUSE).await;
                follower.observed = None;
                continue;
            }
            if let Some(claimed) = follower.challenge(&node, trust).await {
                break claimed;
            }
            node.changed.after(seen, PAUSE).await;
        };
        term::run(node.clone(), claimed).await;
    }
}

/// How far the known leader is trusted to be the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trust {
    /// It is heard of and commits.
    Full,
    /// It is heard of but does not reach the store. It still answers what it knows.
    Weak,
    /// It is not heard of.
    None,
}

fn trust<P>(node: &Node<P>) -> Trust
where
    P: Platform,
{
    let now = node.now();
    match node.leader.borrow().as_ref() {
        Some(leader) if leader.is_heard(now) && leader.commits() => Trust::Full,
        Some(leader) if leader.is_heard(now) => Trust::Weak,
        _ => Trust::None,
    }
}

impl Follower {
    /// Looks at the records and claims the ownership if the owner is gone.
    async fn challenge<P>(&mut self, node: &Rc<Node<P>>, trust: Trust) -> Option<Claimed>
    where
        P: Platform,
    {
        let late = async {
            Timer::after(READ_TIME).await;
            Err(knapweedgap_store::Error::Unknown("no answer in time".into()))
        };
        let lead = match read(node).or(late).await {
            Ok(lead) => lead,
            Err(reason) => {
                if node.limiter.admit("election_read", node.now()) {
                    log::info!("[election] the store can't be read: {reason}");
                }
                return None;
            }
        };
        let Some((owner, revision)) = &lead.owner else {
            return claim(node, &lead, revision::Epoch::new(1), "no owner yet").await;
        };
        if owner.incarnation == node.incarnation && !owner.released {
            // A claim whose answer was lost has taken effect.
            let (epoch, owner) = (owner.epoch, *revision);
            let Lead { sequence, allowance, .. } = lead;
            return Some(Claimed { epoch, owner, sequence, allowance });
        }
        let next = owner.epoch.next();
        if owner.released {
            return claim(node, &lead, next, "the owner has released the workload").await;
        }
        let now = node.now();
        let unchanged = self.observed.as_ref().filter(|seen| seen.sequence == lead.sequence);
        let stale = if trust == Trust::Weak { STALE_ADMITTED } else { lead.allowance };
        if unchanged.is_some_and(|seen| now.saturating_duration_since(seen.since) >= stale) {
            return claim(node, &lead, next, "the owner does not commit").await;
        }
        let probed = unchanged.is_some_and(|seen| seen.probed);
        let since = unchanged.map_or(now, |seen| seen.since);
        self.observed = Some(Observed { sequence: lead.sequence, since, probed: true });
        if !probed && trust == Trust::None && has_ended(node, owner).await {
            return claim(node, &lead, next, "the process of the owner has ended").await;
        }
        None
    }
}

/// Tells whether the process of an owner is known to have ended: nothing listens at its address,
/// or another run of it does.
async fn has_ended<P>(node: &Rc<Node<P>>, owner: &Owner) -> bool
where
    P: Platform,
{
    if owner.address == node.settings.links {
        return true;
    }
    match Link::connect(owner.address, &node.identity).await {
        Ok(link) => link.peer().incarnation != owner.incarnation,
        Err(error) => error.is_refused(),
    }
}

async fn read<P>(node: &Node<P>) -> Result<Lead, knapweedgap_store::Error>
where
    P: Platform,
{
    let range = key::Range::prefix(keys::key(keys::LEAD));
    let page = node.platform.store().range(range).await?;
    let sequence = revision::Revision::default();
    let mut lead = Lead { owner: None, sequence, allowance: STALE };
    for entry in page.entries {
        match entry.key.as_str() {
            keys::OWNER => lead.owner = decode(&entry).map(|owner| (owner, entry.mod_revision)),
            keys::SEQUENCE => {
                lead.sequence = entry.mod_revision;
                lead.allowance = read_allowance(&entry.value);
            }
            _ => {}
        }
    }
    Ok(lead)
}

fn decode(entry: &Entry) -> Option<Owner> {
    let owner = serde_json::from_slice(&entry.value);
    owner.inspect_err(|error| log::error!("[election] owner record: {error}")).ok()
}

/// Writes the owner record if neither record has changed.
async fn claim<P>(
    node: &Rc<Node<P>>,
    lead: &Lead,
    epoch: revision::Epoch,
    reason: &str,
) -> Option<Claimed>
where
    P: Platform,
{
    if node.draining.get() {
        return None;
    }
    let mut deference = deference(node.settings.processors);
    if lead.owner.is_none() && !deference.is_zero() {
        deference += FIRST_WAIT;
    }
    Timer::after(deference + Duration::from_millis(fastrand::u64(..=JITTER_MS))).await;
    let owner = node.owner(epoch, false);
    let value = serde_json::to_vec(&owner).unwrap_or_default();
    let known = lead.owner.as_ref().map(|(_, revision)| *revision).unwrap_or_default();
    let mark = format!("claim {epoch} {}", node.incarnation);
    let sequence = sequence_value(lead.allowance, &mark);
    let txn = Txn::new()
        .when(unchanged(keys::OWNER, known))
        .when(unchanged(keys::SEQUENCE, lead.sequence))
        .put(keys::key(keys::OWNER), value)
        .put(keys::key(keys::SEQUENCE), sequence);
    match node.platform.store().commit(txn).await {
        Ok(Outcome::Succeeded(revision)) => {
            log::info!("[election] decision=claim epoch={epoch} reason={reason:?} outcome=gained");
            let allowance = lead.allowance;
            Some(Claimed { epoch, owner: revision, sequence: revision, allowance })
        }
        Ok(Outcome::Failed) => {
            log::info!("[election] decision=claim epoch={epoch} reason={reason:?} outcome=lost");
            None
        }
        Err(error) => {
            // The next look at the records shows whether it took effect.
            log::info!("[election] decision=claim epoch={epoch} outcome=unknown reason={error}");
            None
        }
    }
}

/// Returns how long a VM lets stronger ones go first.
fn deference(processors: size::Processor) -> Duration {
    let weaker = DEFERENCES.iter().find(|(limit, _)| processors.milli() < *limit);
    weaker.map_or(Duration::ZERO, |(_, wait)| *wait)
}

/// Condition that a record has the revision at which it was read; 0 means that it is absent.
pub(super) fn unchanged(text: &str, revision: revision::Revision) -> Compare {
    let key = keys::key(text);
    if revision == revision::Revision::default() {
        return Compare::absent(key);
    }
    Compare::Modified(key, revision)
}
