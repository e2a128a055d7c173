//! Stand-in for an upstream: a runner that processes requests in a fixed number of slots, with a
//! bounded queue.

pub mod event;
mod program;
mod settings;
mod slots;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Body, Request, Response};
use knapweedgap_http::{Limit, Socket, json, server};
use smol_str::SmolStr;

pub use event::{Kind, Line};
pub use program::main;
pub use settings::{Builder, CONNECTIONS, Crash, Point, SLOTS, Settings};

use crate::payload::{Digest, Hasher, Pattern};
use crate::record::{Recorder, wall_us};
use crate::serve::accept;
use slots::{Full, Slot, Slots};

/// Request header that sets the service time, in milliseconds.
pub const WORK: &str = "x-work-ms";
/// Request header that sets the length of the answer's body, in bytes. The body is a [`Pattern`]
/// of the request id.
pub const ANSWER_BYTES: &str = "x-answer-bytes";
/// Request header. With `true`, an answer whose length is set by [`ANSWER_BYTES`] is sent in
/// chunked transfer encoding, without `content-length`.
pub const ANSWER_CHUNKED: &str = "x-answer-chunked";
/// Answer header with the [`Digest`] of the request body.
pub const BODY_DIGEST: &str = "x-body-digest";
/// Request header with the id of the request; the answer repeats it.
pub const REQUEST_ID: &str = "x-request-id";

/// Longest random service time, as a multiple of the median.
const WORK_FACTOR_MAX: f64 = 50.0;
/// Longest service time that a header may set, in milliseconds.
const WORK_MS_MAX: u64 = 600_000;
/// Longest answer that a header may set, in bytes.
const ANSWER_BYTES_MAX: u64 = 1 << 30;
/// Size of the buffer for reading a request body, in bytes.
const READ_LEN: usize = 16 * 1024;

/// Runner that serves HTTP.
#[derive(Debug)]
pub struct Runner {
    name: SmolStr,
    settings: Settings,
    slots: Slots,
    open_connections: Cell<u32>,
    random: RefCell<fastrand::Rng>,
    recorder: Recorder,
    /// Number of requests that reached the crash point.
    crash_point_count: Cell<u64>,
    crash_sender: Sender<()>,
    crashed: Receiver<()>,
}

/// Reason why a runner ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The runner reached the crash that its settings configure.
    Crashed,
}

/// Work on one request. Dropping it before its end records it as abandoned.
struct Work<'a> {
    runner: &'a Runner,
    /// Absent once the work has ended.
    slot: Option<Slot<'a>>,
    line: Line,
}

/// Decoded headers of a request, with the length and digest of its body.
struct Call {
    request_id: SmolStr,
    key: Option<SmolStr>,
    path: SmolStr,
    digest: Digest,
    body_len: u64,
    work: Option<Duration>,
    answer_bytes: Option<u64>,
    chunked: bool,
}

impl Runner {
    /// Creates a runner. Its record lines contain `name`.
    pub fn new(name: &str, settings: Settings, recorder: Recorder) -> Runner {
        let (crash_sender, crashed) = async_channel::bounded(1);
        Runner {
            name: name.into(),
            slots: Slots::new(settings.slots.get(), settings.queue),
            open_connections: Cell::new(0),
            random: RefCell::new(fastrand::Rng::with_seed(settings.seed)),
            recorder,
            crash_point_count: Cell::new(0),
            crash_sender,
            crashed,
            settings,
        }
    }

    /// Serves the listener until the configured crash or until the future is dropped. Both close
    /// all connections.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the listener can't be set to non-blocking mode or the record can't
    /// be written.
    pub async fn run(self, listener: TcpListener) -> io::Result<End> {
        let this = Rc::new(self);
        let serving = async {
            accept(listener, |socket| this.clone().connection(socket)).await?;
            Ok(End::Crashed)
        };
        let failed = async { Err(this.recorder.failure().await) };
        let crashed = async {
            let _ = this.crashed.recv().await;
            Ok(End::Crashed)
        };
        crashed.or(failed).or(serving).await
    }

    async fn connection(self: Rc<Runner>, socket: Socket) {
        if self.open_connections.get() >= self.settings.connections.get() {
            return;
        }
        self.open_connections.set(self.open_connections.get() + 1);
        let (_stop_sender, stop) = async_channel::bounded(1);
        let endpoint = |request| self.answer(request);
        // A client that closes its connection early is not a failure of the runner.
        let _ = server::serve(socket, Limit::default(), stop, endpoint).await;
        self.open_connections.set(self.open_connections.get().saturating_sub(1));
    }

    async fn answer(&self, request: Request) -> Response {
        let call = match read_call(request).await {
            Ok(call) => call,
            Err(help) => return self.with_common_headers(error(400, "invalid_request", &help), ""),
        };
        let slot = match self.slots.acquire().await {
            Ok(slot) => slot,
            Err(Full) => return self.refuse(&call),
        };
        self.crash_at(Point::Before).await;
        let mut work = Work::begin(self, slot, &call);
        Timer::after(call.work.unwrap_or_else(|| self.sample_work())).await;
        work.end(Kind::End);
        self.crash_at(Point::After).await;
        self.with_common_headers(call.response(), &call.request_id)
    }

