//! Runners, their tasks, and the platform's list of machines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Handler, Reply, Request};
use crate::json::Json;
use crate::map;
use crate::record::Record;
use crate::store::Store;

const TICK: Duration = Duration::from_millis(5);
pub const HEARTBEAT_MS: u64 = 1_100;
/// A silent runner's entry is removed after three intervals.
const EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;

pub const LEASE_MAX_MS: u64 = 6_000;
pub const STOP_MS: u64 = 400;
pub const GANG_MS: u64 = 3_000;
pub const UPKEEP_MS: u64 = 2_000;

/// What the judge needs to know of a step.
#[derive(Debug, Clone, Default)]
pub struct Step {
    pub count: u64,
    pub is_gang: bool,
    pub unavailable_max: Option<u64>,
    /// Time that a task works; 0 for one that lasts.
    pub work_ms: u64,
    /// Time until a task that lasts is at work.
    pub startup_ms: u64,
}

#[derive(Debug)]
pub struct Run {
    run: u64,
    step: Step,
    done_ms: f64,
    /// All members of its gang are present.
    is_together: bool,
    started: u64,
    speed: u64,
    stop_at: Option<u64>,
}

impl Run {
    fn percent(&self) -> u64 {
        let whole = if self.step.work_ms == 0 { self.step.startup_ms } else { self.step.work_ms };
        ((self.done_ms * 100.0 / whole.max(1) as f64) as u64).min(100)
    }

    fn is_at_work(&self) -> bool {
        self.step.work_ms == 0 && self.percent() >= 100
    }
}

pub struct Runner {
    /// Start of the ids of all its lives.
    name: String,
    life: u64,
    /// Its next life has the same id.
    keeps_id: bool,
    pub id: String,
    pub machine: String,
    kind: &'static str,
    rack: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    /// Reading of its clock when it started, in milliseconds.
    clock_start: u64,
    started: Instant,
    fence: u64,
    lease_end: u64,
    pub runs: BTreeMap<String, Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    highest: BTreeMap<String, u64>,
    sequence: u64,
    next_check_in: u64,
    expires: u64,
    is_entered: bool,
    /// When a call of `/hold` last arrived.
    held_at: Option<Instant>,
    /// Time that a call or its answer takes on the way.
    one_way: Duration,
    /// The store has left its check-in without an answer.
    is_held_up: bool,
    /// Time at which its machine is up again.
    down_until: Option<u64>,
    /// It is down without upkeep.
    is_crashed: bool,
    upkeep_fence: u64,
    upkeep_done: Vec<u64>,
}

pub struct Fleet {
    pub runners: Vec<Runner>,
    service: String,
    began: Instant,
    /// Steps of the jobs that were submitted.
    pub steps: BTreeMap<String, Vec<Step>>,
    /// Machines and largest number of each wave.
    pub waves: BTreeMap<u64, (Vec<String>, u64)>,
    /// Tasks that last: since when they are not at work, and whether an order ended them.
    away: BTreeMap<String, (u64, bool)>,
    /// The next start has no answer and is carried out after this time.
    pub late_start: Option<Duration>,
    /// One of so many starts, on average, has no answer and is carried out 4 s late, if its runner is in
    /// another zone than the owner; 0 for none.
    pub late_every: u64,
    /// Starts since the last one of these.
    starts_since: u64,
    /// Starts that had no answer, and all starts, while `late_every` was set.
    pub late_count: (u64, u64),
    /// Runner that such a start was sent to.
    pub late_runner: Option<usize>,
    /// Tasks of which a run has ended `done`, and whether that end was taken note of.
    done: BTreeMap<String, bool>,
    /// What the judge has seen.
    pub breaches: Vec<String>,
    /// Longest time at which nothing of a job ran, by job.
    pub idle: BTreeMap<String, Idle>,
    /// Runs that ended in each way.
    pub ends: BTreeMap<&'static str, u64>,
    check_in_delay: u64,
}

#[derive(Debug, Clone, Default)]
pub struct Idle {
    pub since: Option<u64>,
    pub longest: u64,
    pub is_over: bool,
}

