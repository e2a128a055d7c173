//! Load generator: a client of the entries that records what it was told.

mod check;
pub mod event;
mod plan;
mod program;
mod settings;
mod summary;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_http::client::{self, Failure, Idle};
use knapweedgap_http::{Error, Limit, json};

pub use event::{Attempt, Line, Outcome};
pub use program::main;
pub use settings::{Arrival, Builder, Settings};
pub use summary::{Latency, Summary};

use crate::payload::Digest;
use crate::record::{Recorder, wall_us};
use check::Answer;
use plan::Plan;
use summary::Counters;

/// Time beyond the deadline that the client waits, so that the entry's own answer about the
/// deadline arrives.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);
/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest answer, in bytes.
const ANSWER_MAX: usize = 1 << 30;

/// Load generator.
#[derive(Debug)]
pub struct Load {
    settings: Settings,
    /// Tells the ids of this run from those of other runs of the same seed.
    run: u64,
    recorder: Recorder,
    counters: RefCell<Counters>,
    /// Position of the next request of a closed loop.
    next: Cell<u64>,
    started: Instant,
}

/// Request that arrived.
struct Arrived {
    position: u64,
    at: Instant,
}

/// Keep-alive connection to one of the entries.
struct Route {
    entry: usize,
    idle: Option<Idle>,
}

