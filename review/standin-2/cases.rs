//! The cases.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::runner::Runner;
use crate::site::{Result, Route, Site, send};

const KEPT: Route = Route { name: "r-kept", prefix: "/kept/", priority: 0, advised: false };
const PLAN: Route = Route { name: "r-plan", prefix: "/plan/", priority: 0, advised: false };
const ADVISED: Route = Route { name: "r-adv", prefix: "/adv/", priority: 0, advised: true };
const TRIAL: &str =
    r#"{"spec":"trial","steps":[{"count":2,"cpu":500,"memMb":256,"estimatedMs":400}]}"#;
const JOB: &str = "5c0e7a21d94b36f8";

pub fn run(case: &str, folder: &str, trouble: bool) -> Result<bool> {
    let path = format!("{folder}/record.txt");
    let record = Record::new(&path).map_err(|error| format!("{path}: {error}"))?;
    let record = Arc::new(record);
    match case {
        "lost-answer" => lost_answer(record, trouble),
        "cancelled-request" => cancelled_request(record, trouble),
        "late-start" => late_start(record, trouble),
        "gang-end" => gang_end(record, trouble),
        "removed-queue" => removed_queue(record, trouble),
        _ => Err(format!("no case {case}")),
    }
}

fn body(marker: &str) -> String {
    format!(
        r#"{{"spec":"{marker}","steps":[{{"count":2,"cpu":500,"memMb":256,"estimatedMs":400}}]}}"#
    )
}

fn is_rejection(status: u16) -> bool {
    matches!(status, 400 | 404 | 429 | 503)
}

/// Returns whether a task of the job has started although all attempts were rejected.
fn is_refused_job_run(record: &Record, attempts: &[u16]) -> bool {
    let starts = record.find(&["runner ", JOB, " starts"]);
    let all_rejected = !attempts.is_empty() && attempts.iter().all(|status| is_rejection(*status));
    record.line(&format!(
        "check REFUSED: answers to the attempts to hand the job in: {attempts:?}; starts of its tasks: {}",
        starts.len()
    ));
    all_rejected && !starts.is_empty()
}

