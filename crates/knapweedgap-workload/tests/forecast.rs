//! Forecast of the room of a worker. Guards against reservations at a time that is never reached, and
//! against tasks that take the room of a reservation.

use std::time::{Duration, Instant};

use knapweedgap_core::size;
use knapweedgap_workload::ahead::{self, Reservation, Run, Task};

const SECOND: Duration = Duration::from_secs(1);

fn cores(cores: u32) -> size::Resources {
    size::Resources { processor: size::Processor::from_cores(cores), ..Default::default() }
}

fn run(since: Instant, seconds: u32, cores_used: u32) -> Run {
    Run { since, estimate: Some(SECOND * seconds), size: cores(cores_used) }
}

#[test]
fn a_run_over_its_estimate_ends_a_share_of_its_elapsed_time_from_now() {
    let since = Instant::now();
    let ten = run(since, 10, 1);
    assert_eq!(ten.expected_end(since + SECOND * 4), Some(since + SECOND * 10));
    assert_eq!(ten.expected_end(since + SECOND * 20), Some(since + SECOND * 25));
    let unknown = run(since, 0, 1);
    assert!(unknown.expected_end(since).is_some_and(|end| end > since));
    assert_eq!(Run { estimate: None, ..ten }.expected_end(since), None);
    assert_eq!(Run { estimate: Some(Duration::MAX), ..ten }.expected_end(since), None);
}

#[test]
fn room_is_free_once_the_last_needed_run_ends() {
    let now = Instant::now();
    let runs = [run(now, 9, 20), run(now, 3, 10), run(now, 6, 10)];
    let room = |need| ahead::earliest_room(cores(5), runs, &cores(need), now);
    assert_eq!(room(5), Some(now));
    assert_eq!(room(15), Some(now + SECOND * 3));
    assert_eq!(room(16), Some(now + SECOND * 6));
    assert_eq!(room(45), Some(now + SECOND * 9));
    assert_eq!(room(46), None);
}

#[test]
fn a_task_precedes_a_reservation_if_it_ends_in_time_or_fits_beside() {
    let now = Instant::now();
    let runs = [run(now, 3, 10), run(now, 9, 40)];
    let reservation = Reservation { at: now + SECOND * 5, size: cores(12) };
    let may = |size, seconds: Option<u32>| {
        let task = Task { size: cores(size), duration: seconds.map(|seconds| SECOND * seconds) };
        ahead::may_precede(&task, &reservation, cores(6), runs, now)
    };
    assert!(may(6, Some(5)), "it ends in time");
    assert!(!may(6, Some(6)) && !may(6, None), "16 cores are free then, and 12 of them reserved");
    assert!(may(4, Some(600)) && may(4, None), "it fits beside");
}

#[test]
fn a_quarter_of_the_largest_worker_is_wide() {
    let largest = cores(64);
    assert!(ahead::is_wide(
        &cores(16),
        &size::Resources { memory: size::Bytes::new(9), ..largest }
    ));
    let memory = |bytes| size::Resources { memory: size::Bytes::new(bytes), ..cores(1) };
    let largest = size::Resources { memory: size::Bytes::new(100), ..largest };
    assert!(ahead::is_wide(&memory(25), &largest) && !ahead::is_wide(&memory(24), &largest));
}
