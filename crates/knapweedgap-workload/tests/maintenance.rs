//! Maintenance of VMs in waves, above all when the owner changes in the middle of one.

mod support;

use std::time::Duration;

use knapweedgap_workload::engine::Progress;
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

/// Guards against an owner that forgets which VMs have had their maintenance: it evacuates them
/// again, so the tasks there are stopped once more with each takeover.
#[test]
fn finished_vm_is_evacuated_again_after_a_takeover() {
    let mut harness = Harness::new(&[8, 8, 8]);
    harness.poll_all();
    let step = Step { long_running: true, ..step(3, 5, Duration::from_secs(600)) };
    harness.submit("batch", "00000000000000a1", spec(vec![step]));
    harness.run(Duration::from_secs(1));
    let (_, task) = harness.running()[0].clone();
    for worker in harness.workers.values_mut() {
        worker.work.insert(task.step, Duration::from_secs(600));
    }
    let wave = Wave { vms: vec![vm(0, State::Up).id], ..wave() };
    harness.engine.wave_listed(wave.clone());
    harness.engine.vms_listed((0..3).map(|number| vm(number, State::Up)).collect());
    harness.run(Duration::from_secs(1));
    let due = harness.engine.maintenance_due(harness.now);
    assert_eq!(due.len(), 1, "the VM is evacuated");
    harness.engine.maintenance_answered(&due[0], Ok(()), harness.now);
    let work = harness.worker(0).work.clone();
    harness.worker(0).restart();
    harness.worker(0).work = work;
    harness.list_workers();
    harness.run(Duration::from_secs(4));
    harness.worker(1).fail();
    harness.run(Duration::from_secs(6));
    let is_used = harness.running().iter().any(|(id, _)| id.to_string() == "worker-0");
    assert!(is_used, "the VM has tasks after its maintenance: {:?}", harness.running());
    harness.worker(0).events.clear();
    harness.hand_over();
    harness.engine.wave_listed(wave);
    harness.engine.vms_listed((0..3).map(|number| vm(number, State::Up)).collect());
    harness.run(Duration::from_secs(2));
    let events = &harness.worker(0).events;
    assert!(events.is_empty(), "tasks of the finished VM are stopped: {events:?}");
}

/// Returns an owner that took down the first VM of a wave and was replaced while the VM was down.
/// `state` is the state in which the platform lists that VM to the new owner.
fn taken_over_with_a_vm_down(state: State) -> Harness {
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
    let state = |number| if number == 0 { state } else { State::Up };
    harness.engine.vms_listed((0..3).map(|number| vm(number, state(number))).collect());
    harness
}

/// Guards against an owner that counts only the VMs which are listed as in maintenance: the list
/// may be older than the request of the former owner.
#[test]
fn vm_that_a_former_owner_took_down_takes_a_slot_before_it_is_listed() {
    let mut harness = taken_over_with_a_vm_down(State::Up);
    harness.run(Duration::from_secs(1));
    let due = harness.engine.maintenance_due(harness.now);
    assert!(due.is_empty(), "a second VM is taken down: {due:?}");
}

/// Guards against a slot that is held for a fixed time from the beginning of each term: a wave
/// would stand still while owners are replaced in quick succession.
#[test]
fn vm_that_is_up_again_frees_its_slot_after_a_takeover() {
    let mut harness = taken_over_with_a_vm_down(State::Maintenance);
    harness.worker(0).restart();
    harness.hand_over();
    harness.engine.wave_listed(wave());
    harness.engine.vms_listed((0..3).map(|number| vm(number, State::Up)).collect());
    harness.run(Duration::from_millis(200));
    let due = harness.engine.maintenance_due(harness.now);
    let vms: Vec<String> = due.iter().map(|request| request.vm.to_string()).collect();
    assert_eq!(vms, ["vm-1"], "the wave goes on with the next VM");
}

/// Guards against a completed wave that begins again: the status that operators see is read only
/// after the wave is listed, and the read may fail.
#[test]
fn completed_wave_in_the_log_does_not_begin_again() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    let wave = Wave { vms: vec![vm(0, State::Up).id], ..wave() };
    harness.engine.wave_listed(wave.clone());
    harness.engine.vms_listed(vec![vm(0, State::Up)]);
    harness.run(Duration::from_millis(200));
    let due = harness.engine.maintenance_due(harness.now);
    harness.engine.maintenance_answered(&due[0], Ok(()), harness.now);
    for (number, progress) in harness.engine.waves_to_report() {
        assert_eq!(progress, Progress::Completed);
        harness.engine.wave_reported(number, progress);
    }
    // The wave stays in the log although the operators' waves are not listed in the second term.
    harness.hand_over();
    harness.hand_over();
    harness.engine.wave_listed(wave);
    harness.engine.vms_listed(vec![vm(0, State::Up)]);
    assert!(!harness.engine.needs_vms(), "the wave is not known as completed");
    harness.run(Duration::from_secs(5));
    let due = harness.engine.maintenance_due(harness.now);
    assert!(due.is_empty(), "the VM is taken down again: {due:?}");
}
