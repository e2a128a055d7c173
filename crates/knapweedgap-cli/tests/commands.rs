//! Tests of the built program against a mock of the administration API: calls, output and exit codes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use serde_json::{Value as Json, json};

/// Call that the mock received.
struct Call {
    line: String,
    body: String,
}

/// Starts a mock of the API that sends the responses in order, one per connection, and then stops.
fn mock_api(responses: Vec<(u16, Json)>) -> (SocketAddr, Receiver<Call>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for (status, response) in responses {
            let Ok((stream, _)) = listener.accept() else { return };
            stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
            let call = read_call(&stream);
            write_response(&stream, status, &response.to_string());
            if sender.send(call).is_err() {
                return;
            }
        }
    });
    (address, receiver)
}

fn read_call(stream: &TcpStream) -> Call {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).expect("a request line");
    let mut len = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).expect("a header");
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            len = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).expect("a body");
    let body = String::from_utf8(body).expect("JSON is UTF-8");
    Call { line: line.trim().to_owned(), body }
}

fn write_response(mut stream: &TcpStream, status: u16, body: &str) {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(body.as_bytes());
}

fn run(addresses: &[SocketAddr], arguments: &[&str]) -> Output {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    Command::new(env!("CARGO_BIN_EXE_knapweedgap"))
        .args(arguments)
        .env("KNAPWEEDGAP_INSTANCES", addresses.join(","))
        .env("USER", "operator")
        .output()
        .expect("the program runs")
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("an exit code")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Returns an address without a listener. A reserved port is used, because another test could take a
/// port that was free before.
fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn refusal(code: &str) -> Json {
    json!({"code": code, "place": "here", "help": "correct it"})
}

fn status(state: &str) -> Json {
    json!({"job": "00000000000000ff", "team": "plans", "key": "k", "class": "grind",
        "priority": "normal", "state": state, "partition": 3, "tasks": {"running": 2},
        "submitted_ms": 1})
}

const SUBMIT: [&str; 14] = [
    "job",
    "submit",
    "--team",
    "plans",
    "--key",
    "k",
    "--class",
    "grind",
    "--processor",
    "1500m",
    "--memory",
    "4GiB",
    "--run-time",
    "10min",
];

/// Guards against a submission that fails if the first instance is unreachable.
#[test]
fn a_submission_reaches_the_second_instance() {
    let accepted = json!({"job": "00000000000000ff", "partition": 3});
    let (address, calls) = mock_api(vec![(200, accepted)]);
    let output = run(&[unused_address(), address], &SUBMIT);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert_eq!(stdout(&output), "job 00000000000000ff accepted\n");
    let call = calls.recv().expect("one call");
    assert_eq!(call.line, "POST /v1/jobs HTTP/1.1");
    let body: Json = serde_json::from_str(&call.body).expect("JSON");
    assert_eq!(body["size"]["processor"], "1500m");
    assert_eq!(body["key"], "k");
}

/// Guards against exit codes that differ from the documented ones, which scripts use.
#[test]
fn each_refusal_has_its_exit_code() {
    let expected = [
        (400, "invalid", 1),
        (422, "refused", 1),
        (500, "internal", 1),
        (404, "not_found", 4),
        (409, "conflict", 5),
        (503, "not_run", 3),
        (504, "unknown", 3),
    ];
    for (status, name, exit) in expected {
        let (address, _calls) = mock_api(vec![(status, refusal(name))]);
        let output = run(&[address], &["job", "status", "00000000000000ff"]);
        assert_eq!(exit_code(&output), exit, "{name}: {}", stderr(&output));
        assert!(stderr(&output).contains("correct it"), "{}", stderr(&output));
        assert!(stdout(&output).is_empty());
    }
}

/// Guards against invalid arguments that are sent to an instance.
#[test]
fn invalid_arguments_are_usage_errors() {
    let cases: [&[&str]; 8] = [
        &[],
        &["job"],
        &["job", "status", "17"],
        &["job", "submit", "--team", "plans"],
        &["job", "submit", "--team", "plans", "--file", "x.json"],
        &["settings", "set", "/", "retry_shaer", "10%"],
        &["settings", "check", "/nonexistent/settings.json"],
        &["instances"],
    ];
    for arguments in cases {
        let output = run(&[], arguments);
        assert_eq!(exit_code(&output), 2, "{arguments:?}: {}", stderr(&output));
        assert!(!stderr(&output).is_empty(), "{arguments:?}");
    }
    let output = run(&[], &["job", "submit", "--team", "plans"]);
    assert!(stderr(&output).contains("--key, --class, --processor, --memory, --run-time"));
}

/// Guards against help without the usage or the examples of a command.
#[test]
fn every_command_has_help_with_examples() {
    let commands = [
        "job submit",
        "job status",
        "job list",
        "job cancel",
        "job wait",
        "settings get",
        "settings set",
        "settings unset",
        "settings effective",
        "settings check",
        "settings diff",
        "settings history",
        "settings schema",
        "events",
        "instances",
        "partitions",
        "doctor",
        "health",
        "request outcome",
    ];
    for command in commands {
        let mut arguments: Vec<&str> = command.split(' ').collect();
        arguments.push("--help");
        let output = run(&[], &arguments);
        assert_eq!(exit_code(&output), 0, "{command}");
        let text = stdout(&output);
        assert!(text.contains(&format!("Usage: knapweedgap {command}")), "{text}");
        assert!(text.contains(&format!("\n knapweedgap {command}")), "{text}");
    }
}

/// Guards against a lost update: a change must be based on a revision that was read.
#[test]
fn a_settings_change_is_based_on_the_revision_in_force() {
    let change = json!({"path": "services/x", "key": "queue_length", "after": 5});
    let (address, calls) = mock_api(vec![
        (200, json!({"revision": 41, "tree": {}})),
        (200, json!({"revision": 42, "changes": [change]})),
    ]);
    let output = run(&[address], &["settings", "set", "services/x", "queue_length", "5"]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let expected = "services/x queue_length: inherited -> 5\nrevision 42 is in force\n";
    assert_eq!(stdout(&output), expected);
    assert_eq!(calls.recv().expect("a read").line, "GET /v1/settings HTTP/1.1");
    let call = calls.recv().expect("a patch");
    assert_eq!(call.line, "PATCH /v1/settings HTTP/1.1");
    let body: Json = serde_json::from_str(&call.body).expect("JSON");
    let operation = json!({"op": "set", "path": "services/x", "key": "queue_length", "value": 5});
    assert_eq!(body, json!({"base": 41, "author": "operator", "operations": [operation]}));
}

/// Guards against a conflict message without the concurrent changes.
#[test]
fn a_conflict_shows_the_concurrent_changes() {
    let change = json!({"path": "/", "key": "queue_time", "before": "1s", "after": "2s"});
    let mut body = refusal("conflict");
    body["conflict"] =
        json!({"base": 41, "current": 42, "overlapping": [change], "changed": [change]});
    let (address, _calls) = mock_api(vec![(409, body)]);
    let arguments = ["settings", "unset", "/", "queue_time", "--base", "41"];
    let output = run(&[address], &arguments);
    assert_eq!(exit_code(&output), 5);
    assert!(
        stderr(&output).contains("/ queue_time: 1s -> 2s (also in this patch)"),
        "{}",
        stderr(&output)
    );
}

/// Guards against a patch that is repeated although the first call may have taken effect.
#[test]
fn a_patch_with_an_unknown_outcome_is_not_repeated() {
    let (first, first_calls) = mock_api(vec![(504, refusal("unknown"))]);
    let (second, second_calls) = mock_api(vec![(200, json!({"revision": 42, "changes": []}))]);
    let arguments = ["settings", "unset", "/", "queue_time", "--base", "41"];
    let output = run(&[first, second], &arguments);
    assert_eq!(exit_code(&output), 3);
    assert!(stderr(&output).contains("settings history"), "{}", stderr(&output));
    assert!(first_calls.recv().is_ok());
    assert!(second_calls.try_recv().is_err());
}

/// Guards against a source other than the node that sets the value.
#[test]
fn effective_shows_the_source_of_a_value() {
    let tree = json!({"children": {"services": {"settings": {"queue_length": 9}}}});
    let (address, _calls) = mock_api(vec![(200, json!({"revision": 1, "tree": tree}))]);
    let arguments = ["settings", "effective", "a/services/x", "queue_length", "--json"];
    let output = run(&[address], &arguments);
    let json: Json = serde_json::from_str(&stdout(&output)).expect("JSON");
    let value = json!({"key": "queue_length", "value": 9, "source": "services"});
    assert_eq!(json, json!({"path": "a/services/x", "values": [value]}));
}

/// Guards against a failure to show a tree of a later version.
#[test]
fn get_shows_keys_that_this_version_does_not_know() {
    let tree = json!({"children": {"a": {"settings": {"later": "1s"}}}});
    let (address, _calls) = mock_api(vec![(200, json!({"revision": 1, "tree": tree}))]);
    let output = run(&[address], &["settings", "get"]);
    assert_eq!(exit_code(&output), 0);
    assert!(stdout(&output).contains("a     later  1s"), "{}", stdout(&output));
}

/// Guards against a wait that ends early, and against one that treats a failed job as a success.
#[test]
fn wait_ends_when_the_job_ends() {
    let (address, calls) = mock_api(vec![(200, status("running")), (200, status("finished"))]);
    let arguments = ["job", "wait", "00000000000000ff", "--interval", "100ms"];
    assert_eq!(exit_code(&run(&[address], &arguments)), 0);
    assert_eq!(calls.iter().count(), 2);
    let (address, _calls) = mock_api(vec![(200, status("failed"))]);
    assert_eq!(exit_code(&run(&[address], &arguments)), 1);
    let (address, _calls) = mock_api(vec![(200, status("running")); 20]);
    let arguments = ["job", "wait", "00000000000000ff", "--interval", "100ms", "--for", "300ms"];
    let output = run(&[address], &arguments);
    assert_eq!(exit_code(&output), 6, "{}", stderr(&output));
}

/// Guards against a time line that is ordered by instance instead of by event.
#[test]
fn events_of_all_instances_are_merged_in_causal_order() {
    let event = |wall_ms: u64, instance: &str| json!({"at": format!("{wall_ms}.0"), "instance": instance, "kind": "started"});
    let (left, calls) = mock_api(vec![(200, json!({"events": [event(2, "a")]}))]);
    let (right, _calls) = mock_api(vec![(200, json!({"events": [event(1, "b")]}))]);
    let output = run(&[left, right], &["events", "--job", "00000000000000ff"]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let text = stdout(&output);
    assert!(text.find("1.0").expect("first") < text.find("2.0").expect("second"), "{text}");
    let call = calls.recv().expect("one call");
    assert_eq!(call.line, "GET /v1/events?job=00000000000000ff HTTP/1.1");
}

/// Guards against a check that reports success for an instance that is not ready or unreachable.
#[test]
fn health_and_doctor_exit_codes_reflect_the_state() {
    let report = |ready: bool| json!({"instance": "a", "state": "serving", "ready": ready});
    let (address, _calls) = mock_api(vec![(200, report(true))]);
    assert_eq!(exit_code(&run(&[address], &["health"])), 0);
    let (address, _calls) = mock_api(vec![(503, report(false))]);
    assert_eq!(exit_code(&run(&[address], &["health"])), 1);
    let (address, _calls) = mock_api(vec![(200, report(true))]);
    assert_eq!(exit_code(&run(&[address, unused_address()], &["health"])), 3);
    let finding = json!({"severity": "fault", "code": "store_unreachable", "place": "store",
        "help": "check the network"});
    let (address, _calls) = mock_api(vec![(200, json!({"findings": [finding]}))]);
    assert_eq!(exit_code(&run(&[address], &["doctor"])), 1);
}

/// Guards against a truncated response that is treated as complete.
#[test]
fn a_truncated_response_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        read_call(&stream);
        let response = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"instances\": []}";
        stream.write_all(response.as_bytes()).expect("written");
    });
    let output = run(&[address], &["instances"]);
    server.join().expect("the mock ends");
    assert_eq!(exit_code(&output), 3, "{}", stderr(&output));
    assert!(stderr(&output).contains("truncated"), "{}", stderr(&output));
}

