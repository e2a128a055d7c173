//! Ownership of the workload.
//!
//! One instance owns the workload at a time. The owner record in the store names it. Every commit
//! is conditional on the revision of that record, so commits of an earlier owner fail even if that
//! owner has not noticed its loss. An instance without contact to the leader reads the store:
//! while the sequence record changes, the owner is alive. The owner is replaced when the sequence
//! record has not changed for the commit timeout that it states or when its process is shown to have ended.
//!
//! Each state of the life cycle is a type: [`Follower`], [`Claimed`], then [`super::term::Term`].

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_core::{revision, size};
use knapweedgap_instance::link::Link;
use knapweedgap_membership::claim;
use knapweedgap_membership::steadiness::UNKNOWN_FLEET_TIMEOUT;
use knapweedgap_store::{Compare, Entry, Key, Outcome, Store, Txn, key};
use knapweedgap_workload::bounds::OWNER_GRACE;
use knapweedgap_workload::lease;

use super::keys::{self, LeaseTimes, Owner};
use super::observation::Observation;
use super::{Node, term};
use crate::peer::Platform;

/// Time without a commit after which the owner of a small fleet may be replaced. The owner commits
/// at least every 300 ms; the remainder covers slow responses of the store.
const OWNER_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of workers up to which [`OWNER_TIMEOUT`] applies unchanged.
const OWNER_TIMEOUT_WORKERS: usize = 100;
/// Time added for each further worker. The first reports of 490 workers kept a new owner with a
/// quarter of a core busy for 2 s.
const OWNER_TIMEOUT_PER_WORKER: Duration = Duration::from_millis(5);
/// Owner timeout for a leader whose pings report that it can't reach the store. It reports so
/// after one second without a confirmed commit.
const OWNER_TIMEOUT_WITHOUT_STORE: Duration = Duration::from_millis(450);
/// Shortest pause before a deadline. A deadline that is met exactly would be looked at too early.
const PAUSE_MIN: Duration = Duration::from_millis(2);
/// Pause between two reads of the store.
const READ_INTERVAL: Duration = Duration::from_millis(150);
/// Claim delays by processor capacity: a VM with less than the first value, in thousandths of a
/// core, waits for the second. The owner of 490 workers used 0.3 cores, so VMs with more capacity
/// claim first. All instances detect the end of a process within a few milliseconds, but an owner
/// that can't reach the store only within two [`READ_INTERVAL`]s plus the time of a read.
const CLAIM_DELAYS: [(u64, Duration); 2] =
    [(200, Duration::from_millis(600)), (400, Duration::from_millis(30))];
/// Time added to a nonzero claim delay when there is no owner yet, because VMs start within 0.3 s
/// of each other.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(400);
/// Timeout for reading the owner record and the sequence record.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Instance that does not own the workload.
pub(super) struct Follower {
    observed: Option<Observation>,
    /// When the owner may be replaced if it neither commits nor sends a frame until then; `None`
    /// until the record was read.
    claim_due: Option<Instant>,
}

/// Ownership that was gained, before its term begins.
pub(super) struct Claimed {
    pub(super) epoch: revision::Epoch,
    /// When the claim was sent.
    pub(super) sent_at: Instant,
    /// Revision of the owner record, on which every commit is conditional.
    pub(super) owner: revision::Revision,
    /// Revision of the sequence record.
    pub(super) sequence: revision::Revision,
    /// Commit timeout that the previous owner stored.
    pub(super) commit_timeout: Duration,
    pub(super) handover: lease::Handover,
    /// Absent if the previous owner can't renew leases any more.
    pub(super) predecessor: Option<Predecessor>,
}

/// Previous owner that may still renew leases.
#[derive(Debug, Clone)]
pub(super) struct Predecessor {
    pub(super) owner: Owner,
    /// Time after which no owner before it renews a lease.
    pub(super) renewals_end: lease::Time,
}

/// What is known of the previous owner when its ownership is claimed.
enum Evidence {
    /// There was no owner.
    None,
    /// Its term has ended: it has released the workload, or its process was replaced.
    Ended,
    /// Its term may go on until it notices the loss.
    Unknown(Owner),
}

/// Result of a connection to the address of an owner.
enum Probe {
    /// The process of the owner answers, or nothing is known.
    Alive,
    /// Nothing listens at the address. A network that is cut off may refuse connections as well.
    Refused,
    /// Another process has taken its place, so it has ended.
    Replaced,
}

