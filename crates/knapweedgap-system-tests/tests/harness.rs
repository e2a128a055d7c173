//! Test of the harness.

use std::time::Duration;

use knapweedgap_system_tests::cluster::Cluster;

/// Guards against a harness whose installation serves no requests or runs no jobs, so that other
/// tests would pass or fail independently of the daemon.
#[test]
fn an_installation_serves_requests_and_runs_jobs() {
    let mut cluster = Cluster::builder().workers(12).seed(1).start();
    let load = cluster.load(&["--count=50", "--seed=1"]);
    let accepted = cluster.submit(0, "job-1", 2, "200ms").expect("an answer");
    assert_eq!(accepted.status, 200, "{}", accepted.body);
    let job = accepted.body["job"].as_str().expect("a job id").to_owned();
    cluster.wait_until("the job finishes", Duration::from_secs(10), || {
        cluster.job(1, &job).is_ok_and(|answer| answer.body["state"] == "finished")
    });
    let set = cluster
        .change_setting(0, "services/dispatch", "request_deadline", "3s".into())
        .expect("answer");
    assert_eq!(set.status, 200, "{}", set.body);
    let record = load.finish(Duration::from_secs(15));
    let text = std::fs::read_to_string(record).expect("a record");
    let whole = text.lines().filter(|line| line.contains("\"told\":\"whole\"")).count();
    assert_eq!(whole, 50, "{text}");
}
