//! Loop of one owned partition: ticks the engine and carries out its actions.

use std::rc::Rc;

use knapweedgap_placement::command::{Action, Command};

use super::super::context::Context;
use super::super::fleet;
use super::{Contact, Owned, commit, heartbeat, load};

/// Runs until the ownership ends.
pub(super) async fn run(context: Rc<Context>, owned: Rc<Owned>) {
    let Some(engine) = load::engine(&context, &owned).await else { return };
    log::info!("[partition] {}: loaded up to entry {}", owned.partition, engine.sequence());
    *owned.engine.borrow_mut() = Some(engine);
    update_workers(&context, &owned);
    while !owned.closed.get() {
        let now = context.now();
        let turn = owned.ask(|engine| {
            engine.tick(now);
            (engine.actions(), engine.next_wake())
        });
        let Some((actions, wake)) = turn else { break };
        for action in actions {
            perform(&context, &owned, action);
        }
        owned.changed.wait_until(wake).await;
    }
}

fn perform(context: &Rc<Context>, owned: &Rc<Owned>, action: Action) {
    match action {
        Action::Append(entry) => {
            owned.writes.set(owned.writes.get() + 1);
            context.spawn(commit::append(context.clone(), owned.clone(), entry));
        }
        Action::Store(checkpoint) => {
            owned.writes.set(owned.writes.get() + 1);
            context.spawn(commit::store(context.clone(), owned.clone(), checkpoint));
        }
        Action::Send(command) => send(owned, command),
        Action::Answer(answer) => owned.answer(answer.request, answer.outcome),
    }
}

/// Queues a command for its worker. A full queue drops it; the engine repeats what the next
/// report does not show.
fn send(owned: &Owned, command: Command) {
    let workers = owned.workers.borrow();
    let Some(worker) = workers.get(&command.worker) else { return };
    if worker.commands.try_send(command).is_err() {
        log::warn!("[partition] {}: command queue of a worker is full", owned.partition);
    }
}

/// Gives the engine the workers of its partition and keeps one heartbeat loop for each. A worker
/// whose address changed gets a new loop, because its VM was replaced under the same name.
pub(crate) fn update_workers(context: &Rc<Context>, owned: &Rc<Owned>) {
    let listed = context.fleet.workers(context, owned.partition);
    let now = context.now();
    let specs = listed.iter().map(|worker| worker.spec.clone()).collect();
    if owned.input(|engine| engine.set_workers(specs, now)).is_none() {
        return;
    }
    let mut contacts = owned.workers.borrow_mut();
    contacts.retain(|id, contact| {
        let same =
            |worker: &fleet::Worker| worker.spec.id == *id && worker.address == contact.address;
        listed.iter().any(same)
    });
    for worker in listed {
        if contacts.contains_key(&worker.spec.id) {
            continue;
        }
        let (sender, commands) = async_channel::bounded(heartbeat::COMMANDS_MAX);
        let contact = Contact { address: worker.address, commands: sender };
        contacts.insert(worker.spec.id.clone(), contact);
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
