//! Tests of the guarantees of requests (G4 to G8) with real processes.
//!
//! The checker reads only the records. Each test prints its seed; `KNAPWEEDGAP_SEED=100` adds 100 to
//! all of them.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use knapweedgap_system_tests::checker::requests::Records;
use knapweedgap_system_tests::cluster::{Cluster, Link, Signal, send_keyed};
use serde_json::{Value, json};

/// Longest wait for a load generator.
const LOAD_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest wait until a job is accepted, and until it finishes, when its owner is killed.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest graceful shutdown in these tests: drain notice, longest request and handover.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the seed of a test: `base` plus `KNAPWEEDGAP_SEED` if set.
fn seed(base: u64) -> u64 {
    let offset = std::env::var("KNAPWEEDGAP_SEED").ok();
    let offset =
        offset.map(|text| text.parse::<u64>().expect("KNAPWEEDGAP_SEED should be a number"));
    base + offset.unwrap_or(0)
}

fn seed_option(base: u64) -> String {
    format!("--seed={}", seed(base))
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Checks G4 to G7.
fn assert_guarantees(records: &Records) {
    println!("outcomes of requests: {:?}", records.counts());
    let findings = records.check();
    assert!(findings.is_empty(), "{} findings, first: {}", findings.len(), findings[0]);
}

/// Checks that every request received its complete response.
fn assert_served(records: &Records) {
    let findings = records.check_failed();
    assert!(findings.is_empty(), "{} findings, first: {}", findings.len(), findings[0]);
}

/// Checks G8 for the entries with these indices.
fn assert_not_cut_off(records: &Records, cluster: &Cluster, entries: &[usize]) {
    let clients: Vec<_> = entries.iter().map(|&entry| cluster.entries[entry].client).collect();
    let findings = records.check_cut_off(&clients);
    assert!(findings.is_empty(), "{} findings, first: {}", findings.len(), findings[0]);
}

/// Returns the wall times at which a runner began requests, in microseconds.
fn begin_times(records: &Records, runner: &str) -> Vec<u64> {
    let begun =
        records.events.iter().filter(|event| event.event == "begin" && event.runner == runner);
    begun.map(|event| event.wall_us).collect()
}

/// Submits a job and returns its id. After a failure it repeats the submission at the next entry.
fn submit(cluster: &Cluster, first: usize, key: &str, tasks: u32) -> String {
    let deadline = Instant::now() + JOB_TIMEOUT;
    for entry in (0..cluster.entries.len()).cycle().skip(first) {
        let answer = cluster.submit(entry, key, tasks, "300ms");
        match answer {
            Ok(answer) if answer.status == 200 => {
                return answer.body["job"].as_str().expect("a job id").to_owned();
            }
            // A refused submission and one whose answer was lost may be repeated, because the key
            // identifies the job.
            Ok(answer) => assert!([503, 504].contains(&answer.status), "{}", answer.body),
            Err(_) => {}
        }
        assert!(Instant::now() < deadline, "job {key} was not accepted within {JOB_TIMEOUT:?}");
        sleep(secs(0.05));
    }
    unreachable!("the iterator repeats the entries without end")
}

/// Returns the number of completions of each task in the records of the workers.
fn completions(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut completions = BTreeMap::new();
    for path in cluster.worker_records() {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        for line in text.lines() {
            let line: Value = serde_json::from_str(line).expect("a record line should be JSON");
            if line["event"] == "complete" {
                *completions.entry(line["task"].to_string()).or_default() += 1;
            }
        }
    }
    completions
}

/// Guards against jobs that are lost when the entry that accepted or owned them is killed, tasks that
/// complete twice after the takeover, and requests that fail although six other entries could serve
/// them.
#[test]
fn a_killed_entry_loses_no_job_and_fails_no_request() {
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
    let record = load.finish(LOAD_TIMEOUT);
    let other = (victim + 1) % 7;
    for job in &jobs {
        cluster.wait_until(&format!("{job} finishes"), JOB_TIMEOUT, || {
            cluster.job(other, job).is_ok_and(|answer| answer.body["state"] == "finished")
        });
    }
    let completions = completions(&cluster);
    assert_eq!(completions.len(), jobs.len() * 3, "number of completed tasks");
    assert!(completions.values().all(|&count| count == 1), "{completions:?}");
    let records = cluster.records(&[record]);
    assert_guarantees(&records);
    assert_served(&records);
}

/// Guards against a retry of a non-idempotent request whose runner exited: the entry can't know
/// whether the runner had processed it.
#[test]
fn an_exiting_runner_causes_no_second_run_of_a_non_idempotent_request() {
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
    let record = load.finish(LOAD_TIMEOUT);
    for runner in [0, 1] {
        cluster.wait_runner(runner, secs(1.0));
    }
    let records = cluster.records(&[record]);
    assert_guarantees(&records);
    let unknown = records.counts().get("unknown").copied().unwrap_or_default();
    assert!(unknown >= 2, "each exit of a runner should leave a request of unknown outcome");
}

/// Guards against a response that arrives after its request timed out and is delivered to the next
/// request on the same connection.
#[test]
fn a_late_response_never_reaches_another_request() {
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
        cluster.set_link_fault(Link::Runner(0), json!({ "cut": "to_client" }));
        sleep(secs(0.45));
        cluster.set_link_fault(Link::Runner(0), json!({ "cut": "none" }));
    }
    let records = cluster.records(&[load.finish(LOAD_TIMEOUT)]);
    assert_guarantees(&records);
    let late = records.requests.iter().filter(|request| request.outcome != "whole").count();
    let retried = records.events.iter().filter(|event| event.event == "abandoned").count();
    assert!(late + retried > 0, "no response was late, so late responses were not tested");
}

