//! A runner, as PROTOCOL.md describes it. Its tasks do what the payload of their job says: `done=MS` or
//! `failed=MS`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Answer, Request};
use crate::json::{Json, quote};
use crate::record::Record;

pub const LEASE_MAX_MS: u64 = 10_000;

struct Run {
    run: u32,
    start_ms: u64,
    end_ms: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u32, &'static str)>,
    /// Highest run that was stopped or ended here.
    highest: BTreeMap<String, u32>,
    last_number: u64,
    taken_note: u64,
}

/// One life of a runner.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub born_ms: u64,
    rack: &'static str,
    started: Instant,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
    /// The runner refuses all starts as unhealthy, while its status is good.
    pub sheds: AtomicBool,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Runner {
    pub fn new(
        id: &str,
        address: SocketAddr,
        rack: &'static str,
        record: Arc<Record>,
    ) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            address,
            born_ms: unix_ms(),
            rack,
            started: Instant::now(),
            record,
            state: Mutex::default(),
            changed: Condvar::new(),
            sheds: AtomicBool::new(false),
        });
        let ticking = Arc::downgrade(&runner);
        std::thread::spawn(move || {
            while let Some(runner) = ticking.upgrade() {
                runner.tick();
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        runner
    }

    /// Serves the runner that `current` holds at the time of each call. While it is empty, the machine has
    /// no power: calls get no answer.
    pub fn serve(listener: TcpListener, current: Arc<Mutex<Option<Arc<Runner>>>>) {
        http::serve(listener, move |request| {
            let runner = current.lock().unwrap().clone();
            if runner.is_none() {
                std::thread::sleep(Duration::from_secs(30));
            }
            runner?.handle(&request)
        });
    }

    /// Entry in the store.
    pub fn entry(&self, service: &str, sequence: u64, draining: bool) -> String {
        let state = if draining { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"za-south-a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":64000,\"memMb\":256000,\"gpu\":0}},\
             \"labels\":[\"a\",\"{}\"],\"clockMs\":{},\"sequence\":{sequence},\"born\":{}}}",
            self.address,
            self.rack,
            self.clock_ms(),
            self.born_ms
        )
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn tick(&self) {
        let now = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        let has_lapsed = state.deadline_ms <= now;
        let due: Vec<String> = state
            .running
            .iter()
            .filter(|(_, run)| has_lapsed || run.end_ms <= now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            let how = state
                .running
                .get(&task)
                .filter(|run| run.end_ms <= now)
                .map_or("lapsed", |run| run.how);
            self.end(&mut state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.last_number += 1;
        let number = state.last_number;
        state.finished.push((number, task.to_owned(), run.run, how));
        state.highest.insert(task.to_owned(), run.run);
        self.record.line(&format!(
            "end runner={} born={} task={task} run={} how={how} number={number}",
            self.id, self.born_ms, run.run
        ));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Answer {
        let path = request.path.split('?').next().unwrap_or_default();
        if path == "/health" {
            return Some((200, "{}".into()));
        }
        if request.header("Knapweedgap-Expected-Instance").is_some_and(|id| id != self.id) {
            return Some((421, format!("{{\"clockMs\":{}}}", self.clock_ms())));
        }
        let Some(body) = Json::parse(&request.body) else { return Some((400, "{}".into())) };
        let fence = body.get("fencingToken").number().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if fence < state.fence {
                return Some(self.refuse("fence"));
            }
            state.fence = fence;
        }
        Some(match path {
            "/run-start" => self.start(&body),
            "/run-stop" => self.stop(&body),
            "/hold" => self.hold(&body),
            "/pace" => (200, format!("{{\"clockMs\":{}}}", self.clock_ms())),
            _ => (400, "{}".into()),
        })
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn extend(&self, state: &mut State, body: &Json) {
        let now = self.clock_ms();
        if let Some(deadline) = body.get("deadlineMs").number() {
            state.deadline_ms = state.deadline_ms.max(deadline.min(now + LEASE_MAX_MS));
        }
    }

    fn start(&self, body: &Json) -> (u16, String) {
        if self.sheds.load(Ordering::Relaxed) {
            self.record.line(&format!("shed runner={} task={}", self.id, body.get("task").text()));
            return (503, format!("{{\"clockMs\":{}}}", self.clock_ms()));
        }
        let (task, run) =
            (body.get("task").text().to_owned(), body.get("run").number().unwrap_or(0) as u32);
        let now = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        if body.get("deadlineMs").number().is_none_or(|deadline| deadline <= now) {
            return self.refuse("late");
        }
        self.extend(&mut state, body);
        if state.running.get(&task).is_some_and(|known| known.run == run) {
            return (200, format!("{{\"clockMs\":{now}}}"));
        }
        if state.highest.get(&task).is_some_and(|highest| run <= *highest)
            || state.running.contains_key(&task)
        {
            return self.refuse("old");
        }
        let spec = body.get("spec").text();
        let (word, millis) = spec
            .split_whitespace()
            .next()
            .unwrap_or_default()
            .split_once('=')
            .unwrap_or(("done", "500"));
        let how = if word == "failed" { "failed" } else { "done" };
        let end_ms = now + millis.parse::<u64>().unwrap_or(500);
        state.running.insert(task.clone(), Run { run, start_ms: now, end_ms, how });
        self.record.line(&format!(
            "start runner={} born={} task={task} run={run} fence={} spec={:.24}",
            self.id, self.born_ms, state.fence, spec
        ));
        (200, format!("{{\"clockMs\":{now}}}"))
    }

    fn stop(&self, body: &Json) -> (u16, String) {
        let (task, run) =
            (body.get("task").text().to_owned(), body.get("run").number().unwrap_or(0) as u32);
        let mut state = self.state.lock().unwrap();
        if state.running.get(&task).is_some_and(|known| known.run <= run) {
            self.end(&mut state, &task, "stopped");
        }
        let highest = state.highest.entry(task).or_default();
        *highest = (*highest).max(run);
        (200, format!("{{\"clockMs\":{}}}", self.clock_ms()))
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let until = Instant::now()
            + Duration::from_millis(body.get("waitMs").number().unwrap_or(0).min(2_000));
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, body);
        let last_seen = body.get("lastSeen").number().unwrap_or(0);
        if last_seen > state.taken_note {
            state.taken_note = last_seen;
            let seen: Vec<_> =
                state.finished.iter().filter(|end| end.0 <= last_seen).cloned().collect();
            for (number, task, run, how) in seen {
                self.record.line(&format!(
                    "noted runner={} born={} task={task} run={run} how={how} number={number}",
                    self.id, self.born_ms
                ));
            }
        }
        state.finished.retain(|end| end.0 > last_seen);
        while state.finished.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let now = self.clock_ms();
        let running = state.running.iter().map(|(task, run)| {
            let total = run.end_ms.saturating_sub(run.start_ms).max(1);
            let percent = (now.saturating_sub(run.start_ms) * 100 / total).min(99);
            format!("[{},{},\"\",{percent}]", quote(task), run.run)
        });
        let running: Vec<String> = running.collect();
        let finished = state.finished.iter().take(500);
        let finished: Vec<String> = finished
            .map(|(n, task, run, how)| format!("[{n},{},{run},\"{how}\",\"\"]", quote(task)))
            .collect();
        (
            200,
            format!(
                "{{\"clockMs\":{now},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                self.born_ms,
                running.join(","),
                finished.join(",")
            ),
        )
    }
}
