//! Merges the events of several instances into one ordered list.

use crate::event::Event;

/// Returns the events of all lists, ordered by stamp and then by instance, without duplicates.
///
/// The stamps of one instance are distinct, so two events are equal only if they are copies of the
/// same event from two lists.
pub fn merge<Lists>(lists: Lists) -> Vec<Event>
where
    Lists: IntoIterator<Item = Vec<Event>>,
{
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.instance, a.kind).cmp(&(b.stamp, &b.instance, b.kind)));
    events.dedup();
    events
}
