//! Requests of clients while the workload passes from one owner to another.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};

use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job;
use support::{Installation, wait};

const JOB: &str = "00000000000000c1";
/// Number of clients that ask for a job without a pause.
const CLIENTS: usize = 8;
/// Time by which the store answers reads late, in milliseconds.
const READ_DELAY_MS: u64 = 100;

/// Guards against a new owner that refuses requests between the replay of the log and the first
/// read of the configuration.
#[test]
fn a_takeover_refuses_no_request() {
    let mut installation = Installation::start(3);
    let owner = installation.owner().expect("an owner");
    assert_eq!(installation.submit(owner, 1, JOB), Some(Answer::Accepted));
    installation.wait_completed(owner, 1, JOB);
    for instance in &installation.instances {
        instance.read_delay_ms.store(READ_DELAY_MS, Ordering::Relaxed);
    }
    let stopped = AtomicBool::new(false);
    let completed = Answer::State(job::State::Completed);
    let (installed, stopped, completed) = (&installation, &stopped, &completed);
    let refusals: Vec<Answer> = std::thread::scope(|scope| {
        let ask = |number: usize| {
            let mut refusals = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                match installed.show(number, 1, JOB) {
                    Some(answer) if answer == *completed => {}
                    Some(answer) => refusals.push(answer),
                    None => refusals.push(Answer::Unknown("no answer".into())),
                }
            }
            refusals
        };
        let mut clients = Vec::new();
        for client in 0..CLIENTS {
            let number = (owner + 1 + client % 2) % 3;
            clients.push(scope.spawn(move || ask(number)));
        }
        installed.instances[owner].request_stop();
        wait("another owner", || installed.owner().is_some_and(|other| other != owner));
        let other = installed.owner().expect("an owner");
        installed.wait_ready(other);
        stopped.store(true, Ordering::Relaxed);
        clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect()
    });
    assert!(refusals.is_empty(), "{} refused: {:?}", refusals.len(), refusals.first());
    installation.stop_all();
}
