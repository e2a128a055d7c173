//! Dispatches the requests of one thread: its router, queued requests and connection pools.

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

use super::message::{Measurement, Message};
use super::window::{WINDOW, Window};
use crate::metric;
use crate::notify::Notify;
use crate::publish::{Reader, View};

/// Interval at which idle connections are checked and metrics are updated.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

type Admission = Result<Permit, Reason>;

/// Router, queued requests and connection pools of one thread.
pub(super) struct Dispatcher {
    number: u32,
    reader: Reader,
    view: RefCell<Arc<View>>,
    router: RefCell<Router>,
    waiting: RefCell<HashMap<Ticket, Sender<Admission>>>,
    pools: RefCell<HashMap<id::Upstream, Rc<Pool>>>,
    queue_changed: Notify,
    view_changed: Notify,
    last_sweep: Cell<Instant>,
    window: RefCell<Window>,
    window_start: Cell<Instant>,
    messages: Sender<Message>,
}

impl Dispatcher {
    pub(super) fn new(number: u32, reader: Reader, messages: Sender<Message>) -> Dispatcher {
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
            queue_changed: Notify::new(),
            view_changed: Notify::new(),
            last_sweep: Cell::new(now),
            window: RefCell::default(),
            window_start: Cell::new(now),
            messages,
        }
    }

    /// Returns the current view.
    pub(super) fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Applies each published view.
    pub(super) async fn watch_views(self: Rc<Self>) {
        loop {
            self.update_view();
            self.reader.changed().await;
        }
    }

    fn update_view(&self) {
        let view = self.reader.view();
        let actions = self.router.borrow_mut().update(view.routing.clone(), Instant::now());
        self.pools.borrow_mut().retain(|id, pool| {
            let listed =
                find_upstream(&view, id).is_some_and(|found| found.address == pool.address());
            if !listed {
                pool.close_idle();
            }
            listed
        });
        *self.view.borrow_mut() = view;
        self.view_changed.notify();
        self.perform(actions);
    }

    /// Waits until the instance is ready. Supports one waiter at a time.
    pub(super) async fn wait_until_ready(&self) {
        while !self.view().ready {
            self.view_changed.wait_until(None).await;
        }
    }

    /// Runs the timers of the router and the periodic sweep.
    pub(super) async fn expire(self: Rc<Self>) {
        loop {
            let sweep = self.last_sweep.get() + SWEEP_INTERVAL;
            let wake = self.router.borrow().next_wake().map_or(sweep, |wake| wake.min(sweep));
            self.queue_changed.wait_until(Some(wake)).await;
            let now = Instant::now();
            let actions = self.router.borrow_mut().expire(now);
            self.perform(actions);
            if now >= sweep {
                self.last_sweep.set(now);
                self.sweep();
                self.report_latencies(now);
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

    /// Adds the latency of one answer to the current window.
    pub(super) fn record_latency(&self, upstream: Option<&Upstream>, latency: Duration) {
        let Some(upstream) = upstream else { return };
        self.window.borrow_mut().add(upstream, latency);
    }

    /// Reports the tail latencies to the control thread if the window has ended.
    fn report_latencies(&self, now: Instant) {
        let length = now.duration_since(self.window_start.get());
        if length < WINDOW {
            return;
        }
        let measurements = self.tail_latencies();
        self.window.borrow_mut().clear();
        self.window_start.set(now);
        let message = Message::Latencies { window: length, measurements };
        if self.messages.try_send(message).is_err() {
            metrics::counter!(metric::EVENTS_DROPPED).increment(1);
        }
    }

    /// Returns the tail latencies of the upstreams whose service has a latency target.
    fn tail_latencies(&self) -> Vec<Measurement> {
        let view = self.view();
        let mut window = self.window.borrow_mut();
        let mut measurements = Vec::new();
        for service in &view.routing.services {
            let Some(settings) = view.services.get(&service.id) else { continue };
            let Some(target) = settings.latency_target else { continue };
            for upstream in &service.upstreams {
                let tail = window.tail(&upstream.id, settings.latency_percentile);
                let Some(tail) = tail else { continue };
                let (service, upstream) = (service.id.clone(), upstream.id.clone());
                measurements.push(Measurement { service, upstream, tail, target });
            }
        }
        measurements
    }

    /// Waits for a permit. Dropping the future removes the request from the queue.
    pub(super) async fn admit(self: &Rc<Self>, request: &Request<Accepted>) -> Admission {
        let decision = self.router.borrow_mut().admit(request, Instant::now());
        let ticket = match decision {
            Decision::Dispatch(permit) => return Ok(permit),
            Decision::Refuse(reason) => return Err(reason),
            Decision::Queue { ticket, .. } => ticket,
        };
        self.queue_changed.notify();
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(ticket, sender);
        let waiter = Waiter { dispatcher: self.clone(), ticket };
        let admission = receiver.recv().await;
        drop(waiter);
        admission.unwrap_or(Err(Reason::Cancelled))
    }

    /// Settles an attempt with its outcome.
    pub(super) fn settle(&self, request: Request<Dispatched>, outcome: Outcome) -> Settled {
        let now = Instant::now();
        let (settled, actions) = self.router.borrow_mut().settle(request, outcome, now);
        self.perform(actions);
        settled
    }

    fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, admission) = match action {
                Action::Start(start) => (start.ticket, Ok(start.permit)),
                Action::Refuse { ticket, reason } => (ticket, Err(reason)),
            };
            let Some(sender) = self.waiting.borrow_mut().remove(&ticket) else { continue };
            // If the request was dropped meanwhile, its permit returns to the router on drop.
            let _ = sender.try_send(admission);
        }
    }

    /// Returns the connection pool of the permit's upstream and creates it on first use.
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

fn find_upstream<'a>(view: &'a View, id: &id::Upstream) -> Option<&'a Upstream> {
    let services = view.routing.services.iter();
    services.flat_map(|service| &service.upstreams).find(|upstream| upstream.id == *id)
}

/// Queued request. Dropping it removes the request from the queue.
struct Waiter {
    dispatcher: Rc<Dispatcher>,
    ticket: Ticket,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.dispatcher.waiting.borrow_mut().remove(&self.ticket).is_some() {
            self.dispatcher.router.borrow_mut().cancel(self.ticket);
        }
    }
}
