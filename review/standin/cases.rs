//! The cases. Each returns the breaches of its rule.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::record::{Record, field};
use crate::runner::unix_ms;
use crate::site::{LONE_RACK, Queue, SIGKILL, Site};
use crate::store::{Fate, VALUE_MAX};

type Breaches = Result<Vec<String>, String>;

pub fn run(case: &str, record: &Arc<Record>, trouble: bool) -> Breaches {
    // Figures of vm-transcribe and of dialplan-push in the site file of klt-voice.
    let transcribe = Queue { latency_ms: 1_000, attempts_max: 2, slowdown: 2.0, advice: None };
    let (queue, runners) = match case {
        "starved" => (Queue { latency_ms: 300, attempts_max: 3, slowdown: 1.5, advice: None }, 12),
        "advice" => (Queue { advice: Some((300, 50)), ..transcribe }, 48),
        _ => (transcribe, 12),
    };
    let site = Site::start(record.clone(), &queue, runners)?;
    let breaches = match case {
        "budget" => budget(&site, trouble),
        "oversize" => oversize(&site, trouble),
        "starved" => starved(&site, trouble),
        "advice" => advice(&site, trouble),
        "foreign" => foreign(&site, trouble),
        "pending" => pending(&site, trouble),
        "removed" => removed(&site, &queue, trouble),
        _ => Err(format!("no case {case:?}")),
    };
    site.stop();
    breaches
}

static SEED: AtomicU64 = AtomicU64::new(0);

/// Returns a random number below `limit`.
fn random(limit: u64) -> u64 {
    let mut x = SEED.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed)
        ^ unix_ms().wrapping_mul(0x1234_5678_9abc_def1);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) % limit
}

fn new_id() -> String {
    format!("{:016x}", random(u64::MAX))
}

fn sleep(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Returns the time that an answer of the slow store takes: up to 60 times the usual 4 ms.
fn slow() -> Fate {
    Fate::Slow(Duration::from_millis(4 + random(237)))
}

/// Submits a job as a client does. With `retries`, it asks again after a 429, a 503, a 504 or no answer, while
/// its time budget of 3 s lasts.
fn submit(site: &Site, id: &str, body: &str, retries: u32) -> Option<u16> {
    let started = Instant::now();
    let mut last = None;
    for attempt in 0..=retries {
        let n = random(site.entry_count() as u64) as usize;
        last = site.call(n, "POST", id, body).map(|(status, _)| status);
        if matches!(last, Some(200 | 400 | 404)) || started.elapsed() > Duration::from_millis(2_500)
        {
            break;
        }
        if attempt < retries {
            sleep(300);
        }
    }
    last
}

/// Submits jobs of one step from many clients, `per_s` a second, until `stop` is set.
fn load<Body>(
    site: &Arc<Site>,
    per_s: u64,
    stop: &Arc<AtomicBool>,
    retries: fn() -> u32,
    body: Body,
) -> std::thread::JoinHandle<()>
where
    Body: Fn() -> String + Send + 'static,
{
    let (site, stop) = (site.clone(), stop.clone());
    std::thread::spawn(move || {
        let mut clients = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let (site, body) = (site.clone(), body());
            clients.push(std::thread::spawn(move || submit(&site, &new_id(), &body, retries())));
            sleep(1_000 / per_s);
        }
        for client in clients {
            let _ = client.join();
        }
    })
}

fn job(spec: &str, count: u32, estimate_ms: u64) -> String {
    format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{count},\"cpu\":500,\"memMb\":256,\"estimatedMs\":{estimate_ms}}}]}}"
    )
}

/// BUDGET: the owner is killed while the store is slow and jobs come that can never be done.
fn budget(site: &Arc<Site>, trouble: bool) -> Breaches {
    let stop = Arc::new(AtomicBool::new(false));
    // Every fourth job can never be done.
    let body = || {
        let time = 300 + random(900);
        if random(4) == 0 {
            job(&format!("failed={time}"), 1, 800)
        } else {
            job(&format!("done={time}"), 3, 800)
        }
    };
    let clients = load(site, 9, &stop, || 4, body);
    sleep(2_000);
    let until = Instant::now() + Duration::from_secs(92);
    while Instant::now() < until {
        let Some(owner) = site.owner() else { return Err("no owner".into()) };
        if !trouble {
            sleep(1_000);
            continue;
        }
        site.store.set_rule(Some(|_: &_| slow()));
        sleep(800 + random(400));
        site.signal(owner, SIGKILL);
        site.wait_ended(owner);
        sleep(1_000);
        site.start_entry(owner)?;
        sleep(500);
        site.store.set_rule(None::<fn(&_) -> Fate>);
        sleep(1_500);
    }
    stop.store(true, Ordering::Relaxed);
    let _ = clients.join();
    sleep(8_000);
    Ok(over_budget(&site.record, 2))
}

