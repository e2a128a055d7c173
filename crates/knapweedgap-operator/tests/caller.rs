//! Tests that the caller tries the next instance only if repeating the call is safe.

use std::cell::RefCell;

use futures_lite::future::block_on;
use http_types::Method;
use knapweedgap_core::revision::Revision;
use knapweedgap_operator::caller::Error;
use knapweedgap_operator::error::{Body, Code};
use knapweedgap_operator::{Caller, Transport, codec, job, transport};
use knapweedgap_settings::Patch;

type Response = Result<(u16, Vec<u8>), transport::Error>;

/// Fake instance that returns a fixed response and records the calls.
struct FakeInstance {
    response: Response,
    calls: RefCell<Vec<(Method, String)>>,
}

impl FakeInstance {
    fn new(response: Response) -> FakeInstance {
        FakeInstance { response, calls: RefCell::default() }
    }

    fn refusing(code: Code) -> FakeInstance {
        let body = Body::new(code, "place", "help");
        FakeInstance::new(Ok((code.status(), codec::encode(&body))))
    }

    fn timing_out() -> FakeInstance {
        FakeInstance::new(Err(transport::Error::NoAnswer("timeout".to_owned())))
    }

    fn unreachable() -> FakeInstance {
        FakeInstance::new(Err(transport::Error::NotSent("connection refused".to_owned())))
    }

    fn responding(json: serde_json::Value) -> FakeInstance {
        FakeInstance::new(Ok((200, json.to_string().into_bytes())))
    }
}

impl Transport for &FakeInstance {
    async fn call(
        &self,
        method: Method,
        path_and_query: &str,
        _body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), transport::Error> {
        self.calls.borrow_mut().push((method, path_and_query.to_owned()));
        self.response.clone()
    }

    fn address(&self) -> &str {
        "127.0.0.1:1"
    }
}

fn accepted() -> FakeInstance {
    FakeInstance::responding(serde_json::json!({"job": "00000000000000ff", "partition": 3}))
}

fn patched() -> FakeInstance {
    FakeInstance::responding(serde_json::json!({"revision": 4, "changes": []}))
}

fn submission() -> job::Submission {
    let json = serde_json::json!({"team": "t", "key": "k", "class": "c", "run_time": "1s",
        "size": {"processor": "1", "memory": "1MiB"}});
    job::Submission::from_json(&json).expect("valid")
}

fn calls(instances: &[FakeInstance]) -> Vec<usize> {
    instances.iter().map(|instance| instance.calls.borrow().len()).collect()
}

fn caller(instances: &[FakeInstance]) -> Caller<&FakeInstance> {
    Caller::new(instances.iter().collect())
}

/// Guards against a submission that fails with the first instance, although its idempotency key
/// makes it safe to repeat.
#[test]
fn a_submission_is_repeated_on_the_next_instance_after_a_lost_response() {
    let instances = [
        FakeInstance::unreachable(),
        FakeInstance::timing_out(),
        FakeInstance::refusing(Code::NotRun),
        FakeInstance::refusing(Code::Unknown),
        accepted(),
        accepted(),
    ];
    let accepted = block_on(caller(&instances).submit(&submission())).expect("accepted");
    assert_eq!(accepted.partition.get(), 3);
    assert_eq!(calls(&instances), [1, 1, 1, 1, 1, 0]);
}

/// Guards against a patch that is applied and then reported as a conflict with itself.
#[test]
fn a_patch_is_not_repeated_after_a_lost_response() {
    let patch = Patch::builder(Revision::new(3)).build();
    for first in [FakeInstance::timing_out(), FakeInstance::refusing(Code::Unknown)] {
        let instances = [first, patched()];
        let error = block_on(caller(&instances).patch(&patch)).expect_err("the outcome is unknown");
        assert!(matches!(error, Error::Unknown(_)), "{error}");
        assert_eq!(calls(&instances), [1, 0]);
    }
    let instances = [FakeInstance::unreachable(), FakeInstance::refusing(Code::NotRun), patched()];
    block_on(caller(&instances).patch(&patch)).expect("nothing had taken effect");
}

/// Guards against a refusal that is hidden by calling the next instance.
#[test]
fn a_refusal_is_final() {
    for code in [Code::Invalid, Code::NotFound, Code::Conflict, Code::Refused, Code::Internal] {
        let instances = [FakeInstance::refusing(code), accepted()];
        let error = block_on(caller(&instances).submit(&submission())).expect_err("refused");
        assert!(matches!(&error, Error::Refused(body) if body.code == code), "{error}");
        assert_eq!(calls(&instances), [1, 0]);
    }
}

/// Guards against an error that does not state which instances were tried and why they failed.
#[test]
fn an_unreachable_error_lists_every_attempt() {
    let instances =
        [FakeInstance::unreachable(), FakeInstance::new(Ok((502, b"bad gateway".to_vec())))];
    let error = block_on(caller(&instances).partitions()).expect_err("unreachable");
    let Error::Unreachable(attempts) = &error else { panic!("{error}") };
    assert_eq!(attempts.len(), 2);
    assert!(attempts[1].reason.contains("502"), "{error}");
}

/// Guards against an invalid response that is treated as an empty one.
#[test]
fn a_response_of_another_type_is_an_error() {
    let instances = [FakeInstance::new(Ok((200, b"{}".to_vec())))];
    let error = block_on(caller(&instances).submit(&submission())).expect_err("no job id");
    assert!(matches!(error, Error::Response(_)), "{error}");
}

/// Guards against a time line that silently omits an instance.
#[test]
fn events_are_collected_from_all_instances_and_missing_ones_are_listed() {
    let page = serde_json::json!({"events": [], "dropped": 1});
    let instances = [
        FakeInstance::responding(page.clone()),
        FakeInstance::timing_out(),
        FakeInstance::responding(page),
    ];
    let gathered = block_on(caller(&instances).events(Default::default())).expect("two answers");
    assert_eq!((gathered.answers.len(), gathered.missing.len()), (2, 1));
    assert_eq!(calls(&instances), [1, 1, 1]);
}

/// Guards against an instance that is reported as unreachable although it is only not ready.
#[test]
fn the_report_of_an_instance_that_is_not_ready_is_returned() {
    let report = serde_json::json!({"instance": "a", "state": "draining", "ready": false});
    let instances = [FakeInstance::new(Ok((503, report.to_string().into_bytes())))];
    let gathered = block_on(caller(&instances).health()).expect("an answer");
    assert!(!gathered.answers[0].1.ready);
}
