//! Guards against a routing policy that misses the targets of the design page, and against an
//! experiment that loses requests or is not reproducible.

use std::time::Duration;

use knapweedgap_experiment::routing::case::{Case, Event, Method, Setup, Timeline, User, Work};
use knapweedgap_experiment::routing::metrics::Metrics;
use knapweedgap_experiment::routing::run_one;
use knapweedgap_routing::Policy;

const SLOT_SHARES: Method = Method::Router(Policy::SlotShares);

fn setup(user: User, work: Work, event: Event, load_percent: u32, method: Method) -> Setup {
    let case = Case { work, load_percent, event };
    Setup { user, case, method, timeline: Timeline::quick(), seed: 11 }
}

fn p99_us(metrics: &Metrics) -> f64 {
    metrics.latency_us.value_at_quantile(0.99) as f64
}

#[test]
fn at_85_percent_p99_is_within_1_3_times_that_of_the_shared_queue() {
    for user in User::ALL {
        for work in Work::ALL {
            let reference = run_one(&setup(user, work, Event::Steady, 85, Method::SharedQueue));
            let measured = run_one(&setup(user, work, Event::Steady, 85, SLOT_SHARES));
            let ratio = p99_us(&measured) / p99_us(&reference);
            assert!(ratio <= 1.3, "{user}, {work}: {ratio}");
            assert_eq!(measured.refused, 0, "{user}, {work}");
        }
    }
}

#[test]
fn at_120_percent_useful_answers_exceed_95_percent_of_the_capacity() {
    for user in User::ALL {
        for work in Work::ALL {
            let setup = setup(user, work, Event::Steady, 120, SLOT_SHARES);
            let measured = run_one(&setup);
            let capacity = setup.capacity_per_s() * setup.timeline.measured().as_secs_f64();
            let useful = measured.useful_in_time as f64 / capacity;
            assert!(useful > 0.95, "{user}, {work}: {useful}");
        }
    }
}

#[test]
fn every_request_ends_exactly_once() {
    let mut timeline = Timeline::quick();
    timeline.warm_up = Duration::ZERO;
    for event in [Event::ZoneLost, Event::RetryStorm] {
        for method in Method::all() {
            let setup = Setup { timeline, ..setup(User::Karoo, Work::Long, event, 60, method) };
            let measured = run_one(&setup);
            let ended = measured.latency_us.len() + measured.refused + measured.failed;
            assert_eq!(measured.started, ended, "{method}");
            assert_eq!(measured.started, count_requests(&setup), "{method}");
        }
    }
}

/// Returns the number of requests that the source generates.
fn count_requests(setup: &Setup) -> u64 {
    let mut source = knapweedgap_experiment::routing::events::Source::new(setup);
    let mut count = 0;
    while source.draw(setup).is_some() {
        count += 1;
    }
    count
}

#[test]
fn runs_with_equal_seeds_are_identical() {
    let setup = setup(User::Karoo, Work::Long, Event::SlowRunner, 85, SLOT_SHARES);
    let (first, second) = (run_one(&setup), run_one(&setup));
    assert_eq!(first.latency_us, second.latency_us);
    assert_eq!(first.served_same_zone, second.served_same_zone);
    assert_eq!(first.upstream_wait, second.upstream_wait);
}

#[test]
fn connections_to_an_upstream_stay_within_half_of_its_limit() {
    // The other half is reserved for the replacements of all entries.
    for method in Method::all() {
        let measured = run_one(&setup(User::Karoo, Work::Long, Event::Burst, 85, method));
        assert!(measured.connections_max <= 30, "{method}: {}", measured.connections_max);
    }
}
