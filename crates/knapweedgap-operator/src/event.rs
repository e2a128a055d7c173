//! Events as the administration API shows them.

use std::fmt;

use knapweedgap_core::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::Body;
use crate::query::{Fields, Writer};

/// Reading of the hybrid logical clock, by which the events of all instances are ordered.
pub use knapweedgap_timeline::Stamp;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Event {
    /// When it happened.
    pub at: Stamp,
    /// Instance that recorded it.
    pub instance: id::Instance,
    /// Kind, as `task_started`.
    pub kind: SmolStr,
    /// Job that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<id::Job>,
    /// Request that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<id::Request>,
    /// VM that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<id::Vm>,
    /// What happened, for people.
    #[serde(default)]
    pub text: String,
}

/// Events of one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Events in the order of their stamps.
    pub events: Vec<Event>,
    /// Events that were dropped before they could be read.
    #[serde(default)]
    pub dropped: u64,
}

/// Which events to read; written as a query string. Fields that are not set do not restrict.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Events of this job.
    pub job: Option<id::Job>,
    /// Events of this request.
    pub request: Option<id::Request>,
    /// Events of this VM.
    pub vm: Option<id::Vm>,
    /// Events that this instance recorded.
    pub instance: Option<id::Instance>,
    /// Events after this stamp.
    pub after: Option<Stamp>,
    /// Most events in the answer; the latest are kept.
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

/// Merges the events of several instances, in the order of their stamps and without repeats.
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