/// A write is done and not answered while the route of the job is removed.
fn lost_answer(record: Arc<Record>, trouble: bool) -> Result<bool> {
    let routes = [KEPT, PLAN];
    let site = Site::start(record.clone(), 3, 4, Duration::from_millis(400), &routes)?;
    for number in 0..3 {
        site.complete(number, &format!("/plan/00000000000000a{number}"), TRIAL)?;
    }
    let leader = site.leader()?;
    let entry = (leader + 1) % 3;
    record
        .line(&format!("instance {leader} last wrote under a condition; the client uses {entry}"));
    if trouble {
        site.store.lose("review-lost-answer");
    }
    let (address, log) = (site.client_address(entry), record.clone());
    let client = std::thread::spawn(move || {
        let path = format!("/plan/{JOB}");
        send(&log, address, entry, "POST", &path, &body("review-lost-answer"), 3_000).0
    });
    std::thread::sleep(Duration::from_millis(300));
    site.configure(4, &[KEPT]);
    let first = client.join().map_err(|_| "the client failed".to_owned())?;
    let mut attempts = vec![first];
    // The client asks again at the other instances, unless the job was accepted.
    for number in (0..3).filter(|number| *number != entry) {
        if attempts.iter().all(|status| is_rejection(*status)) {
            let path = format!("/plan/{JOB}");
            attempts.push(site.call(number, "POST", &path, &body("review-lost-answer"), 3_000));
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    if trouble && site.store.lost_at().is_none() {
        return Err("no answer was lost".to_owned());
    }
    if trouble {
        let writes = site.store.writes_since_loss();
        record.line(&format!(
            "store: did {writes} writes in the 4.5 s from the one whose answer was lost"
        ));
    }
    Ok(is_refused_job_run(&record, &attempts))
}

/// The queue of an accepted job, which has placement advice, is removed from the configuration.
fn removed_queue(record: Arc<Record>, trouble: bool) -> Result<bool> {
    let routes = [KEPT, ADVISED];
    let site = Site::start(record.clone(), 3, 4, Duration::from_millis(1_500), &routes)?;
    let trial = r#"{"spec":"advised trial","steps":[{"count":2,"cpu":500,"memMb":256,"estimatedMs":1500}]}"#;
    site.complete(0, "/adv/00000000000000a0", trial)?;
    let job = r#"{"spec":"advised job","steps":[{"count":2,"cpu":500,"memMb":256,"estimatedMs":1500},{"count":2,"cpu":500,"memMb":256,"estimatedMs":1500,"after":[0]}]}"#;
    let path = format!("/adv/{JOB}");
    if site.call(1, "POST", &path, job, 3_000) != 200 {
        return Err("the job was not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_millis(800));
    if trouble {
        site.configure(4, &[KEPT]);
    } else {
        site.configure(4, &[KEPT, ADVISED]);
    }
    // finish_s is 14 s; the rule then looks at a span of 3 s.
    std::thread::sleep(Duration::from_secs(14));
    let ends = record.find(&["runner ", &format!("{JOB}.0.0."), "ends done"]).len();
    let before = record.find(&["runner ", &format!("{JOB}.0.1."), "starts"]).len();
    record.line("check LOST: 14 s have passed");
    std::thread::sleep(Duration::from_secs(3));
    let starts = record.find(&["runner ", &format!("{JOB}.0.1."), "starts"]).len();
    let rejected = site.advice.rejected();
    record.line(&format!(
        "check LOST: step 0 ended done {ends} times; step 1 started {before} times until then, {starts} times after 3 s more, and starts were rejected {rejected} times for want of a ticket; nothing else runs on the 4 runners"
    ));
    if ends < 2 {
        return Err("the first step is not done".to_owned());
    }
    Ok(starts == 0)
}

/// A machine freezes, and a client that gets no answer leaves and cancels its job.
fn cancelled_request(record: Arc<Record>, trouble: bool) -> Result<bool> {
    let routes = [KEPT, PLAN];
    let site = Site::start(record.clone(), 3, 4, Duration::from_millis(400), &routes)?;
    let leader = site.leader()?;
    let (entry, other) = ((leader + 1) % 3, (leader + 2) % 3);
    record
        .line(&format!("instance {leader} last wrote under a condition; the client uses {entry}"));
    let started = Instant::now();
    if trouble {
        site.freeze(leader, true);
    }
    std::thread::sleep(Duration::from_millis(500));
    // Two other clients stay until they are answered.
    let stay = [(other, "c0"), (entry, "c1")].map(|(number, id)| {
        let (address, log) = (site.client_address(number), record.clone());
        std::thread::spawn(move || {
            let path = format!("/kept/00000000000000{id}");
            send(&log, address, number, "POST", &path, TRIAL, 3_000).0
        })
    });
    let job = r#"{"spec":"watch","steps":[{"count":2,"cpu":500,"memMb":256,"estimatedMs":400,"longRunning":true}]}"#;
    let path = format!("/plan/{JOB}");
    // The client leaves after 450 ms, within the 900 ms that the site file names.
    let leave_ms = std::env::var("LEAVE_MS").ok().and_then(|it| it.parse().ok()).unwrap_or(450);
    let status = site.call(entry, "POST", &path, job, leave_ms);
    record.line(&format!("client: leaves instance {entry} (answer {status})"));
    std::thread::sleep(Duration::from_millis(100));
    let acked = loop {
        let status = site.call(other, "DELETE", &path, "", 3_000);
        if matches!(status, 200 | 410) {
            break Instant::now();
        }
        if started.elapsed() > Duration::from_secs(15) {
            return Err("the cancelling is not acknowledged".to_owned());
        }
    };
    record.line("client: the cancelling is acknowledged");
    while trouble && started.elapsed() < Duration::from_millis(3_500) {
        std::thread::sleep(Duration::from_millis(20));
    }
    if trouble {
        site.freeze(leader, false);
    }
    // cancel_ms is 3,000 and stopTimeoutMs 900; 10 s are well past both, and past contactTimeoutMs
    // after the freeze.
    while acked.elapsed() < Duration::from_secs(14) {
        std::thread::sleep(Duration::from_millis(50));
    }
    for client in stay {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    let running: usize = site.runners.iter().map(|runner| runner.running(JOB)).sum();
    record.line(&format!(
        "check UNASKED: 14 s after the acknowledgement {running} tasks of the cancelled job run"
    ));
    let state = site.call(other, "GET", &path, "", 3_000);
    record.line(&format!("client: state of the cancelled job: {state}"));
    Ok(running > 0)
}

/// A start has no answer and is carried out late, by the next life of its runner.
fn late_start(record: Arc<Record>, trouble: bool) -> Result<bool> {
    let routes = [KEPT, PLAN];
    let site = Site::start(record.clone(), 3, 17, Duration::from_secs(6), &routes)?;
    let text = "review-late-start";
    // With these, the start that is carried out late is one of 23.
    let others =
        r#"{"spec":"run:300","steps":[{"count":20,"cpu":500,"memMb":64,"estimatedMs":300}]}"#;
    site.complete(0, "/plan/00000000000000b0", others)?;
    if trouble {
        site.holder.lock().unwrap().0 = Some(text.to_owned());
    }
    // A short job takes the rack of the data, so that the first run is elsewhere and the next one there.
    let short = r#"{"spec":"run:300","steps":[{"count":2,"cpu":16000,"memMb":256,"estimatedMs":300,"affinity":"r1-0"}]}"#;
    if site.call(0, "POST", "/plan/00000000000000a0", short, 3_000) != 200 {
        return Err("the short job was not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_millis(50));
    let job = format!(
        r#"{{"spec":"{text}","steps":[{{"count":1,"cpu":500,"memMb":256,"estimatedMs":6000,"affinity":"r1-0"}}]}}"#
    );
    let path = format!("/plan/{JOB}");
    if site.call(0, "POST", &path, &job, 3_000) != 200 {
        return Err("the job was not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_millis(1_000));
    let held = site.holder.lock().unwrap().1.take();
    if let Some(held) = held {
        let runner = &site.runners[held.runner];
        runner.crash();
        std::thread::sleep(Duration::from_millis(1_500));
        runner.restart();
        // By default the late start is the first call to the new life.
        let delay_ms = std::env::var("DELAY_MS").ok().and_then(|it| it.parse().ok()).unwrap_or(0);
        std::thread::sleep(Duration::from_millis(delay_ms));
        runner.carry_out(&held);
    } else if trouble {
        return Err("no start was held".to_owned());
    }
    // Looks for two runs of the task at the same time.
    let (started, mut most) = (Instant::now(), 0);
    while started.elapsed() < Duration::from_secs(10) {
        let running: usize = site.runners.iter().map(|runner| runner.running(JOB)).sum();
        most = most.max(running);
        std::thread::sleep(Duration::from_millis(1));
    }
    record.line(&format!("check TWICE: at most {most} runs of the task went on at the same time"));
    Ok(most > 1)
}

/// The store turns the machine away that leads, while a gang ends; then one runner of it crashes.
fn gang_end(record: Arc<Record>, trouble: bool) -> Result<bool> {
    let routes = [KEPT, PLAN];
    let site = Site::start(record.clone(), 3, 17, Duration::from_secs(2), &routes)?;
    site.complete(0, "/plan/00000000000000a0", TRIAL)?;
    let leader = site.leader()?;
    record.line(&format!("instance {leader} last wrote under a condition"));
    // Two members fit a runner, so the gang is on two runners or more.
    let job = r#"{"spec":"gang:4","steps":[{"count":4,"cpu":8000,"memMb":256,"estimatedMs":2000,"gangScheduled":true}]}"#;
    let path = format!("/plan/{JOB}");
    if site.call((leader + 1) % 3, "POST", &path, job, 3_000) != 200 {
        return Err("the job was not accepted".to_owned());
    }
    let started = Instant::now();
    std::thread::sleep(Duration::from_millis(1_600));
    if trouble {
        site.store.turn_away(Some(leader));
    }
    // The gang ends after 2 s. 300 ms later, some of its ends are taken note of.
    std::thread::sleep(Duration::from_millis(700));
    let listed = |runner: &&Arc<Runner>| runner.listed_ends(JOB) > 0;
    let unnoted = site.runners.iter().find(listed).cloned();
    if trouble {
        let Some(runner) = &unnoted else { return Err("all ends are taken note of".to_owned()) };
        runner.crash();
    }
    while started.elapsed() < Duration::from_secs(8) {
        std::thread::sleep(Duration::from_millis(20));
        if trouble && started.elapsed() > Duration::from_secs(5) {
            // The crash takes 3 s.
            if let Some(runner) = unnoted.as_ref().filter(|runner| runner.is_down()) {
                runner.restart();
            }
        }
    }
    if trouble {
        site.store.turn_away(None);
    }
    while started.elapsed() < Duration::from_secs(25) {
        std::thread::sleep(Duration::from_millis(50));
    }
    let noted = record.find(&["the end done of", JOB, "run 1 is taken note of"]);
    let starts = record.find(&["runner ", JOB, " starts"]);
    let again = starts.iter().filter(|line| !line.contains("run 1 ")).count();
    let mut twice = 0;
    for line in &noted {
        let task = line.split(' ').find(|word| word.starts_with(JOB)).unwrap_or_default();
        twice += starts.iter().filter(|it| it.contains(task) && !it.contains("run 1 ")).count();
    }
    record.line(&format!(
        "check TWICE: {} ends done of run 1 were taken note of; {again} starts of later runs, {twice} of them of tasks whose end done was taken note of",
        noted.len()
    ));
    Ok(twice > 0)
}
