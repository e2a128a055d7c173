//! Format of the durable records. The bytes were written by an earlier release, and the next owner
//! of a workload must read them whichever release it runs.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedgap_core::{id, revision, size};
use knapweedgap_workload::configuration::{Advice, Policy};
use knapweedgap_workload::job::{self, Schedule, Spec, State};
use knapweedgap_workload::record::{
    self, Accepted, Assignment, Change, Extended, Failures, GivenUp, Maintenance, Pair, Progress,
    Step, StepTasks, Task, Wave, Withheld,
};
use knapweedgap_workload::{lease, task};

const JOB: &str = "00000000000000a1";

// One entry of the log with one record each, in hexadecimal digits.
const ACCEPTED: &str = "\
    81a1684163636570746564827030303030303030303030303030306131a46571756575656562617463686773\
    6572766963656864697370617463686561745f6d731a000dbba06473706563a3677061796c6f616464746578\
    7465737465707383ab65636f756e74016473697a65a36970726f636573736f7200666d656d6f7279006b6163\
    63656c657261746f720068657374696d617465a2647365637300656e616e6f73006b636865636b706f696e74\
    73f46467616e67f46973616d655f7261636bf46a7065725f776f726b65720066636f70696573f4676c617374\
    696e67f565696d616765606566696c6c73f4ab65636f756e74016473697a65a36970726f636573736f720066\
    6d656d6f7279006b616363656c657261746f720068657374696d617465a2647365637300656e616e6f73006b\
    636865636b706f696e7473f46467616e67f46973616d655f7261636bf46a7065725f776f726b65720066636f\
    70696573f4676c617374696e67f465696d616765606566696c6c73f5b065636f756e74036473697a65a36970\
    726f636573736f721905dc666d656d6f72791a400000006b616363656c657261746f720168657374696d6174\
    65a2647365637302656e616e6f731a0ee6b2806561667465728200016b636865636b706f696e7473f5646761\
    6e67f56973616d655f7261636bf5687265717569726573666b696e642d61646e656172667261636b2d316a70\
    65725f776f726b65720266636f70696573f5676c617374696e67f565696d61676566706f7274616c6b746169\
    6c5f746172676574a2647365637300656e616e6f731a02faf0806566696c6c73f56f756e617661696c61626c\
    655f6d617801687363686564756c65a36873746172745f6d731a000f424068696e74657276616ca264736563\
    73183c656e616e6f73006b72657065746974696f6e7304";

const PROGRESS: &str = "\
    81a16850726f6772657373827030303030303030303030303030306131a36573746174656772756e6e696e67\
    6b6f6363757272656e636573a1038264446f6e65a1644f70656e82860102018268776f726b65722d3107f462\
    363086020100f6f5606f6e6578745f6f6363757272656e636504";

const FAILURES: &str = "\
    81a16850726f6772657373827030303030303030303030303030306131a46573746174656772756e6e696e\
    676b6f6363757272656e636573a1038264446f6e65a1644f70656e82860102018268776f726b65722d3107\
    f462363086020100f6f5606f6e6578745f6f6363757272656e636504686661696c757265738182a2647374\
    6570a3636a6f6270303030303030303030303030303061316a6f6363757272656e63650364737465700165\
    696e64657801820102";

const TASKS: &str = "\
    81a1655461736b738270303030303030303030303030303061318282a3636a6f627030303030303030303030\
    3030303061316a6f6363757272656e636503647374657001860102018268776f726b65722d3107f462363082\
    a3636a6f6270303030303030303030303030303061316a6f6363757272656e63650364737465700186020100\
    f6f560";

const STEPS: &str = "\
    81a16553746570738270303030303030303030303030303061318183030182860102018268776f726b65722d\
    3107f462363086020100f6f560";

const GIVEN_UP: &str = "\
    81a167476976656e5570827030303030303030303030303030306131818403010182\
    0102";

const INTERFERENCE: &str = "81a1685072657373757265818365706c616e7366706f7274616cf94680";

const WITHHELD: &str = "81a1685769746868656c64818268776f726b65722d31196784";

const EXTENDED: &str = "81a168457874656e646564818268776f726b65722d31196784";

const WAVES: &str = "\
    81a1655761766573a20169436f6d706c6574656402a1644f70656ea364766d2d31a164446f776e0764766d2d\
    32a164446f776ef664766d2d336846696e6973686564";

const CLOSED: &str = "\
    81a166436c6f73656482703030303030303030303030303030613169636f6d706c65746564";

