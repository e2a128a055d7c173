//! Calls of the administration API by method and path.

use std::fmt;

use http_types::Method;
use knapweedgap_core::id;

use crate::error::{Body, Code};
use crate::{event, job, settings};

/// One call. `Display` writes its path and query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// `POST /v1/jobs`: body [`job::Submission`], response [`job::Accepted`].
    Submit,
    /// `GET /v1/jobs`: response [`job::List`].
    Jobs(job::Filter),
    /// `GET /v1/jobs/<id>`: response [`job::Status`].
    Job(id::Job),
    /// `POST /v1/jobs/<id>/cancel`: response [`job::Cancelled`].
    Cancel(id::Job),
    /// `GET /v1/settings`: response [`settings::Snapshot`].
    Settings,
    /// `PATCH /v1/settings`: body [`knapweedgap_settings::Patch`], response [`settings::Patched`].
    Patch,
    /// `POST /v1/settings/check`: body is a tree, response [`settings::Checked`].
    Check,
    /// `GET /v1/settings/history`: response [`settings::History`].
    History(settings::Range),
    /// `GET /v1/events`: response [`event::Page`].
    Events(event::Filter),
    /// `GET /v1/instances`: response [`crate::instance::List`].
    Instances,
    /// `GET /v1/partitions`: response [`crate::partition::List`].
    Partitions,
    /// `GET /v1/doctor`: response [`crate::doctor::Report`].
    Doctor,
    /// `GET /v1/healthz`: response [`crate::health::Report`].
    Healthz,
    /// `GET /v1/readyz`: response [`crate::health::Report`].
    Readyz,
    /// `GET /v1/metrics`: response in the Prometheus text format.
    Metrics,
    /// `GET /_knapweedgap/requests/<key>`: response [`crate::request::Record`].
    Outcome(id::Key),
}

const PREFIX: &str = "/v1/";
const OUTCOME_PREFIX: &str = "/_knapweedgap/requests/";

impl Route {
    /// Parses a call.
    ///
    /// # Errors
    /// The path is unknown, does not support the method, or has an invalid id or query.
    pub fn parse(method: Method, path_and_query: &str) -> Result<Route, Body> {
        let (path, query) = path_and_query.split_once('?').unwrap_or((path_and_query, ""));
        let route = Route::at(method, path, query)?;
        if route.method() != method {
            let help = format!("use the method {}", route.method());
            return Err(Body::new(Code::Method, truncated(path), help));
        }
        Ok(route)
    }

    fn at(method: Method, path: &str, query: &str) -> Result<Route, Body> {
        if let Some(key) = path.strip_prefix(OUTCOME_PREFIX) {
            return key.parse().map(Route::Outcome).map_err(|error| invalid(path, &error));
        }
        let parts: Vec<&str> = path.strip_prefix(PREFIX).unwrap_or_default().split('/').collect();
        match parts.as_slice() {
            ["jobs"] if method == Method::Post => Ok(Route::Submit),
            ["jobs"] => job::Filter::parse(query).map(Route::Jobs),
            ["jobs", job] => job.parse().map(Route::Job).map_err(|error| invalid(path, &error)),
            ["jobs", job, "cancel"] => {
                job.parse().map(Route::Cancel).map_err(|error| invalid(path, &error))
            }
            ["settings"] if method == Method::Patch => Ok(Route::Patch),
            ["settings"] => Ok(Route::Settings),
            ["settings", "check"] => Ok(Route::Check),
            ["settings", "history"] => settings::Range::parse(query).map(Route::History),
            ["events"] => event::Filter::parse(query).map(Route::Events),
            ["instances"] => Ok(Route::Instances),
            ["partitions"] => Ok(Route::Partitions),
            ["doctor"] => Ok(Route::Doctor),
            ["healthz"] => Ok(Route::Healthz),
            ["readyz"] => Ok(Route::Readyz),
            ["metrics"] => Ok(Route::Metrics),
            _ => Err(Body::new(Code::NotFound, truncated(path), "use a path of docs/cli.md")),
        }
    }

    /// Returns the HTTP method of the call.
    pub fn method(&self) -> Method {
        match self {
            Route::Submit | Route::Cancel(_) | Route::Check => Method::Post,
            Route::Patch => Method::Patch,
            _ => Method::Get,
        }
    }

    /// Returns `true` if the call may be repeated when its outcome is unknown. A submission carries
    /// an idempotency key and a cancellation is idempotent. A patch must not be repeated: the second
    /// one would conflict with the first.
    pub fn is_repeatable(&self) -> bool {
        !matches!(self, Route::Patch)
    }
}

fn truncated(path: &str) -> String {
    path.chars().take(64).collect()
}

fn invalid(path: &str, error: &dyn fmt::Display) -> Body {
    Body::new(Code::Invalid, truncated(path), error.to_string())
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Route::Submit => f.write_str("/v1/jobs"),
            Route::Jobs(filter) => with_query(f, "/v1/jobs", filter),
            Route::Job(job) => write!(f, "/v1/jobs/{job}"),
            Route::Cancel(job) => write!(f, "/v1/jobs/{job}/cancel"),
            Route::Settings | Route::Patch => f.write_str("/v1/settings"),
            Route::Check => f.write_str("/v1/settings/check"),
            Route::History(range) => with_query(f, "/v1/settings/history", range),
            Route::Events(filter) => with_query(f, "/v1/events", filter),
            Route::Instances => f.write_str("/v1/instances"),
            Route::Partitions => f.write_str("/v1/partitions"),
            Route::Doctor => f.write_str("/v1/doctor"),
            Route::Healthz => f.write_str("/v1/healthz"),
            Route::Readyz => f.write_str("/v1/readyz"),
            Route::Metrics => f.write_str("/v1/metrics"),
            Route::Outcome(key) => write!(f, "{OUTCOME_PREFIX}{key}"),
        }
    }
}

fn with_query(f: &mut fmt::Formatter<'_>, path: &str, query: &dyn fmt::Display) -> fmt::Result {
    let query = query.to_string();
    if query.is_empty() { f.write_str(path) } else { write!(f, "{path}?{query}") }
}
