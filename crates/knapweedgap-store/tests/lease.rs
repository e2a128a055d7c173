//! Guards against a holder that uses a lease after it has expired at the service.

use std::time::{Duration, Instant};

use knapweedgap_store::lease::{Id, Lease};

const TTL: Duration = Duration::from_secs(10);

#[test]
fn lease_of_a_paused_holder_expires_no_later_than_at_the_service() {
    let requested_at = Instant::now();
    let lease = Lease::new(Id::new(7).expect("id"), TTL, requested_at);
    let lease = lease.check(requested_at + TTL - Duration::from_millis(1)).expect("not expired");
    let renewed = lease.renew(TTL, requested_at + TTL / 2);
    assert_eq!(renewed.remaining(requested_at + TTL), TTL / 2);
    let ended = renewed.check(requested_at + TTL / 2 + TTL).expect_err("expired");
    assert_eq!(ended.id().get(), 7);
}
