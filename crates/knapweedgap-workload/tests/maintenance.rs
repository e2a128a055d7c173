//! Maintenance of VMs in waves, above all when the owner changes in the middle of one.

mod support;

use std::time::Duration;

use knapweedgap_workload::job::Step;
use knapweedgap_workload::wave::{State, Vm, Wave};
use support::{Harness, spec, step};

fn vm(number: usize, state: State) -> Vm {
    let worker = format!("worker-{number}").parse().expect("valid");
    Vm { id: format!("vm-{number}").parse().expect("valid"), state, worker: Some(worker) }
}

fn wave() -> Wave {
    let vms = (0..3).map(|number| vm(number, State::Up).id).collect();
    Wave { number: 1, vms, time_limit: Duration::from_secs(60), down_max: 1 }
}

/// Guards against an owner that counts only the VMs that it took down itself: after a takeover,
/// more VMs of a wave are down than it allows.
#[test]
fn maintenance_limit_is_exceeded_after_a_takeover() {
    let mut harness = Harness::new(&[8, 8, 8]);
    harness.poll_all();
    harness.engine.wave_listed(wave());
    harness.engine.vms_listed((0..3).map(|number| vm(number, State::Up)).collect());
    harness.run(Duration::from_millis(200));
    let due = harness.engine.maintenance_due(harness.now);
    assert_eq!(due.len(), 1, "one VM may be down");
    harness.engine.maintenance_answered(&due[0], Ok(()), harness.now);
    harness.hand_over();
    harness.engine.wave_listed(wave());
    let state = |number| if number == 0 { State::Maintenance } else { State::Up };
    harness.engine.vms_listed((0..3).map(|number| vm(number, state(number))).collect());
    harness.run(Duration::from_millis(200));
    let due = harness.engine.maintenance_due(harness.now);
    assert!(due.is_empty(), "a second VM is taken down: {due:?}");
}

/// Guards against a VM that is closed for the rest of a term: the platform confirms the repeated
/// request because the maintenance is done, so no new incarnation opens the worker again.
#[test]
fn finished_vm_stays_closed_after_a_takeover() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    let wave = Wave { vms: vec![vm(0, State::Up).id], ..wave() };
    harness.engine.wave_listed(wave.clone());
    harness.engine.vms_listed(vec![vm(0, State::Up)]);
    harness.run(Duration::from_millis(200));
    let due = harness.engine.maintenance_due(harness.now);
    assert_eq!(due.len(), 1, "the VM is evacuated");
    harness.engine.maintenance_answered(&due[0], Ok(()), harness.now);
    harness.worker(0).restart();
    harness.list_workers();
    harness.run(Duration::from_secs(4));
    harness.hand_over();
    harness.engine.wave_listed(wave);
    harness.engine.vms_listed(vec![vm(0, State::Up)]);
    harness.run(Duration::from_millis(200));
    for request in harness.engine.maintenance_due(harness.now) {
        harness.engine.maintenance_answered(&request, Ok(()), harness.now);
    }
    harness.run(Duration::from_secs(10));
    let step = Step { long_running: true, ..step(1, 2, Duration::from_secs(600)) };
    harness.submit("batch", "00000000000000a1", spec(vec![step]));
    harness.run(Duration::from_millis(500));
    assert_eq!(harness.running().len(), 1, "the task is not placed: {:?}", harness.answers);
}

/// Guards against a wave of an earlier term that closes a worker: the list of VMs arrives before
/// the stored progress of the wave is read, and a tick between the two begins to evacuate.
#[test]
fn completed_wave_of_an_earlier_term_closes_a_worker() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.hand_over();
    harness.engine.wave_listed(Wave { vms: vec![vm(0, State::Up).id], ..wave() });
    harness.engine.vms_listed(vec![vm(0, State::Up)]);
    harness.run(Duration::from_millis(100));
    harness.engine.wave_completed(1);
    harness.run(Duration::from_secs(10));
    let step = Step { long_running: true, ..step(1, 2, Duration::from_secs(600)) };
    harness.submit("batch", "00000000000000a1", spec(vec![step]));
    harness.run(Duration::from_millis(500));
    assert_eq!(harness.running().len(), 1, "the task is not placed: {:?}", harness.answers);
}
