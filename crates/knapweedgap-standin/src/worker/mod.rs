//! Stand-in for a worker of the platform.
//!
//! [`State`] handles messages and the passage of time without I/O; [`Worker`] serves it over HTTP.

mod attempt;
pub mod behaviour;
pub mod event;
mod program;
mod settings;
mod state;

use std::cell::RefCell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response};
use knapweedgap_core::id;
use knapweedgap_http::{Limit, json, server};
use knapweedgap_worker::codec::{self, Message};
use knapweedgap_worker::wire;
use smol_str::SmolStr;

pub use behaviour::Behaviour;
pub use event::{Event, Line};
pub use program::main;
pub use settings::{Builder, Settings};
pub use state::{Answer, State};

use crate::record::{Recorder, wall_us};
use crate::serve::accept;

/// Worker that serves HTTP and records the events of its attempts.
#[derive(Debug)]
pub struct Worker {
    worker: id::Worker,
    state: RefCell<State>,
    start: Instant,
    recorder: Recorder,
    /// Wakes [`Worker::end_attempts`] after each message, because the next event may be earlier.
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Worker {
    /// Creates a worker with a new incarnation, whose clock starts at 0.
    pub fn new(settings: Settings, recorder: Recorder) -> Worker {
        let (wake, woken) = async_channel::bounded(1);
        Worker {
            worker: settings.worker.clone(),
            state: RefCell::new(State::new(settings, id::Incarnation::new(fastrand::u64(1..)))),
            start: Instant::now(),
            recorder,
            wake,
            woken,
        }
    }

    /// Serves the listener until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the listener can't be set to non-blocking mode or the record can't
    /// be written.
    pub async fn run(self, listener: TcpListener) -> io::Result<()> {
        let this = Rc::new(self);
        let serving = accept(listener, |socket| this.clone().connection(socket));
        let failed = async { Err(this.recorder.failure().await) };
        let ended = async {
            this.end_attempts().await;
            Ok(())
        };
        serving.or(failed).or(ended).await
    }

    async fn connection(self: Rc<Worker>, socket: knapweedgap_http::Socket) {
        let (_stop_sender, stop) = async_channel::bounded(1);
        let endpoint = |request| self.answer(request);
        // A caller that closes its connection early is not a failure of the worker.
        let _ = server::serve(socket, Limit::default(), stop, endpoint).await;
    }

    /// Ends attempts and writes periodic checkpoints when they are due.
    async fn end_attempts(&self) {
        loop {
            let now_us = self.clock_us();
            self.state.borrow_mut().advance(now_us);
            self.record();
            let next_us = self.state.borrow().next_event_us();
            let timer = async {
                match next_us {
                    Some(next_us) => {
                        let wait_us = next_us.saturating_sub(self.clock_us()).max(1);
                        Timer::after(Duration::from_micros(wait_us)).await;
                    }
                    None => std::future::pending().await,
                }
            };
            let woken = async {
                let _ = self.woken.recv().await;
            };
            timer.or(woken).await;
        }
    }

    async fn answer(&self, mut request: Request) -> Response {
        let body = json::read_body(&mut request, codec::MESSAGE_LEN_MAX).await;
        let body = match body {
            Ok(body) => body,
            Err(error) => return self.invalid(&error.to_string()),
        };
        if request.method() != Method::Post {
            return self.invalid("use POST");
        }
        let response = match request.url().path() {
            "/v1/heartbeat" => self.apply(&body, State::heartbeat),
            "/v1/start" => self.apply(&body, State::start),
            "/v1/stop" => self.apply(&body, State::stop),
            "/v1/checkpoint" => self.apply(&body, State::checkpoint),
            "/v1/throttle" => self.apply(&body, State::throttle),
            _ => self.invalid("no such path"),
        };
        self.record();
        let _ = self.wake.try_send(());
        response
    }

    fn apply<Body, Reply>(
        &self,
        body: &[u8],
        handle: impl FnOnce(&mut State, &Body, u64) -> Result<Reply, wire::Refusal>,
    ) -> Response
    where
        Body: Message,
        Reply: Message,
    {
        let message = match codec::decode::<Body>(body) {
            Ok(message) => message,
            Err(error) => return self.invalid(&error.to_string()),
        };
        let now_us = self.clock_us();
        match handle(&mut self.state.borrow_mut(), &message, now_us) {
            Ok(reply) => json::response(200, &reply),
            Err(refusal) => json::response(refusal.reason.status(), &refusal),
        }
    }

    fn invalid(&self, detail: &str) -> Response {
        let detail: SmolStr = state::shorten(detail);
        let (reason, partition) = (wire::Reason::Invalid, id::Partition::default());
        let refusal = self.state.borrow().refusal(reason, partition, detail);
        json::response(reason.status(), &refusal)
    }

    fn clock_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn record(&self) {
        let events = self.state.borrow_mut().take_events();
        if events.is_empty() {
            return;
        }
        let (now_us, wall_us) = (self.clock_us(), wall_us());
        let incarnation = self.state.borrow().incarnation();
        for event in events {
            let age_us = now_us.saturating_sub(event.clock_us);
            let wall_us = wall_us.saturating_sub(age_us);
            let worker = self.worker.clone();
            self.recorder.write(&Line { wall_us, worker, incarnation, event });
        }
    }
}
