//! Stand-in of the placement advice service.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, map, num, text};

/// Beginning of the text of jobs on a queue with placement advice.
pub const ADVISED: &str = "advised";
/// Time for a decision, time for each worker, and validity of a ticket, in milliseconds.
pub const TIMES: (u64, u64, u64) = (20, 2, 3_000);

/// The service allows all workers.
#[derive(Default)]
pub struct Advice {
    /// When each ticket was given.
    tickets: Mutex<HashMap<String, Instant>>,
    /// Number of starts that runners rejected for want of a ticket.
    rejected: AtomicUsize,
}

impl Advice {
    pub fn listen(self: &Arc<Self>, ip: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let advice = self.clone();
        http::serve(listener, Arc::new(move |request| advice.answer(&request)));
        Ok(address)
    }

    /// Returns `true` if the ticket is one for the step on the worker and has not expired.
    pub fn is_valid(&self, step: &str, worker: &str, ticket: &str) -> bool {
        let given = self.tickets.lock().unwrap().get(ticket).copied();
        let validity = Duration::from_millis(TIMES.2);
        ticket == format!("{step}/{worker}") && given.is_some_and(|at| at.elapsed() <= validity)
    }

    /// Counts a start that a runner rejected, and returns their number.
    pub fn reject(&self) -> usize {
        self.rejected.fetch_add(1, Ordering::Relaxed) + 1
    }
    pub fn rejected(&self) -> usize {
        self.rejected.load(Ordering::Relaxed)
    }

    fn answer(&self, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Json(400, "{}".to_owned());
        };
        let workers = body.get("workers").list();
        let time = TIMES.0 + TIMES.1 * workers.len() as u64;
        std::thread::sleep(Duration::from_millis(time));
        let mut rows = Vec::new();
        for worker in workers {
            let ticket = format!("{}/{}", body.get("step").str(), worker.str());
            self.tickets.lock().unwrap().insert(ticket.clone(), Instant::now());
            rows.push(Json::List(vec![text(worker.str()), text(ticket)]));
        }
        let fields = vec![("allowed", Json::List(rows)), ("validityMs", num(TIMES.2))];
        Reply::Json(200, map(fields).to_string())
    }
}