/// Owner record and sequence record.
struct Records {
    /// Absent if there is no valid owner record.
    owner: Option<(Owner, revision::Revision)>,
    sequence: revision::Revision,
    /// Time without a commit after which the owner may be replaced, as stored by its last commit.
    commit_timeout: Duration,
    /// Lease times as stored by the last commit.
    leases: LeaseTimes,
    /// When this sequence record was first read, which is after its commit.
    read_at: Instant,
}

/// Returns the time without a commit after which the owner of `workers` workers may be replaced.
pub(super) fn commit_timeout(workers: usize) -> Duration {
    let further = workers.saturating_sub(OWNER_TIMEOUT_WORKERS);
    OWNER_TIMEOUT + OWNER_TIMEOUT_PER_WORKER * u32::try_from(further).unwrap_or(u32::MAX)
}

/// Monitors the leader and claims the ownership when it fails, until the process drains.
pub(super) async fn run<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    loop {
        let mut follower = Follower { observed: None, claim_due: None };
        let mut last = Contact::Lost;
        let claimed = loop {
            let seen = node.changed.count();
            if node.draining.get() {
                return;
            }
            let contact = contact(&node);
            node.readiness.set(contact != Contact::Lost);
            let previous = std::mem::replace(&mut last, contact);
            if contact == Contact::Committing || previous == Contact::Late && contact.is_held() {
                follower = Follower { observed: None, claim_due: None };
                node.claim_due.set(None);
            }
            if contact == Contact::Committing {
                node.changed.wait(seen, follower.pause(&node)).await;
                continue;
            }
            if let Some(claimed) = follower.check_owner(&node, contact).await {
                break claimed;
            }
            node.claim_due.set(follower.claim_due);
            node.changed.wait(seen, follower.pause(&node)).await;
        };
        if claimed.epoch < node.accepted_epoch.get() {
            // The later leader relies on the answer to its announcement that no earlier owner
            // renews leases.
            let (epoch, accepted) = (claimed.epoch, node.accepted_epoch.get());
            log::info!("[election] decision=drop_claim epoch={epoch} accepted_epoch={accepted}");
            continue;
        }
        term::run(node.clone(), claimed).await;
    }
}

/// State of the link to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Contact {
    /// The leader is in contact and its commits succeed.
    Committing,
    /// As before, but a frame is overdue. The records are read, so that the wait for the next commit
    /// has begun when the contact is lost.
    Late,
    /// The leader is in contact but can't reach the store. It still answers from its state.
    WithoutStore,
    /// No leader is in contact.
    Lost,
}

impl Contact {
    /// Returns `true` if frames arrive in time.
    const fn is_held(self) -> bool {
        match self {
            Contact::Committing | Contact::WithoutStore => true,
            Contact::Late | Contact::Lost => false,
        }
    }
}

fn contact<P>(node: &Node<P>) -> Contact
where
    P: Platform,
{
    let now = node.now();
    match node.leader.borrow().as_ref() {
        Some(leader) if !leader.is_in_contact(now) => Contact::Lost,
        Some(leader) if !leader.commits() => Contact::WithoutStore,
        Some(leader) if leader.is_late(now) => Contact::Late,
        Some(_) => Contact::Committing,
        None => Contact::Lost,
    }
}

impl Follower {
    /// Returns the pause until the contact or the records are looked at again.
    fn pause<P>(&self, node: &Node<P>) -> Duration
    where
        P: Platform,
    {
        let now = node.now();
        let late_at = node.leader.borrow().as_ref().map(|leader| leader.late_at());
        let next = [late_at, self.claim_due].into_iter().flatten().filter(|at| *at > now).min();
        let pause = next.map(|at| at.saturating_duration_since(now));
        pause.map_or(READ_INTERVAL, |pause| pause.clamp(PAUSE_MIN, READ_INTERVAL))
    }