const POLICY: &str = "\
    81a1684163636570746564827030303030303030303030303030306131a565717565756565626174636867\
    736572766963656864697370617463686561745f6d731a000dbba066706f6c696379a66773657276696365\
    686469737061746368687072696f72697479026c617474656d7074735f6d61780468736c6f77646f776ef9\
    3e006e6c6174656e63795f746172676574a2647365637300656e616e6f731a11e1a30066616476696365a3\
    6d6465636973696f6e5f74696d65a2647365637300656e616e6f731a01312d006f74696d655f7065725f77\
    6f726b6572a2647365637300656e616e6f731a001e84806876616c6964697479a2647365637303656e616e\
    6f73006473706563a2677061796c6f6164647465787465737465707380";

const WITHDRAWN: &str = "81a16957697468647261776e7030303030303030303030303030306131";

fn job_id() -> id::Job {
    JOB.parse().expect("valid")
}

/// Returns a step with all fields set.
fn full_step() -> job::Step {
    job::Step {
        count: 3,
        size: size::Resources {
            processor: size::Processor::from_milli(1_500),
            memory: size::Bytes::new(1 << 30),
            accelerator: size::Accelerator::new(1),
        },
        estimate: Duration::from_millis(2_250),
        after: vec![0, 1],
        checkpoints: true,
        gang: true,
        same_rack: true,
        requires: Some("kind-a".into()),
        near: Some("rack-1".into()),
        per_worker: 2,
        copies: true,
        long_running: true,
        image: "portal".into(),
        tail_target: Some(Duration::from_millis(50)),
        best_effort: true,
        unavailable_max: Some(1),
    }
}

fn accepted() -> Change {
    let long_running = job::Step { count: 1, long_running: true, ..job::Step::default() };
    let best_effort = job::Step { count: 1, best_effort: true, ..job::Step::default() };
    let interval = Duration::from_secs(60);
    let spec = Spec {
        payload: "text".to_owned(),
        steps: vec![long_running, best_effort, full_step()],
        schedule: Some(Schedule { start_ms: 1_000_000, interval, repetitions: 4 }),
    };
    let service = "dispatch".parse().expect("valid");
    let accepted = Accepted {
        queue: "batch".into(),
        service,
        at_ms: 900_000,
        attempts_max: None,
        policy: None,
        spec,
    };
    Change::Accepted(job_id(), Box::new(accepted))
}

fn running_task() -> Task {
    let assignment =
        Assignment("worker-1".parse().expect("valid"), revision::Incarnation::new(7), false);
    Task(1, revision::Run::new(2), 1, Some(assignment), false, "60".into())
}

fn done_task() -> Task {
    Task(2, revision::Run::new(1), 0, None, true, "".into())
}

fn progress(failures: Vec<Failures>) -> Change {
    let steps = vec![Step::Done, Step::Open(vec![running_task(), done_task()])];
    let occurrences = BTreeMap::from([(3, steps)]);
    let state = State::Running;
    let given_up = Vec::new();
    let progress = Progress { state, occurrences, next_occurrence: 4, failures, given_up };
    Change::Progress(job_id(), progress)
}

fn tasks() -> Change {
    let step = task::Step { job: job_id(), occurrence: 3, step: 1 };
    Change::Tasks(job_id(), vec![(step, running_task()), (step, done_task())])
}

fn steps() -> Change {
    Change::Steps(job_id(), vec![StepTasks(3, 1, vec![running_task(), done_task()])])
}

fn interference() -> Change {
    Change::Interference(vec![Pair("plans".into(), "portal".into(), 6.5)])
}

fn withheld() -> Change {
    let end = lease::Time::from_millis(26_500);
    Change::Withheld(vec![Withheld("worker-1".parse().expect("valid"), end)])
}

fn extended() -> Change {
    let end = lease::Time::from_millis(26_500);
    Change::Extended(vec![Extended("worker-1".parse().expect("valid"), end)])
}

fn waves() -> Change {
    let vm = |name: &str| name.parse().expect("valid");
    let incarnation = revision::Incarnation::new(7);
    let begun = BTreeMap::from([
        (vm("vm-1"), Maintenance::Down(Some(incarnation))),
        (vm("vm-2"), Maintenance::Down(None)),
        (vm("vm-3"), Maintenance::Finished),
    ]);
    Change::Waves(BTreeMap::from([(1, Wave::Completed), (2, Wave::Open(begun))]))
}

fn closed() -> Change {
    Change::Closed(job_id(), State::Completed)
}

fn from_hexadecimal(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| {
        let pair = std::str::from_utf8(pair).expect("ASCII");
        u8::from_str_radix(pair, 16).expect("hexadecimal digits")
    };
    digits.chunks(2).map(byte).collect()
}

