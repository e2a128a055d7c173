//! Room for wide steps beside a stream of narrow ones. Each test replays a load pattern; most compare
//! an owner with reservations to one without.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_workload::api::Verb;
use knapweedgap_workload::event::{Event, Reserved};
use knapweedgap_workload::job::Step;
use knapweedgap_workload::task;
use support::{Harness, bounds, spec, step};

const SECOND: Duration = Duration::from_secs(1);
const ROUND: Duration = Duration::from_millis(100);
/// Declared run time of a narrow task.
const NARROW: Duration = Duration::from_secs(3);
/// Run time of a wide task. With a longer one, admission would refuse the narrow ones behind it.
const WIDE: Duration = Duration::from_secs(4);
/// Time within which a wide task gets room, while a worker is emptied of narrow ones within 3 s.
const ROOM_MAX: Duration = Duration::from_secs(5);
const NARROW_CORES: u32 = 7;
const WIDE_CORES: u32 = 31;
const WIDE_JOB: &str = "0000000000000a01";

/// Owner with a stream of narrow tasks, some of which always wait.
struct Stream {
    harness: Harness,
    random: fastrand::Rng,
    jobs: u64,
    /// Declared run times of narrow tasks, and true ones as shares of them in percent.
    estimates: Vec<Duration>,
    true_percent: std::ops::RangeInclusive<u64>,
    /// Factors of the run times on workers that are slow.
    slow: BTreeMap<id::Worker, u32>,
    /// Rounds in which admission refused all narrow tasks and none waited.
    dry_rounds: u32,
}

impl Stream {
    /// Returns an owner whose workers of 64 cores are full of narrow tasks, which end one by one.
    fn new(workers: usize, reservations: bool) -> Stream {
        let bounds = bounds().reservations(reservations).build();
        let mut harness = Harness::with_bounds(&vec![64; workers], bounds);
        harness.poll_all();
        let random = fastrand::Rng::with_seed(7);
        let estimates = vec![NARROW];
        let (true_percent, slow) = (100..=100, BTreeMap::new());
        let mut stream =
            Stream { harness, random, jobs: 0, estimates, true_percent, slow, dry_rounds: 0 };
        for _ in 0..workers * 9 {
            stream.submit_narrow();
            if stream.jobs.is_multiple_of(workers as u64) {
                stream.harness.advance(ROUND * 3);
                stream.harness.round();
            }
        }
        stream.run(SECOND * 6);
        stream
    }

    fn submit(&mut self, queue: &str, job: &str, step: Step, run_time: Duration) {
        let id = step_of(job);
        for (worker, state) in &mut self.harness.workers {
            let factor = self.slow.get(worker).copied().unwrap_or(1);
            state.work.insert(id, run_time * factor);
        }
        self.harness.request(queue, job, Verb::Submit(Box::new(spec(vec![step]))));
    }

    fn submit_narrow(&mut self) {
        self.jobs += 1;
        let index = self.random.usize(..self.estimates.len());
        let estimate = self.estimates[index];
        let run_time = estimate * self.random.u64(self.true_percent.clone()) as u32 / 100;
        let job = format!("{:016x}", 0x10_0000 + self.jobs);
        self.submit("batch", &job, step(1, NARROW_CORES, estimate), run_time);
    }

    fn submit_wide(&mut self) {
        self.submit("urgent", WIDE_JOB, step(1, WIDE_CORES, WIDE), WIDE);
    }

    fn round(&mut self) {
        let waiting = self.harness.workers.len() as u32 + 1;
        for _ in self.harness.engine.waiting_tasks()..waiting {
            self.submit_narrow();
        }
        self.dry_rounds += u32::from(self.harness.engine.waiting_tasks() == 0);
        self.harness.advance(ROUND);
        self.harness.round();
    }

    fn run(&mut self, time: Duration) {
        let until = self.harness.now + time;
        while self.harness.now < until {
            self.round();
        }
    }

    /// Returns the time until the wide task is placed; `None` if it is longer than `limit`.
    fn time_to_room(&mut self, limit: Duration) -> Option<Duration> {
        let began = self.harness.now;
        while self.harness.now - began <= limit {
            self.round();
            if self.is_wide_placed() {
                return Some(self.harness.now - began);
            }
        }
        None
    }

    fn is_wide_placed(&self) -> bool {
        self.harness.running().iter().any(|(_, task)| task.step == step_of(WIDE_JOB))
    }

