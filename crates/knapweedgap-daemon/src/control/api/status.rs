//! Calls about instances, partitions, events and findings.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::future;
use knapweedgap_core::{id, revision};
use knapweedgap_instance::wire::Events;
use knapweedgap_operator::doctor::{Finding, Report as Findings, Severity};
use knapweedgap_operator::event::{Event, Filter, Page};
use knapweedgap_operator::health::Report;
use knapweedgap_operator::instance::{self, Record};
use knapweedgap_operator::partition::{self, List};
use knapweedgap_operator::{Route, codec};
use knapweedgap_timeline as timeline;
use serde::de::DeserializeOwned;

use super::super::context::Context;
use super::{Answer, Scope};

const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Page length if the call has no limit.
const EVENTS_PER_PAGE: u32 = 1000;
/// Maximum number of findings about one partition.
const FINDINGS_MAX: usize = 1000;

/// Decoded answer of one peer.
pub(super) struct Reply<Value> {
    pub(super) peer: id::Instance,
    pub(super) answer: Value,
}

/// Sends a call to all peers concurrently. The result omits peers that do not answer within
/// [`PEER_TIMEOUT`] or whose answer is invalid.
pub(super) async fn query_peers<Value>(context: &Rc<Context>, route: &Route) -> Vec<Reply<Value>>
where
    Value: DeserializeOwned,
{
    let path = route.to_string();
    let mut calls = Vec::new();
    for (peer, sender) in context.links.senders() {
        let path = path.clone();
        let method = route.method();
        calls.extend(context.start(async move {
            let reply = sender.forward(method.as_ref(), &path, "", PEER_TIMEOUT).await.ok()?;
            Some((peer, reply.body))
        }));
    }
    let mut replies = Vec::new();
    for call in calls {
        let Some((peer, body)) = call.await else { continue };
        let Ok(answer) = codec::decode(body.as_bytes()) else { continue };
        replies.push(Reply { peer, answer });
    }
    replies
}

/// Returns the latest events that match the filter, merged over all reachable instances if the
/// scope is the installation.
pub(super) async fn events(context: &Rc<Context>, filter: Filter, scope: Scope) -> Answer {
    let limit = filter.limit.unwrap_or(EVENTS_PER_PAGE);
    let timeline_filter = timeline::Filter {
        job: filter.job,
        request: filter.request.clone(),
        vm: filter.vm.clone(),
        process: filter.instance.clone(),
        kind: None,
        since: filter.after,
    };
    let count = usize::try_from(limit).unwrap_or(usize::MAX);
    let (local_events, mut dropped) = context.journal.select(&timeline_filter, count);
    let mut lists = vec![local_events];
    if scope == Scope::Installation {
        for (_, sender) in context.links.senders() {
            let answer = sender.query(timeline_filter.clone(), limit, PEER_TIMEOUT).await;
            let Ok(Events::List { events, dropped: lost, .. }) = answer else { continue };
            lists.push(events);
            dropped += lost;
        }
    }
    let merged = timeline::merge::merge(lists);
    let skipped = merged.len().saturating_sub(count);
    let events = merged.into_iter().skip(skipped).map(operator_event).collect();
    Answer::ok(&Page { events, dropped })
}

fn operator_event(event: timeline::Event) -> Event {
    let mut text = String::new();
    if let Some(task) = event.task {
        text = format!("task {task} ");
    }
    if let Some(partition) = event.partition {
        text.push_str(&format!("partition {partition} "));
    }
    text.push_str(&event.detail);
    Event {
        at: event.stamp,
        instance: event.instance,
        kind: event.kind.into(),
        job: event.job,
        request: event.request,
        vm: event.vm,
        text: text.trim_end().to_owned(),
    }
}

/// Returns this instance and its peers.
pub(super) fn instances(context: &Context) -> instance::List {
    let local = Record {
        instance: context.config.instance.clone(),
        incarnation: context.incarnation,
        zone: context.config.zone.clone(),
        state: context.state(),
        address: context.config.operator.to_string(),
        settings_revision: context.tree.revision(),
        store_reachable: context.store_reachable.get(),
        partitions: context.members.owned().into_iter().map(|(partition, _)| partition).collect(),
    };
    let mut instances = vec![local];
    instances.extend(context.members.peer_records(context));
    instances.sort_by(|left, right| left.instance.cmp(&right.instance));
    instance::List { instances }
}