/// Returns the starts after `attempts_max` failed runs of the task whose ends were taken note of.
fn over_budget(record: &Record, attempts_max: usize) -> Vec<String> {
    let key = |line: &str| {
        (
            field(line, "runner").to_owned(),
            field(line, "born").to_owned(),
            field(line, "number").to_owned(),
        )
    };
    let noted: std::collections::BTreeSet<_> =
        record.lines("noted").iter().map(|(_, line)| key(line)).collect();
    let mut failed: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for (at, line) in record.lines("end") {
        if field(&line, "how") == "failed" && noted.contains(&key(&line)) {
            failed.entry(field(&line, "task").into()).or_default().push(at);
        }
    }
    let mut breaches = Vec::new();
    for (at, line) in record.lines("start") {
        let task = field(&line, "task");
        let before =
            failed.get(task).map_or(0, |ends| ends.iter().filter(|end| **end < at).count());
        if before >= attempts_max {
            let run = field(&line, "run");
            breaches.push(format!("BUDGET task={task} run={run} started at {at} ms after {before} failed runs that were taken note of"));
        }
    }
    breaches
}

/// LOST: many users hand in scheduled jobs whose payloads have the length that is allowed.
fn oversize(site: &Arc<Site>, trouble: bool) -> Breaches {
    let started = Instant::now();
    let due_ms = unix_ms() + 88_000;
    let accepted = Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    // 9.3 jobs a second; with the disruption 2.6 times as many in 4 of each 8 seconds.
    let mut n = 0u64;
    while started.elapsed() < Duration::from_secs(84) {
        let is_burst = trouble && started.elapsed().as_secs() % 8 < 4;
        let (site, accepted) = (site.clone(), accepted.clone());
        n += 1;
        clients.push(std::thread::spawn(move || {
            let id = new_id();
            let spec = format!("done=300 {}", "x".repeat(3_980));
            let body = format!(
                "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":1,\"cpu\":100,\"memMb\":64,\"estimatedMs\":300}}],\
                 \"repetitions\":1,\"startAtMs\":{due_ms},\"intervalMs\":1000}}"
            );
            if submit(&site, &id, &body, 4) == Some(200) {
                accepted.lock().unwrap().push(id);
            }
        }));
        std::thread::sleep(Duration::from_secs_f64(if is_burst { 1.0 / 24.2 } else { 1.0 / 9.3 }));
    }
    for client in clients {
        let _ = client.join();
    }
    let end_of_traffic = Instant::now();
    let ids = accepted.lock().unwrap().clone();
    site.record.line(&format!("traffic jobs={n} accepted={}", ids.len()));
    // finish_s is 14 s from the end of the traffic; the jobs are due within these.
    while end_of_traffic.elapsed() < Duration::from_secs(18) {
        sleep(500);
    }
    let (writes, largest) = *site.store.too_large.lock().unwrap();
    let (entries, bytes) = site.store.size("knapweedgap/log/");
    site.record.line(&format!("store log_entries={entries} log_bytes={bytes} writes_too_large={writes} largest={largest} limit={VALUE_MAX}"));
    println!(
        "jobs={n} accepted={} log_entries={entries} log_bytes={bytes} writes_too_large={writes} largest={largest}",
        ids.len()
    );
    let begun: std::collections::BTreeSet<String> = site
        .record
        .lines("start")
        .iter()
        .map(|(_, line)| field(line, "task").split('.').next().unwrap_or_default().to_owned())
        .collect();
    let mut breaches = Vec::new();
    for id in ids.iter().filter(|id| !begun.contains(*id)) {
        breaches
            .push(format!("LOST job={id} was accepted and due at {due_ms}; nothing of it has run"));
    }
    for id in ids.iter().rev().take(3) {
        let state = site.call(0, "GET", id, "").map(|(status, body)| {
            let state = Json::parse(body.as_bytes())
                .map_or(String::new(), |body| body.get("state").text().to_owned());
            format!("{status} {state}")
        });
        site.record.line(&format!("state id={id} answer={state:?}"));
    }
    Ok(breaches)
}

