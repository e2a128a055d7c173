//! Instance and owner records in the key-value service.

use std::rc::Rc;
use std::time::Duration;

use knapweedgap_membership::record;
use knapweedgap_store::{Error, Store, Txn};

use super::super::context::{Context, sleep};
use super::super::{keyspace, snapshot, value};
use super::STORE_BACKOFF;

/// Duration of the lease of the instance record.
const RECORD_LEASE: Duration = Duration::from_secs(10);
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Writes the instance record to the key-value service and writes it again whenever its lease is
/// lost.
pub(crate) async fn register(context: Rc<Context>) {
    let record = record::Instance {
        id: context.config.instance.clone(),
        incarnation: context.incarnation,
        zone: context.config.zone.clone(),
        addresses: record::Addresses {
            client: context.config.client,
            operator: context.config.operator,
            instance: context.config.peer,
        },
    };
    loop {
        if let Err(error) = maintain_record(&context, &record).await {
            log::debug!("[members] instance record not written or renewed: {error}");
            context.set_store_reachable(false);
        }
        sleep(STORE_BACKOFF).await;
    }
}

async fn maintain_record(context: &Context, record: &record::Instance) -> Result<(), Error> {
    let lease = context.store.grant(RECORD_LEASE).await?;
    let key = keyspace::instance(&record.id);
    let put = Txn::new().put_leased(key, value::encode(record), lease);
    context.store.commit(put).await?;
    context.set_store_reachable(true);
    context.members.poll_soon();
    loop {
        sleep(RENEW_INTERVAL).await;
        context.store.keep_alive(lease).await?;
        context.set_store_reachable(true);
    }
}

/// Reads the instance and owner records at the interval set by the engine.
pub(crate) async fn poll(context: Rc<Context>) {
    loop {
        if !context.tree.is_known() {
            // The number of partitions is unknown until the settings are read.
            context.members.poll.wait_until(Some(context.now() + STORE_BACKOFF)).await;
            continue;
        }
        let read = read_records(&context).await;
        let interval = match read {
            Ok(()) => context.members.query(|engine| engine.poll_interval()),
            Err(_) => STORE_BACKOFF,
        };
        context.set_store_reachable(read.is_ok());
        let next = context.now() + interval;
        context.members.poll.wait_until(Some(next)).await;
    }
}

async fn read_records(context: &Rc<Context>) -> Result<(), Error> {
    let requested_at = context.now();
    let instances = context.store.range(keyspace::instances()).await?;
    let owners = context.store.range(keyspace::owners()).await?;
    let mut records = Vec::new();
    for entry in &instances.entries {
        match value::decode::<record::Instance>(&entry.value) {
            Ok(record) => records.push(record),
            Err(error) => log::warn!("[members] record {}: {error}", entry.key),
        }
    }
    let mut owned = Vec::new();
    for entry in &owners.entries {
        let Some(partition) = keyspace::partition_of(&entry.key) else { continue };
        match value::decode(&entry.value) {
            Ok(owner) => {
                owned.push(record::Owned { partition, owner, revision: entry.mod_revision });
            }
            Err(error) => log::warn!("[members] record {}: {error}", entry.key),
        }
    }
    let now = context.now();
    let records_by_id = records.iter().map(|record| (record.id.clone(), record.clone())).collect();
    *context.members.records.borrow_mut() = records_by_id;
    context.members.input(|engine| {
        engine.update_instances(&records, instances.revision, requested_at, now);
        engine.update_owners(&owned, owners.revision, requested_at, now);
    });
    snapshot::publish(context);
    Ok(())
}
