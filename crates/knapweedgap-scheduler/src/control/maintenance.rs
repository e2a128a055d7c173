//! Maintenance waves: calls to the platform, and progress reports for operators.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use knapweedgap_core::revision;
use knapweedgap_store::{Outcome, Store, Txn, key};

use super::election::{unchanged, unchanged_key};
use super::term::Term;
use super::{Node, keys, orders};
use crate::peer::{Operators, Platform, Vms};

/// Pause between two steps of a running wave.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two checks for a wave.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Executes maintenance waves during a term.
pub(super) async fn run<P>(node: Rc<Node<P>>, term: Rc<Term>)
where
    P: Platform,
{
    loop {
        if !term.is_valid(node.now()) {
            Timer::after(IDLE_INTERVAL).await;
            continue;
        }
        // The list of VMs lets a wave begin, so the waves that are completed must be known by then.
        report_progress(&node, &term).await;
        let needed = term.with_engine(|engine| engine.needs_vms()).unwrap_or(false);
        if !needed {
            Timer::after(IDLE_INTERVAL).await;
            continue;
        }
        match node.platform.vms().list().await {
            Ok(vms) => {
                term.with_engine(|engine| engine.vms_listed(vms));
            }
            Err(reason) => log::info!("[vms] list failed: {reason}"),
        }
        start_due(&node, &term).await;
        report_progress(&node, &term).await;
        orders::execute_actions(&node, &term);
        Timer::after(STEP_INTERVAL).await;
    }
}

/// Requests maintenance for the VMs that are due.
async fn start_due<P>(node: &Rc<Node<P>>, term: &Rc<Term>)
where
    P: Platform,
{
    let now = node.now();
    let due = term.with_engine(|engine| engine.maintenance_due(now)).unwrap_or_default();
    let fence = revision::Fence::new(term.epoch.get());
    for request in due {
        let result =
            node.platform.vms().start_maintenance(&node.settings.name, fence, &request).await;
        log::info!("[vms] vm={} wave={} outcome={result:?}", request.vm, request.wave);
        let now = node.now();
        term.with_engine(|engine| engine.maintenance_answered(&request, result, now));
    }
}

/// Writes the progress of waves to the store, except for waves already marked as completed there.
async fn report_progress<P>(node: &Rc<Node<P>>, term: &Rc<Term>)
where
    P: Platform,
{
    let reports = term.with_engine(|engine| engine.waves_to_report()).unwrap_or_default();
    let operators = node.platform.operators();
    for (wave, progress) in reports {
        let status = operators.wave_status_key(wave);
        let stored = match node.platform.store().range(key::Range::key(status.clone())).await {
            Ok(page) => page.entries.into_iter().next(),
            Err(error) => {
                log::info!("[store] key={status} read failed: {error}");
                continue;
            }
        };
        if stored.as_ref().is_some_and(|entry| operators.is_wave_completed(entry)) {
            term.with_engine(|engine| engine.wave_completed(wave));
            continue;
        }
        let value = operators.wave_status(wave, progress);
        // An earlier status without an answer may be written late, and must not replace this one.
        let revision = stored.map_or_else(revision::Revision::default, |entry| entry.mod_revision);
        let txn = Txn::new()
            .when(unchanged(keys::OWNER, term.owner))
            .when(unchanged_key(status.clone(), revision))
            .put(status, value);
        match node.platform.store().commit(txn).await {
            Ok(outcome) => {
                log::info!("[vms] wave={wave} progress={progress:?} outcome={outcome:?}");
                if matches!(outcome, Outcome::Succeeded(_)) {
                    term.with_engine(|engine| engine.wave_reported(wave, progress));
                }
            }
            Err(error) => log::info!("[store] wave={wave} storing the progress failed: {error}"),
        }
    }
}
