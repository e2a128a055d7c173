//! Requests of a run. Apart from the random run number in its id, which also determines the body,
//! and in its key, each depends only on the settings and its position.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Method, Request, Url};
use smol_str::{SmolStr, format_smolstr};

use super::settings::Settings;
use crate::payload::{Digest, Pattern};
use crate::runner;

/// Request to be sent.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    pub(super) id: SmolStr,
    /// Present exactly when the request is non-idempotent.
    pub(super) key: Option<SmolStr>,
    pub(super) path: SmolStr,
    pub(super) body: Vec<u8>,
    pub(super) answer_bytes: Option<u64>,
    pub(super) deadline: Duration,
    work: Option<Duration>,
}

impl Plan {
    /// Creates the request at `position`. `run` distinguishes runs with the same seed.
    pub(super) fn new(settings: &Settings, run: u64, position: u64) -> Plan {
        let mut random = fastrand::Rng::with_seed(settings.seed ^ (position << 20));
        let id = format_smolstr!("load-{run:016x}-{position}");
        let non_idempotent = random.f64() < settings.non_idempotent;
        Plan {
            key: non_idempotent.then(|| format_smolstr!("key-{run:016x}-{position}")),
            path: format_smolstr!("/{}/load/{position}", settings.service),
            body: Pattern::new(&id, settings.body_bytes).bytes(),
            answer_bytes: settings.answer_bytes,
            deadline: settings.deadline,
            work: settings.work,
            id,
        }
    }

    pub(super) fn body_digest(&self) -> Digest {
        Digest::of(&self.body)
    }

    pub(super) fn method(&self) -> Method {
        if self.key.is_some() {
            return Method::Post;
        }
        if self.body.is_empty() { Method::Get } else { Method::Put }
    }

    /// Returns the HTTP request, addressed to an entry.
    pub(super) fn request(&self, entry: SocketAddr) -> Result<Request, String> {
        let url = Url::parse(&format!("http://{entry}{}", self.path));
        let url = url.map_err(|error| error.to_string())?;
        let mut request = Request::new(self.method(), url);
        request.insert_header(runner::REQUEST_ID, self.id.as_str());
        request.insert_header("x-request-timeout-ms", self.deadline.as_millis().to_string());
        if let Some(key) = &self.key {
            request.insert_header("idempotency-key", key.as_str());
            request.insert_header("x-non-idempotent", "true");
        }
        if let Some(work) = self.work {
            request.insert_header(runner::WORK, work.as_millis().to_string());
        }
        if let Some(bytes) = self.answer_bytes {
            request.insert_header(runner::ANSWER_BYTES, bytes.to_string());
        }
        if !self.body.is_empty() {
            request.set_body(self.body.clone());
        }
        Ok(request)
    }
}
