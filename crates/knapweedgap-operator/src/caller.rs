//! Calls of the administration API that try several instances in turn.

use std::fmt;

use derive_more::Display;
use knapweedgap_core::id;
use knapweedgap_settings::Patch;
use serde::de::DeserializeOwned;
use serde_json::Value as Json;

use crate::error::{Body, Code};
use crate::route::Route;
use crate::transport::{self, Transport};
use crate::{codec, doctor, event, health, instance, job, partition, request, settings};

/// HTTP status which states that the call had no effect and may be repeated on another instance.
const NOT_RUN_STATUS: u16 = 503;

/// Failed attempt to call an instance.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{address}: {reason}")]
pub struct Attempt {
    /// Address of the instance.
    pub address: String,
    /// Reason of the failure, for display.
    pub reason: String,
}

/// Reason why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// No instance answered the call. A repeatable call may have taken effect nevertheless.
    Unreachable(#[error(not(source))] Vec<Attempt>),
    /// The call may have taken effect and must not be repeated.
    Unknown(#[error(not(source))] Attempt),
    /// The response is not a valid message of the administration API.
    Response(#[error(not(source))] Attempt),
    /// The instance rejected the call.
    Refused(#[error(not(source))] Body),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable(attempts) => {
                f.write_str("no instance answered the call")?;
                for attempt in attempts {
                    write!(f, "\n{attempt}")?;
                }
                Ok(())
            }
            Error::Unknown(attempt) => write!(f, "the call may have taken effect: {attempt}"),
            Error::Response(attempt) => write!(f, "invalid answer from {attempt}"),
            Error::Refused(body) => write!(f, "{body}"),
        }
    }
}

/// Responses of all instances that answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gathered<T> {
    /// Address and response of each instance, in the order of the caller's instances.
    pub answers: Vec<(String, T)>,
    /// Instances that did not answer.
    pub missing: Vec<Attempt>,
}

/// Sends calls of the administration API to one of several instances.
#[derive(Debug, Clone)]
pub struct Caller<T> {
    instances: Vec<T>,
}