    /// Reads the records and claims the ownership if there is no live owner. Returns `None` if the
    /// ownership was not gained.
    async fn check_owner<P>(&mut self, node: &Rc<Node<P>>, contact: Contact) -> Option<Claimed>
    where
        P: Platform,
    {
        let timeout = async {
            Timer::after(READ_TIMEOUT).await;
            Err(knapweedgap_store::Error::Unknown("read timed out".into()))
        };
        let mut records = match read(node).or(timeout).await {
            Ok(records) => records,
            Err(reason) => {
                let line = format!("[election] reading the owner record failed: {reason}");
                if node.limiter.admit("election_read", &line, node.now()) {
                    log::info!("{line}");
                }
                if let Some(observed) = &mut self.observed {
                    observed.record_failure();
                }
                return None;
            }
        };
        let Some((owner, _)) = &records.owner else {
            let epoch = revision::Epoch::new(1);
            return claim(node, &records, epoch, Evidence::None, "no owner yet").await;
        };
        let next = owner.epoch.next();
        if owner.incarnation == node.incarnation && !owner.released {
            // Its term has ended in this process, or never began.
            let reason = "an earlier claim of this instance had no answer";
            return claim(node, &records, next, Evidence::Ended, reason).await;
        }
        if owner.released {
            let reason = "the owner has released the workload";
            return claim(node, &records, next, Evidence::Ended, reason).await;
        }
        let unknown = Evidence::Unknown(owner.clone());
        let now = node.now();
        let sequence = records.sequence;
        let observed = match self.observed.take() {
            Some(mut observed) if observed.sequence == sequence => {
                observed.record_unchanged(now);
                observed
            }
            Some(_) | None => Observation::new(sequence, now),
        };
        let observed = self.observed.insert(observed);
        records.read_at = observed.since.min(records.read_at);
        let timeout = if contact == Contact::WithoutStore {
            OWNER_TIMEOUT_WITHOUT_STORE
        } else {
            records.commit_timeout
        };
        let due = observed.due(timeout);
        self.claim_due = Some(due);
        // A frame that arrived during the read shows that the owner lives.
        if contact == Contact::Late || contact == Contact::Lost && self::contact(node).is_held() {
            return None;
        }
        if now >= due {
            return claim(node, &records, next, unknown, "the owner does not commit").await;
        }
        if contact != Contact::Lost || std::mem::replace(&mut observed.probed, true) {
            return None;
        }
        // A silent VM answers no connection; its replacement does not wait for that.
        let expired = async {
            Timer::after(due.saturating_duration_since(now)).await;
            Probe::Alive
        };
        let evidence = match probe(node, owner).or(expired).await {
            Probe::Alive => return None,
            Probe::Refused => unknown,
            Probe::Replaced => Evidence::Ended,
        };
        claim(node, &records, next, evidence, "the process of the owner has ended").await
    }
}

/// Connects to the address of an owner to find out whether its process has ended.
async fn probe<P>(node: &Rc<Node<P>>, owner: &Owner) -> Probe
where
    P: Platform,
{
    if owner.address == node.settings.links {
        return Probe::Replaced;
    }
    match Link::connect(owner.address, &node.identity).await {
        Ok(link) if link.peer().incarnation != owner.incarnation => Probe::Replaced,
        Err(error) if error.is_refused() => Probe::Refused,
        Ok(_) | Err(_) => Probe::Alive,
    }
}

async fn read<P>(node: &Node<P>) -> Result<Records, knapweedgap_store::Error>
where
    P: Platform,
{
    let range = key::Range::prefix(keys::key(keys::LEAD));
    let page = node.platform.store().range(range).await?;
    let sequence = revision::Revision::default();
    let time = lease::Time::default();
    let mut records = Records {
        owner: None,
        sequence,
        commit_timeout: OWNER_TIMEOUT,
        leases: LeaseTimes { time, renewals_end: time },
        read_at: node.now(),
    };
    for entry in page.entries {
        match entry.key.as_str() {
            keys::OWNER => records.owner = decode(&entry).map(|owner| (owner, entry.mod_revision)),
            keys::SEQUENCE => {
                records.sequence = entry.mod_revision;
                let sequence = keys::Sequence::decode(&entry.value);
                if sequence.is_none() {
                    log::error!("[election] invalid sequence record");
                }
                let leases = sequence.as_ref().and_then(|sequence| sequence.leases);
                // Without the times, each of the earlier owners may renew leases for its whole
                // grace.
                records.leases =
                    leases.unwrap_or(LeaseTimes { time, renewals_end: time.after(OWNER_GRACE) });
                records.commit_timeout =
                    sequence.map_or(OWNER_TIMEOUT, |sequence| sequence.commit_timeout);
            }
            _ => {}
        }
    }
    Ok(records)
}

fn decode(entry: &Entry) -> Option<Owner> {
    let owner = serde_json::from_slice(&entry.value);
    owner.inspect_err(|error| log::error!("[election] invalid owner record: {error}")).ok()
}