/// LOST: the only runner of a rack is lost for good while jobs that require its label wait.
fn starved(site: &Arc<Site>, trouble: bool) -> Breaches {
    // Jobs that require the rack, each of which takes its runner for half a second.
    for _ in 0..30 {
        let body = format!(
            "{{\"spec\":\"done=500\",\"steps\":[{{\"count\":1,\"cpu\":64000,\"memMb\":256,\"estimatedMs\":100,\
             \"requirements\":\"{LONE_RACK}\"}}]}}"
        );
        submit(site, &new_id(), &body, 4);
        sleep(35);
    }
    let losing = trouble.then(|| {
        let site = site.clone();
        std::thread::spawn(move || site.lose_runner(site.runners.len() - 1))
    });
    sleep(6_000);
    // Jobs of four steps in a row that can run anywhere. Their estimates are rough.
    let accepted = Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for _ in 0..90 {
        let (site, accepted) = (site.clone(), accepted.clone());
        clients.push(std::thread::spawn(move || {
            let id = new_id();
            let step = "\"count\":2,\"cpu\":500,\"memMb\":256,\"estimatedMs\":100";
            let body = format!(
                "{{\"spec\":\"done=1000\",\"steps\":[{{{step}}},{{{step},\"after\":[0]}},{{{step},\"after\":[1]}},{{{step},\"after\":[2]}}]}}"
            );
            if submit(&site, &id, &body, 4) == Some(200) {
                accepted.lock().unwrap().push(id);
            }
        }));
        sleep(333);
    }
    for client in clients {
        let _ = client.join();
    }
    if let Some(losing) = losing {
        let _ = losing.join();
    }
    let end_of_traffic_ms = site.record.now_ms();
    // The jobs are asked for finish_s (14 s) after the end of the traffic; 4 s more are watched.
    sleep(18_000);
    let now = site.record.now_ms();
    let ids = accepted.lock().unwrap().clone();
    site.record.line(&format!("traffic end={end_of_traffic_ms} accepted={}", ids.len()));
    println!("accepted={}", ids.len());
    Ok(standing_still(site, &ids, |_| 8, now))
}

/// Returns the jobs of which not all tasks are done and nothing has run for 3 s.
fn standing_still<Tasks>(site: &Site, ids: &[String], tasks: Tasks, now: u64) -> Vec<String>
where
    Tasks: Fn(&str) -> usize,
{
    let mut ends: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    let mut open: BTreeMap<String, i64> = BTreeMap::new();
    for (at, line) in site.record.lines("end") {
        let id = field(&line, "task").split('.').next().unwrap_or_default().to_owned();
        *open.entry(id.clone()).or_default() -= 1;
        ends.entry(id).or_default().push(at);
    }
    for (_, line) in site.record.lines("start") {
        let id = field(&line, "task").split('.').next().unwrap_or_default().to_owned();
        *open.entry(id).or_default() += 1;
    }
    let mut breaches = Vec::new();
    for id in ids {
        let done = ends.get(id).map_or(0, Vec::len);
        let last = ends.get(id).and_then(|ends| ends.iter().max().copied()).unwrap_or(0);
        let is_running = open.get(id).is_some_and(|open| *open > 0);
        if done < tasks(id) && !is_running && now - last >= 3_000 {
            let state = site.call(0, "GET", id, "").map(|(_, body)| body);
            breaches.push(format!(
                "LOST job={id} tasks_done={done} of {}, nothing running since {last} ms, now {now} ms, state={}",
                tasks(id),
                state.unwrap_or_default()
            ));
        }
    }
    breaches
}

/// LOST: large jobs come at once to a queue that needs advice.
fn advice(site: &Arc<Site>, trouble: bool) -> Breaches {
    let started = Instant::now();
    let accepted = Arc::new(std::sync::Mutex::new(BTreeMap::new()));
    let mut clients = Vec::new();
    let mut n = 0;
    // One small job in two seconds; in 4 s of the 20 a large one comes beside each.
    while started.elapsed() < Duration::from_secs(20) {
        let is_large = trouble && (8..12).contains(&started.elapsed().as_secs());
        for count in [Some(2), is_large.then_some(32)].into_iter().flatten() {
            let (site, accepted) = (site.clone(), accepted.clone());
            clients.push(std::thread::spawn(move || {
                let id = new_id();
                if submit(&site, &id, &job("done=800", count, 800), 4) == Some(200) {
                    accepted.lock().unwrap().insert(id, count as usize);
                }
            }));
        }
        n += 1;
        sleep(2_000);
    }
    for client in clients {
        let _ = client.join();
    }
    site.record.line(&format!("traffic end small={n} accepted={}", accepted.lock().unwrap().len()));
    // The jobs are asked for finish_s (14 s) after the end of the traffic; 20 s more are watched.
    sleep(34_000);
    let now = site.record.now_ms();
    let counts = accepted.lock().unwrap().clone();
    println!("accepted={}", counts.len());
    let ids: Vec<String> = counts.keys().cloned().collect();
    Ok(standing_still(site, &ids, |id| counts.get(id).copied().unwrap_or(0), now))
}