impl<T> Caller<T>
where
    T: Transport,
{
    /// Creates a caller that tries the instances in this order.
    pub fn new(instances: Vec<T>) -> Caller<T> {
        Caller { instances }
    }

    /// Submits a job. A submission that was committed before gets the same job id.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn submit(&self, job: &job::Submission) -> Result<job::Accepted, Error> {
        self.call_any(&Route::Submit, Some(codec::encode(job))).await
    }

    /// Requests the state of a job.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn job(&self, job: id::Job) -> Result<job::Status, Error> {
        self.call_any(&Route::Job(job), None).await
    }

    /// Requests one page of jobs.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn jobs(&self, filter: job::Filter) -> Result<job::List, Error> {
        self.call_any(&Route::Jobs(filter), None).await
    }

    /// Cancels a job; idempotent.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn cancel(&self, job: id::Job) -> Result<job::Cancelled, Error> {
        self.call_any(&Route::Cancel(job), None).await
    }

    /// Requests the settings in force.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn settings(&self) -> Result<settings::Snapshot, Error> {
        self.call_any(&Route::Settings, None).await
    }

    /// Changes the settings.
    ///
    /// # Errors
    /// See [`Error`]; [`Error::Unknown`] if the response was lost.
    pub async fn patch(&self, patch: &Patch) -> Result<settings::Patched, Error> {
        self.call_any(&Route::Patch, Some(codec::encode(patch))).await
    }

    /// Checks a tree without storing it.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn check(&self, tree: &Json) -> Result<settings::Checked, Error> {
        self.call_any(&Route::Check, Some(codec::encode(tree))).await
    }

    /// Requests the latest changes of the settings.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn history(&self, range: settings::Range) -> Result<settings::History, Error> {
        self.call_any(&Route::History(range), None).await
    }

    /// Requests the list of instances that one instance knows.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn instances(&self) -> Result<instance::List, Error> {
        self.call_any(&Route::Instances, None).await
    }

    /// Requests the partitions and their owners.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn partitions(&self) -> Result<partition::List, Error> {
        self.call_any(&Route::Partitions, None).await
    }

    /// Requests the recorded outcome of a client request.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn outcome(&self, key: id::Key) -> Result<request::Record, Error> {
        self.call_any(&Route::Outcome(key), None).await
    }

    /// Requests the events of all instances.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no instance answered; see [`Error`] for the others.
    pub async fn events(&self, filter: event::Filter) -> Result<Gathered<event::Page>, Error> {
        self.call_all(&Route::Events(filter)).await
    }

    /// Requests the findings of all instances.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no instance answered; see [`Error`] for the others.
    pub async fn doctor(&self) -> Result<Gathered<doctor::Report>, Error> {
        self.call_all(&Route::Doctor).await
    }

    /// Requests the readiness of all instances.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no instance answered; see [`Error`] for the others.
    pub async fn health(&self) -> Result<Gathered<health::Report>, Error> {
        self.call_all(&Route::Readyz).await
    }

    /// Tries the instances in turn until one accepts or rejects the call.
    async fn call_any<A>(&self, route: &Route, body: Option<Vec<u8>>) -> Result<A, Error>
    where
        A: DeserializeOwned,
    {
        let mut attempts = Vec::new();
        for instance in &self.instances {
            let attempt =
                |reason: String| Attempt { address: instance.address().to_owned(), reason };
            let result = instance.call(route.method(), &route.to_string(), body.clone()).await;
            let (status, bytes) = match result {
                Ok(response) => response,
                Err(error @ transport::Error::NotSent(_)) => {
                    attempts.push(attempt(error.to_string()));
                    continue;
                }
                Err(error @ transport::Error::NoAnswer(_)) if route.is_repeatable() => {
                    attempts.push(attempt(error.to_string()));
                    continue;
                }
                Err(error) => return Err(Error::Unknown(attempt(error.to_string()))),
            };
            if (200..300).contains(&status) {
                return codec::decode(&bytes)
                    .map_err(|findings| Error::Response(attempt(findings.to_string())));
            }
            let Ok(refusal) = codec::decode::<Body>(&bytes) else {
                let reason = format!("status {status} without an error body");
                // Without a body that states "not run", a patch may have taken effect.
                if !route.is_repeatable() {
                    return Err(Error::Unknown(attempt(reason)));
                }
                attempts.push(attempt(reason));
                continue;
            };
            if status == NOT_RUN_STATUS && refusal.code == Code::NotRun {
                attempts.push(attempt(refusal.to_string()));
                continue;
            }
            if refusal.code == Code::Unknown {
                if !route.is_repeatable() {
                    return Err(Error::Unknown(attempt(refusal.to_string())));
                }
                attempts.push(attempt(refusal.to_string()));
                continue;
            }
            return Err(Error::Refused(refusal));
        }
        Err(Error::Unreachable(attempts))
    }

    /// Calls all instances one after the other.
    async fn call_all<A>(&self, route: &Route) -> Result<Gathered<A>, Error>
    where
        A: DeserializeOwned,
    {
        let mut gathered = Gathered { answers: Vec::new(), missing: Vec::new() };
        for instance in &self.instances {
            let address = instance.address().to_owned();
            let (status, bytes) =
                match instance.call(route.method(), &route.to_string(), None).await {
                    Ok(response) => response,
                    Err(error) => {
                        gathered.missing.push(Attempt { address, reason: error.to_string() });
                        continue;
                    }
                };
            let refusal = match (200..300).contains(&status) {
                true => None,
                false => codec::decode::<Body>(&bytes).ok(),
            };
            match refusal {
                Some(refusal) if status != NOT_RUN_STATUS => return Err(Error::Refused(refusal)),
                Some(refusal) => {
                    gathered.missing.push(Attempt { address, reason: refusal.to_string() });
                    continue;
                }
                None => {}
            }
            // An instance that is not ready responds with status 503 and its report.
            match codec::decode(&bytes) {
                Ok(response) => gathered.answers.push((address, response)),
                Err(_) => {
                    let reason = format!("status {status} with an unknown body");
                    gathered.missing.push(Attempt { address, reason });
                }
            }
        }
        if gathered.answers.is_empty() {
            return Err(Error::Unreachable(gathered.missing));
        }
        Ok(gathered)
    }
}
