//! Handovers of a partition while a worker is gone.

mod support;

use std::time::Duration;

use knapweedgap_placement::engine::Engine;
use knapweedgap_placement::report::State;
use knapweedgap_placement::settings::Settings;
use support::{Driver, STEP, number, owner, spec, worker};

/// Guards against a wait for the leases of earlier owners that begins anew with each handover: the
/// task of a worker that is gone is not started again while the partition changes its owner.
#[test]
fn handovers_in_a_row_delay_the_task_of_a_gone_worker() {
    let mut driver = Driver::new(2);
    driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    let gone = number(&start.worker);
    driver.report(gone, &[(start.task, 1, State::Running)]);
    driver.advance(STEP);
    let gone_at = driver.now;
    let mut epoch = 1;
    while driver.starts().is_empty() {
        let elapsed = driver.now - gone_at;
        // One wait for the earlier owners of 31.5 s, and the time of one handover.
        assert!(elapsed < Duration::from_secs(60), "not started again after {elapsed:?}");
        epoch += 1;
        let entries = &driver.entries;
        driver.engine =
            Engine::replay(owner(epoch), Settings::default(), None, entries, driver.now)
                .expect("replays");
        driver.epoch = epoch;
        driver.engine.set_workers((0..2).map(worker).collect(), driver.now);
        for _ in 0..20 {
            driver.advance(Duration::from_secs(1));
            driver.report(1 - gone, &[]);
        }
    }
}