/// Waits for the claim delay, then writes the owner record if neither record has changed. Returns
/// `None` if the ownership was not gained or the outcome is unknown.
async fn claim<P>(
    node: &Rc<Node<P>>,
    records: &Records,
    epoch: revision::Epoch,
    evidence: Evidence,
    reason: &str,
) -> Option<Claimed>
where
    P: Platform,
{
    if node.draining.get() {
        return None;
    }
    let mut delay = claim_delay(node.settings.processors);
    if records.owner.is_none() && !delay.is_zero() {
        delay += FIRST_CLAIM_DELAY;
    }
    let jitter = claim::jitter_max(node.instances.get()).mul_f64(fastrand::f64());
    Timer::after(delay + jitter).await;
    if is_superseded(node, records).await {
        return None;
    }
    let owner = node.owner(epoch, false);
    let value = serde_json::to_vec(&owner).unwrap_or_default();
    let known = records.owner.as_ref().map(|(_, revision)| *revision).unwrap_or_default();
    let sent_at = node.now();
    let leases = claimed_lease_times(records, &evidence, sent_at);
    // The previous owner may have stated the short time; a term begins with the long one.
    let commit_timeout = records.commit_timeout.max(UNKNOWN_FLEET_TIMEOUT);
    let tag = format!("claim {epoch} {}", node.incarnation);
    let sequence = keys::Sequence { commit_timeout, leases: Some(leases), tag }.to_string();
    let txn = Txn::new()
        .when(unchanged(keys::OWNER, known))
        .when(unchanged(keys::SEQUENCE, records.sequence))
        .put(keys::key(keys::OWNER), value)
        .put(keys::key(keys::SEQUENCE), sequence);
    match node.platform.store().commit(txn).await {
        Ok(Outcome::Succeeded(revision)) => {
            log::info!("[election] decision=claim epoch={epoch} reason={reason:?} outcome=gained");
            let clock = lease::Clock::new(leases.time, node.now());
            let handover = lease::Handover { clock, renewals_end: leases.renewals_end };
            let predecessor = predecessor(evidence, records);
            let sequence = revision;
            Some(Claimed {
                epoch,
                sent_at,
                owner: revision,
                sequence,
                commit_timeout,
                handover,
                predecessor,
            })
        }
        Ok(Outcome::Failed) => {
            log::info!("[election] decision=claim epoch={epoch} reason={reason:?} outcome=lost");
            None
        }
        Err(error) => {
            // The next read of the records shows whether the claim took effect.
            log::info!("[election] decision=claim epoch={epoch} outcome=unknown reason={error}");
            None
        }
    }
}

/// Returns the lease times of a claim that is sent at `now`. An owner whose term has not ended renews
/// leases for [`OWNER_GRACE`] after its last commit, which is before the first read of its record.
fn claimed_lease_times(records: &Records, evidence: &Evidence, now: Instant) -> LeaseTimes {
    let time = lease::Clock::new(records.leases.time, records.read_at).time(now);
    let own_end = match evidence {
        Evidence::None | Evidence::Ended => time,
        Evidence::Unknown(_) => records.leases.time.after(OWNER_GRACE),
    };
    LeaseTimes { time, renewals_end: records.leases.renewals_end.max(own_end) }
}

fn predecessor(evidence: Evidence, records: &Records) -> Option<Predecessor> {
    match evidence {
        Evidence::None | Evidence::Ended => None,
        Evidence::Unknown(owner) => {
            Some(Predecessor { owner, renewals_end: records.leases.renewals_end })
        }
    }
}

/// Returns how long a VM waits before a claim, so that VMs with more processor capacity claim
/// first.
fn claim_delay(processors: size::Processor) -> Duration {
    let class = CLAIM_DELAYS.iter().find(|(limit, _)| processors.milli() < *limit);
    class.map_or(Duration::ZERO, |(_, delay)| *delay)
}

/// Returns `true` if the records have changed during the claim delay, so that the claim would fail.
/// A fleet of followers that all see the end of the owner would otherwise send as many claims.
async fn is_superseded<P>(node: &Rc<Node<P>>, records: &Records) -> bool
where
    P: Platform,
{
    if matches!(contact(node), Contact::Committing | Contact::Late) {
        return true;
    }
    if !claim::is_checked(node.instances.get()) {
        return false;
    }
    let now = read(node).await;
    now.is_ok_and(|now| {
        let owner = |records: &Records| records.owner.as_ref().map(|(_, revision)| *revision);
        owner(&now) != owner(records) || now.sequence != records.sequence
    })
}

/// Returns the condition that a record is unchanged since it was read at `revision`; 0 means that
/// it did not exist.
pub(super) fn unchanged(text: &str, revision: revision::Revision) -> Compare {
    unchanged_key(keys::key(text), revision)
}

/// Returns the same condition for a key of the platform.
pub(super) fn unchanged_key(key: Key, revision: revision::Revision) -> Compare {
    if revision == revision::Revision::default() {
        return Compare::absent(key);
    }
    Compare::Modified(key, revision)
}
