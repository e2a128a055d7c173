//! `knapweedgap events`

use bpaf::{Parser, construct, long};
use knapweedgap_operator::Transport;
use knapweedgap_operator::event::{self, Filter};
use serde_json::json;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;
use crate::{table, time};

const LEAF: Leaf = Leaf {
    name: "events",
    about: "Show the events of all named instances in causal order",
    examples: &[
        "knapweedgap events --job 00c0ffee00c0ffee",
        "knapweedgap events --vm worker-17 --after 1780000000000.0 --json",
    ],
};

/// Arguments of the command.
#[derive(Debug)]
pub struct Arguments {
    filter: Filter,
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let job = long("job").help("Only events of this job").argument("JOB").optional();
    let request =
        long("request").help("Only events of this request").argument("REQUEST").optional();
    let vm = long("vm").help("Only events of this VM").argument("VM").optional();
    let instance = long("process")
        .help("Only events that the instance with this id recorded")
        .argument("INSTANCE")
        .optional();
    let after = long("after")
        .help("Only events after this timestamp, as shown in the column STAMP")
        .argument("STAMP")
        .optional();
    let limit = long("limit")
        .help("Maximum number of events from each instance; the latest are shown")
        .argument("COUNT");
    let limit = limit.optional();
    let filter = construct!(Filter { job, request, vm, instance, after, limit });
    LEAF.parser(filter.map(|filter| Arguments { filter }), Command::Events)
}

impl Arguments {
    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let gathered = context.caller.events(self.filter).await?;
        let merged = event::merge(gathered.answers.into_iter().map(|(_, page)| page).collect());
        let mut rows = Vec::with_capacity(merged.events.len());
        for event in &merged.events {
            rows.push(vec![
                time::utc(event.at.wall_ms),
                event.at.to_string(),
                event.instance.to_string(),
                event.kind.to_string(),
                event.job.map_or("-".to_owned(), |job| job.to_string()),
                event.request.as_ref().map_or("-".to_owned(), ToString::to_string),
                event.vm.as_ref().map_or("-".to_owned(), ToString::to_string),
                event.text.clone(),
            ]);
        }
        let headings = ["TIME", "STAMP", "INSTANCE", "KIND", "JOB", "REQUEST", "VM", "TEXT"];
        let mut text = match rows.as_slice() {
            [] => "no events\n".to_owned(),
            rows => table::render(&headings, rows),
        };
        if merged.dropped > 0 {
            text.push_str(&format!("{} events were dropped\n", merged.dropped));
        }
        for attempt in &gathered.missing {
            text.push_str(&format!("no events from {attempt}\n"));
        }
        let missing: Vec<String> = gathered.missing.iter().map(ToString::to_string).collect();
        let json = json!({
            "events": merged.events, "dropped": merged.dropped, "missing": missing,
        });
        Ok(Output::new(&json, text))
    }
}
