//! Guards against as many claims as there are followers when an owner ends: each costs a write, and
//! the store takes a limited number of them from all instances together.

use std::time::Duration;

use knapweedgap_membership::claim;

/// Round trip to the store, after which a claim is visible to a reader.
const ROUND_TRIP: Duration = Duration::from_millis(15);
const CLAIMS_MAX: f64 = 8.0;

/// Returns the mean number of claims, over many takeovers, when each instance claims only if it can
/// not see an earlier claim.
fn claims(instances: u32, takeovers: u32) -> f64 {
    let bound = claim::jitter_max(instances);
    let mut random = 1u64;
    let mut next = || {
        // Multiplier of Knuth's generator of 64 bits.
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        bound.mul_f64((random >> 11) as f64 / (1u64 << 53) as f64)
    };
    let mut sum = 0;
    for _ in 0..takeovers {
        let delays: Vec<Duration> = (0..instances).map(|_| next()).collect();
        let first = delays.iter().min().copied().unwrap_or_default();
        sum += delays.iter().filter(|delay| **delay < first + ROUND_TRIP).count();
    }
    sum as f64 / f64::from(takeovers)
}

#[test]
fn claims_do_not_grow_with_the_installation() {
    for instances in [33, 100, 250] {
        let claims = claims(instances, 200);
        assert!(claims < CLAIMS_MAX, "{instances} instances: {claims} claims");
        assert!(claim::is_checked(instances));
    }
    // At 1,000 instances the longest delay bounds the time without an owner instead.
    assert!(claims(1_000, 100) < 4.0 * CLAIMS_MAX);
}

#[test]
fn small_installations_claim_as_fast_as_before() {
    assert_eq!(claim::jitter_max(6), Duration::from_millis(25));
    assert!(!claim::is_checked(6));
}

#[test]
fn process_that_knows_no_leader_assumes_a_large_installation() {
    assert!(claim::is_checked(0));
    assert_eq!(claim::jitter_max(0), claim::jitter_max(32));
}
