//! Check of a complete answer against its request.

use http_types::Response;
use smol_str::SmolStr;

use super::event::Outcome;
use super::plan::Plan;
use crate::payload::{Digest, Pattern};
use crate::runner;

/// Complete answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) outcome_header: Option<SmolStr>,
    request_id: Option<SmolStr>,
    body_digest: Option<SmolStr>,
    pub(super) body: Vec<u8>,
}

/// Result of the check.
#[derive(Debug)]
pub(super) struct Assessment {
    pub(super) outcome: Outcome,
    pub(super) fault: Option<SmolStr>,
}

impl Answer {
    pub(super) fn new(response: &Response, body: Vec<u8>) -> Answer {
        let header =
            |name: &str| response.header(name).map(|value| SmolStr::new(value.last().as_str()));
        Answer {
            status: response.status().into(),
            outcome_header: header("x-outcome"),
            request_id: header(runner::REQUEST_ID),
            body_digest: header(runner::BODY_DIGEST),
            body,
        }
    }

    /// Classifies the answer. Any answer without the id of its request is wrong.
    pub(super) fn assess(&self, plan: &Plan) -> Assessment {
        if self.request_id.as_deref() != Some(plan.id.as_str()) {
            return mismatch("the answer has no request id or that of another request");
        }
        let outcome = match self.outcome_header.as_deref() {
            Some("not_run") => Outcome::NotRun,
            Some("unknown") => Outcome::Unknown,
            Some("recorded") => Outcome::Recorded,
            Some(_) => return mismatch("the x-outcome header has an unknown value"),
            None if !(200..300).contains(&self.status) => Outcome::Error,
            None => return self.check_body(plan),
        };
        Assessment { outcome, fault: None }
    }

    fn check_body(&self, plan: &Plan) -> Assessment {
        let sent = plan.body_digest().to_string();
        if self.body_digest.as_deref() != Some(sent.as_str()) {
            return mismatch(
                "the digest of the body received by the runner is missing or different",
            );
        }
        let is_match = match plan.answer_bytes {
            Some(length) => {
                let expected = Pattern::new(&plan.id, length).digest();
                self.body.len() as u64 == length && Digest::of(&self.body) == expected
            }
            None => self.is_echo(plan, &sent),
        };
        if is_match {
            return Assessment { outcome: Outcome::Complete, fault: None };
        }
        mismatch("the body does not belong to this request")
    }

    fn is_echo(&self, plan: &Plan, sent: &str) -> bool {
        let Ok(echo) = serde_json::from_slice::<serde_json::Value>(&self.body) else {
            return false;
        };
        echo["request_id"] == plan.id.as_str()
            && echo["path"] == plan.path.as_str()
            && echo["body_digest"] == sent
    }
}

fn mismatch(fault: &'static str) -> Assessment {
    Assessment { outcome: Outcome::Wrong, fault: Some(SmolStr::new_static(fault)) }
}
