//! Filter for events.

use knapweedgap_core::id;
use serde::{Deserialize, Serialize};

use crate::event::{Event, Kind};
use crate::stamp::Stamp;

/// Conditions on an event, all of which must hold. An absent condition holds for every event.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Filter {
    /// Job of the event, or job of its task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<id::Job>,
    /// Client request of the event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<id::Request>,
    /// VM of the event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<id::Vm>,
    /// Instance that recorded the event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub process: Option<id::Instance>,
    /// Kind of the event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Kind>,
    /// Lower bound on the stamp of the event, inclusive.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<Stamp>,
}

impl Filter {
    /// Returns `true` if the event meets all conditions.
    pub fn matches(&self, event: &Event) -> bool {
        let job = event.job.or(event.task.map(|task| task.job));
        self.since.is_none_or(|since| event.stamp >= since)
            && self.kind.is_none_or(|kind| event.kind == kind)
            && (self.job.is_none() || self.job == job)
            && (self.request.is_none() || self.request == event.request)
            && (self.vm.is_none() || self.vm == event.vm)
            && self.process.as_ref().is_none_or(|process| *process == event.instance)
    }
}
