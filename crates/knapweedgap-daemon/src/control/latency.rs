//! Forwards tail latencies of upstreams to the partition owners of the workers that host them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_instance::wire::{Body, Latencies, Latency};
use knapweedgap_membership::rendezvous;
use knapweedgap_placement::report;

use super::context::Context;
use crate::traffic::Measurement;

/// Sends the measurements of one traffic thread, for a window that ends now, to the owners.
pub(super) fn report(context: &Rc<Context>, window: Duration, measurements: Vec<Measurement>) {
    let mut by_owner: BTreeMap<id::Instance, Vec<Latency>> = BTreeMap::new();
    for upstream in measurements {
        let Some(worker) = context.fleet.host(&upstream.upstream) else { continue };
        let partition = rendezvous::partition(&worker, context.members.partitions());
        let owner = context.members.query(|engine| engine.owner(partition).cloned());
        let Some(owner) = owner else { continue };
        by_owner.entry(owner.instance).or_default().push(Latency {
            service: upstream.service,
            worker,
            tail_us: micros(upstream.tail),
            target_us: micros(upstream.target),
        });
    }
    let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
    for (owner, upstreams) in by_owner {
        let latencies = Latencies { window_ms, upstreams };
        if owner == context.config.instance {
            observe(context, latencies);
            continue;
        }
        let Some(sender) = context.links.sender(&owner) else { continue };
        // If the queue is full, this window is dropped; the next one follows within seconds.
        let _ = sender.send(Body::Latencies(latencies));
    }
}

/// Passes the latencies to the engines of the partitions of this instance.
pub(super) fn observe(context: &Context, latencies: Latencies) {
    let now = context.now();
    let window = Duration::from_millis(latencies.window_ms);
    for latency in latencies.upstreams {
        let partition = rendezvous::partition(&latency.worker, context.members.partitions());
        let Some(owned) = context.partitions.get(partition) else { continue };
        let latency = report::Latency {
            service: latency.service,
            worker: latency.worker,
            latency: Duration::from_micros(latency.tail_us),
            target: Duration::from_micros(latency.target_us),
            since: now.checked_sub(window).unwrap_or(now),
        };
        owned.input(|engine| engine.observe_latency(&latency, now));
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
