//! Merged time line of all instances.

use knapweedgap_operator::event::{self, Event, Filter, Page};

use crate::entries::Entry;
use crate::fault::Fault;

/// Limit on the events of one read.
const EVENTS_MAX: u32 = 20_000;

/// Reads the events of all instances through one of them.
///
/// # Errors
///
/// Returns a [`Fault`] if the call to the instance fails.
pub(crate) async fn read(entry: &Entry) -> Result<Page, Fault> {
    let filter = Filter { limit: Some(EVENTS_MAX), ..Filter::default() };
    let collected = entry.caller().events(filter).await;
    let collected = collected.map_err(|error| Fault::new("events", error))?;
    Ok(event::merge(collected.answers.into_iter().map(|(_, page)| page).collect()))
}

/// Prints the time line. It contains only requests that were refused, failed or retried, because
/// entries record no others.
pub(crate) fn print(page: &Page) {
    println!("\nTime line of all instances (time since the first event, in seconds)");
    let start = page.events.first().map(|event| event.at.wall_ms).unwrap_or_default();
    for event in &page.events {
        println!("{}", line(event, start));
    }
    if page.dropped > 0 {
        println!("{} events were dropped before they were read", page.dropped);
    }
}

fn line(event: &Event, start_ms: u64) -> String {
    let seconds = event.at.wall_ms.saturating_sub(start_ms) as f64 / 1000.0;
    let mut line = format!("{seconds:8.3} {:<8} {:<18}", event.instance.as_str(), event.kind);
    if let Some(job) = event.job {
        line.push_str(&format!(" job {job}"));
    }
    if let Some(vm) = &event.vm {
        line.push_str(&format!(" vm {vm}"));
    }
    format!("{line} {}", event.text).trim_end().to_owned()
}
