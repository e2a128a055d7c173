//! Commands on batch jobs.

pub mod cancel;
pub mod list;
pub mod status;
pub mod submit;
pub mod wait;

use bpaf::Parser;
use knapweedgap_operator::job::Status;

use crate::command::Invocation;
use crate::leaf::group;
use crate::table;

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let commands =
        vec![submit::parser(), status::parser(), list::parser(), cancel::parser(), wait::parser()];
    group("job", "Submit and monitor batch jobs", commands)
}

/// Renders jobs as a table.
fn render(jobs: &[Status]) -> String {
    let headings = [
        "JOB",
        "TEAM",
        "KEY",
        "CLASS",
        "PRIORITY",
        "STATE",
        "WAITING",
        "RUNNING",
        "FINISHED",
        "FAILED",
        "EVICTIONS",
    ];
    let mut rows = Vec::with_capacity(jobs.len());
    for job in jobs {
        rows.push(vec![
            job.job.to_string(),
            job.team.to_string(),
            cell(job.key.as_ref()),
            cell(job.class.as_ref()),
            cell(job.priority.as_ref()),
            job.state.to_string(),
            job.tasks.pending.to_string(),
            (job.tasks.placed + job.tasks.running + job.tasks.stopping).to_string(),
            job.tasks.finished.to_string(),
            job.tasks.failed.to_string(),
            job.evictions.to_string(),
        ]);
    }
    table::render(&headings, &rows)
}

/// Renders a field; a dash stands for one that an ended job no longer has.
fn cell<Field>(field: Option<&Field>) -> String
where
    Field: std::fmt::Display,
{
    field.map_or_else(|| "-".to_owned(), ToString::to_string)
}