    /// Returns the outcomes of the reservations for the wide step, with the worker of each.
    fn outcomes(&self) -> Vec<(Reserved, id::Worker)> {
        let mut outcomes = Vec::new();
        for event in &self.harness.events {
            let Event::Reservation { step, worker, outcome, .. } = event else { continue };
            if *step == step_of(WIDE_JOB) {
                outcomes.push((*outcome, worker.clone()));
            }
        }
        outcomes
    }

    fn reserved_worker(&self) -> id::Worker {
        let outcomes = self.outcomes();
        let made = outcomes.iter().rev().find(|(outcome, _)| *outcome == Reserved::Made);
        made.expect("a reservation").1.clone()
    }
}

fn step_of(job: &str) -> task::Step {
    task::Step { job: job.parse().expect("valid"), occurrence: 0, step: 0 }
}

/// Load: a wide step (31 of 64 cores) among a stream of narrow ones (7 cores) with lower priority.
/// Guards against the wide one waiting as long as the stream lasts, as it does without reservations.
#[test]
fn a_wide_step_gets_room_among_narrow_ones() {
    for workers in [1, 4] {
        let mut without = Stream::new(workers, false);
        without.submit_wide();
        assert_eq!(without.time_to_room(SECOND * 50), None, "{workers} workers");
        assert_eq!(without.dry_rounds, 0, "{workers} workers");

        let mut stream = Stream::new(workers, true);
        stream.submit_wide();
        let time = stream.time_to_room(SECOND * 50);
        assert!(time.is_some_and(|time| time <= ROOM_MAX), "{workers} workers: {time:?}");
        assert_eq!(stream.dry_rounds, 0, "{workers} workers");
        let outcomes = stream.outcomes();
        assert_eq!(outcomes.first().map(|(outcome, _)| *outcome), Some(Reserved::Made));
        assert_eq!(outcomes.last().map(|(outcome, _)| *outcome), Some(Reserved::Met));
    }
}

/// Load: the same on one worker, where some narrow ones end within the wait of the wide one. Guards
/// against a gap that stays empty although tasks would end in time, and against ones that delay the
/// wide step.
#[test]
fn narrow_tasks_that_end_in_time_use_the_gap() {
    let mut times = Vec::new();
    for short_jobs in [0, 3] {
        let mut stream = Stream::new(1, true);
        stream.submit_wide();
        stream.run(ROUND * 2);
        let mut started = 0;
        for number in 0..short_jobs {
            let job = format!("{:016x}", 0xb00 + number);
            // The second step makes the objective long enough for admission.
            let second = Step { after: vec![0], ..step(1, NARROW_CORES, NARROW) };
            let steps = vec![step(1, NARROW_CORES, SECOND / 2), second];
            let worker = stream.harness.worker(0);
            worker.work.insert(step_of(&job), SECOND / 2);
            worker.work.insert(task::Step { step: 1, ..step_of(&job) }, NARROW);
            stream.harness.submit("batch", &job, spec(steps));
        }
        times.push(stream.time_to_room(SECOND * 50).expect("it gets room"));
        for event in &stream.harness.events {
            let Event::Place { task, .. } = event else { continue };
            if !task.step.job.to_string().starts_with("0000000000000b") {
                continue;
            }
            started += 1;
            assert_eq!(task.step.step, 0, "the second step does not end in time");
        }
        assert_eq!(started > 0, short_jobs > 0, "{started} short tasks used the gap");
    }
    assert_eq!(times[0], times[1], "time to room without and with short tasks");
}

/// Load: the stream with true run times between half of the estimate and twice it, from tasks that are
/// all estimated too high, all too low, and mixed. Guards against a reservation that is put off as
/// often as an estimate is wrong.
#[test]
fn a_wide_step_gets_room_though_estimates_are_wrong() {
    for true_percent in [50..=50, 150..=150, 200..=200, 50..=200] {
        let mut stream = Stream::new(2, true);
        stream.true_percent = true_percent.clone();
        stream.run(SECOND * 8);
        stream.submit_wide();
        let time = stream.time_to_room(SECOND * 50);
        let limit = ROOM_MAX * 2;
        assert!(time.is_some_and(|time| time <= limit), "{true_percent:?} %: {time:?}");
    }
}

/// Load: the stream on two workers, one of which takes three times as long. Guards against a
/// reservation that stays on a worker whose room does not come.
#[test]
fn a_reservation_leaves_a_slow_worker() {
    let mut stream = Stream::new(2, true);
    let ids: Vec<id::Worker> = stream.harness.workers.keys().cloned().collect();
    stream.slow.insert(ids[0].clone(), 3);
    stream.run(SECOND * 10);
    stream.submit_wide();
    let time = stream.time_to_room(SECOND * 50);
    assert!(time.is_some_and(|time| time <= ROOM_MAX * 2), "{time:?}: {:?}", stream.outcomes());
}

