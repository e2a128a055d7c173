//! Maintenance of VMs in waves, above all when the owner changes in the middle of one.

mod support;

use std::time::Duration;

use knapweedgap_workload::wave::{State, Vm, Wave};
use support::Harness;

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
