//! Conversion between the types of the placement engine and the messages to and from workers.

use std::time::Duration;

use knapweedgap_placement::command::{Command, Heartbeat, Start};
use knapweedgap_placement::report;
use knapweedgap_worker::wire;

use super::heartbeat::Backlog;

pub(super) fn heartbeat(heartbeat: &Heartbeat, backlog: Backlog) -> wire::Heartbeat {
    let grant = heartbeat.grant.map(|grant| wire::Grant {
        based_on_us: micros(grant.based_on),
        lease_ms: millis(grant.lease),
    });
    wire::Heartbeat {
        partition: heartbeat.partition,
        epoch: heartbeat.epoch,
        grant,
        publish: backlog.publish,
        forget: backlog.forget,
    }
}

pub(super) fn head(command: &Command) -> wire::Head {
    wire::Head {
        partition: command.partition,
        epoch: command.epoch,
        incarnation: command.incarnation,
        task: command.task,
        attempt: command.attempt,
    }
}

pub(super) fn start(head: wire::Head, start: Start) -> wire::Start {
    wire::Start {
        head,
        class: start.class,
        size: start.size,
        run_time_ms: millis(start.run_time),
        checkpoint: start.checkpoint,
        expires_us: micros(start.expires),
        payload: start.payload,
    }
}

pub(super) fn report(report: wire::Report) -> report::Report {
    report::Report {
        worker: report.worker,
        incarnation: report.incarnation,
        epoch: report.epoch,
        clock: Duration::from_micros(report.clock_us),
        capacity: report.capacity,
        tasks: report.tasks.into_iter().map(task).collect(),
    }
}

fn task(task: wire::Task) -> report::Task {
    let state = match task.state {
        wire::State::Running => report::State::Running,
        wire::State::Stopped => report::State::Stopped,
        wire::State::Succeeded => report::State::Succeeded,
        wire::State::Failed => report::State::Failed(task.exit.unwrap_or_default()),
        wire::State::OverMemory => report::State::OverMemory,
    };
    report::Task {
        task: task.task,
        attempt: task.attempt,
        state,
        checkpoint: task.checkpoint,
        usage: task.usage,
        share: task.share,
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