/// Load: a worker stops to end its runs, while another one is used as before. Guards against room that
/// stays empty on a worker for longer than twice the expected wait.
#[test]
fn a_worker_is_not_held_for_longer_than_its_reservation_is_worth() {
    let mut stream = Stream::new(2, true);
    stream.submit_wide();
    stream.run(ROUND * 2);
    let worker = stream.reserved_worker();
    stream.harness.workers.get_mut(&worker).expect("known").hangs = true;
    let time = stream.time_to_room(SECOND * 50);
    assert!(time.is_some_and(|time| time <= ROOM_MAX * 3), "{time:?}: {:?}", stream.outcomes());
    let moved = stream.outcomes().contains(&(Reserved::Moved, worker.clone()));
    assert!(moved, "{:?}", stream.outcomes());
    for event in &stream.harness.events {
        let Event::Reservation { expected, actual, .. } = event else { continue };
        assert!(
            *actual <= *expected * 3 + SECOND * 2,
            "held for {actual:?}, expected {expected:?}"
        );
    }
}

/// Load: the worker with the reservation drains, fails, or does not answer. Guards against a wide step
/// that waits for a worker that takes no tasks.
#[test]
fn a_reservation_moves_from_a_worker_that_is_excluded() {
    for case in ["draining", "failed", "isolated", "restarted"] {
        let mut stream = Stream::new(4, true);
        stream.submit_wide();
        stream.run(ROUND * 2);
        let id = stream.reserved_worker();
        let worker = stream.harness.workers.get_mut(&id).expect("known");
        match case {
            "draining" => worker.listed.draining = true,
            "failed" => worker.fail(),
            "isolated" => worker.is_isolated = true,
            _ => worker.restart(),
        }
        if case != "isolated" {
            stream.harness.list_workers();
        }
        let time = stream.time_to_room(SECOND * 50);
        assert!(time.is_some_and(|time| time <= ROOM_MAX * 2), "{case}: {time:?}");
        let outcomes = stream.outcomes();
        if case != "restarted" {
            // The restarted worker is empty, so the wide task may be placed there at once.
            assert!(outcomes.contains(&(Reserved::Excluded, id)), "{case}: {outcomes:?}");
        }
    }
}

/// Load: the owner is replaced while a wide step waits for its room. Guards against a new owner that
/// gives the room away for as long as the stream lasts.
#[test]
fn a_new_owner_makes_its_own_reservations() {
    let mut stream = Stream::new(2, true);
    stream.submit_wide();
    stream.run(ROUND * 5);
    assert!(!stream.is_wide_placed());
    stream.harness.take_over();
    let time = stream.time_to_room(SECOND * 50);
    assert!(time.is_some_and(|time| time <= ROOM_MAX * 2), "{time:?}");
}

/// Load: the wide job is cancelled while room is kept for it. Guards against room that stays empty.
#[test]
fn room_is_given_back_when_a_wide_job_is_cancelled() {
    let mut stream = Stream::new(1, true);
    stream.submit_wide();
    stream.run(ROUND * 13);
    assert!(!stream.is_wide_placed());
    let before = stream.harness.running().len();
    assert!(before < 9, "{before} run, so no room is kept");
    stream.harness.request("urgent", WIDE_JOB, Verb::Cancel);
    stream.run(ROUND * 3);
    assert_eq!(stream.harness.running().len(), 9);
    assert_eq!(stream.outcomes().last().map(|(outcome, _)| *outcome), Some(Reserved::Unneeded));
}

/// Load: the wide step has the lower priority, and urgent narrow ones arrive while room is kept for it.
/// Guards against a reservation that delays a step that is earlier in the order, also one that follows a
/// search in vain for the same size.
#[test]
fn a_reservation_does_not_keep_an_earlier_step_waiting() {
    let mut stream = Stream::new(1, true);
    stream.submit("batch", WIDE_JOB, step(1, WIDE_CORES, WIDE), WIDE);
    let began = stream.harness.now;
    while stream.harness.running().len() > 7 {
        stream.round();
        assert!(stream.harness.now - began < ROOM_MAX, "no room is kept");
    }
    for job in ["0000000000000b01", "0000000000000b02"] {
        // Without a report in between, so that the searches in vain of other narrow steps still count.
        stream.harness.commit();
        stream.submit("urgent", job, step(1, NARROW_CORES, NARROW), NARROW);
        stream.harness.commit();
        stream.harness.deliver();
        let is_running = |(_, task): &(_, task::Id)| task.step == step_of(job);
        assert!(stream.harness.running().iter().any(is_running), "{job} waits");
    }
}