pub struct World {
    pub fleet: Mutex<Fleet>,
    pub changed: Condvar,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    notice_ms: u64,
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Runner {
    fn clock(&self) -> u64 {
        self.clock_start + self.started.elapsed().as_millis() as u64
    }

    fn entry(&self, service: &str) -> Json {
        map! {
            "service": service, "address": self.address.to_string(), "zone": self.zone.as_str(),
            "version": "v1", "slots": 8u64, "state": "ready", "coldRemainingMs": 0u64,
            "capacity": map! { "cpu": 16_000u64, "memMb": 64_000u64, "gpu": 0u64 },
            "labels": vec![Json::from(self.kind), Json::from(self.rack.as_str())],
            "machine": self.machine.as_str(), "born": self.born, "clockMs": self.clock(),
            "sequence": self.sequence,
        }
    }

    /// Begins a new life, under a new id.
    fn reset(&mut self) {
        if !std::mem::take(&mut self.keeps_id) {
            self.life += 1;
            self.id = format!("{}-{}", self.name, self.life);
        }
        self.born = wall_ms();
        self.clock_start = 1_000;
        self.started = Instant::now();
        self.fence = 0;
        self.lease_end = 0;
        self.runs.clear();
        self.ends.clear();
        self.last_end = 0;
        self.highest.clear();
        self.sequence = 0;
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.last_end += 1;
        self.ends.push((self.last_end, task.to_owned(), run.run, how));
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = run.run.max(*highest);
        Some(run)
    }
}

fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}

impl Fleet {
    pub fn new(service: &str, check_in_delay: u64) -> Fleet {
        Fleet {
            runners: Vec::new(),
            service: service.to_owned(),
            began: Instant::now(),
            steps: BTreeMap::new(),
            waves: BTreeMap::new(),
            away: BTreeMap::new(),
            late_start: None,
            late_every: 0,
            starts_since: 0,
            late_count: (0, 0),
            late_runner: None,
            done: BTreeMap::new(),
            breaches: Vec::new(),
            idle: BTreeMap::new(),
            ends: BTreeMap::new(),
            check_in_delay,
        }
    }

    pub fn add(
        &mut self,
        number: usize,
        kind: &'static str,
        rack: &str,
        zone: &str,
        address: SocketAddr,
    ) {
        self.runners.push(Runner {
            name: format!("i-{number:04x}"),
            life: 1,
            keeps_id: false,
            id: format!("i-{number:04x}-1"),
            machine: format!("m-{number:04x}"),
            kind,
            rack: rack.to_owned(),
            zone: zone.to_owned(),
            address,
            born: wall_ms() - 10_000,
            clock_start: 100_000 + 7_000 * number as u64,
            started: Instant::now(),
            fence: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            highest: BTreeMap::new(),
            sequence: 0,
            next_check_in: 40 * number as u64,
            expires: 0,
            is_entered: false,
            is_held_up: false,
            held_at: None,
            one_way: Duration::ZERO,
            down_until: None,
            is_crashed: false,
            upkeep_fence: 0,
            upkeep_done: Vec::new(),
        });
    }

    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Returns the time by which a start to a runner that has just arrived is to be late.
    fn take_late(&mut self, index: usize) -> Option<Duration> {
        if self.late_every == 0 {
            return self.late_start.take();
        }
        self.starts_since += 1;
        self.late_count.1 += 1;
        if self.starts_since < self.late_every || self.runners[index].one_way.is_zero() {
            return None;
        }
        self.starts_since -= self.late_every;
        self.late_count.0 += 1;
        Some(Duration::from_secs(4))
    }

    /// Delays what is sent between the runners of other zones and the instances of a zone.
    pub fn set_one_way(&mut self, zone: &str, one_way: Duration) {
        for runner in self.runners.iter_mut().filter(|runner| runner.zone != zone) {
            runner.one_way = one_way;
        }
    }

    /// Returns `true` if a runner has last checked in about an interval ago.
    pub fn is_check_in_near(&self, index: usize) -> bool {
        let left = self.runners[index].next_check_in.saturating_sub(self.now());
        left < 150
    }

    /// Returns `true` if a call of `/hold` has just arrived at a runner.
    pub fn is_hold_recent(&self, index: usize) -> bool {
        self.runners[index].held_at.is_some_and(|at| at.elapsed() < Duration::from_millis(60))
    }

    /// Returns the number of tasks that last and are at work.
    pub fn at_work(&self) -> usize {
        let runs = self.runners.iter().flat_map(|runner| runner.runs.values());
        runs.filter(|run| run.is_at_work()).count()
    }