/// Returns the records of the partitions as reported by their owners. A partition without an
/// answer is listed without an owner.
pub(super) async fn partitions(context: &Rc<Context>, scope: Scope) -> Answer {
    let mut partitions = Vec::new();
    for owned in context.partitions.all() {
        let now = context.now();
        let Some(counts) = owned.query(|engine| engine.counts(now)) else { continue };
        let running = owned.query(|engine| running(engine)).unwrap_or_default();
        partitions.push(partition::Record {
            partition: owned.partition,
            owner: Some(context.config.instance.clone()),
            epoch: owned.epoch,
            workers: u32::try_from(counts.workers).unwrap_or(u32::MAX),
            pending_tasks: counts.unfinished.saturating_sub(running),
            running_tasks: running,
        });
    }
    if scope == Scope::Installation {
        for reply in query_peers::<List>(context, &Route::Partitions).await {
            partitions.extend(reply.answer.partitions);
        }
        for number in 0..context.members.partitions() {
            let number = id::Partition::new(number);
            if partitions.iter().any(|known| known.partition == number) {
                continue;
            }
            partitions.push(partition::Record {
                partition: number,
                owner: None,
                epoch: revision::Epoch::default(),
                workers: 0,
                pending_tasks: 0,
                running_tasks: 0,
            });
        }
    }
    partitions.sort_by_key(|record| record.partition);
    partitions.dedup_by_key(|record| record.partition);
    Answer::ok(&List { partitions })
}

fn running(engine: &knapweedgap_placement::engine::Engine) -> u32 {
    let mut running = 0;
    for job in engine.state().jobs().values() {
        let active = job.tasks.values().filter(|task| task.assignment().is_some()).count();
        running += u32::try_from(active).unwrap_or(u32::MAX);
    }
    running
}

/// Returns findings about waiting jobs and about faults of the installation.
pub(super) async fn doctor(context: &Rc<Context>, scope: Scope) -> Answer {
    let mut findings = Vec::new();
    let now = context.now();
    for owned in context.partitions.all() {
        let lines = owned.query(|engine| engine.explain(FINDINGS_MAX, now)).unwrap_or_default();
        for line in lines {
            findings.push(Finding {
                severity: Severity::Note,
                code: "job_waits".into(),
                place: format!("job {}", line.job),
                help: line.reason.to_string(),
            });
        }
    }
    if !context.store_reachable.get() {
        findings.push(Finding {
            severity: Severity::Fault,
            code: "store_unreachable".into(),
            place: format!("instance {}", context.config.instance),
            help: "the key-value service does not answer; requests are still routed, but no job \
                   or settings change is committed; see docs/operate/store-outage.md"
                .to_owned(),
        });
    }
    findings.extend(context.fleet.findings(&context.config.instance));
    if scope == Scope::Installation {
        for reply in query_peers::<Findings>(context, &Route::Doctor).await {
            findings.extend(reply.answer.findings);
        }
        findings.extend(context.members.findings());
    }
    findings.sort_by_key(|finding| std::cmp::Reverse(finding.severity));
    // Building a long list blocks the control thread; let its other tasks run.
    future::yield_now().await;
    Answer::ok(&Findings { findings })
}

/// Returns the health report of the process in any state of its life cycle.
pub(super) fn health(context: &Context) -> Report {
    let state = context.state();
    let mut reasons = Vec::new();
    if !context.tree.is_known() {
        reasons.push("the settings have not been read yet".to_owned());
    }
    if state == instance::State::Draining {
        reasons.push("the instance is shutting down".to_owned());
    }
    let ready = reasons.is_empty() && state == instance::State::Serving;
    Report { instance: context.config.instance.clone(), state, ready, reasons }
}

/// Returns status 200 if the instance accepts new work and 503 otherwise, for load balancers.
pub(super) fn readiness(context: &Context) -> Answer {
    let report = health(context);
    let status = if report.ready { 200 } else { 503 };
    Answer { status, ..Answer::ok(&report) }
}