/// Load: five of nine narrow runs go on for ever, so that a wide task never fits; narrow tasks of a job
/// of which others run wait beside it. Guards against room that stays empty for longer than twice the
/// expected wait (up to 3 s) and a second.
#[test]
fn room_that_is_kept_in_vain_is_used_again() {
    let mut stream = Stream::new(1, true);
    for (_, task) in stream.harness.running().into_iter().take(5) {
        stream.harness.worker(0).work.insert(task.step, SECOND * 600);
    }
    stream.submit("batch", "0000000000000b01", step(60, NARROW_CORES, NARROW), NARROW);
    stream.run(SECOND);
    stream.submit_wide();
    let began = stream.harness.now;
    let (mut last, mut longest) = (began, Duration::ZERO);
    while stream.harness.now - began < SECOND * 20 {
        stream.round();
        if stream.harness.running().len() == 9 {
            last = stream.harness.now;
        }
        longest = longest.max(stream.harness.now - last);
    }
    assert!(!stream.is_wide_placed());
    assert!(!stream.outcomes().is_empty());
    assert!(longest > SECOND && longest <= SECOND * 7, "room was empty for {longest:?}");
}

/// Load: a worker has room for narrow tasks that do not end before the time of the reservation, in 20 s.
/// Guards against a job of which nothing runs for 3 s although a worker has room for it, which the
/// platform counts as a fault.
#[test]
fn an_idle_job_takes_reserved_room_in_time() {
    let mut harness = Harness::new(&[64]);
    harness.poll_all();
    for (queue, job, count, cores, seconds) in [
        ("batch", "0000000000000b00", 1, NARROW_CORES, 20),
        ("batch", "0000000000000b01", 4, NARROW_CORES, 40),
        ("urgent", WIDE_JOB, 1, WIDE_CORES, 20),
        ("batch", "0000000000000b02", 1, NARROW_CORES, 30),
    ] {
        harness.worker(0).work.insert(step_of(job), SECOND * seconds);
        harness.submit(queue, job, spec(vec![step(count, cores, SECOND * seconds)]));
        harness.round();
    }
    let is_running = |harness: &Harness| {
        harness.running().iter().any(|(_, task)| task.step == step_of("0000000000000b02"))
    };
    harness.run(SECOND);
    assert!(!is_running(&harness), "the room is reserved");
    harness.run(SECOND * 3 / 2);
    assert!(is_running(&harness), "the job is idle for too long");
}

/// Load: best-effort tasks beside a reservation. Guards against best-effort tasks that are kept from
/// processors that they do not reserve, and against ones that take the reserved memory.
#[test]
fn best_effort_tasks_take_no_reserved_memory() {
    let mut stream = Stream::new(1, true);
    let mut wide = step(1, WIDE_CORES, WIDE);
    wide.size.memory = knapweedgap_core::size::Bytes::new(40 << 30);
    stream.submit("urgent", WIDE_JOB, wide, WIDE);
    stream.run(ROUND * 13);
    assert!(!stream.is_wide_placed());
    for (job, gib) in [("0000000000000c01", 1), ("0000000000000c02", 30)] {
        let mut filling = Step { best_effort: true, ..step(1, 4, SECOND * 600) };
        filling.size.memory = knapweedgap_core::size::Bytes::new(gib << 30);
        stream.submit("batch", job, filling, SECOND * 600);
    }
    stream.run(ROUND * 2);
    let runs = |stream: &Stream, job: &str| {
        stream.harness.running().iter().any(|(_, task)| task.step == step_of(job))
    };
    assert!(runs(&stream, "0000000000000c01"), "it fits beside the reserved task");
    assert!(!runs(&stream, "0000000000000c02"), "it takes reserved memory");
    assert!(stream.time_to_room(ROOM_MAX).is_some());
}

/// Load: the stream without a wide step. Guards against any difference of a pass where no wide step
/// waits.
#[test]
fn nothing_is_reserved_without_wide_steps() {
    let mut placed = Vec::new();
    for reservations in [false, true] {
        let mut stream = Stream::new(2, reservations);
        stream.run(SECOND * 5);
        let mut places = Vec::new();
        for event in &stream.harness.events {
            assert!(!matches!(event, Event::Reservation { .. }), "{event}");
            let Event::Place { task, worker, waited, .. } = event else { continue };
            places.push((*task, worker.clone(), *waited));
        }
        placed.push(places);
    }
    assert!(placed[0].len() > 50);
    assert_eq!(placed[0], placed[1]);
}
