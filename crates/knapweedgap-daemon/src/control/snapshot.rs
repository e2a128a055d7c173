//! Builds and publishes the view that the traffic threads read.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use knapweedgap_core::{id, revision};
use knapweedgap_operator::instance;
use knapweedgap_routing::Snapshot;
use knapweedgap_routing::snapshot::{Entry, Limits, Service, State, Upstream};
use knapweedgap_settings::effective;

use super::context::Context;
use super::fleet::Runner;
use crate::publish::View;

/// Input from which the published view was built. An equal input needs no new view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Input {
    known: bool,
    settings: revision::Revision,
    fleet: revision::Revision,
    state: instance::State,
    live: Vec<(id::Instance, id::Zone)>,
}

impl Input {
    /// Returns the input of the initial view.
    pub(crate) fn empty() -> Input {
        Input {
            known: false,
            settings: revision::Revision::default(),
            fleet: revision::Revision::default(),
            state: instance::State::Starting,
            live: Vec::new(),
        }
    }
}

/// Returns the initial view, in which no service is served.
pub(crate) fn empty(instance: &id::Instance, zone: &id::Zone) -> View {
    View {
        routing: Arc::new(Snapshot::new(instance.clone(), zone.clone())),
        services: BTreeMap::new(),
        ready: false,
        draining: false,
    }
}

/// Publishes a new view if its input has changed.
pub(crate) fn publish(context: &Context) {
    let input = Input {
        known: context.tree.is_known(),
        settings: context.tree.revision(),
        fleet: context.fleet.revision(),
        state: context.state(),
        live: context.members.live(),
    };
    if *context.published.borrow() == input {
        return;
    }
    context.publisher.publish(build(context, &input));
    *context.published.borrow_mut() = input;
}

fn build(context: &Context, input: &Input) -> View {
    let config = &context.config;
    let local = Entry { id: config.instance.clone(), zone: config.zone.clone() };
    let mut entries = vec![local];
    for (id, zone) in &input.live {
        entries.push(Entry { id: id.clone(), zone: zone.clone() });
    }
    entries.sort_by(|left, right| left.id.cmp(&right.id));
    let mut routing = Snapshot::new(config.instance.clone(), config.zone.clone())
        .entries(entries)
        .traffic_threads(config.traffic_threads);
    let mut services = BTreeMap::new();
    let runners = context.fleet.runners();
    let names: BTreeSet<&id::Service> = runners.iter().map(|runner| &runner.service).collect();
    for name in names {
        let settings =
            context.tree.query(|tree| effective::Service::read(tree, &config.place, name));
        // The number of entries is one value for the installation. If the settings of services
        // differ, the largest value is used: it gives this entry the smallest share of the
        // connections of an upstream.
        let configured = routing.entries_configured.max(settings.configured_entries);
        routing = routing.entries_configured(configured);
        routing = routing.service(service(name, &settings, &runners));
        services.insert(name.clone(), settings);
    }
    View {
        routing: Arc::new(routing),
        services,
        ready: input.known && input.state == instance::State::Serving,
        draining: input.state == instance::State::Draining,
    }
}

fn service(name: &id::Service, settings: &effective::Service, runners: &[Runner]) -> Service {
    let limits = Limits::default()
        .queue(usize::try_from(settings.queue_length).unwrap_or(usize::MAX))
        .wait(settings.queue_time)
        .retries(settings.retry_share, settings.retry_floor)
        .ejection(
            settings.eject_failures,
            settings.eject_time,
            settings.eject_time * EJECT_TIME_FACTOR_MAX,
        );
    let mut upstreams = Vec::new();
    for runner in runners {
        if runner.service != *name {
            continue;
        }
        upstreams.push(Upstream {
            id: runner.id.clone(),
            address: runner.address,
            zone: runner.zone.clone(),
            slots: runner.slots.unwrap_or(settings.slots_per_upstream),
            connections: settings.connections_per_upstream,
            state: if runner.leaving { State::Leaving } else { State::Live },
        });
    }
    Service { id: name.clone(), limits, upstreams }
}

/// Ratio of the longest to the first ejection of an upstream.
const EJECT_TIME_FACTOR_MAX: u32 = 20;
