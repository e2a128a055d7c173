//! Guards against stamps that order an effect before its cause.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use knapweedgap_core::clock::Clock;
use knapweedgap_timeline::{Stamp, hybrid};
use proptest::prelude::*;

/// Wall clock that a test can set forwards and backwards.
#[derive(Debug, Default)]
struct Wall(AtomicU64);

impl Wall {
    fn set(&self, wall_ms: u64) {
        self.0.store(wall_ms, Ordering::Relaxed);
    }
}

impl Clock for Wall {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.0.load(Ordering::Relaxed))
    }

    fn processor(&self) -> Duration {
        Duration::ZERO
    }
}

#[derive(Debug, Clone)]
enum Step {
    Wall(usize, u64),
    Tick(usize),
    Send(usize, usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0usize..3, 0u64..50_000).prop_map(|(process, wall)| Step::Wall(process, wall)),
        (0usize..3).prop_map(Step::Tick),
        (0usize..3, 0usize..3).prop_map(|(from, to)| Step::Send(from, to)),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    #[test]
    fn stamps_increase_within_each_process_and_along_each_message(steps in steps()) {
        let walls = [Wall::default(), Wall::default(), Wall::default()];
        let mut clocks = [hybrid::Clock::new(), hybrid::Clock::new(), hybrid::Clock::new()];
        let mut last = [Stamp::default(); 3];
        let mut wall_max = 0;
        for step in steps {
            let (process, stamp) = match step {
                Step::Wall(process, wall_ms) => {
                    walls[process].set(wall_ms);
                    wall_max = wall_max.max(wall_ms);
                    continue;
                }
                Step::Tick(process) => (process, clocks[process].tick(&walls[process])),
                Step::Send(from, to) => {
                    let sent = clocks[from].tick(&walls[from]);
                    prop_assert!(sent > last[from]);
                    last[from] = sent;
                    let received = clocks[to].merge(sent, &walls[to]).expect("within the bound");
                    prop_assert!(received > sent);
                    (to, received)
                }
            };
            prop_assert!(stamp > last[process]);
            last[process] = stamp;
            // The wall part of a stamp never exceeds the largest wall clock of all processes.
            prop_assert!(stamp.wall_ms <= wall_max);
        }
    }

    #[test]
    fn a_stamp_parses_back_from_its_text(wall_ms in any::<u64>(), counter in any::<u32>()) {
        let stamp = Stamp { wall_ms, counter };
        prop_assert_eq!(stamp.to_string().parse::<Stamp>().expect("valid"), stamp);
    }

    #[test]
    fn parsing_arbitrary_text_never_panics(text in any::<String>()) {
        let _ = text.parse::<Stamp>();
    }
}

#[test]
fn a_remote_stamp_beyond_the_drift_bound_does_not_advance_the_local_clock() {
    let wall = Wall::default();
    wall.set(1_000);
    let mut clock = hybrid::Clock::new();
    let before = clock.tick(&wall);
    let remote = Stamp { wall_ms: 61_001, counter: 0 };
    let drift = clock.merge(remote, &wall).expect_err("61 s in the future");
    assert_eq!(drift.ahead, Duration::from_millis(60_001));
    assert_eq!(clock.last(), before);
    assert_eq!(clock.refused(), 1);
    let limit = Stamp { wall_ms: 61_000, counter: 0 };
    assert!(clock.merge(limit, &wall).expect("exactly at the bound") > limit);
    assert_eq!(clock.refused(), 1);
}

#[test]
fn an_exhausted_counter_moves_to_the_next_millisecond() {
    let wall = Wall::default();
    wall.set(1_000);
    let mut clock = hybrid::Clock::new();
    let remote = Stamp { wall_ms: 1_000, counter: u32::MAX };
    let stamp = clock.merge(remote, &wall).expect("same wall time");
    assert_eq!(stamp, Stamp { wall_ms: 1_001, counter: 0 });
}
