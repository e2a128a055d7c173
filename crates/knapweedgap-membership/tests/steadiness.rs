//! Commit timeout that an owner states.

use std::time::{Duration, Instant};

use knapweedgap_membership::steadiness::{Commit, Monitor, SHORT_TIMEOUT};

/// Timeout of an owner of 490 workers that is not steady.
const LONG: Duration = Duration::from_millis(2_850);
const HEARTBEAT: Duration = Duration::from_millis(300);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Owner that commits every 300 ms.
struct Owner {
    monitor: Monitor,
    now: Instant,
}

impl Owner {
    fn new() -> Owner {
        let now = Instant::now();
        Owner { monitor: Monitor::new(now), now }
    }

    /// Commits for a time with the given times of an answer.
    fn commit(&mut self, time: Duration, answer: Duration) {
        let end = self.now + time;
        while self.now < end {
            let commit = Commit { sent_at: self.now, answered_at: self.now + answer };
            self.monitor.record_commit(commit);
            self.now += HEARTBEAT.max(answer);
        }
    }

    fn steady() -> Owner {
        let mut owner = Owner::new();
        owner.commit(ms(6_000), ms(4));
        assert_eq!(owner.timeout(), SHORT_TIMEOUT);
        owner
    }

    fn timeout(&self) -> Duration {
        self.monitor.timeout(LONG, self.now)
    }
}

/// Guards against a new owner that is replaced while it reads its first reports.
#[test]
fn the_start_of_a_term_has_the_long_timeout() {
    let mut owner = Owner::new();
    owner.commit(ms(4_500), ms(4));
    assert_eq!(owner.timeout(), LONG);
    owner.commit(ms(600), ms(4));
    assert_eq!(owner.timeout(), SHORT_TIMEOUT);
}

/// Guards against a short timeout before an owner has had time to show that its store is fast again.
#[test]
fn late_answers_lengthen_the_timeout_at_once_and_for_a_steady_stretch() {
    let mut owner = Owner::steady();
    owner.commit(ms(300), ms(300));
    assert_eq!(owner.timeout(), LONG);
    owner.commit(ms(4_500), ms(4));
    assert_eq!(owner.timeout(), LONG);
    owner.commit(ms(900), ms(4));
    assert_eq!(owner.timeout(), SHORT_TIMEOUT);
}

/// Guards against a short timeout in the first commit after a store outage of 2 s or a pause of 1 s.
#[test]
fn a_gap_lengthens_the_timeout_of_the_next_commit() {
    for gap in [ms(1_000), ms(2_000)] {
        let mut owner = Owner::steady();
        owner.now += gap;
        assert_eq!(owner.timeout(), LONG);
        owner.commit(ms(300), ms(4));
        assert_eq!(owner.timeout(), LONG);
    }
}

/// Guards against a short timeout of an owner with little processor time.
#[test]
fn own_delay_lengthens_the_timeout() {
    let mut owner = Owner::steady();
    assert!(!owner.monitor.record_delay(ms(100), owner.now), "usual on a share of a core");
    assert_eq!(owner.timeout(), SHORT_TIMEOUT);
    assert!(owner.monitor.record_delay(ms(150), owner.now));
    assert!(!owner.monitor.record_delay(ms(150), owner.now), "known before");
    assert_eq!(owner.timeout(), LONG);
}

/// Guards against a stated time that answers just below every limit can exceed.
#[test]
fn an_owner_at_the_limits_commits_within_the_short_timeout() {
    let mut owner = Owner::steady();
    for _ in 0..20 {
        let (sent_at, answered_at) = (owner.now, owner.now + ms(149));
        owner.monitor.record_commit(Commit { sent_at, answered_at });
        owner.now += ms(449);
        assert_eq!(owner.timeout(), SHORT_TIMEOUT);
    }
    // The effect of one commit at once, that of the next one with its answer.
    assert!(ms(449 + 149) < SHORT_TIMEOUT);
}
