//! Proofs of the guarantees of requests (G4 to G8) with real processes.
//!
//! The checker judges the records alone. Each test prints its seed; `KNAPWEEDGAP_SEED=100` adds 100
//! to all of them.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use knapweedgap_system_tests::checker::requests::Records;
use knapweedgap_system_tests::cluster::{Cluster, Link, Signal, send_keyed};
use serde_json::{Value, json};

/// Longest wait for a load generator.
const LOAD_TIME: Duration = Duration::from_secs(40);
/// Longest wait for jobs that lost their owner.
const JOB_TIME: Duration = Duration::from_secs(30);
/// Longest graceful shutdown in these tests: notice, longest request and handover.
const STOP_TIME: Duration = Duration::from_secs(20);

/// Returns the seed of a test. `KNAPWEEDGAP_SEED` adds a number to all of them, for further runs.
fn seed(base: u64) -> u64 {
    let offset = std::env::var("KNAPWEEDGAP_SEED").ok();
    let offset = offset.map(|text| text.parse::<u64>().expect("KNAPWEEDGAP_SEED is a number"));
    base + offset.unwrap_or(0)
}

fn seed_option(base: u64) -> String {
    format!("--seed={}", seed(base))
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn assert_sound(records: &Records) {
    println!("callers were told {:?}", records.counts());
    let findings = records.judge();
    assert!(findings.is_empty(), "{} findings, first: {}", findings.len(), findings[0]);
}

fn assert_served(records: &Records) {
    let findings = records.judge_failed();
    assert!(findings.is_empty(), "{} findings, first: {}", findings.len(), findings[0]);
}

fn assert_not_cut_off(records: &Records, cluster: &Cluster, entries: &[usize]) {
    let clients: Vec<_> = entries.iter().map(|&entry| cluster.entries[entry].client).collect();
    let findings = records.judge_cut_off(&clients);
    assert!(findings.is_empty(), "{} findings, first: {}", findings.len(), findings[0]);
}

fn begun_at(records: &Records, runner: &str) -> Vec<u64> {
    let begun = records.acts.iter().filter(|act| act.event == "begin" && act.runner == runner);
    begun.map(|act| act.wall_us).collect()
}

/// Submits a job, at the next entry after a failure, and returns its id.
fn submit(cluster: &Cluster, first: usize, key: &str, tasks: u32) -> String {
    let deadline = Instant::now() + JOB_TIME;
    for entry in (0..cluster.entries.len()).cycle().skip(first) {
        let answer = cluster.submit(entry, key, tasks, "300ms");
        match answer {
            Ok(answer) if answer.status == 200 => {
                return answer.body["job"].as_str().expect("a job id").to_owned();
            }
            // A refusal before effect may be repeated, and so may a lost answer: the key leads to
            // the same job.
            Ok(answer) => assert!([503, 504].contains(&answer.status), "{}", answer.body),
            Err(_) => {}
        }
        assert!(Instant::now() < deadline, "job {key} is not accepted");
        sleep(secs(0.05));
    }
    unreachable!("the entries repeat without end")
}

/// Returns how often each task completed.
fn completions(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut completions = BTreeMap::new();
    for path in cluster.worker_records() {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        for line in text.lines() {
            let line: Value = serde_json::from_str(line).expect("a line of a worker");
            if line["event"] == "complete" {
                *completions.entry(line["task"].to_string()).or_default() += 1;
            }
        }
    }
    completions
}

/// Guards against jobs that are lost with the entry that accepted or owned them, against tasks
/// that complete twice after the takeover, and against requests that fail although six other
/// entries could serve them.
#[test]
fn the_death_of_an_entry_loses_no_job_and_fails_no_request() {
    let mut cluster =
        Cluster::builder().entries(7).zones(3).runners(12).workers(12).seed(seed(11)).start();
    let load = cluster.load(&[
        "--rate=250",
        "--seconds=7",
        "--count=100000",
        "--connections=28",
        "--non-idempotent=0.2",
        "--repeats=6",
        "--work-ms=80",
        &seed_option(11),
    ]);
    let partitions = cluster.partitions(0).expect("an answer").body;
    let owner = partitions["partitions"][0]["owner"].as_str().expect("an owner").to_owned();
    let victim = cluster.entries.iter().position(|entry| entry.name == owner).expect("an entry");
    let mut jobs = Vec::new();
    for number in 0..24 {
        if number == 8 {
            cluster.signal_entry(victim, Signal::Kill);
        }
        jobs.push(submit(&cluster, number % 7, &format!("job-{number}"), 3));
        sleep(secs(0.1));
    }
    let record = load.finish(LOAD_TIME);
    let asked = (victim + 1) % 7;
    for job in &jobs {
        cluster.wait_until(&format!("{job} finishes"), JOB_TIME, || {
            cluster.job(asked, job).is_ok_and(|answer| answer.body["state"] == "finished")
        });
    }
    let completions = completions(&cluster);
    assert_eq!(completions.len(), jobs.len() * 3, "tasks that completed");
    assert!(completions.values().all(|&count| count == 1), "{completions:?}");
    let records = cluster.records(&[record]);
    assert_sound(&records);
    assert_served(&records);
}

/// Guards against a second sending of a non-idempotent request whose runner died: the entry can't
/// tell whether the runner had acted on it.
#[test]
fn a_runner_that_dies_makes_no_non_idempotent_request_run_twice() {
    let mut cluster = Cluster::builder()
        .runners(4)
        .one_runner_arg(0, "--die-before=5")
        .one_runner_arg(1, "--die-after=5")
        .seed(seed(12))
        .start();
    let load = cluster.load(&[
        "--count=300",
        "--connections=12",
        "--non-idempotent=1",
        "--work-ms=10",
        &seed_option(12),
    ]);
    let record = load.finish(LOAD_TIME);
    for runner in [0, 1] {
        cluster.wait_runner(runner, secs(1.0));
    }
    let records = cluster.records(&[record]);
    assert_sound(&records);
    let unknown = records.counts().get("unknown").copied().unwrap_or_default();
    assert!(unknown >= 2, "each death leaves a request whose outcome is unknown");
}

/// Guards against an answer that arrives after its request timed out and is handed to the next
/// request on the same connection.
#[test]
fn a_late_answer_never_reaches_another_request() {
    let mut cluster = Cluster::builder().runners(2).runner_proxies().seed(seed(13)).start();
    let load = cluster.load(&[
        "--seconds=5",
        "--count=100000",
        "--connections=9",
        "--deadline-ms=300",
        "--work-ms=10",
        &seed_option(13),
    ]);
    for _ in 0..4 {
        sleep(secs(0.4));
        cluster.fault(Link::Runner(0), json!({ "cut": "to_client" }));
        sleep(secs(0.45));
        cluster.fault(Link::Runner(0), json!({ "cut": "none" }));
    }
    let records = cluster.records(&[load.finish(LOAD_TIME)]);
    assert_sound(&records);
    let late = records.told.iter().filter(|told| told.told != "whole").count();
    let retried = records.acts.iter().filter(|act| act.event == "abandoned").count();
    assert!(late + retried > 0, "no answer was late, so the test shows nothing");
}

/// Guards against a planned stop that closes connections with requests in flight.
#[test]
fn a_planned_stop_cuts_no_request_off() {
    let mut cluster = Cluster::builder().runners(6).seed(seed(14)).start();
    let long = cluster.load(&[
        "--count=12",
        "--connections=12",
        "--work-ms=3500",
        "--deadline-ms=8000",
        &seed_option(14),
    ]);
    let short = cluster.load(&[
        "--rate=100",
        "--seconds=5",
        "--count=100000",
        "--connections=12",
        "--work-ms=10",
        &seed_option(15),
    ]);
    sleep(secs(0.7));
    cluster.signal_entry(0, Signal::Terminate);
    let loads = [long.finish(LOAD_TIME), short.finish(LOAD_TIME)];
    assert!(cluster.wait_entry(0, STOP_TIME), "the entry reports success");
    let records = cluster.records(&loads);
    assert_sound(&records);
    assert_not_cut_off(&records, &cluster, &[0]);
    assert_served(&records);
    let stopped = cluster.entries[0].client;
    let long = records.told.iter().filter(|told| told.attempts[0].entry == stopped);
    assert!(long.count() > 4, "the stopped entry had requests");
}

/// Guards against work that still begins at a leaving upstream 3 s after the list showed it.
#[test]
fn a_leaving_upstream_receives_no_new_work_although_the_list_lags() {
    let mut cluster = Cluster::builder().runners(4).seed(seed(16)).start();
    cluster.inventory_lag(secs(2.0));
    let load = cluster.load(&[
        "--rate=150",
        "--seconds=9",
        "--count=100000",
        "--connections=12",
        "--non-idempotent=0.2",
        &seed_option(16),
    ]);
    sleep(secs(1.0));
    cluster.leave("runner-0");
    let records = cluster.records(&[load.finish(LOAD_TIME)]);
    assert_sound(&records);
    assert_served(&records);
    assert!(!begun_at(&records, "runner-0").is_empty(), "runner-0 worked before it left");
    let last_us = records.told.iter().flat_map(|told| &told.attempts).map(|at| at.end_us).max();
    let judged_from = records.leaving[0].shown_us + 3_000_000;
    assert!(last_us > Some(judged_from + 1_000_000), "there was load after the 3 s");
}

/// Guards against wrong or missing answers while links stall, and against an upstream that stays
/// unused after its link is back.
#[test]
fn stalled_links_of_a_runner_and_a_zone_leave_every_caller_answered() {
    let mut cluster = Cluster::builder().runners(6).runner_proxies().seed(seed(17)).start();
    let load = cluster.load(&[
        "--rate=100",
        "--seconds=14",
        "--count=100000",
        "--connections=60",
        "--non-idempotent=0.2",
        "--deadline-ms=1000",
        "--work-ms=10",
        &seed_option(17),
    ]);
    let stall = |runners: &[usize]| {
        for stall in [true, false] {
            sleep(secs(1.0));
            for &runner in runners {
                cluster.fault(Link::Runner(runner), json!({ "stall": stall }));
            }
        }
    };
    stall(&[0]);
    // Runners 0 and 3 are all those of zone-1.
    stall(&[0, 3]);
    let back_us = knapweedgap_system_tests::cluster::wall_us();
    let records = cluster.records(&[load.finish(LOAD_TIME)]);
    assert_sound(&records);
    let counts = records.counts();
    assert!(!counts.contains_key("no_answer"), "{counts:?}");
    for runner in ["runner-0", "runner-3"] {
        let used = begun_at(&records, runner).iter().any(|&at| at > back_us + 1_000_000);
        assert!(used, "{runner} is used again after its link is back");
    }
}

/// Guards against a key that runs twice: when the answer to its claim is lost, and when it is sent
/// through all entries at once.
#[test]
fn a_key_runs_at_most_once_when_answers_of_the_store_are_lost() {
    let mut cluster = Cluster::builder().seed(seed(18)).start();
    cluster.store_fault(json!({ "lose_answers": 0.3 }));
    let load = cluster.load(&[
        "--rate=40",
        "--seconds=5",
        "--count=100000",
        "--connections=12",
        "--non-idempotent=1",
        "--work-ms=10",
        "--deadline-ms=8000",
        &seed_option(18),
    ]);
    let mut lines = Vec::new();
    for number in 0..40 {
        let key = format!("same-{number}");
        let sent = cluster.clients().into_iter().enumerate().map(|(index, entry)| {
            let (key, id) = (key.clone(), format!("{key}-{index}"));
            std::thread::spawn(move || {
                let told = send_keyed(entry, "/dispatch/same", &id, &key);
                (id, told.unwrap_or_else(|_| "no_answer".to_owned()))
            })
        });
        for sender in sent.collect::<Vec<_>>() {
            lines.push(sender.join().expect("a sender ends"));
        }
    }
    let same = write_told(&cluster, &lines);
    let records = cluster.records(&[load.finish(LOAD_TIME), same]);
    assert_sound(&records);
    let ran = records.acts.iter().filter(|act| act.event == "begin");
    let ran = ran.filter(|act| act.key.as_deref().is_some_and(|key| key.starts_with("same-")));
    assert!(ran.count() >= 20, "most of the keys ran once");
}

/// Writes what the callers of one key were told. The lines name no key, because a caller that is
/// told "not run" is told so about its own sending; the key may have run through another entry.
fn write_told(cluster: &Cluster, lines: &[(String, String)]) -> PathBuf {
    let path = cluster.directory().join("same.jsonl");
    let mut file = std::fs::File::create(&path).expect("a record");
    for (id, told) in lines {
        // The body of the answer is judged with the load generator's requests.
        let told = if told == "whole" { "answered" } else { told };
        let line = json!({
            "request_id": id, "key": null, "path": "/dispatch/same", "body_len": 0,
            "body_digest": "", "attempts": [], "told": told, "answer_len": 0,
            "answer_digest": null, "fault": null,
        });
        writeln!(file, "{line}").expect("a line");
    }
    path
}

/// Guards against requests that fail or are cut off during a replacement of all entries.
#[test]
fn a_restart_of_all_entries_one_by_one_fails_no_request() {
    let mut cluster = Cluster::builder().runners(6).seed(seed(19)).start();
    let set = cluster.set(0, "/", "drain_notice", json!("500ms")).expect("an answer");
    assert_eq!(set.status, 200, "{}", set.body);
    sleep(secs(2.0));
    let load = cluster.load(&[
        "--rate=150",
        "--seconds=12",
        "--count=100000",
        "--connections=12",
        "--non-idempotent=0.2",
        &seed_option(19),
    ]);
    for entry in 0..3 {
        sleep(secs(0.3));
        cluster.signal_entry(entry, Signal::Terminate);
        assert!(cluster.wait_entry(entry, STOP_TIME), "the entry reports success");
        cluster.start_entry(entry);
        cluster.wait_ready();
    }
    let records = cluster.records(&[load.finish(LOAD_TIME)]);
    assert_sound(&records);
    assert_not_cut_off(&records, &cluster, &[0, 1, 2]);
    assert_served(&records);
}
