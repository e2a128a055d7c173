//! Cost of one request in the router as a function of the number of upstreams.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use divan::Bencher;
use knapweedgap_core::{id, size};
use knapweedgap_routing::request::{Accepted, Kind, Request};
use knapweedgap_routing::share::Thread;
use knapweedgap_routing::snapshot::{Entry, Limits, Service, Snapshot, State, Upstream};
use knapweedgap_routing::{Action, Decision, Outcome, Permit, Policy, Router};

const UPSTREAMS: [usize; 3] = [50, 500, 5000];
const ENTRIES: usize = 7;
const THREADS: u32 = 2;
const ZONES: usize = 3;
const SLOTS: u32 = 8;
const ANSWERED: Outcome = Outcome::Answered { slots_in_use: Some(size::Slot::new(5)) };
const STEP: Duration = Duration::from_micros(10);

fn main() {
    divan::main();
}

fn zone(number: usize) -> id::Zone {
    format!("zone-{}", number % ZONES).parse().expect("valid")
}

fn instance(number: usize) -> id::Instance {
    format!("entry-{number}").parse().expect("valid")
}

fn upstream(number: usize) -> Upstream {
    Upstream {
        id: format!("runner-{number}").parse().expect("valid"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: zone(number),
        slots: size::Slot::new(SLOTS),
        connections: size::Connection::new(60),
        state: State::Live,
    }
}

fn service() -> id::Service {
    "service".parse().expect("valid")
}

fn snapshot(upstreams: usize) -> Arc<Snapshot> {
    let entry = |number| Entry { id: instance(number), zone: zone(number) };
    let limits = Limits::default().queue(64);
    let upstreams = (0..upstreams).map(upstream).collect();
    let snapshot = Snapshot::new(instance(0), zone(0))
        .entries((0..ENTRIES).map(entry).collect())
        .entries_configured(ENTRIES as u32)
        .traffic_threads(THREADS)
        .service(Service { id: service(), limits, upstreams });
    Arc::new(snapshot)
}

fn router(upstreams: usize, now: Instant) -> Router {
    let rng = fastrand::Rng::with_seed(1);
    Router::new(Policy::SlotShares, Thread::new(0), snapshot(upstreams), rng, now)
}

fn request(now: Instant) -> Request<Accepted> {
    Request::new(service(), Kind::Idempotent, now + Duration::from_secs(3600))
}

/// Dispatches requests until about `share` of the thread's own slots are in use.
fn fill(router: &mut Router, upstreams: usize, share: f64, now: Instant) -> VecDeque<Permit> {
    let own = upstreams as f64 * f64::from(SLOTS) / (ENTRIES as f64 * f64::from(THREADS));
    let mut permits = VecDeque::new();
    while (permits.len() as f64) < own * share {
        let Decision::Dispatch(permit) = router.admit(&request(now), now) else { break };
        permits.push_back(permit);
    }
    permits
}

/// `admit` and `complete` while 60 % of the slots are in use.
#[divan::bench(args = UPSTREAMS, sample_size = 1000)]
fn free_slots(bencher: Bencher<'_, '_>, upstreams: usize) {
    let mut now = Instant::now();
    let mut router = router(upstreams, now);
    let mut permits = fill(&mut router, upstreams, 0.6, now);
    bencher.bench_local(|| {
        now += STEP;
        if let Decision::Dispatch(permit) = router.admit(&request(now), now) {
            permits.push_back(permit);
        }
        let permit = permits.pop_front().expect("requests are in flight");
        router.complete(permit, ANSWERED, now).len()
    });
}

/// `admit` into the queue and `complete` with the start of a queued request while all slots are in
/// use.
#[divan::bench(args = UPSTREAMS, sample_size = 1000)]
fn full_slots(bencher: Bencher<'_, '_>, upstreams: usize) {
    let mut now = Instant::now();
    let mut router = router(upstreams, now);
    let mut permits = fill(&mut router, upstreams, f64::INFINITY, now);
    let full = Outcome::Answered { slots_in_use: Some(size::Slot::new(SLOTS)) };
    bencher.bench_local(|| {
        now += STEP;
        if let Decision::Dispatch(permit) = router.admit(&request(now), now) {
            permits.push_back(permit);
        }
        let permit = permits.pop_front().expect("requests are in flight");
        let mut started = 0;
        for action in router.complete(permit, full, now) {
            if let Action::Start(dispatch) = action {
                permits.push_back(dispatch.permit);
                started += 1;
            }
        }
        started
    });
}

/// `update` after one upstream starts to leave, which assigns all slots again.
#[divan::bench(args = UPSTREAMS, sample_count = 20)]
fn update(bencher: Bencher<'_, '_>, upstreams: usize) {
    let now = Instant::now();
    let mut router = router(upstreams, now);
    let mut other = Snapshot::clone(router.snapshot());
    other.services[0].upstreams[upstreams / 2].state = State::Leaving;
    let mut next = Arc::new(other);
    bencher.bench_local(|| {
        let previous = Arc::clone(router.snapshot());
        let actions = router.update(Arc::clone(&next), now);
        next = previous;
        actions.len()
    });
}
