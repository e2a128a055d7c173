//! Quota usage across partitions and owners.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use knapweedgap_core::{id, size};
use knapweedgap_instance::wire::Usage;

use super::context::{Context, sleep};
use super::partition::Owned;

/// Interval at which the engines receive the usage in other partitions.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

type Sizes = BTreeMap<id::Team, size::Resources>;

/// Quota usage last reported by each peer.
#[derive(Default)]
pub(crate) struct Reports {
    by_peer: RefCell<BTreeMap<id::Instance, Vec<Usage>>>,
}

impl Reports {
    /// Replaces the reported usage of a peer.
    pub(crate) fn record(&self, peer: id::Instance, usage: Vec<Usage>) {
        self.by_peer.borrow_mut().insert(peer, usage);
    }

    /// Returns the total usage in the partitions of live peers. The partitions of a dead peer are
    /// counted again once their next owner reports them.
    fn peer_usage(&self, context: &Context) -> Sizes {
        let live = context.members.live();
        let by_peer = self.by_peer.borrow();
        let mut sum = Sizes::new();
        for (peer, _) in live {
            for usage in by_peer.get(&peer).into_iter().flatten() {
                *sum.entry(usage.team.clone()).or_default() += usage.size;
            }
        }
        sum
    }
}

/// Returns the usage of teams with a quota in the partitions of this instance.
pub(crate) fn local_usage(context: &Context) -> Vec<Usage> {
    let quotas = context.tree.placement().quotas;
    let mut sum = Sizes::new();
    for owned in context.partitions.all() {
        add(&mut sum, &usage(&owned));
    }
    let with_quota = sum.into_iter().filter(|(team, _)| quotas.of(team).is_some());
    with_quota.map(|(team, size)| Usage { team, size }).collect()
}

fn usage(owned: &Owned) -> Sizes {
    owned.query(|engine| engine.state().usage().all().clone()).unwrap_or_default()
}

fn add(sum: &mut Sizes, other: &Sizes) {
    for (team, size) in other {
        *sum.entry(team.clone()).or_default() += *size;
    }
}

/// Passes the usage in all other partitions to each engine at a fixed interval.
pub(crate) async fn update_engines(context: Rc<Context>) {
    loop {
        sleep(UPDATE_INTERVAL).await;
        let settings = context.tree.placement();
        if settings.quotas == knapweedgap_placement::quota::Table::default() {
            continue;
        }
        let peer_usage = context.quotas.peer_usage(&context);
        let local_partitions: Vec<_> = context.partitions.all();
        let usages: Vec<Sizes> = local_partitions.iter().map(|owned| usage(owned)).collect();
        for (position, owned) in local_partitions.iter().enumerate() {
            let mut settings = settings.clone();
            settings.quotas.other_partitions = peer_usage.clone();
            for (other, sizes) in usages.iter().enumerate() {
                if other != position {
                    add(&mut settings.quotas.other_partitions, sizes);
                }
            }
            let now = context.now();
            owned.input(|engine| engine.set_settings(settings, now));
        }
    }
}