    fn refuse(&self, call: &Call) -> Response {
        self.recorder.write(&self.line(Kind::Refused, call));
        let mut response = error(503, "queue_full", "try another upstream");
        response.insert_header("x-not-started", "true");
        self.with_common_headers(response, &call.request_id)
    }

    /// Adds the headers that every answer has: the load, and the request id if there is one.
    fn with_common_headers(&self, mut response: Response, request_id: &str) -> Response {
        let (in_use, queued) = (self.slots.in_use(), self.slots.waiting());
        let load =
            format!("TEXT named_metrics.slots_in_use={in_use},named_metrics.queued={queued}");
        response.insert_header("endpoint-load-metrics", load);
        if !request_id.is_empty() {
            response.insert_header(REQUEST_ID, request_id);
        }
        response
    }

    /// Ends the runner if the crash is configured for this request and point; the future then never
    /// completes.
    async fn crash_at(&self, point: Point) {
        let Some(crash) = self.settings.crash else { return };
        if crash.point != point {
            return;
        }
        self.crash_point_count.set(self.crash_point_count.get() + 1);
        if self.crash_point_count.get() == crash.request {
            let _ = self.crash_sender.try_send(());
            std::future::pending::<()>().await;
        }
    }

    /// Samples a service time from a log-normal distribution (Box–Muller transform, 1958).
    fn sample_work(&self) -> Duration {
        let mut random = self.random.borrow_mut();
        let radius = (-2.0 * (1.0 - random.f64()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * random.f64()).cos();
        let factor = (self.settings.spread * normal).exp();
        self.settings.work.mul_f64(factor.min(WORK_FACTOR_MAX))
    }

    fn line(&self, event: Kind, call: &Call) -> Line {
        Line {
            event,
            wall_us: wall_us(),
            runner: self.name.clone(),
            request_id: call.request_id.clone(),
            key: call.key.clone(),
            path: call.path.clone(),
            begin_us: None,
            slots_in_use: self.slots.in_use(),
            queued: self.slots.waiting(),
        }
    }
}

impl<'a> Work<'a> {
    fn begin(runner: &'a Runner, slot: Slot<'a>, call: &Call) -> Work<'a> {
        let mut line = runner.line(Kind::Begin, call);
        line.begin_us = Some(line.wall_us);
        runner.recorder.write(&line);
        Work { runner, slot: Some(slot), line }
    }

    /// Releases the slot, then records the event. Later calls have no effect.
    fn end(&mut self, event: Kind) {
        if self.slot.take().is_none() {
            return;
        }
        self.line.event = event;
        self.line.wall_us = wall_us();
        self.line.slots_in_use = self.runner.slots.in_use();
        self.line.queued = self.runner.slots.waiting();
        self.runner.recorder.write(&self.line);
    }
}

impl Drop for Work<'_> {
    fn drop(&mut self) {
        self.end(Kind::Abandoned);
    }
}

impl Call {
    fn response(&self) -> Response {
        let mut response = match self.answer_bytes {
            None => json::response(200, &self.echo()),
            Some(length) => {
                let pattern = Pattern::new(&self.request_id, length);
                let content_length =
                    (!self.chunked).then(|| usize::try_from(length).unwrap_or(usize::MAX));
                let mut response = Response::new(200);
                response.set_body(Body::from_reader(pattern, content_length));
                response
            }
        };
        response.insert_header(BODY_DIGEST, self.digest.to_string());
        response
    }

    fn echo(&self) -> serde_json::Value {
        serde_json::json!({
            "request_id": self.request_id,
            "path": self.path,
            "body_len": self.body_len,
            "body_digest": self.digest,
        })
    }
}

async fn read_call(mut request: Request) -> Result<Call, String> {
    let mut hasher = Hasher::default();
    let mut buffer = vec![0; READ_LEN];
    loop {
        let count = request.read(&mut buffer).await.map_err(|error| error.to_string())?;
        if count == 0 {
            break;
        }
        hasher.write(&buffer[..count]);
    }
    let text = |name: &str| request.header(name).map(|value| SmolStr::new(value.last().as_str()));
    let work = number(&request, WORK, WORK_MS_MAX)?.map(Duration::from_millis);
    Ok(Call {
        request_id: text(REQUEST_ID).unwrap_or_default(),
        key: text("idempotency-key"),
        path: request.url().path().into(),
        digest: hasher.digest(),
        body_len: hasher.length(),
        work,
        answer_bytes: number(&request, ANSWER_BYTES, ANSWER_BYTES_MAX)?,
        chunked: text(ANSWER_CHUNKED).is_some_and(|value| value == "true"),
    })
}

fn number(request: &Request, name: &str, max: u64) -> Result<Option<u64>, String> {
    let Some(value) = request.header(name) else { return Ok(None) };
    match value.last().as_str().parse() {
        Ok(number) if number <= max => Ok(Some(number)),
        _ => Err(format!("{name}: use a whole number of at most {max}")),
    }
}

fn error(status: u16, code: &str, help: &str) -> Response {
    json::response(status, &serde_json::json!({ "code": code, "help": help }))
}
