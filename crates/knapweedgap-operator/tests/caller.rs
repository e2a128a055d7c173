//! The caller goes to the next instance when that is safe, and only then.

use std::cell::RefCell;

use futures_lite::future::block_on;
use http_types::Method;
use knapweedgap_core::revision::Revision;
use knapweedgap_operator::caller::Error;
use knapweedgap_operator::error::{Body, Code};
use knapweedgap_operator::{Caller, Transport, codec, job, transport};
use knapweedgap_settings::Patch;

type Answer = Result<(u16, Vec<u8>), transport::Error>;

/// Instance that gives a fixed answer and counts the calls.
struct Scripted {
    answer: Answer,
    calls: RefCell<Vec<(Method, String)>>,
}

impl Scripted {
    fn new(answer: Answer) -> Scripted {
        Scripted { answer, calls: RefCell::default() }
    }

    fn refusing(code: Code) -> Scripted {
        let body = Body::new(code, "place", "help");
        Scripted::new(Ok((code.status(), codec::encode(&body))))
    }

    fn silent() -> Scripted {
        Scripted::new(Err(transport::Error::NoAnswer("timeout".to_owned())))
    }

    fn absent() -> Scripted {
        Scripted::new(Err(transport::Error::NotSent("connection refused".to_owned())))
    }

    fn answering(json: serde_json::Value) -> Scripted {
        Scripted::new(Ok((200, json.to_string().into_bytes())))
    }
}

impl Transport for &Scripted {
    async fn call(
        &self,
        method: Method,
        path_and_query: &str,
        _body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), transport::Error> {
        self.calls.borrow_mut().push((method, path_and_query.to_owned()));
        self.answer.clone()
    }

    fn address(&self) -> &str {
        "127.0.0.1:1"
    }
}

fn accepted() -> Scripted {
    Scripted::answering(serde_json::json!({"job": "00000000000000ff", "partition": 3}))
}

fn patched() -> Scripted {
    Scripted::answering(serde_json::json!({"revision": 4, "changes": []}))
}

fn submission() -> job::Submission {
    let json = serde_json::json!({"team": "t", "key": "k", "class": "c", "run_time": "1s",
        "size": {"processor": "1", "memory": "1MiB"}});
    job::Submission::from_json(&json).expect("valid")
}

fn calls(instances: &[Scripted]) -> Vec<usize> {
    instances.iter().map(|instance| instance.calls.borrow().len()).collect()
}

fn caller(instances: &[Scripted]) -> Caller<&Scripted> {
    Caller::new(instances.iter().collect())
}

/// Guards against a submission that is lost with the first instance, although its idempotency key
/// makes it safe to repeat.
#[test]
fn a_submission_goes_to_the_next_instance_after_any_lost_answer() {
    let instances = [
        Scripted::absent(),
        Scripted::silent(),
        Scripted::refusing(Code::NotRun),
        Scripted::refusing(Code::Unknown),
        accepted(),
        accepted(),
    ];
    let answer = block_on(caller(&instances).submit(&submission())).expect("accepted");
    assert_eq!(answer.partition.get(), 3);
    assert_eq!(calls(&instances), [1, 1, 1, 1, 1, 0]);
}

/// Guards against a patch that is applied and then reported as a conflict with itself.
#[test]
fn a_patch_is_not_repeated_after_a_lost_answer() {
    let patch = Patch::builder(Revision::new(3)).build();
    for first in [Scripted::silent(), Scripted::refusing(Code::Unknown)] {
        let instances = [first, patched()];
        let error = block_on(caller(&instances).patch(&patch)).expect_err("the outcome is unknown");
        assert!(matches!(error, Error::Unknown(_)), "{error}");
        assert_eq!(calls(&instances), [1, 0]);
    }
    let instances = [Scripted::absent(), Scripted::refusing(Code::NotRun), patched()];
    block_on(caller(&instances).patch(&patch)).expect("nothing had taken effect");
}

/// Guards against a refusal that is hidden by asking the next instance.
#[test]
fn a_refusal_is_final() {
    for code in [Code::Invalid, Code::NotFound, Code::Conflict, Code::Refused, Code::Internal] {
        let instances = [Scripted::refusing(code), accepted()];
        let error = block_on(caller(&instances).submit(&submission())).expect_err("refused");
        assert!(matches!(&error, Error::Refused(body) if body.code == code), "{error}");
        assert_eq!(calls(&instances), [1, 0]);
    }
}

/// Guards against an error that does not say which instances were tried and why they failed.
#[test]
fn an_unreachable_error_names_every_attempt() {
    let instances = [Scripted::absent(), Scripted::new(Ok((502, b"bad gateway".to_vec())))];
    let error = block_on(caller(&instances).partitions()).expect_err("unreachable");
    let Error::Unreachable(attempts) = &error else { panic!("{error}") };
    assert_eq!(attempts.len(), 2);
    assert!(attempts[1].reason.contains("502"), "{error}");
}

/// Guards against a broken answer that is taken for an empty one.
#[test]
fn an_answer_of_another_shape_is_an_error() {
    let instances = [Scripted::new(Ok((200, b"{}".to_vec())))];
    let error = block_on(caller(&instances).submit(&submission())).expect_err("no job id");
    assert!(matches!(error, Error::Answer(_)), "{error}");
}

/// Guards against a time line that silently leaves out an instance.
#[test]
fn events_come_from_all_instances_and_name_the_missing_ones() {
    let page = serde_json::json!({"events": [], "dropped": 1});
    let instances =
        [Scripted::answering(page.clone()), Scripted::silent(), Scripted::answering(page)];
    let gathered = block_on(caller(&instances).events(Default::default())).expect("two answers");
    assert_eq!((gathered.answers.len(), gathered.missing.len()), (2, 1));
    assert_eq!(calls(&instances), [1, 1, 1]);
}

/// Guards against an instance that is not ready and is shown as unreachable.
#[test]
fn the_report_of_an_instance_that_is_not_ready_is_shown() {
    let report = serde_json::json!({"instance": "a", "state": "draining", "ready": false});
    let instances = [Scripted::new(Ok((503, report.to_string().into_bytes())))];
    let gathered = block_on(caller(&instances).health()).expect("an answer");
    assert!(!gathered.answers[0].1.ready);
}
