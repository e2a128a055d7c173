//! Stand-in of a runner: it runs tasks under a lease on its own clock.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use crate::advice::{ADVISED, Advice};
use crate::http::{self, Reply, Request};
use crate::json::{Json, map, num, text};
use crate::record::Record;
use crate::store::Store;

/// Time between two check-ins.
const CHECK_IN: Duration = Duration::from_millis(1_000);
/// Beginning of the text of jobs whose tasks last.
const LASTING: &str = "watch";
/// Beginning of the text of jobs whose tasks are a gang; their number follows.
const GANG: &str = "gang:";
/// Beginning of the text of jobs with a run time of their own, in milliseconds.
const SHORT: &str = "run:";
/// Longest wait of a member of a gang for the others.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Startup of a task that lasts.
const STARTUP: Duration = Duration::from_millis(300);

struct Run {
    task: String,
    run: u64,
    started: Instant,
    /// `None` for a task that lasts, and for a member of a gang.
    ends_at: Option<Instant>,
    /// Step and run of a gang.
    gang: Option<(String, u64)>,
}

/// One run of a gang, on all runners.
pub struct Gang {
    size: usize,
    present: HashSet<String>,
    /// When all members were present.
    begun: Option<Instant>,
    ended: Option<&'static str>,
}

/// Gangs by step and run.
pub type Gangs = Arc<Mutex<HashMap<(String, u64), Gang>>>;

/// One life of the runner. It knows nothing of the one before.
struct Life {
    born: u64,
    started: Instant,
    fence: u64,
    /// End of the lease, on the clock of the runner, in milliseconds.
    lease_end: u64,
    running: Vec<Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    highest: HashMap<String, u64>,
    /// The runner has crashed and does not respond.
    is_down: bool,
}

impl Life {
    fn new() -> Life {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Life {
            born: born.as_millis() as u64,
            started: Instant::now(),
            fence: 0,
            lease_end: 0,
            running: Vec::new(),
            finished: Vec::new(),
            last_end: 0,
            highest: HashMap::new(),
            is_down: false,
        }
    }

    /// Time on the clock of the runner, in milliseconds.
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Start that is carried out late.
pub struct Held {
    pub runner: usize,
    body: Json,
    pub at: Instant,
}

/// Holds the first start whose text is this one.
pub type Holder = Arc<Mutex<(Option<String>, Option<Held>)>>;

pub struct Runner {
    pub id: String,
    number: usize,
    pub address: SocketAddr,
    rack: String,
    service: String,
    zone: String,
    run_time: Duration,
    max_hold: u64,
    life: Mutex<Life>,
    record: Arc<Record>,
    advice: Arc<Advice>,
    holder: Holder,
    gangs: Gangs,
}

pub struct Settings<'a> {
    pub number: usize,
    pub ip: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub rack: &'a str,
    pub run_time: Duration,
    pub max_hold: u64,
    pub holder: Holder,
    pub gangs: Gangs,
}

