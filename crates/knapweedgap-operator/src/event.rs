//! Events of the time line, as exposed by the administration API.

use std::fmt;

use knapweedgap_core::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::Body;
use crate::query::{Fields, Writer};

/// Timestamp of the hybrid logical clock; orders the events of all instances.
pub use knapweedgap_timeline::Stamp;

/// One event of the time line.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub at: Stamp,
    /// Instance that recorded the event.
    pub instance: id::Instance,
    /// Kind of the event, as `task_started`.
    pub kind: SmolStr,
    /// Job that the event concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<id::Job>,
    /// Request that the event concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<id::Request>,
    /// VM that the event concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<id::Vm>,
    /// Description, for display; may be empty.
    #[serde(default)]
    pub text: String,
}

/// Events of one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Events, ordered by timestamp.
    pub events: Vec<Event>,
    /// Number of events that were discarded from the buffer before they were read.
    #[serde(default)]
    pub dropped: u64,
}

/// Selects the events to read; formatted as a query string. Fields that are not set do not restrict
/// the selection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Only events of this job.
    pub job: Option<id::Job>,
    /// Only events of this request.
    pub request: Option<id::Request>,
    /// Only events of this VM.
    pub vm: Option<id::Vm>,
    /// Only events that this instance recorded.
    pub instance: Option<id::Instance>,
    /// Only events after this timestamp.
    pub after: Option<Stamp>,
    /// Most events in the response; the latest are returned.
    pub limit: Option<u32>,
}

impl Filter {
    pub(crate) fn parse(query: &str) -> Result<Filter, Body> {
        let mut fields = Fields::parse(query)?;
        let filter = Filter {
            job: fields.take("job")?,
            request: fields.take("request")?,
            vm: fields.take("vm")?,
            instance: fields.take("instance")?,
            after: fields.take("after")?,
            limit: fields.take("limit")?,
        };
        fields.finish("job, request, vm, instance, after, limit")?;
        Ok(filter)
    }
}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut writer = Writer::new(f);
        writer.field("job", &self.job)?;
        writer.field("request", &self.request)?;
        writer.field("vm", &self.vm)?;
        writer.field("instance", &self.instance)?;
        writer.field("after", &self.after)?;
        writer.field("limit", &self.limit)
    }
}

/// Merges the events of several instances, ordered by timestamp and without duplicates.
pub fn merge(pages: Vec<Page>) -> Page {
    let mut merged = Page::default();
    for page in pages {
        merged.events.extend(page.events);
        merged.dropped = merged.dropped.saturating_add(page.dropped);
    }
    merged.events.sort();
    merged.events.dedup();
    merged
}
