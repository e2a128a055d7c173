//! Plays one case of the review: `case CASE RECORD ENTRY`. The exit code is 1 if the rule was broken,
//! 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` there is no disruption.

mod fleet;
mod http;
mod json;
mod record;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use fleet::Step;
use json::Json;
use record::Record;
use site::{Options, Site, route};

/// Time for which a runner is down that crashes. Its entry in the store runs out before, and the
/// leases that it had end later.
const DOWN_MS: u64 = 3_000;

enum Outcome {
    Held,
    Broken,
    Failed(&'static str),
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, record, entry] = &words[..] else {
        eprintln!("usage: case CASE RECORD ENTRY");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = Record::new(Path::new(record))
        .and_then(|record| play(case, record, Path::new(entry), trouble));
    let (code, text) = match outcome {
        Ok(Outcome::Held) => (0, "the rule held".to_owned()),
        Ok(Outcome::Broken) => (1, "the rule was broken".to_owned()),
        Ok(Outcome::Failed(reason)) => (2, format!("could not run: {reason}")),
        Err(error) => (2, format!("could not run: {error}")),
    };
    println!("{case}: trouble={trouble} {text}");
    ExitCode::from(code)
}

fn play(case: &str, record: Record, entry: &Path, trouble: bool) -> std::io::Result<Outcome> {
    match case {
        "gang" => gang(record, entry, trouble),
        "wave" => wave(record, entry, trouble),
        "copies" => copies(record, entry, trouble),
        "loss" => loss(record, entry, trouble),
        "gone" => gone(record, entry, trouble),
        "reborn" => reborn(record, entry, trouble),
        "late" => late(record, entry, trouble),
        _ => Ok(Outcome::Failed("no such case")),
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Forty jobs, of which two take 15 times as long as without the disruption: the share of their
/// tasks that is done rises by 1% each 3 s. One is a gang, the other has a task on each runner.
fn gang(record: Record, entry: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let options = Options { instances: 3, runners: 3, check_in_delay_ms: 100 };
    let mut site = Site::start(entry, record, &options)?;
    site.configure(&[route("r-plan", "/pufi791/", 2, 4)]);
    if !site.wait_ready(seconds(20.0)) {
        return Ok(Outcome::Failed("no instance is ready"));
    }
    for number in 0..38u64 {
        let step = map! { "count": 1u64, "cpu": 1_500u64, "memMb": 512u64, "estimatedMs": 500u64 };
        let known = Step { count: 1, work_ms: 500, ..Step::default() };
        let path = format!("/pufi791/{:016x}", 0x5c0e_0000_0000_0000 + number);
        if !site.submit(&path, "plan", vec![step], vec![known]) {
            return Ok(Outcome::Failed("a job was not accepted"));
        }
    }
    if !site.wait(seconds(10.0), |fleet| fleet.ends.get("done") == Some(&38)) {
        return Ok(Outcome::Failed("the other jobs were not done"));
    }
    for idle in site.world.fleet.lock().unwrap().idle.values_mut() {
        idle.is_over = true;
    }
    std::thread::sleep(seconds(1.0));
    let work_ms: u64 = if trouble { 300_000 } else { 20_000 };
    let step = map! {
        "count": 3u64, "cpu": 1_000u64, "memMb": 1_024u64, "estimatedMs": 20_000u64, "maxPerServer": 1u64,
    };
    let known = Step { count: 3, work_ms, ..Step::default() };
    if !site.submit("/pufi791/5c0e7a21d94b36f7", "plan", vec![step], vec![known]) {
        return Ok(Outcome::Failed("a job was not accepted"));
    }
    let step = map! {
        "count": 7u64, "cpu": 3_000u64, "memMb": 1_024u64, "estimatedMs": 20_000u64, "gangScheduled": true,
    };
    let known = Step { count: 7, is_gang: true, work_ms, ..Step::default() };
    let job = "5c0e7a21d94b36f8";
    let path = format!("/pufi791/{job}");
    if !site.submit(&path, "plan", vec![step], vec![known]) {
        return Ok(Outcome::Failed("the job was not accepted"));
    }
    let end = Instant::now() + seconds(if trouble { 30.0 } else { 40.0 });
    let mut is_completed = false;
    while Instant::now() < end && !is_completed {
        std::thread::sleep(seconds(1.0));
        let (_, state) = site.request(0, "GET", &path, "");
        is_completed = state.contains("completed");
        if is_completed {
            site.world.fleet.lock().unwrap().idle.get_mut(job).expect("the job").is_over = true;
        }
    }
    let fleet = site.world.fleet.lock().unwrap();
    let longest = fleet.idle.get(job).map_or(0, |idle| idle.longest);
    site.record.line(format!(
        "judge: nothing of the job ran for {longest} ms at the longest; runs that ended: {:?}; completed: {is_completed}",
        fleet.ends
    ));
    if !trouble && !is_completed {
        return Ok(Outcome::Failed("the job was not completed"));
    }
    Ok(if longest >= 3_000 { Outcome::Broken } else { Outcome::Held })
}

/// A wave of upkeep, and an outage of the store meanwhile, in which the entries of the runners run
/// out. Another owner goes on with the wave before they are back.
fn wave(record: Record, entry: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let options = Options { instances: 3, runners: 8, check_in_delay_ms: 1_700 };
    let mut site = Site::start(entry, record, &options)?;
    site.configure(&[route("r-watch", "/pule252/", 0, 3)]);
    if !site.wait_ready(seconds(20.0)) {
        return Ok(Outcome::Failed("no instance is ready"));
    }
    let step = map! {
        "count": 6u64, "cpu": 3_200u64, "memMb": 6_400u64, "estimatedMs": 400u64, "longRunning": true,
        "maxPerServer": 1u64, "maxUnavailable": 1u64,
    };
    let known = Step { count: 6, unavailable_max: Some(1), startup_ms: 400, ..Step::default() };
    if !site.submit("/pule252/9625c6adff19b66a", "watch", vec![step], vec![known]) {
        return Ok(Outcome::Failed("the job was not accepted"));
    }
    if !site.wait(seconds(10.0), |fleet| fleet.at_work() == 6) {
        return Ok(Outcome::Failed("the tasks are not at work"));
    }
    std::thread::sleep(seconds(2.0));
    let machines: Vec<String> = site
        .world
        .fleet
        .lock()
        .unwrap()
        .runners
        .iter()
        .map(|runner| runner.machine.clone())
        .collect();
    site.world.fleet.lock().unwrap().waves.insert(1, (machines.clone(), 3));
    let names: Vec<Json> = machines.iter().map(|machine| machine.as_str().into()).collect();
    let wave = map! { "wave": 1u64, "machines": names, "durationS": 60u64, "maxCount": 3u64 };
    site.store.write("op/wave/1", &wave.to_string());
    let owner = site.owner();
    site.record.line("operator: wave 1 of all machines, at most 3 at once");
    if trouble {
        std::thread::sleep(seconds(1.0));
        site.record.line("store: down, without answers; leases run out meanwhile");
        site.store.set_down(true);
        std::thread::sleep(seconds(4.15));
        site.store.set_down(false);
        site.record.line("store: answers again");
    }
    let end = Instant::now() + seconds(50.0);
    let mut is_completed = false;
    while Instant::now() < end && !is_completed {
        std::thread::sleep(seconds(0.2));
        let is_broken = !site.world.fleet.lock().unwrap().breaches.is_empty();
        let status = site.store.read("status/wave/1").unwrap_or_default();
        is_completed = status.contains("completed") || is_broken;
    }
    let fleet = site.world.fleet.lock().unwrap();
    for breach in &fleet.breaches {
        site.record.line(format!("judge: {breach}"));
    }
    let is_replaced = site.owner() != owner;
    site.record.line(format!(
        "judge: runs that ended: {:?}; over: {is_completed}; another owner: {is_replaced}",
        fleet.ends
    ));
    if !is_completed {
        return Ok(Outcome::Failed("the wave was not completed"));
    }
    Ok(if fleet.breaches.is_empty() { Outcome::Held } else { Outcome::Broken })
}

/// Tasks that last and allow copies, two on each runner, and 67 short jobs with a task on each runner.
/// One of twenty of their starts has no answer and is carried out late.
fn copies(record: Record, entry: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let options = Options { instances: 3, runners: 6, check_in_delay_ms: 100 };
    let mut site = Site::start(entry, record, &options)?;
    site.configure(&[route("r-plan", "/pufi791/", 2, 4), route("r-watch", "/pule252/", 0, 3)]);
    if !site.wait_ready(seconds(20.0)) {
        return Ok(Outcome::Failed("no instance is ready"));
    }
    let step = map! {
        "count": 12u64, "cpu": 3_200u64, "memMb": 6_400u64, "estimatedMs": 400u64, "longRunning": true,
        "maxPerServer": 2u64, "maxUnavailable": 1u64, "allowConcurrent": true,
    };
    let known = Step { count: 12, unavailable_max: Some(1), startup_ms: 400, ..Step::default() };
    if !site.submit("/pule252/9625c6adff19b66a", "watch", vec![step], vec![known]) {
        return Ok(Outcome::Failed("the job was not accepted"));
    }
    if !site.wait(seconds(10.0), |fleet| fleet.at_work() == 12) {
        return Ok(Outcome::Failed("the tasks are not at work"));
    }
    let Some(owner) = site.owner() else { return Ok(Outcome::Failed("no owner")) };
    site.world
        .fleet
        .lock()
        .unwrap()
        .set_one_way(site::ZONES[owner % 3], Duration::from_micros(4_500));
    std::thread::sleep(seconds(2.0));
    let begin = Instant::now();
    site.world.fleet.lock().unwrap().late_every = if trouble { 20 } else { 0 };
    for number in 0..67u64 {
        let due = begin + Duration::from_millis(73 * number);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let step = map! {
            "count": 6u64, "cpu": 1_500u64, "memMb": 512u64, "estimatedMs": 200u64, "maxPerServer": 1u64,
        };
        let known = Step { count: 6, work_ms: 200, ..Step::default() };
        let path = format!("/pufi791/{:016x}", 0x5c0e_0000_0000_0000 + number);
        if !site.submit(&path, "plan", vec![step], vec![known]) {
            return Ok(Outcome::Failed("a job was not accepted"));
        }
    }
    let (late, all) = site.world.fleet.lock().unwrap().late_count;
    site.world.fleet.lock().unwrap().late_every = 0;
    let time = begin.elapsed();
    site.record.line(format!("runners: {late} of {all} starts had no answer, within {time:?}"));
    if !site.wait(seconds(20.0), |fleet| fleet.ends.get("done") == Some(&402)) {
        return Ok(Outcome::Failed("the other jobs were not done"));
    }
    std::thread::sleep(seconds(6.0));
    let fleet = site.world.fleet.lock().unwrap();
    if trouble && late == 0 {
        return Ok(Outcome::Failed("no start was carried out late"));
    }
    for breach in &fleet.breaches {
        site.record.line(format!("judge: {breach}"));
    }
    site.record.line(format!("judge: runs that ended: {:?}", fleet.ends));
    Ok(if fleet.breaches.is_empty() { Outcome::Held } else { Outcome::Broken })
}

/// A job that only one of twelve runners can run. That runner crashes, and starts again under its id.
fn reborn(record: Record, entry: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let options = Options { instances: 3, runners: 12, check_in_delay_ms: 100 };
    let mut site = Site::start(entry, record, &options)?;
    site.configure(&[route("r-plan", "/pufi791/", 2, 4)]);
    if !site.wait_ready(seconds(20.0)) {
        return Ok(Outcome::Failed("no instance is ready"));
    }
    let step = map! {
        "count": 2u64, "cpu": 2_000u64, "memMb": 1_024u64, "estimatedMs": 6_000u64, "requirements": "b",
    };
    let known = Step { count: 2, work_ms: 6_000, ..Step::default() };
    let job = "5c0e7a21d94b36f8";
    let path = format!("/pufi791/{job}");
    if !site.submit(&path, "plan", vec![step], vec![known]) {
        return Ok(Outcome::Failed("the job was not accepted"));
    }
    if !site.wait(seconds(10.0), |fleet| fleet.runners[0].runs.len() == 2) {
        return Ok(Outcome::Failed("the tasks do not run"));
    }
    std::thread::sleep(seconds(2.0));
    if trouble {
        site.wait(seconds(2.0), |fleet| fleet.is_check_in_near(0));
        site.world.crash(0, DOWN_MS);
        std::thread::sleep(Duration::from_millis(DOWN_MS));
    }
    // The first 4 s after the crash count as disrupted.
    let calm_from = Instant::now() + seconds(4.0);
    let end = Instant::now() + seconds(30.0);
    let mut is_completed = false;
    let mut longest = 0;
    while Instant::now() < end && !is_completed {
        std::thread::sleep(seconds(1.0));
        let (_, state) = site.request(0, "GET", &path, "");
        is_completed = state.contains("completed");
        let mut fleet = site.world.fleet.lock().unwrap();
        let now = fleet.now();
        let idle = fleet.idle.get_mut(job).expect("the job");
        idle.is_over = is_completed;
        if let Some(since) = idle.since.filter(|_| !is_completed) {
            let calm_ms = Instant::now().saturating_duration_since(calm_from).as_millis() as u64;
            longest = longest.max((now - since).min(calm_ms));
        }
    }
    let fleet = site.world.fleet.lock().unwrap();
    site.record.line(format!(
        "judge: nothing of the job ran for {longest} ms of calm; runs that ended: {:?}; completed: {is_completed}",
        fleet.ends
    ));
    if !trouble && !is_completed {
        return Ok(Outcome::Failed("the job was not completed"));
    }
    Ok(if longest >= 3_000 { Outcome::Broken } else { Outcome::Held })
}

/// One of 22 starts, which its runner carries out late, after it has crashed and started again under its id.
fn late(record: Record, entry: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let options = Options { instances: 3, runners: 12, check_in_delay_ms: 100 };
    let mut site = Site::start(entry, record, &options)?;
    site.configure(&[route("r-plan", "/pufi791/", 2, 4)]);
    if !site.wait_ready(seconds(20.0)) {
        return Ok(Outcome::Failed("no instance is ready"));
    }
    for number in 0..20u64 {
        let step = map! { "count": 1u64, "cpu": 1_500u64, "memMb": 512u64, "estimatedMs": 200u64 };
        let known = Step { count: 1, work_ms: 200, ..Step::default() };
        let path = format!("/pufi791/{:016x}", 0x5c0e_0000_0000_0000 + number);
        if !site.submit(&path, "plan", vec![step], vec![known]) {
            return Ok(Outcome::Failed("a job was not accepted"));
        }
    }
    if !site.wait(seconds(10.0), |fleet| fleet.ends.get("done") == Some(&20)) {
        return Ok(Outcome::Failed("the other jobs were not done"));
    }
    if trouble {
        site.world.fleet.lock().unwrap().late_start = Some(seconds(10.0));
    }
    let step = map! { "count": 1u64, "cpu": 2_000u64, "memMb": 1_024u64, "estimatedMs": 1_000u64 };
    let known = Step { count: 1, work_ms: 1_000, ..Step::default() };
    let job = "5c0e7a21d94b36f8";
    let path = format!("/pufi791/{job}");
    if !site.submit(&path, "plan", vec![step], vec![known]) {
        return Ok(Outcome::Failed("the job was not accepted"));
    }
    let end = Instant::now() + seconds(4.0);
    let mut is_completed = false;
    while Instant::now() < end && !is_completed {
        std::thread::sleep(seconds(0.2));
        is_completed = site.request(0, "GET", &path, "").1.contains("completed");
    }
    if !is_completed {
        return Ok(Outcome::Failed("the job was not completed"));
    }
    if trouble {
        let Some(index) = site.world.fleet.lock().unwrap().late_runner else {
            return Ok(Outcome::Failed("no start was carried out late"));
        };
        site.wait(seconds(2.0), |fleet| fleet.is_check_in_near(index));
        site.world.crash(index, DOWN_MS);
    }
    std::thread::sleep(seconds(12.0));
    let fleet = site.world.fleet.lock().unwrap();
    for breach in &fleet.breaches {
        site.record.line(format!("judge: {breach}"));
    }
    site.record.line(format!("judge: runs that ended: {:?}", fleet.ends));
    Ok(if fleet.breaches.is_empty() { Outcome::Held } else { Outcome::Broken })
}

/// A runner is lost for good, and a wave of upkeep begins 4.65 s later.
fn gone(record: Record, entry: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let options = Options { instances: 3, runners: 12, check_in_delay_ms: 100 };
    let mut site = Site::start(entry, record, &options)?;
    site.configure(&[route("r-plan", "/pufi791/", 2, 4), route("r-watch", "/pule252/", 0, 3)]);
    if !site.wait_ready(seconds(20.0)) {
        return Ok(Outcome::Failed("no instance is ready"));
    }
    let step = map! {
        "count": 12u64, "cpu": 3_200u64, "memMb": 6_400u64, "estimatedMs": 400u64, "longRunning": true,
        "maxPerServer": 1u64, "maxUnavailable": 1u64,
    };
    let known = Step { count: 12, unavailable_max: Some(1), startup_ms: 400, ..Step::default() };
    if !site.submit("/pule252/9625c6adff19b66a", "watch", vec![step], vec![known]) {
        return Ok(Outcome::Failed("the job was not accepted"));
    }
    if !site.wait(seconds(10.0), |fleet| fleet.at_work() == 12) {
        return Ok(Outcome::Failed("the tasks are not at work"));
    }
    std::thread::sleep(seconds(2.0));
    if !site.wait(seconds(5.0), |fleet| fleet.is_hold_recent(0)) {
        return Ok(Outcome::Failed("no hold arrives"));
    }
    let crash = Instant::now();
    if trouble {
        site.world.crash(0, 600_000);
    }
    let wait_until = |time: Duration| std::thread::sleep(time.saturating_sub(crash.elapsed()));
    wait_until(seconds(0.85));
    let step = map! {
        "count": 1u64, "cpu": 500u64, "memMb": 512u64, "estimatedMs": 300u64, "requirements": "b",
    };
    let known = Step { count: 1, work_ms: 300, ..Step::default() };
    if !site.submit("/pufi791/5c0e7a21d94b36f8", "plan", vec![step], vec![known]) {
        return Ok(Outcome::Failed("the short job was not accepted"));
    }
    wait_until(seconds(4.65));
    let machines: Vec<String> = site
        .world
        .fleet
        .lock()
        .unwrap()
        .runners
        .iter()
        .map(|runner| runner.machine.clone())
        .collect();
    site.world.fleet.lock().unwrap().waves.insert(1, (machines.clone(), 1));
    let names: Vec<Json> = machines.iter().map(|machine| machine.as_str().into()).collect();
    let wave = map! { "wave": 1u64, "machines": names, "durationS": 60u64, "maxCount": 1u64 };
    site.store.write("op/wave/1", &wave.to_string());
    site.record.line("operator: wave 1 of all machines, at most 1 at once");
    std::thread::sleep(seconds(5.0));
    let fleet = site.world.fleet.lock().unwrap();
    for breach in &fleet.breaches {
        site.record.line(format!("judge: {breach}"));
    }
    site.record.line(format!("judge: runs that ended: {:?}", fleet.ends));
    Ok(if fleet.breaches.is_empty() { Outcome::Held } else { Outcome::Broken })
}

/// A runner is lost for good, and 0.5 s later the owner, without a sign of its end.
fn loss(record: Record, entry: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let options = Options { instances: 3, runners: 8, check_in_delay_ms: 100 };
    let mut site = Site::start(entry, record, &options)?;
    site.configure(&[route("r-plan", "/pufi791/", 2, 4)]);
    if !site.wait_ready(seconds(20.0)) {
        return Ok(Outcome::Failed("no instance is ready"));
    }
    let step = map! { "count": 1u64, "cpu": 2_000u64, "memMb": 1_024u64, "estimatedMs": 8_000u64 };
    let known = Step { count: 1, work_ms: 8_000, ..Step::default() };
    let job = "5c0e7a21d94b36f8";
    let path = format!("/pufi791/{job}");
    if !site.submit(&path, "plan", vec![step], vec![known]) {
        return Ok(Outcome::Failed("the job was not accepted"));
    }
    let used =
        |fleet: &fleet::Fleet| fleet.runners.iter().position(|runner| !runner.runs.is_empty());
    if !site.wait(seconds(5.0), |fleet| used(fleet).is_some()) {
        return Ok(Outcome::Failed("the task does not run"));
    }
    std::thread::sleep(seconds(2.0));
    let index = used(&site.world.fleet.lock().unwrap()).unwrap_or(0);
    let owner = site.owner();
    if trouble {
        site.world.crash(index, 600_000);
        std::thread::sleep(seconds(0.5));
        site.signal(owner.unwrap_or(0), "-STOP");
    }
    let calm_from = Instant::now() + seconds(4.0);
    let mut longest = 0;
    while calm_from.elapsed() < seconds(14.0) {
        std::thread::sleep(seconds(0.05));
        let fleet = site.world.fleet.lock().unwrap();
        if fleet.ends.contains_key("done") {
            break;
        }
        if let Some(since) = fleet.idle[job].since {
            longest =
                longest.max((fleet.now() - since).min(calm_from.elapsed().as_millis() as u64));
        }
    }
    let fleet = site.world.fleet.lock().unwrap();
    site.record.line(format!(
        "judge: nothing of the job ran for {longest} ms of calm; runs that ended: {:?}",
        fleet.ends
    ));
    Ok(if longest >= 3_000 { Outcome::Broken } else { Outcome::Held })
}
