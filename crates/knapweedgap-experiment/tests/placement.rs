//! Guards against an experiment that repeats badly or gives a method another load.

use knapweedgap_experiment::placement::case::{Method, Setup, User, Weighting};
use knapweedgap_experiment::placement::driver;

fn setup(method: Method) -> Setup {
    Setup { user: User::Anadolu, weighting: Weighting::Latency, method, seconds: 200, seed: 7 }
}

#[test]
fn a_run_repeats_exactly() {
    for method in Method::ALL {
        let first = driver::run(&setup(method));
        let second = driver::run(&setup(method));
        assert_eq!(format!("{first:?}"), format!("{second:?}"), "{method}");
    }
}

#[test]
fn no_batch_work_runs_without_colocation() {
    let measured = driver::run(&setup(Method::Isolated));
    assert_eq!(measured.finished, 0);
    assert!(measured.service_s > 0);
}

#[test]
fn jobs_that_no_worker_can_run_are_refused_and_urgent_work_starts() {
    for method in [Method::Blind, Method::Reactive, Method::Engine] {
        let measured = driver::run(&setup(method));
        // One such job arrives every 60 s; the first 20 s are not measured.
        assert_eq!(measured.refused, 3, "{method}");
        assert_eq!(measured.refused_other, 0, "{method}");
        assert!(!measured.urgent_ms.is_empty(), "{method}");
        assert!(measured.finished > 0, "{method}");
    }
}