/// TWICE: another writer overwrites the entry of one runner.
fn foreign(site: &Arc<Site>, trouble: bool) -> Breaches {
    let stop = Arc::new(AtomicBool::new(false));
    let clients = load(site, 3, &stop, || 4, || job("done=5000", 3, 5_000));
    sleep(10_000);
    if trouble {
        let runner = site.runners[0].0.lock().unwrap().clone().ok_or("no runner")?;
        // A service that isn't named in the configuration. The runner writes its own entry again with its
        // next check-in.
        let entry = runner.entry("other7", 1, false);
        let born = format!("\"born\":{}", runner.born_ms);
        let entry = entry.replace(&born, &format!("\"born\":{}", unix_ms()));
        site.record.line(&format!(
            "foreign key=servers/{} value={}",
            runner.id,
            entry.replace(' ', "")
        ));
        site.store.put(&format!("servers/{}", runner.id), &entry);
    }
    sleep(15_000);
    stop.store(true, Ordering::Relaxed);
    let _ = clients.join();
    sleep(8_000);
    Ok(overlaps(&site.record))
}

/// Returns the tasks that ran twice at the same time.
fn overlaps(record: &Record) -> Vec<String> {
    let key = |line: &str| (field(line, "task").to_owned(), field(line, "run").to_owned());
    let ends: BTreeMap<_, _> =
        record.lines("end").iter().map(|(at, line)| (key(line), *at)).collect();
    let mut runs: BTreeMap<String, Vec<(u64, u64, String)>> = BTreeMap::new();
    for (at, line) in record.lines("start") {
        let end = ends.get(&key(&line)).copied().unwrap_or_else(|| record.now_ms());
        let text = format!(
            "run {} on {} from {at} to {end} ms",
            field(&line, "run"),
            field(&line, "runner")
        );
        runs.entry(field(&line, "task").into()).or_default().push((at, end, text));
    }
    let mut breaches = Vec::new();
    for (task, runs) in runs {
        for pair in runs.windows(2) {
            if let [(_, end, first), (start, _, second)] = pair
                && start < end
            {
                breaches.push(format!("TWICE task={task} {first}, {second}"));
            }
        }
    }
    breaches
}

/// MIXED: the only runner of a rack refuses all starts for 6.5 s.
fn pending(site: &Arc<Site>, trouble: bool) -> Breaches {
    let runner =
        site.runners[site.runners.len() - 1].0.lock().unwrap().clone().ok_or("no runner")?;
    runner.sheds.store(trouble, Ordering::Relaxed);
    let since = Instant::now();
    let mut accepted = Vec::new();
    for _ in 0..8 {
        let id = new_id();
        let body = format!(
            "{{\"spec\":\"done=500\",\"steps\":[{{\"count\":1,\"cpu\":500,\"memMb\":256,\"estimatedMs\":500,\
             \"requirements\":\"{LONE_RACK}\"}}]}}"
        );
        if submit(site, &id, &body, 4) == Some(200) {
            accepted.push((id, site.record.now_ms()));
        }
    }
    let mut breaches = Vec::new();
    // visible_ms is 3 s; the value may be 2 s old.
    sleep(5_100);
    while since.elapsed() < Duration::from_millis(6_500) {
        let now = site.record.now_ms();
        let lines = site.record.lines("start");
        let has_begun = |id: &String| {
            lines.iter().any(|(_, line)| field(line, "task").starts_with(id.as_str()))
        };
        let waiting =
            accepted.iter().filter(|(id, at)| at + 5_000 < now && !has_begun(id)).count() as u64;
        let answer = site
            .call(0, "GET", "", "")
            .and_then(|(_, body)| Json::parse(body.as_bytes())?.get("pending").number());
        if let Some(pending) = answer
            && pending * 2 < waiting
        {
            breaches.push(format!(
                "MIXED at {now} ms: pending={pending}, {waiting} jobs of over 5 s ago haven't begun"
            ));
        }
        sleep(200);
    }
    runner.sheds.store(false, Ordering::Relaxed);
    sleep(10_000);
    Ok(breaches)
}

/// BUDGET: a configuration removes the queue of jobs that can never be done.
fn removed(site: &Arc<Site>, queue: &Queue, trouble: bool) -> Breaches {
    for _ in 0..4 {
        submit(site, &new_id(), &job("failed=3000", 1, 3_000), 4);
        submit(site, &new_id(), &job("done=3000", 2, 3_000), 4);
    }
    sleep(1_000);
    if trouble {
        site.configure(11, queue, false);
    }
    sleep(30_000);
    Ok(over_budget(&site.record, 2))
}