impl Runner {
    pub fn start(
        settings: &Settings<'_>,
        store: Arc<Store>,
        advice: Arc<Advice>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Runner>> {
        let listener = TcpListener::bind((settings.ip, 0))?;
        let runner = Arc::new(Runner {
            id: format!("i-{:08x}", settings.number),
            number: settings.number,
            address: listener.local_addr()?,
            rack: settings.rack.to_owned(),
            service: settings.service.to_owned(),
            zone: settings.zone.to_owned(),
            run_time: settings.run_time,
            max_hold: settings.max_hold,
            life: Mutex::new(Life::new()),
            record,
            advice,
            holder: settings.holder.clone(),
            gangs: settings.gangs.clone(),
        });
        let serving = runner.clone();
        http::serve(listener, Arc::new(move |request| serving.answer(&request)));
        let working = runner.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                working.work();
            }
        });
        let listed = runner.clone();
        std::thread::spawn(move || {
            let mut sequence = 0;
            let mut checked_in = (0, Instant::now());
            loop {
                let (is_down, born) = {
                    let life = listed.life();
                    (life.is_down, life.born)
                };
                let is_due = checked_in.0 != born || checked_in.1.elapsed() >= CHECK_IN;
                if !is_down && is_due {
                    sequence = if checked_in.0 == born { sequence + 1 } else { 1 };
                    checked_in = (born, Instant::now());
                    store.put(&format!("servers/{}", listed.id), &listed.entry(sequence));
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        Ok(runner)
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap()
    }

    /// The runner crashes and does not respond.
    pub fn crash(&self) {
        let mut life = self.life();
        life.is_down = true;
        for run in std::mem::take(&mut life.running) {
            self.gang_breaks(&run);
        }
        self.record.line(&format!("runner {}: crashes (dark)", self.id));
    }

    /// The runner starts again under its id.
    pub fn restart(&self) {
        *self.life() = Life::new();
        self.record.line(&format!("runner {}: starts again under its id", self.id));
    }

    pub fn is_down(&self) -> bool {
        self.life().is_down
    }

    /// Carries out a start that was held.
    pub fn carry_out(&self, held: &Held) {
        self.record.line(&format!(
            "runner {}: the start that had no answer arrives, {} ms late",
            self.id,
            held.at.elapsed().as_millis()
        ));
        if let Reply::Json(status, body) = self.order("/run-start", &held.body) {
            self.record.line(&format!("runner {}: its answer would be {status} {body}", self.id));
        }
    }

    fn entry(&self, sequence: u64) -> String {
        let life = self.life();
        let capacity = vec![("cpu", num(16_000)), ("memMb", num(62_500)), ("gpu", num(0))];
        let labels = vec![text("a"), text(self.rack.clone())];
        map(vec![
            ("service", text(self.service.clone())),
            ("address", text(self.address.to_string())),
            ("zone", text(self.zone.clone())),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("coldRemainingMs", num(0)),
            ("capacity", map(capacity)),
            ("labels", Json::List(labels)),
            ("machine", text(format!("m-{}", self.id))),
            ("born", num(life.born)),
            ("clockMs", num(life.clock())),
            ("sequence", num(sequence)),
        ])
        .to_string()
    }

    /// Ends the runs whose time has come, and all of them when the lease has expired.
    fn work(&self) {
        let now = Instant::now();
        let mut life = self.life();
        let has_lapsed = life.clock() >= life.lease_end;
        let runs = std::mem::take(&mut life.running);
        for run in runs {
            if let Some(how) = self.gang_end(&run) {
                self.end(&mut life, run, how);
            } else if run.ends_at.is_some_and(|at| now >= at) {
                self.end(&mut life, run, "done");
            } else if has_lapsed {
                self.gang_breaks(&run);
                self.end(&mut life, run, "lapsed");
            } else {
                life.running.push(run);
            }
        }
    }

    /// Returns how the run of a gang ends now; `None` if it goes on.
    fn gang_end(&self, run: &Run) -> Option<&'static str> {
        let mut gangs = self.gangs.lock().unwrap();
        let gang = gangs.get_mut(run.gang.as_ref()?)?;
        if gang.ended.is_none() {
            if gang.begun.is_none() && gang.present.len() == gang.size {
                gang.begun = Some(Instant::now());
            }
            match gang.begun {
                Some(at) if at.elapsed() >= self.run_time => gang.ended = Some("done"),
                None if run.started.elapsed() >= GANG_TIMEOUT => {
                    gang.ended = Some("broken");
                    return Some("alone");
                }
                _ => {}
            }
        }
        gang.ended
    }

    /// A member of a gang ends before the others.
    fn gang_breaks(&self, run: &Run) {
        let Some(key) = &run.gang else { return };
        if let Some(gang) = self.gangs.lock().unwrap().get_mut(key) {
            gang.ended.get_or_insert("broken");
        }
    }

    fn end(&self, life: &mut Life, run: Run, how: &'static str) {
        self.record.line(&format!("runner {}: {} run {} ends {how}", self.id, run.task, run.run));
        life.last_end += 1;
        let highest = life.highest.entry(run.task.clone()).or_default();
        *highest = (*highest).max(run.run);
        let number = life.last_end;
        life.finished.push((number, run.task, run.run, how));
    }

    fn answer(&self, request: &Request) -> Reply {
        if self.life().is_down {
            return Reply::Silence;
        }
        if request.path == "/health" {
            return Reply::Json(200, "{}".to_owned());
        }
        let expected = request.headers.get("knapweedgap-expected-instance");
        if expected.is_some_and(|expected| *expected != self.id) {
            return Reply::Json(421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Json(400, "{}".to_owned());
        };
        if request.path == "/run-start" {
            let mut holder = self.holder.lock().unwrap();
            if holder.0.as_deref() == Some(body.get("spec").str()) {
                holder.0 = None;
                self.record.line(&format!(
                    "runner {}: start of {} run {} is left unanswered, and carried out late",
                    self.id,
                    body.get("task").str(),
                    body.get("run").u64()
                ));
                holder.1 = Some(Held { runner: self.number, body, at: Instant::now() });
                return Reply::Silence;
            }
        }
        let born = self.life().born;
        let reply = self.order(&request.path, &body);
        // A process that has crashed meanwhile gives no answer.
        let life = self.life();
        if life.is_down || life.born != born { Reply::Silence } else { reply }
    }

    /// Carries out a call.
    fn order(&self, path: &str, body: &Json) -> Reply {
        let fence = body.get("fencingToken").u64();
        {
            let mut life = self.life();
            if fence < life.fence {
                return refuse(&life, "fence");
            }
            life.fence = fence;
        }
        match path {
            "/run-start" => self.start_run(body),
            "/run-stop" => self.stop_run(body),
            "/hold" => self.hold(body),
            "/pace" => clock_only(&self.life(), 200),
            _ => Reply::Json(404, "{}".to_owned()),
        }
    }

    fn extend(&self, life: &mut Life, deadline: u64) {
        life.lease_end = life.lease_end.max(deadline.min(life.clock() + self.max_hold));
    }

    fn start_run(&self, body: &Json) -> Reply {
        let (task, run) = (body.get("task").str().to_owned(), body.get("run").u64());
        let deadline = body.get("deadlineMs").u64();
        let mut life = self.life();
        if deadline <= life.clock() {
            return refuse(&life, "late");
        }
        self.extend(&mut life, deadline);
        if life.running.iter().any(|known| known.task == task && known.run == run) {
            return clock_only(&life, 200);
        }
        if life.highest.get(&task).is_some_and(|highest| run <= *highest) {
            return refuse(&life, "old");
        }
        // Only a valid ticket lets a task of such a queue start.
        if body.get("spec").str().starts_with(ADVISED) {
            let step = task.rsplit_once('.').map_or("", |(step, _)| step);
            let ticket = body.get("ticket").str();
            if !self.advice.is_valid(step, &self.id, ticket) {
                // The first ones stand for the others.
                if self.advice.reject() <= 20 {
                    self.record.line(&format!(
                        "runner {}: {task} run {run} rejected (409, ticket), ticket={ticket:?}",
                        self.id
                    ));
                }
                return refuse(&life, "ticket");
            }
        }
        self.record.line(&format!("runner {}: {task} run {run} starts", self.id));
        let started = Instant::now();
        let lasts = body.get("spec").str().starts_with(LASTING);
        let size = body.get("spec").str().strip_prefix(GANG).and_then(|it| it.parse().ok());
        let gang = size.map(|size: usize| {
            let key = (task.rsplit_once('.').map_or("", |(step, _)| step).to_owned(), run);
            let mut gangs = self.gangs.lock().unwrap();
            let new = Gang { size, present: HashSet::new(), begun: None, ended: None };
            gangs.entry(key.clone()).or_insert(new).present.insert(task.clone());
            key
        });
        let short = body.get("spec").str().strip_prefix(SHORT).and_then(|it| it.parse().ok());
        let run_time = short.map_or(self.run_time, Duration::from_millis);
        let ends_at = (!lasts && gang.is_none()).then(|| started + run_time);
        life.running.push(Run { task, run, started, ends_at, gang });
        clock_only(&life, 200)
    }

    fn stop_run(&self, body: &Json) -> Reply {
        let (task, run) = (body.get("task").str().to_owned(), body.get("run").u64());
        let mut life = self.life();
        let highest = life.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
        let found = life.running.iter().position(|known| known.task == task && known.run <= run);
        if let Some(found) = found {
            let stopped = life.running.remove(found);
            self.gang_breaks(&stopped);
            self.end(&mut life, stopped, "stopped");
        }
        clock_only(&life, 200)
    }

    fn hold(&self, body: &Json) -> Reply {
        let wait = Duration::from_millis(body.get("waitMs").u64().min(2_000));
        let end = Instant::now() + wait;
        let mut life = self.life();
        if body.get("deadlineMs").is_number() {
            self.extend(&mut life, body.get("deadlineMs").u64());
        }
        let seen = body.get("lastSeen").u64();
        for (number, task, run, how) in &life.finished {
            if *number <= seen {
                self.record.line(&format!(
                    "runner {}: the end {how} of {task} run {run} is taken note of",
                    self.id
                ));
            }
        }
        life.finished.retain(|(number, ..)| *number > seen);
        while life.finished.is_empty() && Instant::now() < end {
            drop(life);
            std::thread::sleep(Duration::from_millis(5));
            life = self.life();
        }
        let running = life.running.iter().map(|run| {
            let percent = self.percent(run);
            Json::List(vec![text(run.task.clone()), num(run.run), text(""), num(percent), num(500)])
        });
        let running = Json::List(running.collect());
        let finished = life.finished.iter().take(500).map(|(number, task, run, how)| {
            Json::List(vec![num(*number), text(task.clone()), num(*run), text(*how), text("")])
        });
        let finished = Json::List(finished.collect());
        let fields = vec![
            ("born", num(life.born)),
            ("clockMs", num(life.clock())),
            ("running", running),
            ("finished", finished),
        ];
        Reply::Json(200, map(fields).to_string())
    }

    /// Returns how many ends of runs of a job are listed and not taken note of.
    pub fn listed_ends(&self, job: &str) -> usize {
        self.life().finished.iter().filter(|(_, task, ..)| task.starts_with(job)).count()
    }

    /// Returns how many runs of a job go on.
    pub fn running(&self, job: &str) -> usize {
        self.life().running.iter().filter(|run| run.task.starts_with(job)).count()
    }

    /// Returns the progress of a run. A task that lasts is at work after a short startup.
    fn percent(&self, run: &Run) -> u64 {
        let (elapsed, time, most) = match &run.gang {
            Some(key) => {
                let begun = self.gangs.lock().unwrap().get(key).and_then(|gang| gang.begun);
                (begun.map_or(Duration::ZERO, |at| at.elapsed()), self.run_time, 99.0)
            }
            None if run.ends_at.is_none() => (run.started.elapsed(), STARTUP, 100.0),
            None => (run.started.elapsed(), self.run_time, 99.0),
        };
        (100.0 * elapsed.as_secs_f64() / time.as_secs_f64()).clamp(0.0, most) as u64
    }
}

fn clock_only(life: &Life, status: u16) -> Reply {
    Reply::Json(status, map(vec![("clockMs", num(life.clock()))]).to_string())
}

fn refuse(life: &Life, reason: &str) -> Reply {
    let fields = vec![("clockMs", num(life.clock())), ("reason", text(reason))];
    Reply::Json(409, map(fields).to_string())
}
