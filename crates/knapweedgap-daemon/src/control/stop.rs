//! Graceful shutdown.

use std::rc::Rc;
use std::time::{Duration, Instant};

use knapweedgap_settings::effective;
use knapweedgap_store::{Store, Txn};
use knapweedgap_timeline::event::Kind;

use super::context::{Context, sleep};
use super::{keyspace, links, snapshot};
use crate::{process, traffic};

/// Timeout of the handover of all partitions.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of checks whether the handover is complete.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Drains the instance: reports not ready, keeps the listeners open for the notice time, waits for
/// the requests in flight, and hands the partitions over.
pub(super) async fn run(context: &Rc<Context>, traffic: traffic::Threads) {
    log::info!("[process] shutting down; waiting for requests in flight");
    context.journal.record(Kind::InstanceDraining, |event| event);
    context.advance(process::Any::drain);
    snapshot::publish(context);
    // Peers must learn of the shutdown before the first release arrives on the same link.
    // Otherwise they would hand the partitions back.
    links::ping_all(context);
    let now = context.now();
    context.members.input(|engine| engine.drain(now));
    let system = context.tree.query(|tree| effective::System::read(tree, &context.config.place));
    sleep(system.drain_notice).await;
    traffic.stop_accepting();
    traffic.wait_until_ended(system.request_deadline_max).await;
    hand_over(context).await;
    // The record would also expire with its lease; deleting it notifies the peers immediately.
    let record = keyspace::instance(&context.config.instance);
    let _ = context.store.commit(Txn::new().delete(record)).await;
    context.journal.record(Kind::InstanceStopped, |event| event);
    log::info!("[process] instance {} stopped", context.config.instance);
}

/// Waits until peers own the partitions of this instance. Returns early without a live peer or
/// without the key-value service, because nothing can be handed over then; the partitions are taken
/// over later.
async fn hand_over(context: &Rc<Context>) {
    let deadline = Instant::now() + HANDOVER_TIMEOUT;
    while Instant::now() < deadline && !context.members.owned().is_empty() {
        if context.members.live().is_empty() || !context.store_reachable.get() {
            return;
        }
        sleep(HANDOVER_POLL_INTERVAL).await;
    }
}
