//! Administration API: queries and commands of operators.

mod convert;
mod job;
mod owner;
mod status;

use std::net::TcpListener;
use std::rc::Rc;

use async_io::Async;
use http_types::{Request, Response};
use knapweedgap_core::id;
use knapweedgap_http::{Limit, json, server};
use knapweedgap_operator::error::{Body, Code};
use knapweedgap_operator::settings::{Checked, History, Snapshot};
use knapweedgap_operator::{Route, codec, request};
use knapweedgap_settings::{Patch, Tree};
use serde::Serialize;

use super::context::Context;
use super::{claim, fixed, tree};
use crate::metric;

pub(crate) use owner::scope;

/// Maximum body length of a call, in bytes.
const BODY_MAX: usize = 2 * 1024 * 1024;

/// Scope of a call, which determines whether it is forwarded to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// The call came from an operator and is answered for the whole installation.
    Installation,
    /// The call came from another instance and is answered from local state.
    Local,
    /// The call came from another instance and is addressed to this partition.
    Partition(id::Partition),
}

/// Answer to a call.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
    pub(crate) content_type: &'static str,
}

const JSON: &str = "application/json";

impl Answer {
    pub(crate) fn ok<Value>(value: &Value) -> Answer
    where
        Value: Serialize,
    {
        Answer { status: 200, body: codec::encode(value), content_type: JSON }
    }

    pub(crate) fn error(error: &Body) -> Answer {
        let status = error.code.status();
        Answer { status, body: codec::encode(error), content_type: JSON }
    }

    fn of<Value>(result: Result<Value, Body>) -> Answer
    where
        Value: Serialize,
    {
        match result {
            Ok(value) => Answer::ok(&value),
            Err(error) => Answer::error(&error),
        }
    }
}

/// Serves operators. Connections end when `stop` fires.
pub(crate) async fn serve(context: Rc<Context>, listener: Async<TcpListener>, stop: server::Stop) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            super::context::sleep(std::time::Duration::from_millis(100)).await;
            continue;
        };
        let socket = std::sync::Arc::new(stream);
        let stop = stop.clone();
        let endpoint_context = context.clone();
        context.spawn(async move {
            let endpoint = |request| answer(endpoint_context.clone(), request);
            let served = server::serve(socket, Limit::default(), stop, endpoint).await;
            if let Err(error) = served {
                log::debug!("[operator] connection ended: {error}");
            }
        });
    }
}

async fn answer(context: Rc<Context>, mut request: Request) -> Response {
    let body = match json::read_body(&mut request, BODY_MAX).await {
        Ok(body) => body,
        Err(error) => {
            let error = Body::new(Code::TooLarge, "body", error.to_string());
            return response(Answer::error(&error));
        }
    };
    let url = request.url();
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let answer = match Route::parse(request.method(), &path) {
        Ok(route) => handle(&context, route, &body, Scope::Installation).await,
        Err(error) => Answer::error(&error),
    };
    response(answer)
}

fn response(answer: Answer) -> Response {
    let mut response = Response::new(answer.status);
    response.set_body(answer.body);
    response.insert_header("content-type", answer.content_type);
    response
}

/// Executes one call.
pub(crate) async fn handle(
    context: &Rc<Context>,
    route: Route,
    body: &[u8],
    scope: Scope,
) -> Answer {
    match route {
        Route::Submit => job::submit(context, body, scope).await,
        Route::Jobs(filter) => job::list(context, &filter, scope).await,
        Route::Job(id) => job::show(context, id, scope).await,
        Route::Cancel(id) => job::cancel(context, id, scope).await,
        Route::Settings => settings(context),
        Route::Patch => patch(context, body).await,
        Route::Check => Answer::ok(&check(context, body)),
        Route::History(range) => history(context, &range).await,
        Route::Events(filter) => status::events(context, filter, scope).await,
        Route::Instances => Answer::ok(&status::instances(context)),
        Route::Partitions => status::partitions(context, scope).await,
        Route::Doctor => status::doctor(context, scope).await,
        Route::Healthz => Answer::ok(&status::health(context)),
        Route::Readyz => status::readiness(context),
        Route::Metrics => Answer {
            status: 200,
            body: metric::render().into_bytes(),
            content_type: "text/plain; version=0.0.4",
        },
        Route::Outcome(key) => Answer::of(outcome(context, &key).await),
    }
}

fn settings(context: &Context) -> Answer {
    if !context.tree.is_known() {
        let help =
            "the instance has not read the settings yet; retry later or use another instance";
        return Answer::error(&Body::new(Code::NotRun, "settings", help));
    }
    let tree = context.tree.query(Tree::to_json);
    Answer::ok(&Snapshot { revision: context.tree.revision(), tree })
}

async fn patch(context: &Rc<Context>, body: &[u8]) -> Answer {
    let patch: Patch = match codec::decode(body) {
        Ok(patch) => patch,
        Err(findings) => return Answer::error(&Body::invalid(findings)),
    };
    Answer::of(tree::commit(context, &patch).await)
}

fn check(context: &Context, body: &[u8]) -> Checked {
    match Tree::parse(body) {
        Ok(tree) => {
            let changes = context.tree.query(|current| current.diff(&tree));
            Checked { findings: fixed::check(&changes), changes }
        }
        Err(findings) => Checked { findings, changes: Vec::new() },
    }
}

async fn history(context: &Rc<Context>, range: &knapweedgap_operator::settings::Range) -> Answer {
    let read = tree::read_history(context).await;
    let Ok(mut records) = read else {
        let help = "the key-value service does not answer; retry later";
        return Answer::error(&Body::new(Code::NotRun, "settings", help));
    };
    // The store returns the oldest change first.
    records.reverse();
    if let Some(after) = range.after {
        records.retain(|record| record.revision > after);
    }
    if let Some(limit) = range.limit {
        records.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    }
    Answer::ok(&History { records })
}

/// Returns the recorded outcome of the request with a client key.
pub(crate) async fn outcome(context: &Rc<Context>, key: &id::Key) -> Result<request::Record, Body> {
    let read = claim::read(context, key).await;
    let claim = read.map_err(|error| {
        let help = format!("{error}; retry when the key-value service is reachable");
        Body::new(Code::NotRun, "request", help)
    })?;
    let Some(claim) = claim else {
        let help = "no request with this key found; outcomes are kept for 10 minutes";
        return Err(Body::new(Code::NotFound, "request", help));
    };
    let outcome = match claim.status {
        Some(_) => request::Outcome::Recorded,
        None => request::Outcome::Unknown,
    };
    let help = match claim.status {
        Some(_) => "the request was executed and answered with this status",
        None => "the request was sent and its outcome is not recorded",
    };
    Ok(request::Record {
        outcome,
        request_id: Some(claim.request),
        status: claim.status,
        help: help.to_owned(),
    })
}