/// Checks that `text` decodes to an entry with one change, and that the change is encoded in the
/// same bytes.
fn check(text: &str, change: Change) {
    let bytes = from_hexadecimal(text);
    let decoded = record::decode(revision::Sequence::new(1), &bytes).expect("a valid entry");
    let changes = [change];
    assert_eq!(decoded, changes);
    assert_eq!(record::encode(&changes), bytes);
}

/// Guards against a new name or order of a field of an accepted job.
#[test]
fn an_accepted_job_keeps_its_bytes() {
    check(ACCEPTED, accepted());
}

/// Guards against a new name or order of a field of the progress of a job.
#[test]
fn the_progress_of_a_job_keeps_its_bytes() {
    check(PROGRESS, progress(Vec::new()));
}

/// Guards against a new name or order of a field of the counted failures, which earlier releases
/// neither write nor read.
#[test]
fn the_counted_failures_of_a_job_keep_their_bytes() {
    let task = task::Step { job: job_id(), occurrence: 3, step: 1 }.task(1);
    let runs = vec![revision::Run::new(1), revision::Run::new(2)];
    check(FAILURES, progress(vec![Failures(task, runs)]));
}

/// Guards against a new name or order of a field of changed tasks.
#[test]
fn changed_tasks_keep_their_bytes() {
    check(TASKS, tasks());
}

/// Guards against a new name or order of a field of the runs that were given up.
#[test]
fn given_up_runs_keep_their_bytes() {
    let runs = vec![revision::Run::new(1), revision::Run::new(2)];
    check(GIVEN_UP, Change::GivenUp(job_id(), vec![GivenUp(3, 1, 1, runs)]));
}

/// Guards against given up runs that the full record of a job leaves out, and against a record of
/// an earlier release, which has none, that can't be read.
#[test]
fn the_progress_of_a_job_holds_the_given_up_runs() {
    let Change::Progress(id, progress) = progress(Vec::new()) else { panic!("a progress") };
    let given_up = vec![GivenUp(3, 1, 1, vec![revision::Run::new(1)])];
    let change = Change::Progress(id, Progress { given_up, ..progress });
    let bytes = record::encode(std::slice::from_ref(&change));
    assert_eq!(record::decode(revision::Sequence::new(1), &bytes).expect("valid"), [change]);
}

/// Guards against a new name of the variant for the estimated interference.
#[test]
fn changed_tasks_by_step_keep_their_bytes() {
    check(STEPS, steps());
}

#[test]
fn the_estimated_interference_keeps_its_bytes() {
    check(INTERFERENCE, interference());
}

/// Guards against a new name or order of a field of the workers that get no leases.
#[test]
fn the_workers_without_leases_keep_their_bytes() {
    check(WITHHELD, withheld());
}

/// Guards against a new name or order of a field of the workers with extended leases.
#[test]
fn the_workers_with_extended_leases_keep_their_bytes() {
    check(EXTENDED, extended());
}

/// Guards against a new name or order of a field of the progress of waves.
#[test]
fn the_progress_of_waves_keeps_its_bytes() {
    check(WAVES, waves());
}

/// Guards against a new name or order of a field of a closed job.
#[test]
fn a_closed_job_keeps_its_bytes() {
    check(CLOSED, closed());
}

/// Guards against a new name of the record of a withdrawn job.
#[test]
fn a_withdrawn_job_keeps_its_bytes() {
    check(WITHDRAWN, Change::Withdrawn(job_id()));
}

/// Guards against a new name or order of a field of the policy in the record of an accepted job, and
/// against a record of an earlier release that gets a policy.
#[test]
fn an_accepted_job_holds_the_policy_of_its_queue() {
    let Change::Accepted(id, accepted) = accepted() else { panic!("an accepted job") };
    let restored = accepted.policy();
    assert_eq!((restored.service, restored.advice), (accepted.service.clone(), None));
    let policy = Policy {
        service: accepted.service.clone(),
        priority: 2,
        attempts_max: Some(4),
        slowdown: 1.5,
        latency_target: Duration::from_millis(300),
        advice: Some(Advice {
            decision_time: Duration::from_millis(20),
            time_per_worker: Duration::from_millis(2),
            validity: Duration::from_secs(3),
        }),
    };
    let spec = Spec { steps: Vec::new(), schedule: None, ..accepted.spec.clone() };
    let accepted = Accepted { policy: Some(policy.clone()), spec, ..*accepted };
    assert_eq!(accepted.policy(), policy);
    check(POLICY, Change::Accepted(id, Box::new(accepted)));
}
