//! Handling of messages from the traffic threads.

use std::rc::Rc;

use async_channel::Receiver;

use super::context::Context;
use super::{api, claim, latency};
use crate::traffic::Message;

/// Handles messages until all traffic threads have ended.
pub(super) async fn receive(context: Rc<Context>, inbox: Receiver<Message>) {
    while let Ok(message) = inbox.recv().await {
        handle(&context, message);
    }
}

fn handle(context: &Rc<Context>, message: Message) {
    match message {
        Message::Claim { key, claim, reply } => {
            let context = context.clone();
            context.clone().spawn(async move {
                let decision = claim::acquire(&context, &key, &claim).await;
                // If the client has disconnected meanwhile, the claim stays without an outcome,
                // which is reported as unknown.
                let _ = reply.try_send(decision);
            });
        }
        Message::Record { key, claim } => {
            context.spawn(claim::record(context.clone(), key, claim));
        }
        Message::Release { key, claim } => {
            context.spawn(claim::release(context.clone(), key, claim));
        }
        Message::Lookup { key, reply } => {
            let context = context.clone();
            context.clone().spawn(async move {
                let _ = reply.try_send(api::outcome(&context, &key).await);
            });
        }
        Message::Latencies { window, measurements } => {
            latency::report(context, window, measurements)
        }
        Message::Event { kind, request, detail } => {
            context.journal.record(kind, |event| event.request(request).detail(&detail));
        }
    }
}