/// Guards against a graceful shutdown that closes connections with requests in flight.
#[test]
fn a_graceful_shutdown_cuts_off_no_request() {
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
    let loads = [long.finish(LOAD_TIMEOUT), short.finish(LOAD_TIMEOUT)];
    assert!(cluster.wait_entry(0, STOP_TIMEOUT), "the entry should exit with success");
    let records = cluster.records(&loads);
    assert_guarantees(&records);
    assert_not_cut_off(&records, &cluster, &[0]);
    assert_served(&records);
    let stopped = cluster.entries[0].client;
    let long = records.requests.iter().filter(|request| request.attempts[0].entry == stopped);
    assert!(long.count() > 4, "the stopped entry should have received requests");
}

/// Guards against requests that a leaving upstream still receives 3 s after the VM list showed its
/// state.
#[test]
fn a_leaving_upstream_receives_no_new_work_although_the_list_lags() {
    let mut cluster = Cluster::builder().runners(4).seed(seed(16)).start();
    cluster.set_inventory_lag(secs(2.0));
    let load = cluster.load(&[
        "--rate=150",
        "--seconds=9",
        "--count=100000",
        "--connections=12",
        "--non-idempotent=0.2",
        &seed_option(16),
    ]);
    sleep(secs(1.0));
    cluster.mark_leaving("runner-0");
    let records = cluster.records(&[load.finish(LOAD_TIMEOUT)]);
    assert_guarantees(&records);
    assert_served(&records);
    assert!(
        !begin_times(&records, "runner-0").is_empty(),
        "runner-0 should have received requests before it left"
    );
    let last_us = records
        .requests
        .iter()
        .flat_map(|request| &request.attempts)
        .map(|attempt| attempt.end_us)
        .max();
    let checked_from = records.departures[0].shown_us + 3_000_000;
    assert!(last_us > Some(checked_from + 1_000_000), "the load should continue after the 3 s");
}

/// Guards against wrong or missing responses while links stall, and against an upstream that is not
/// used again after its link has recovered.
#[test]
fn stalled_links_of_a_runner_and_a_zone_leave_no_request_unanswered() {
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
                cluster.set_link_fault(Link::Runner(runner), json!({ "stall": stall }));
            }
        }
    };
    stall(&[0]);
    // Runners 0 and 3 are all runners of zone-1.
    stall(&[0, 3]);
    let recovered_us = knapweedgap_system_tests::cluster::wall_us();
    let records = cluster.records(&[load.finish(LOAD_TIMEOUT)]);
    assert_guarantees(&records);
    let counts = records.counts();
    assert!(!counts.contains_key("no_answer"), "{counts:?}");
    for runner in ["runner-0", "runner-3"] {
        let used = begin_times(&records, runner).iter().any(|&at| at > recovered_us + 1_000_000);
        assert!(used, "{runner} should be used again after its link has recovered");
    }
}

/// Guards against a request that runs twice with the same idempotency key, when the store's answer to
/// the claim of the key is lost and when the key is sent through all entries at once.
#[test]
fn a_key_runs_at_most_once_when_answers_of_the_store_are_lost() {
    let mut cluster = Cluster::builder().seed(seed(18)).start();
    cluster.set_store_fault(json!({ "lose_answers": 0.3 }));
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
        let senders = cluster.clients().into_iter().enumerate().map(|(index, entry)| {
            let (key, id) = (key.clone(), format!("{key}-{index}"));
            std::thread::spawn(move || {
                let outcome = send_keyed(entry, "/dispatch/same", &id, &key);
                (id, outcome.unwrap_or_else(|_| "no_answer".to_owned()))
            })
        });
        for sender in senders.collect::<Vec<_>>() {
            lines.push(sender.join().expect("a sender should not panic"));
        }
    }
    let same = write_outcomes(&cluster, &lines);
    let records = cluster.records(&[load.finish(LOAD_TIMEOUT), same]);
    assert_guarantees(&records);
    let ran = records.events.iter().filter(|event| event.event == "begin");
    let ran = ran.filter(|event| event.key.as_deref().is_some_and(|key| key.starts_with("same-")));
    assert!(ran.count() >= 20, "at least half of the keys should have run");
}

/// Writes a record of the requests that share a key. Its lines contain no key, because "not run"
/// is valid for the request itself only; the key may have run through another entry.
fn write_outcomes(cluster: &Cluster, lines: &[(String, String)]) -> PathBuf {
    let path = cluster.directory().join("same.jsonl");
    let mut file = std::fs::File::create(&path).expect("a record");
    for (id, outcome) in lines {
        // Response bodies are checked for the requests of the load generator only.
        let outcome = if outcome == "whole" { "answered" } else { outcome };
        let line = json!({
            "request_id": id, "key": null, "path": "/dispatch/same", "body_len": 0,
            "body_digest": "", "attempts": [], "told": outcome, "answer_len": 0,
            "answer_digest": null, "fault": null,
        });
        writeln!(file, "{line}").expect("a line");
    }
    path
}

/// Guards against requests that fail or are cut off while all entries are restarted.
#[test]
fn a_restart_of_all_entries_one_by_one_fails_no_request() {
    let mut cluster = Cluster::builder().runners(6).seed(seed(19)).start();
    let set = cluster.change_setting(0, "/", "drain_notice", json!("500ms")).expect("an answer");
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
        assert!(cluster.wait_entry(entry, STOP_TIMEOUT), "the entry should exit with success");
        cluster.start_entry(entry);
        cluster.wait_ready();
    }
    let records = cluster.records(&[load.finish(LOAD_TIMEOUT)]);
    assert_guarantees(&records);
    assert_not_cut_off(&records, &cluster, &[0, 1, 2]);
    assert_served(&records);
}