impl Load {
    /// Creates a load generator.
    ///
    /// # Errors
    ///
    /// An I/O error when there is no entry or one is not on the loopback interface.
    pub fn new(settings: Settings, recorder: Recorder) -> io::Result<Load> {
        let loopback = settings.entries.iter().all(|entry| entry.ip().is_loopback());
        if settings.entries.is_empty() || !loopback {
            let help = "name at least one entry, all of them on the loopback interface";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, help));
        }
        Ok(Load {
            settings,
            run: fastrand::u64(..),
            recorder,
            counters: RefCell::new(Counters::new()?),
            next: Cell::new(0),
            started: Instant::now(),
        })
    }

    /// Sends the load and returns its summary.
    ///
    /// # Errors
    ///
    /// An I/O error of the record.
    pub async fn run(mut self) -> io::Result<Summary> {
        self.started = Instant::now();
        let this = Rc::new(self);
        let executor = LocalExecutor::new();
        let sent = async { Ok(this.clone().send_all(&executor).await) };
        let failed = async { Err(this.recorder.failure().await) };
        executor.run(failed.or(sent)).await
    }

    async fn send_all(self: Rc<Load>, executor: &LocalExecutor<'_>) -> Summary {
        let (arrivals, arrived) = async_channel::unbounded();
        let mut connections = Vec::new();
        for number in 0..self.settings.connections.get() {
            let (this, arrived) = (self.clone(), arrived.clone());
            connections.push(executor.spawn(async move { this.connection(number, arrived).await }));
        }
        if let Arrival::Open(rate) = self.settings.arrival {
            self.arrive(rate, &arrivals).await;
        }
        drop(arrivals);
        for connection in connections {
            connection.await;
        }
        let unsent = arrived.len() as u64;
        self.counters.borrow().summary(unsent, self.started.elapsed())
    }

    /// Produces the arrivals of an open loop.
    async fn arrive(&self, rate: f64, arrivals: &Sender<Arrived>) {
        let mut random = fastrand::Rng::with_seed(self.settings.seed);
        let mut at = self.started;
        for position in 0..self.settings.count {
            let gap = -(1.0 - random.f64()).ln() / rate;
            let gap = Duration::try_from_secs_f64(gap).unwrap_or(self.settings.time);
            at += gap;
            if at.saturating_duration_since(self.started) >= self.settings.time {
                return;
            }
            Timer::at(at).await;
            let _ = arrivals.try_send(Arrived { position, at });
        }
    }

    async fn connection(&self, number: u32, arrived: Receiver<Arrived>) {
        let entry = number as usize % self.settings.entries.len();
        let mut route = Route { entry, idle: None };
        while let Some(next) = self.next(&arrived).await {
            let plan = Plan::new(&self.settings, self.run, next.position);
            self.request(&plan, next.at, &mut route).await;
        }
    }

    /// Returns the next request; nothing once the count or the time is used up.
    async fn next(&self, arrived: &Receiver<Arrived>) -> Option<Arrived> {
        if self.started.elapsed() >= self.settings.time {
            return None;
        }
        if matches!(self.settings.arrival, Arrival::Open(_)) {
            return arrived.recv().await.ok();
        }
        let position = self.next.get();
        if position >= self.settings.count {
            return None;
        }
        self.next.set(position + 1);
        Some(Arrived { position, at: Instant::now() })
    }

    /// Sends one request, again to another entry after a connection failure, and records it.
    async fn request(&self, plan: &Plan, arrived: Instant, route: &mut Route) {
        let mut attempts = Vec::new();
        let mut answer = None;
        for _ in 0..=self.settings.repeats {
            let entry = self.settings.entries[route.entry];
            let begin_us = wall_us();
            let sent = self.send(plan, entry, route).await;
            let end_us = wall_us();
            let (sent, error) = match sent {
                Ok(whole) => {
                    answer = Some(whole);
                    (true, None)
                }
                Err(failure) => (failure.sent > 0, Some(failure.error.to_string())),
            };
            attempts.push(Attempt { entry, begin_us, end_us, sent, error });
            if answer.is_some() {
                break;
            }
            // The key makes a repeat of a non-idempotent request safe: the entries run it once.
            route.idle = None;
            route.entry = (route.entry + 1) % self.settings.entries.len();
        }
        let latency = arrived.elapsed();
        let record = record(plan, attempts, answer.as_ref(), latency);
        self.counters.borrow_mut().add(&record);
        self.recorder.write(&record);
    }

    /// Sends a request once and reads its whole answer.
    async fn send(
        &self,
        plan: &Plan,
        entry: SocketAddr,
        route: &mut Route,
    ) -> Result<Answer, Failure> {
        let unsent = |error| Failure { sent: 0, error };
        let request = plan.request(entry).map_err(|error| unsent(Error::Malformed(error)))?;
        let connection = match route.idle.take().filter(|idle| !idle.is_stale()) {
            Some(idle) => idle,
            None => {
                client::connect(entry, CONNECT_TIMEOUT, Limit::default()).await.map_err(unsent)?
            }
        };
        let limit = plan.deadline + DEADLINE_GRACE;
        let exchange = async {
            let (mut response, busy) = connection.send(request, limit).await?;
            let body = json::read_body(&mut response, ANSWER_MAX).await;
            let body = body.map_err(|error| Failure { sent: u64::MAX, error })?;
            let answer = Answer::new(&response, body);
            drop(response);
            Ok((answer, busy.finish().await))
        };
        let timeout = async {
            Timer::after(limit).await;
            let error = Error::Timeout { what: "whole answer", limit };
            Err(Failure { sent: u64::MAX, error })
        };
        let (answer, idle) = exchange.or(timeout).await?;
        route.idle = idle;
        Ok(answer)
    }
}

fn record(plan: &Plan, attempts: Vec<Attempt>, answer: Option<&Answer>, latency: Duration) -> Line {
    let assess = answer.map(|answer| answer.assess(plan));
    Line {
        request_id: plan.id.clone(),
        key: plan.key.clone(),
        method: plan.method().as_ref().into(),
        path: plan.path.clone(),
        body_len: plan.body.len() as u64,
        body_digest: plan.body_digest(),
        deadline_ms: u64::try_from(plan.deadline.as_millis()).unwrap_or(u64::MAX),
        attempts,
        reported: assess.as_ref().map_or(Outcome::NoAnswer, |assess| assess.reported),
        status: answer.map(|answer| answer.status),
        outcome: answer.and_then(|answer| answer.outcome.clone()),
        answer_len: answer.map_or(0, |answer| answer.body.len() as u64),
        answer_digest: answer.map(|answer| Digest::of(&answer.body)),
        fault: assess.and_then(|assess| assess.fault),
        latency_us: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
    }
}
