//! One ordered list from the events of several instances.

use crate::event::Event;

/// Orders the events of all lists by stamp, then by instance, and keeps one of equal events.
///
/// The stamps of one instance are distinct, so events are equal only when two lists contain the
/// same event.
pub fn merge<Lists>(lists: Lists) -> Vec<Event>
where
    Lists: IntoIterator<Item = Vec<Event>>,
{
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.instance, a.kind).cmp(&(b.stamp, &b.instance, b.kind)));
    events.dedup();
    events
}