    /// Notes that a run has ended. An order may not end a task that lasts and is at work while as many
    /// others of its step are away as may be.
    fn note_end(&mut self, task: &str, run: &Run, how: &'static str, notice_ms: u64) {
        *self.ends.entry(how).or_default() += 1;
        if how == "done" {
            self.done.insert(task.to_owned(), false);
        }
        let runs = self.runners.iter().filter_map(|runner| runner.runs.get(task));
        if run.step.work_ms != 0 || runs.into_iter().any(Run::is_at_work) {
            // A task whose copy is at work is not away.
            return;
        }
        let now = self.now();
        let by_order = how == "stopped" || how == "upkeep";
        if by_order
            && run.is_at_work()
            && let Some(max) = run.step.unavailable_max
        {
            let step = step_of(task);
            let others = self.away.iter().filter(|(other, (since, ordered))| {
                step_of(other) == step
                    && other.as_str() != task
                    && (*ordered || now - since >= notice_ms)
            });
            let others: Vec<&str> = others.map(|(other, _)| other.as_str()).collect();
            if others.len() as u64 >= max {
                let line = format!(
                    "AVAIL: {task} run {} ended by {how} at work while {others:?} are away, maxUnavailable {max}",
                    run.run
                );
                self.breaches.push(line);
            }
        }
        let ordered = by_order && run.is_at_work();
        let known = self.away.entry(task.to_owned()).or_insert((now, ordered));
        known.1 |= ordered;
    }
}

impl World {
    pub fn new(fleet: Fleet, store: Arc<Store>, record: Arc<Record>, notice_ms: u64) -> Arc<World> {
        let fleet = Mutex::new(fleet);
        Arc::new(World { fleet, changed: Condvar::new(), store, record, notice_ms })
    }

