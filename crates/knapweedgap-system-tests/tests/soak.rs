//! Soak test with random faults. `KNAPWEEDGAP_SOAK=100..150` runs these seeds instead of the default
//! ones.

use knapweedgap_system_tests::soak::{Plan, run};

/// Default seeds: seed 1, and seeds that failed once.
///
/// 103: a repeated submission had an unknown outcome again while owners of partitions changed; the
/// soak test did not repeat it a second time. 132: a cancellation whose answer was lost took effect;
/// the soak test reported the job as lost. 113: an entry that had not yet received the number of
/// partitions used the first one as the primary partition of every job, so that accepted jobs were
/// not found later.
const SEEDS: [u64; 4] = [1, 103, 113, 132];

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("KNAPWEEDGAP_SOAK") else { return SEEDS.to_vec() };
    let (first, end) =
        text.split_once("..").expect("KNAPWEEDGAP_SOAK should be a range such as 100..150");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    (number(first)..number(end)).collect()
}

/// Guards against a schedule that is not reproducible from its seed.
#[test]
fn a_seed_determines_the_schedule() {
    assert_eq!(Plan::new(7), Plan::new(7));
    assert_ne!(Plan::new(7).steps, Plan::new(8).steps);
}

/// Guards against failures that occur only if faults overlap: jobs that are lost, run twice or run
/// although they were refused, responses that belong to another request, requests that run twice,
/// and workers committed beyond their capacity.
#[test]
fn overlapping_faults_violate_no_guarantee() {
    for seed in seeds() {
        run(seed);
    }
}
