//! Load generator: a client of the entries that records the outcome reported for each request.

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

/// Time that the client waits beyond the deadline, so that it receives the entry's own answer on a
/// missed deadline.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);
/// Limit on the time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest accepted answer body, in bytes.
const ANSWER_MAX: usize = 1 << 30;

/// Client that sends requests to the entries and checks the answers.
#[derive(Debug)]
pub struct Load {
    settings: Settings,
    /// Random number that distinguishes the request ids of runs with the same seed.
    run: u64,
    recorder: Recorder,
    counters: RefCell<Counters>,
    /// Position of the next request of a closed loop.
    next_position: Cell<u64>,
    started_at: Instant,
}

/// Request that has arrived and waits for a connection.
struct Pending {
    position: u64,
    at: Instant,
}

/// Keep-alive connection to one of the entries; it moves to the next entry after a failure.
struct Connection {
    entry: usize,
    idle: Option<Idle>,
}

impl Load {
    /// Creates a load generator.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if there is no entry or an entry is not on the loopback interface.
    pub fn new(settings: Settings, recorder: Recorder) -> io::Result<Load> {
        let loopback = settings.entries.iter().all(|entry| entry.ip().is_loopback());
        if settings.entries.is_empty() || !loopback {
            let help = "at least one entry is required, and all must be on the loopback interface";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, help));
        }
        Ok(Load {
            settings,
            run: fastrand::u64(..),
            recorder,
            counters: RefCell::new(Counters::new()?),
            next_position: Cell::new(0),
            started_at: Instant::now(),
        })
    }

    /// Sends the load and returns its summary.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the record can't be written.
    pub async fn run(mut self) -> io::Result<Summary> {
        self.started_at = Instant::now();
        let this = Rc::new(self);
        let executor = LocalExecutor::new();
        let sent = async { Ok(this.clone().send_all(&executor).await) };
        let failed = async { Err(this.recorder.failure().await) };
        executor.run(failed.or(sent)).await
    }

    async fn send_all(self: Rc<Load>, executor: &LocalExecutor<'_>) -> Summary {
        let (arrivals, queue) = async_channel::unbounded();
        let mut connections = Vec::new();
        for number in 0..self.settings.connections.get() {
            let (this, queue) = (self.clone(), queue.clone());
            connections
                .push(executor.spawn(async move { this.run_connection(number, queue).await }));
        }
        if let Arrival::Open(rate) = self.settings.arrival {
            self.generate_arrivals(rate, &arrivals).await;
        }
        drop(arrivals);
        for connection in connections {
            connection.await;
        }
        let unsent = queue.len() as u64;
        self.counters.borrow().summary(unsent, self.started_at.elapsed())
    }

    /// Generates the arrivals of an open loop.
    async fn generate_arrivals(&self, rate: f64, arrivals: &Sender<Pending>) {
        let mut random = fastrand::Rng::with_seed(self.settings.seed);
        let mut at = self.started_at;
        for position in 0..self.settings.count {
            let interval = -(1.0 - random.f64()).ln() / rate;
            let interval =
                Duration::try_from_secs_f64(interval).unwrap_or(self.settings.time_limit);
            at += interval;
            if at.saturating_duration_since(self.started_at) >= self.settings.time_limit {
                return;
            }
            Timer::at(at).await;
            let _ = arrivals.try_send(Pending { position, at });
        }
    }

    async fn run_connection(&self, number: u32, queue: Receiver<Pending>) {
        let entry = number as usize % self.settings.entries.len();
        let mut connection = Connection { entry, idle: None };
        while let Some(pending) = self.next_request(&queue).await {
            let plan = Plan::new(&self.settings, self.run, pending.position);
            self.request(&plan, pending.at, &mut connection).await;
        }
    }

    /// Returns the next request, or `None` once the request count or the time limit is reached.
    async fn next_request(&self, queue: &Receiver<Pending>) -> Option<Pending> {
        if self.started_at.elapsed() >= self.settings.time_limit {
            return None;
        }
        if matches!(self.settings.arrival, Arrival::Open(_)) {
            return queue.recv().await.ok();
        }
        let position = self.next_position.get();
        if position >= self.settings.count {
            return None;
        }
        self.next_position.set(position + 1);
        Some(Pending { position, at: Instant::now() })
    }

    /// Sends one request and records its outcome. After a connection failure the request is sent
    /// again to the next entry.
    async fn request(&self, plan: &Plan, arrived_at: Instant, connection: &mut Connection) {
        let mut attempts = Vec::new();
        let mut answer = None;
        for _ in 0..=self.settings.repeats {
            let entry = self.settings.entries[connection.entry];
            let begin_us = wall_us();
            let sent = self.send(plan, entry, connection).await;
            let end_us = wall_us();
            let (sent, error) = match sent {
                Ok(complete) => {
                    answer = Some(complete);
                    (true, None)
                }
                Err(failure) => (failure.sent > 0, Some(failure.error.to_string())),
            };
            attempts.push(Attempt { entry, begin_us, end_us, sent, error });
            if answer.is_some() {
                break;
            }
            // Repeating a non-idempotent request is safe: the entries run each key at most once.
            connection.idle = None;
            connection.entry = (connection.entry + 1) % self.settings.entries.len();
        }
        let latency = arrived_at.elapsed();
        let line = line(plan, attempts, answer.as_ref(), latency);
        self.counters.borrow_mut().add(&line);
        self.recorder.write(&line);
    }

    /// Sends a request once and reads its complete answer.
    async fn send(
        &self,
        plan: &Plan,
        entry: SocketAddr,
        connection: &mut Connection,
    ) -> Result<Answer, Failure> {
        let unsent = |error| Failure { sent: 0, error };
        let request = plan.request(entry).map_err(|error| unsent(Error::Malformed(error)))?;
        let open = match connection.idle.take().filter(|idle| !idle.is_stale()) {
            Some(idle) => idle,
            None => {
                client::connect(entry, CONNECT_TIMEOUT, Limit::default()).await.map_err(unsent)?
            }
        };
        let limit = plan.deadline + DEADLINE_GRACE;
        let exchange = async {
            let (mut response, busy) = open.send(request, limit).await?;
            let body = json::read_body(&mut response, ANSWER_MAX).await;
            let body = body.map_err(|error| Failure { sent: u64::MAX, error })?;
            let answer = Answer::new(&response, body);
            drop(response);
            Ok((answer, busy.finish().await))
        };
        let timeout = async {
            Timer::after(limit).await;
            let error = Error::Timeout { what: "complete answer", limit };
            Err(Failure { sent: u64::MAX, error })
        };
        let (answer, idle) = exchange.or(timeout).await?;
        connection.idle = idle;
        Ok(answer)
    }
}

fn line(plan: &Plan, attempts: Vec<Attempt>, answer: Option<&Answer>, latency: Duration) -> Line {
    let assessment = answer.map(|answer| answer.assess(plan));
    Line {
        request_id: plan.id.clone(),
        key: plan.key.clone(),
        method: plan.method().as_ref().into(),
        path: plan.path.clone(),
        body_len: plan.body.len() as u64,
        body_digest: plan.body_digest(),
        deadline_ms: u64::try_from(plan.deadline.as_millis()).unwrap_or(u64::MAX),
        attempts,
        reported: assessment.as_ref().map_or(Outcome::NoAnswer, |assessment| assessment.outcome),
        status: answer.map(|answer| answer.status),
        outcome: answer.and_then(|answer| answer.outcome_header.clone()),
        answer_len: answer.map_or(0, |answer| answer.body.len() as u64),
        answer_digest: answer.map(|answer| Digest::of(&answer.body)),
        fault: assessment.and_then(|assessment| assessment.fault),
        latency_us: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
    }
}