    pub fn start(self: &Arc<Self>) {
        let world = self.clone();
        std::thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                std::thread::sleep(TICK);
                let now = Instant::now();
                world.advance((now - last).as_secs_f64() * 1_000.0);
                last = now;
            }
        });
    }

    fn advance(&self, passed_ms: f64) {
        let is_down = self.store.is_down();
        let mut guard = self.fleet.lock().unwrap();
        let fleet = &mut *guard;
        let now = fleet.now();
        self.check_in(fleet, now, is_down);
        // Members of each gang that are present, by step and run.
        let mut present: BTreeMap<(String, u64), u64> = BTreeMap::new();
        for runner in &fleet.runners {
            for (task, run) in &runner.runs {
                if run.step.is_gang {
                    *present.entry((step_of(task).to_owned(), run.run)).or_default() += 1;
                }
            }
        }
        let mut ended: Vec<(usize, String, &'static str)> = Vec::new();
        for (index, runner) in fleet.runners.iter_mut().enumerate() {
            let clock = runner.clock();
            let lapses = !runner.runs.is_empty() && clock >= runner.lease_end;
            for (task, run) in &mut runner.runs {
                let members = present.get(&(step_of(task).to_owned(), run.run)).copied();
                if run.step.is_gang && !run.is_together {
                    run.is_together = members == Some(run.step.count);
                }
                if !run.step.is_gang || run.is_together {
                    run.done_ms += passed_ms * run.speed as f64 / 100.0;
                }
                let is_done = run.step.work_ms > 0 && run.done_ms >= run.step.work_ms as f64;
                let is_broken = run.is_together && members.is_some_and(|m| m < run.step.count);
                let is_alone =
                    run.step.is_gang && !run.is_together && clock >= run.started + GANG_MS;
                let how = if lapses {
                    "lapsed"
                } else if is_done {
                    "done"
                } else if run.stop_at.is_some_and(|at| clock >= at) {
                    "stopped"
                } else if is_broken {
                    "broken"
                } else if is_alone {
                    "alone"
                } else {
                    continue;
                };
                ended.push((index, task.clone(), how));
            }
        }
        let is_changed = !ended.is_empty();
        for (index, task, how) in ended {
            let runner = &mut fleet.runners[index];
            let id = runner.id.clone();
            let Some(run) = runner.end(&task, how) else { continue };
            self.record.line(format!(
                "runner {id}: {task} run {} ended {how} at {}%",
                run.run,
                run.percent()
            ));
            fleet.note_end(&task, &run, how, self.notice_ms);
        }
        let mut at_work: Vec<&str> = Vec::new();
        for runner in &fleet.runners {
            at_work.extend(
                runner
                    .runs
                    .iter()
                    .filter(|(_, run)| run.is_at_work())
                    .map(|(task, _)| task.as_str()),
            );
        }
        fleet.away.retain(|task, _| !at_work.contains(&task.as_str()));
        // A job idles while none of its tasks runs.
        for (job, idle) in &mut fleet.idle {
            let runs = |runner: &Runner| runner.runs.keys().any(|task| job_of(task) == job);
            if idle.is_over || fleet.runners.iter().any(runs) {
                if let Some(since) = idle.since.take().filter(|_| !idle.is_over) {
                    self.record.line(format!("job {job}: nothing ran for {} ms", now - since));
                }
                continue;
            }
            let since = *idle.since.get_or_insert(now);
            idle.longest = idle.longest.max(now - since);
        }
        if is_changed {
            self.changed.notify_all();
        }
    }

    /// Registers the runners. Entries run out also while the store is down.
    fn check_in(&self, fleet: &mut Fleet, now: u64, is_down: bool) {
        let service = fleet.service.clone();
        let delay = fleet.check_in_delay;
        for runner in &mut fleet.runners {
            if let Some(until) = runner.down_until {
                // A runner that has left has no entry.
                if !runner.is_crashed && std::mem::take(&mut runner.is_entered) {
                    self.store.remove(&format!("servers/{}", runner.id));
                    self.record.line(format!("store: entry of {} removed", runner.id));
                }
                if now >= until {
                    runner.down_until = None;
                    runner.is_crashed = false;
                    runner.is_entered = false;
                    runner.reset();
                    runner.next_check_in = now;
                    self.record
                        .line(format!("runner {}: up again, born {}", runner.id, runner.born));
                }
            }
            let key = format!("servers/{}", runner.id);
            if runner.down_until.is_none() && now >= runner.next_check_in {
                if is_down {
                    // The check-in is left without an answer until the store is back, and a pause follows.
                    runner.next_check_in = now + 5;
                    runner.is_held_up = true;
                } else if std::mem::take(&mut runner.is_held_up) {
                    runner.next_check_in = now + delay;
                } else {
                    runner.next_check_in = now + HEARTBEAT_MS;
                    runner.sequence += 1;
                    runner.expires = now + EXPIRY_MS;
                    let is_new = !std::mem::replace(&mut runner.is_entered, true);
                    if is_new {
                        self.store.write(&key, &runner.entry(&service).to_string());
                        self.record.line(format!("store: entry of {} written", runner.id));
                    }
                }
            }
            if runner.is_entered && now >= runner.expires {
                runner.is_entered = false;
                self.store.remove(&key);
                self.record.line(format!("store: entry of {} removed", runner.id));
            }
        }
    }

    pub fn handler(self: &Arc<Self>, index: usize) -> Handler {
        let world = self.clone();
        Arc::new(move |request| {
            let one_way = world.fleet.lock().unwrap().runners[index].one_way;
            std::thread::sleep(one_way);
            if request.path == "/run-start" {
                let delay = world.fleet.lock().unwrap().take_late(index);
                if let Some(delay) = delay {
                    world.fleet.lock().unwrap().late_runner = Some(index);
                    world.record.line(format!(
                        "runner {index}: a start is to be carried out {delay:?} later"
                    ));
                    let world = world.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(delay);
                        let _ = world.order(index, &request);
                    });
                    return Reply::Silent;
                }
            }
            let reply = world.order(index, &request);
            std::thread::sleep(one_way);
            reply
        })
    }

    fn order(&self, index: usize, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut guard = self.fleet.lock().unwrap();
        let fleet = &mut *guard;
        let runner = &mut fleet.runners[index];
        if runner.is_crashed {
            return Reply::Silent;
        }
        if runner.down_until.is_some() {
            return Reply::Close;
        }
        let clock = runner.clock();
        let answer = |status: u16, reason: &str| {
            let body = if reason.is_empty() {
                map! { "clockMs": clock }
            } else {
                map! { "clockMs": clock, "reason": reason }
            };
            Reply::Answer(status, body.to_string())
        };
        let expected = request.header("Knapweedgap-Expected-Instance");
        if !expected.is_empty() && expected != runner.id {
            return answer(421, "");
        }
        let fence = body.get("fencingToken").number();
        if fence < runner.fence {
            return answer(409, "fence");
        }
        runner.fence = fence;
        let deadline = match body.get("deadlineMs") {
            Json::Num(deadline) => Some((*deadline as u64).min(clock + LEASE_MAX_MS)),
            _ => None,
        };
        let task = body.get("task").text().to_owned();
        let number = body.get("run").number();
        match request.path.as_str() {
            "/run-start" => {
                if deadline.is_none_or(|deadline| deadline <= clock) {
                    return answer(409, "late");
                }
                runner.lease_end = runner.lease_end.max(deadline.unwrap_or(0));
                if let Some(known) = runner.runs.get(&task) {
                    let is_same = known.run == number && known.stop_at.is_none();
                    return if is_same { answer(200, "") } else { answer(409, "old") };
                }
                if runner.highest.get(&task).is_some_and(|highest| number <= *highest) {
                    return answer(409, "old");
                }
                let position = task.split('.').nth(2).and_then(|step| step.parse::<usize>().ok());
                let steps = fleet.steps.get(job_of(&task));
                let step = steps.and_then(|steps| steps.get(position.unwrap_or(0)).cloned());
                let Some(step) = step else { return answer(400, "") };
                let run = Run {
                    run: number,
                    step,
                    done_ms: 0.0,
                    is_together: false,
                    started: clock,
                    speed: 100,
                    stop_at: None,
                };
                self.record.line(format!(
                    "runner {}: {task} run {number} started, fence {fence}",
                    runner.id
                ));
                if fleet.done.get(&task) == Some(&true) {
                    let line = format!(
                        "TWICE: {task} run {number} starts on {} after a run has ended done",
                        runner.id
                    );
                    fleet.breaches.push(line);
                }
                runner.runs.insert(task, run);
                answer(200, "")
            }
            "/run-stop" => {
                self.record
                    .line(format!("runner {}: {task} run {number} asked to stop", runner.id));
                let highest = runner.highest.entry(task.clone()).or_default();
                *highest = number.max(*highest);
                if let Some(run) = runner.runs.get_mut(&task).filter(|run| run.run <= number) {
                    run.stop_at.get_or_insert(clock + STOP_MS / 2);
                }
                answer(200, "")
            }
            "/pace" => {
                if let Some(run) = runner.runs.get_mut(&task).filter(|run| run.run == number) {
                    run.speed = body.get("percent").number();
                }
                answer(200, "")
            }
            "/hold" => {
                runner.held_at = Some(Instant::now());
                runner.lease_end = runner.lease_end.max(deadline.unwrap_or(0));
                let seen = body.get("lastSeen").number();
                let is_held = clock < runner.lease_end;
                for (_, task, ..) in
                    runner.ends.iter().filter(|end| end.0 <= seen && end.3 == "done")
                {
                    if is_held && let Some(is_noted) = fleet.done.get_mut(task) {
                        *is_noted = true;
                    }
                }
                runner.ends.retain(|end| end.0 > seen);
                let born = runner.born;
                let wait = body.get("waitMs").number().min(2_000);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let runner = &guard.runners[index];
                    if runner.is_crashed {
                        return Reply::Silent;
                    }
                    if runner.down_until.is_some() || runner.born != born {
                        return Reply::Close;
                    }
                    let left = end.saturating_duration_since(Instant::now());
                    if !runner.ends.is_empty() || left.is_zero() {
                        return Reply::Answer(200, report(runner).to_string());
                    }
                    guard = self.changed.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => answer(404, ""),
        }
    }

    pub fn cloud(self: &Arc<Self>) -> Handler {
        let world = self.clone();
        Arc::new(move |request| world.machines(&request))
    }

    /// Ends a runner and all that it runs. It is silent, and starts again under its id after some time.
    pub fn crash(&self, index: usize, time_ms: u64) {
        let mut guard = self.fleet.lock().unwrap();
        let fleet = &mut *guard;
        let now = fleet.now();
        let runner = &mut fleet.runners[index];
        if runner.down_until.is_some() {
            return;
        }
        runner.down_until = Some(now + time_ms);
        runner.is_crashed = true;
        runner.keeps_id = true;
        self.record.line(format!("runner {}: crashed for {time_ms} ms", runner.id));
        let tasks: Vec<String> = runner.runs.keys().cloned().collect();
        let mut ended = Vec::new();
        for task in tasks {
            let run = runner.end(&task, "crash");
            ended.extend(run.map(|run| (task, run)));
        }
        for (task, run) in ended {
            fleet.note_end(&task, &run, "crash", self.notice_ms);
        }
        self.changed.notify_all();
    }

    fn machines(&self, request: &Request) -> Reply {
        let mut guard = self.fleet.lock().unwrap();
        let fleet = &mut *guard;
        if request.path == "/machines" {
            let service = fleet.service.clone();
            let machine = |runner: &Runner| {
                let is_up = runner.down_until.is_none();
                let mut row = vec![
                    ("machine".to_owned(), Json::from(runner.machine.as_str())),
                    ("pool".to_owned(), service.as_str().into()),
                    (
                        "state".to_owned(),
                        if is_up {
                            "up"
                        } else if runner.is_crashed {
                            "down"
                        } else {
                            "upkeep"
                        }
                        .into(),
                    ),
                    ("zone".to_owned(), runner.zone.as_str().into()),
                    (
                        "labels".to_owned(),
                        vec![Json::from(runner.kind), Json::from(runner.rack.as_str())].into(),
                    ),
                    (
                        "capacity".to_owned(),
                        map! { "cpu": 16_000u64, "memMb": 64_000u64, "gpu": 0u64 },
                    ),
                ];
                if is_up {
                    row.push(("id".to_owned(), runner.id.as_str().into()));
                }
                Json::Map(row)
            };
            let machines: Vec<Json> = fleet.runners.iter().map(machine).collect();
            return Reply::Answer(
                200,
                map! { "machines": machines, "nextToken": Json::Null }.to_string(),
            );
        }
        if request.path != "/machine-upkeep" {
            return Reply::Answer(404, "{}".to_owned());
        }
        let refuse = |reason: &str| Reply::Answer(409, map! { "reason": reason }.to_string());
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let wave = body.get("wave").number();
        let name = body.get("machine").text();
        let holder = request.header("Knapweedgap-Duty-Holder").to_owned();
        let fence: u64 = request.header("Knapweedgap-Fencing-Token").parse().unwrap_or(0);
        let now = fleet.now();
        let Some((machines, max)) = fleet.waves.get(&wave).cloned() else { return refuse("wave") };
        let down = fleet.runners.iter().filter(|runner| {
            runner.down_until.is_some() && !runner.is_crashed && machines.contains(&runner.machine)
        });
        let down = down.count() as u64;
        let index = fleet.runners.iter().position(|runner| runner.machine == name);
        let Some(index) = index else { return Reply::Answer(400, "{}".to_owned()) };
        let runner = &mut fleet.runners[index];
        if fence < runner.upkeep_fence {
            return refuse("fence");
        }
        runner.upkeep_fence = fence;
        if !machines.iter().any(|machine| machine == name) {
            return refuse("wave");
        }
        if runner.upkeep_done.contains(&wave) {
            return Reply::Answer(200, "{}".to_owned());
        }
        if runner.down_until.is_some() {
            return refuse("busy");
        }
        runner.upkeep_done.push(wave);
        let tasks: Vec<String> = runner.runs.keys().cloned().collect();
        let mut ended = Vec::new();
        for task in tasks {
            let run = runner.end(&task, "upkeep");
            ended.extend(run.map(|run| (task, run)));
        }
        runner.down_until = Some(now + UPKEEP_MS);
        self.record.line(format!(
            "cloud: upkeep of {name} begins, asked by {holder} with fence {fence}, ends {:?}",
            ended.iter().map(|(task, _)| task.as_str()).collect::<Vec<_>>()
        ));
        for (task, run) in ended {
            fleet.note_end(&task, &run, "upkeep", self.notice_ms);
        }
        if down >= max {
            fleet.breaches.push(format!(
                "LIMIT: upkeep of {name} begins while {down} of wave {wave} are down"
            ));
        }
        self.changed.notify_all();
        Reply::Answer(200, "{}".to_owned())
    }
}

fn report(runner: &Runner) -> Json {
    let running = runner.runs.iter().map(|(task, run)| {
        Json::List(vec![
            task.as_str().into(),
            run.run.into(),
            "".into(),
            run.percent().into(),
            0u64.into(),
        ])
    });
    let finished = runner.ends.iter().take(500).map(|(number, task, run, how)| {
        Json::List(vec![
            (*number).into(),
            task.as_str().into(),
            (*run).into(),
            (*how).into(),
            "".into(),
        ])
    });
    map! {
        "born": runner.born, "clockMs": runner.clock(),
        "running": running.collect::<Vec<_>>(), "finished": finished.collect::<Vec<_>>(),
    }
}
