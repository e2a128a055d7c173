//! Loop of one owned partition: ticks the engine and executes its actions.

use std::rc::Rc;

use knapweedgap_placement::command::{Action, Command};

use super::super::context::Context;
use super::super::fleet;
use super::{Handle, Owned, commit, heartbeat, load};

/// Loads the partition, then runs the loop until the ownership ends.
pub(super) async fn run(context: Rc<Context>, owned: Rc<Owned>) {
    let Some(engine) = load::load(&context, &owned).await else { return };
    log::info!("[partition] {}: loaded up to entry {}", owned.partition, engine.sequence());
    *owned.engine.borrow_mut() = Some(engine);
    update_workers(&context, &owned);
    while !owned.closed.get() {
        let now = context.now();
        let step = owned.query(|engine| {
            engine.tick(now);
            (engine.actions(), engine.next_wake())
        });
        let Some((actions, wake)) = step else { break };
        for action in actions {
            perform(&context, &owned, action);
        }
        owned.changed.wait_until(wake).await;
    }
}

fn perform(context: &Rc<Context>, owned: &Rc<Owned>, action: Action) {
    match action {
        Action::Append(entry) => {
            owned.pending_writes.set(owned.pending_writes.get() + 1);
            context.spawn(commit::append(context.clone(), owned.clone(), entry));
        }
        Action::Store(checkpoint) => {
            owned.pending_writes.set(owned.pending_writes.get() + 1);
            context.spawn(commit::store_checkpoint(context.clone(), owned.clone(), checkpoint));
        }
        Action::Send(command) => send(owned, command),
        Action::Answer(answer) => owned.notify_waiters(answer.request, answer.outcome),
    }
}

/// Queues a command for its worker. If the queue is full, the command is dropped; the engine
/// sends it again if the next report does not show its effect.
fn send(owned: &Owned, command: Command) {
    let workers = owned.workers.borrow();
    let Some(worker) = workers.get(&command.worker) else { return };
    if worker.commands.try_send(command).is_err() {
        log::warn!("[partition] {}: command dropped, worker queue is full", owned.partition);
    }
}

/// Passes the workers of the partition to the engine and runs one heartbeat loop for each. A
/// worker with a changed address gets a new loop, because its VM was replaced under the same name.
pub(crate) fn update_workers(context: &Rc<Context>, owned: &Rc<Owned>) {
    let listed = context.fleet.workers(context, owned.partition);
    let now = context.now();
    let specs = listed.iter().map(|worker| worker.spec.clone()).collect();
    if owned.input(|engine| engine.set_workers(specs, now)).is_none() {
        return;
    }
    let mut handles = owned.workers.borrow_mut();
    handles.retain(|id, handle| {
        let same =
            |worker: &fleet::Worker| worker.spec.id == *id && worker.address == handle.address;
        listed.iter().any(same)
    });
    for worker in listed {
        if handles.contains_key(&worker.spec.id) {
            continue;
        }
        let (sender, commands) = async_channel::bounded(heartbeat::COMMANDS_MAX);
        let handle = Handle { address: worker.address, commands: sender };
        handles.insert(worker.spec.id.clone(), handle);
        let task = heartbeat::run(
            context.clone(),
            owned.clone(),
            worker.spec.id.clone(),
            worker.address,
            commands,
        );
        context.spawn(task);
    }
}
