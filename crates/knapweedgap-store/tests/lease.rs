//! Guards the holder's view of a lease.

use std::time::{Duration, Instant};

use knapweedgap_store::lease::{Id, Lease};

const TTL: Duration = Duration::from_secs(10);

#[test]
fn paused_holder_does_not_outlast_the_service() {
    let asked = Instant::now();
    let lease = Lease::new(Id::new(7).expect("id"), TTL, asked);
    let lease = lease.check(asked + TTL - Duration::from_millis(1)).expect("lease holds");
    let renewed = lease.renew(TTL, asked + TTL / 2);
    assert_eq!(renewed.left(asked + TTL), TTL / 2);
    let ended = renewed.check(asked + TTL / 2 + TTL).expect_err("lease is over");
    assert_eq!(ended.id().get(), 7);
}
