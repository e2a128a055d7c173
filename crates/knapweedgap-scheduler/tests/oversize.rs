//! Commits that the store refuses for their content.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use knapweedgap_workload::api::Answer;
use support::{Installation, wait};

/// Number of jobs that one commit holds together.
const JOBS: u32 = 20;
/// Size of the largest value that the store takes: five of these jobs.
const VALUE_MAX: u64 = 21_000;
/// Most refused commits of one instance, which halves its values after each.
const REFUSALS_MAX: u64 = 3;

fn name(number: u32) -> String {
    format!("{number:016x}")
}

/// Guards against a commit that is repeated unchanged for ever although the store refuses its
/// content, so that no job is accepted any more: the settings may name a larger value than the store
/// takes.
#[test]
fn a_commit_that_the_store_refuses_is_split() {
    let mut installation = Installation::start(2);
    for instance in &installation.instances {
        instance.value_max.store(VALUE_MAX, Ordering::Relaxed);
        // Submissions gather in one batch while the former one is being stored.
        instance.commit_delay_ms.store(300, Ordering::Relaxed);
    }
    let installed = &installation;
    std::thread::scope(|scope| {
        for number in 0..JOBS {
            scope.spawn(move || {
                let job = name(number);
                wait("the job is accepted", || {
                    let entry = usize::try_from(number % 2).expect("small");
                    let answer = installed.submit_large(entry, 1, &job);
                    if answer == Some(Answer::Accepted) {
                        return true;
                    }
                    std::thread::sleep(Duration::from_millis(50));
                    false
                });
            });
        }
    });
    let refused =
        installation.instances.iter().map(|instance| instance.refused.load(Ordering::Relaxed));
    let refused: Vec<u64> = refused.collect();
    assert!(refused.iter().any(|&count| count > 0), "nothing was refused");
    assert!(refused.iter().all(|&count| count <= REFUSALS_MAX), "{refused:?} commits were refused");
    for number in 0..JOBS {
        installation.wait_completed(0, 1, &name(number));
    }
    installation.stop_all();
}
