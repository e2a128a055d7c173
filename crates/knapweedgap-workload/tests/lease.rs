//! Lease clocks that successive owners continue.

use std::time::{Duration, Instant};

use knapweedgap_workload::lease::{Clock, Time};

/// Guards against a text form that does not parse back to the same time.
#[test]
fn the_text_of_a_time_parses_back() {
    for millis in [0, 1, 1_500, u64::MAX] {
        let time = Time::from_millis(millis);
        assert_eq!(time.to_string().parse::<Time>().ok(), Some(time));
    }
    for text in ["", "ms", "1500", "-1ms", "1.5ms"] {
        assert!(text.parse::<Time>().is_err(), "{text:?} is no time");
    }
}

/// Guards against a lease clock that runs ahead of real time when owners follow each other, and
/// against a bound that passes too early by rounding.
#[test]
fn a_continued_clock_never_shows_a_bound_before_it_has_passed() {
    let started = Instant::now();
    let mut random = fastrand::Rng::with_seed(1);
    let mut now = started;
    let mut clock = Clock::new(Time::default(), now);
    let mut bounds = Vec::new();
    for _ in 0..1_000 {
        let end = now + Duration::from_micros(random.u64(..10_000_000));
        bounds.push((end, clock.time_after(end)));
        now += Duration::from_micros(random.u64(..900_000));
        if random.u32(..4) == 0 {
            let stored = clock.time(now);
            now += Duration::from_micros(random.u64(..2_000_000));
            clock = Clock::new(stored, now);
        }
        for (end, time) in &bounds {
            assert!(clock.time(now) < *time || now >= *end, "{time} is shown too early");
            assert!(clock.instant(*time) >= *end || now >= *end, "{time} is expected too early");
        }
    }
}
