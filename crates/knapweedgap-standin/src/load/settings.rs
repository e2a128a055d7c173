//! Settings of a load generator.

use std::net::SocketAddr;
use std::time::Duration;

use knapweedgap_core::{id, size};

/// How requests arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrival {
    /// Closed loop: each connection sends its next request when the previous one has ended.
    Closed,
    /// Open loop: requests arrive as a Poisson process with this rate per second, independent of
    /// the completion of earlier ones.
    Open(f64),
}

/// Settings of a load generator, created with [`Builder`].
#[derive(Debug, Clone)]
pub struct Settings {
    pub(super) entries: Vec<SocketAddr>,
    pub(super) service: id::Service,
    pub(super) arrival: Arrival,
    pub(super) connections: size::Connection,
    pub(super) count: u64,
    pub(super) time_limit: Duration,
    pub(super) non_idempotent: f64,
    pub(super) deadline: Duration,
    pub(super) repeats: u32,
    pub(super) work: Option<Duration>,
    pub(super) body_bytes: u64,
    pub(super) answer_bytes: Option<u64>,
    pub(super) seed: u64,
}

impl Settings {
    /// Creates a builder with these defaults: a closed loop of at most 1,000 requests within 10 s
    /// over 8 connections, all of them idempotent, with bodies of 64 bytes, a deadline of 2 s and
    /// at most 2 repeats.
    pub fn builder(entries: Vec<SocketAddr>, service: id::Service) -> Builder {
        let settings = Settings {
            entries,
            service,
            arrival: Arrival::Closed,
            connections: size::Connection::new(8),
            count: 1000,
            time_limit: Duration::from_secs(10),
            non_idempotent: 0.0,
            deadline: Duration::from_secs(2),
            repeats: 2,
            work: None,
            body_bytes: 64,
            answer_bytes: None,
            seed: 0,
        };
        Builder { settings }
    }
}

/// Builder of [`Settings`].
#[derive(Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Sets how requests arrive.
    pub fn arrival(mut self, arrival: Arrival) -> Builder {
        self.settings.arrival = arrival;
        self
    }

    /// Sets the number of keep-alive connections, which are distributed over the entries in turn.
    pub fn connections(mut self, connections: size::Connection) -> Builder {
        self.settings.connections = connections;
        self
    }

    /// Sets the maximum number of requests and the maximum run time.
    pub fn bound(mut self, count: u64, time_limit: Duration) -> Builder {
        self.settings.count = count;
        self.settings.time_limit = time_limit;
        self
    }

    /// Sets the share of non-idempotent requests, from 0 to 1. Each of them has an idempotency key.
    pub fn non_idempotent(mut self, share: f64) -> Builder {
        self.settings.non_idempotent = share;
        self
    }

    /// Sets the deadline that each request states.
    pub fn deadline(mut self, deadline: Duration) -> Builder {
        self.settings.deadline = deadline;
        self
    }

    /// Sets how many times a request is sent again after connection failures.
    pub fn repeats(mut self, repeats: u32) -> Builder {
        self.settings.repeats = repeats;
        self
    }

    /// Sets the service time that requests set in the runner; with `None` the runner samples it.
    pub fn work(mut self, work: Option<Duration>) -> Builder {
        self.settings.work = work;
        self
    }

    /// Sets the length of request bodies and, if present, of the generated answer bodies, in bytes.
    pub fn body(mut self, request: u64, answer: Option<u64>) -> Builder {
        self.settings.body_bytes = request;
        self.settings.answer_bytes = answer;
        self
    }

    /// Sets the seed of arrival times and of the choice of non-idempotent requests.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.settings.seed = seed;
        self
    }

    /// Returns the finished settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