/// Guards against a documentation page that differs from the schema.
#[test]
fn the_settings_page_contains_the_schema() {
    let page = include_str!("../../../docs/settings.md");
    let table = stdout(&run(&[], &["settings", "schema"]));
    assert!(
        page.contains(&table),
        "insert the output of \"knapweedgap settings schema\" into the page"
    );
}

/// Guards against failures that scripts cannot parse.
#[test]
fn json_failures_are_json() {
    let output = run(&[unused_address()], &["instances", "--json"]);
    let json: Json = serde_json::from_str(&stderr(&output)).expect("JSON");
    assert_eq!((&json["error"]["code"], &json["exit"]), (&json!("unreachable"), &json!(3)));
    let output = run(
        &[],
        &[
            "job",
            "submit",
            "--json",
            "--team",
            "t",
            "--key",
            "k",
            "--class",
            "c",
            "--processor",
            "0",
            "--memory",
            "1GiB",
            "--run-time",
            "0s",
        ],
    );
    assert_eq!(exit_code(&output), 1);
    let json: Json = serde_json::from_str(&stderr(&output)).expect("JSON");
    assert_eq!(json["error"]["findings"].as_array().map(Vec::len), Some(2));
}

/// Guards against timestamps that operators have to convert manually. The expected dates are the last
/// day of February in a leap year and the first day of the next year.
#[test]
fn times_are_shown_in_utc() {
    let record = |at_ms: u64, revision: u64| json!({"revision": revision, "at_ms": at_ms, "author": "a", "changes": []});
    let records = json!({"records": [record(1_709_251_199_999, 2), record(1_735_689_600_000, 1)]});
    let (address, _calls) = mock_api(vec![(200, records)]);
    let output = run(&[address], &["settings", "history"]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert!(stdout(&output).contains("2024-02-29T23:59:59.999Z"), "{}", stdout(&output));
    assert!(stdout(&output).contains("2025-01-01T00:00:00.000Z"), "{}", stdout(&output));
}

/// Guards against output that repeats a finding for every instance that reports it.
#[test]
fn a_finding_of_several_instances_is_shown_once() {
    let finding = json!({
        "severity": "warning", "code": "owner_unreachable", "place": "partition 1", "help": "wait",
    });
    let report = json!({"findings": [finding]});
    let (left, _calls) = mock_api(vec![(200, report.clone())]);
    let (right, _other) = mock_api(vec![(200, report)]);
    let output = run(&[left, right], &["doctor"]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert_eq!(stdout(&output).matches("owner_unreachable").count(), 1, "{}", stdout(&output));
}
