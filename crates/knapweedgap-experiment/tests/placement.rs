//! Guards against a placement experiment that is not reproducible or that gives its methods
//! different loads.

use knapweedgap_experiment::placement::case::{Method, Setup, User, Weighting};
use knapweedgap_experiment::placement::driver;

fn setup(method: Method) -> Setup {
    Setup { user: User::Anadolu, weighting: Weighting::Latency, method, seconds: 200, seed: 7 }
}

#[test]
fn runs_with_equal_seeds_are_identical() {
    for method in Method::ALL {
        let first = driver::run(&setup(method));
        let second = driver::run(&setup(method));
        assert_eq!(format!("{first:?}"), format!("{second:?}"), "{method}");
    }
}

#[test]
fn no_batch_work_runs_without_colocation() {
    let metrics = driver::run(&setup(Method::Isolated));
    assert_eq!(metrics.finished, 0);
    assert!(metrics.service_s > 0);
}

#[test]
fn oversized_jobs_are_refused_and_urgent_jobs_start() {
    for method in [Method::Blind, Method::Reactive, Method::Engine] {
        let metrics = driver::run(&setup(method));
        // One oversized job arrives every 60 s; the first 20 s are not measured.
        assert_eq!(metrics.refused, 3, "{method}");
        assert_eq!(metrics.refused_other, 0, "{method}");
        assert!(!metrics.urgent_ms.is_empty(), "{method}");
        assert!(metrics.finished > 0, "{method}");
    }
}
