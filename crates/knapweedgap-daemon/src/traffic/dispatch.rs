//! Router of one thread together with the requests that wait for it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use knapweedgap_core::id;
use knapweedgap_http::Limit;
use knapweedgap_routing::request::{Accepted, Dispatched};
use knapweedgap_routing::share::{self, Thread};
use knapweedgap_routing::snapshot::Upstream;
use knapweedgap_routing::{
    Action, Decision, Outcome, Permit, Policy, Reason, Request, Router, Settled, Ticket,
};
use knapweedgap_upstream::Pool;

use crate::metric;
use crate::notify::Notify;
use crate::publish::{Reader, View};

/// Interval at which idle connections are looked at and metrics are written.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

type Granted = Result<Permit, Reason>;

/// Router, waiting requests and connection pools of one thread.
pub(super) struct Dispatcher {
    number: u32,
    reader: Reader,
    view: RefCell<Arc<View>>,
    router: RefCell<Router>,
    waiting: RefCell<HashMap<Ticket, Sender<Granted>>>,
    pools: RefCell<HashMap<id::Upstream, Rc<Pool>>>,
    changed: Notify,
    viewed: Notify,
    swept: Cell<Instant>,
}

impl Dispatcher {
    pub(super) fn new(number: u32, reader: Reader) -> Dispatcher {
        let view = reader.view();
        let now = Instant::now();
        let rng = fastrand::Rng::new();
        let thread = Thread::new(number);
        let router = Router::new(Policy::default(), thread, view.routing.clone(), rng, now);
        Dispatcher {
            number,
            reader,
            view: RefCell::new(view),
            router: RefCell::new(router),
            waiting: RefCell::default(),
            pools: RefCell::default(),
            changed: Notify::new(),
            viewed: Notify::new(),
            swept: Cell::new(now),
        }
    }

    /// Returns the view in force.
    pub(super) fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Takes over each published view.
    pub(super) async fn follow(self: Rc<Self>) {
        loop {
            self.take_view();
            self.reader.changed().await;
        }
    }

    fn take_view(&self) {
        let view = self.reader.view();
        let actions = self.router.borrow_mut().update(view.routing.clone(), Instant::now());
        self.pools.borrow_mut().retain(|id, pool| {
            let listed = find(&view, id).is_some_and(|found| found.address == pool.address());
            if !listed {
                pool.close_idle();
            }
            listed
        });
        *self.view.borrow_mut() = view;
        self.viewed.notify();
        self.act(actions);
    }

    /// Waits until the instance is ready. Has one waiter.
    pub(super) async fn ready(&self) {
        while !self.view().ready {
            self.viewed.wait_until(None).await;
        }
    }

    /// Calls the router when something in it is due.
    pub(super) async fn expire(self: Rc<Self>) {
        loop {
            let sweep = self.swept.get() + SWEEP_INTERVAL;
            let wake = self.router.borrow().next_wake().map_or(sweep, |wake| wake.min(sweep));
            self.changed.wait_until(Some(wake)).await;
            let now = Instant::now();
            let actions = self.router.borrow_mut().expire(now);
            self.act(actions);
            if now >= sweep {
                self.swept.set(now);
                self.sweep();
            }
        }
    }

    fn sweep(&self) {
        for pool in self.pools.borrow().values() {
            pool.sweep();
        }
        let stats = self.router.borrow().stats();
        let thread = self.number.to_string();
        metrics::gauge!(metric::IN_FLIGHT, "thread" => thread.clone()).set(stats.in_flight as f64);
        metrics::gauge!(metric::QUEUED, "thread" => thread.clone()).set(stats.queued as f64);
        metrics::counter!(metric::RETRIES, "thread" => thread).absolute(stats.retries);
    }

    /// Waits for a permit. Dropping the future takes the request out of the queue.
    pub(super) async fn admit(self: &Rc<Self>, request: &Request<Accepted>) -> Granted {
        let decision = self.router.borrow_mut().admit(request, Instant::now());
        let ticket = match decision {
            Decision::Dispatch(permit) => return Ok(permit),
            Decision::Refuse(reason) => return Err(reason),
            Decision::Queue { ticket, .. } => ticket,
        };
        self.changed.notify();
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(ticket, sender);
        let queued = Queued { dispatcher: self.clone(), ticket };
        let granted = receiver.recv().await;
        drop(queued);
        granted.unwrap_or(Err(Reason::Cancelled))
    }

    /// Ends an attempt.
    pub(super) fn settle(&self, request: Request<Dispatched>, outcome: Outcome) -> Settled {
        let now = Instant::now();
        let (settled, actions) = self.router.borrow_mut().settle(request, outcome, now);
        self.act(actions);
        settled
    }

    fn act(&self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, granted) = match action {
                Action::Start(start) => (start.ticket, Ok(start.permit)),
                Action::Refuse { ticket, reason } => (ticket, Err(reason)),
            };
            let Some(sender) = self.waiting.borrow_mut().remove(&ticket) else { continue };
            // A permit for a request that is gone returns to the router when it is dropped.
            let _ = sender.try_send(granted);
        }
    }

    /// Returns the pool of the upstream that a permit names.
    pub(super) fn pool(&self, permit: &Permit) -> Rc<Pool> {
        let upstream = permit.upstream();
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(upstream.id.clone()).or_insert_with(|| {
            let routing = &self.view.borrow().routing;
            let max = share::thread_connections(
                upstream,
                routing.entries_configured,
                routing.traffic_threads,
                Thread::new(self.number),
            );
            Rc::new(Pool::new(upstream.address, max, Limit::default()))
        });
        pool.clone()
    }
}

fn find<'a>(view: &'a View, id: &id::Upstream) -> Option<&'a Upstream> {
    let services = view.routing.services.iter();
    services.flat_map(|service| &service.upstreams).find(|upstream| upstream.id == *id)
}

/// Place in a queue, given up when the waiting future is dropped.
struct Queued {
    dispatcher: Rc<Dispatcher>,
    ticket: Ticket,
}

impl Drop for Queued {
    fn drop(&mut self) {
        if self.dispatcher.waiting.borrow_mut().remove(&self.ticket).is_some() {
            self.dispatcher.router.borrow_mut().cancel(self.ticket);
        }
    }
}
