//! A small deployment: the store, the VM service, runners and the project's own processes, all on loopback
//! addresses.

use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::runner::{Runner, unix_ms};
use crate::store::Store;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGKILL: i32 = 9;

pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
const ENTRIES: usize = 3;
/// As in the example that `fleetbench wire` prints.
const ADVICE_VALIDITY_MS: u64 = 3_000;
/// Rack of the last runner, which is a label of it.
pub const LONE_RACK: &str = "r1-2";

/// Settings of the only queue.
pub struct Queue {
    pub latency_ms: u32,
    pub attempts_max: u32,
    pub slowdown: f64,
    /// `decisionMs` and `periodMs`, if the queue needs advice.
    pub advice: Option<(u64, u64)>,
}

/// Serves advice: it takes its time for each call, one call after the other, and allows most workers.
fn serve_advice(listener: TcpListener, advice: (u64, u64), record: Arc<Record>) {
    let (turn, waiting) = (Mutex::new(()), AtomicU64::new(0));
    http::serve(listener, move |request| {
        let body = Json::parse(&request.body)?;
        let step = body.get("step").text().to_owned();
        let workers: Vec<&str> = body.get("workers").list().iter().map(Json::text).collect();
        if workers.len() > 100 {
            return Some((400, "{}".into()));
        }
        if waiting.fetch_add(1, Ordering::SeqCst) >= 32 {
            waiting.fetch_sub(1, Ordering::SeqCst);
            return Some((429, "{}".into()));
        }
        let guard = turn.lock().unwrap();
        waiting.fetch_sub(1, Ordering::SeqCst);
        let time = advice.0 + advice.1 * workers.len() as u64;
        record.line(&format!("advice step={step} workers={} time={time}", workers.len()));
        std::thread::sleep(Duration::from_millis(time));
        drop(guard);
        // Five of six workers may run a step, which doesn't change.
        let is_allowed = |worker: &&&str| {
            (step.bytes().chain(worker.bytes()).map(u64::from).sum::<u64>()) % 6 != 0
        };
        let rows: Vec<String> = workers
            .iter()
            .filter(is_allowed)
            .map(|worker| format!("[\"{worker}\",\"{step}-{worker}\"]"))
            .collect();
        Some((
            200,
            format!("{{\"allowed\":[{}],\"validityMs\":{ADVICE_VALIDITY_MS}}}", rows.join(",")),
        ))
    });
}

struct Entry {
    name: String,
    ip: String,
    child: Option<Child>,
}

/// Slot of a runner; it is empty while the runner is down.
pub type Slot = Arc<Mutex<Option<Arc<Runner>>>>;

pub struct Site {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub runners: Vec<(Slot, SocketAddr)>,
    entries: Mutex<Vec<Entry>>,
    port: u16,
    folder: PathBuf,
    platform: SocketAddr,
    cloud: SocketAddr,
    advisor: Option<SocketAddr>,
    sequence: AtomicU64,
}

fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Returns the first of 20 ports that are free on the addresses of all entries.
fn free_ports() -> u16 {
    let mut port = 20_000 + ((unix_ms() + u64::from(std::process::id()) * 20) % 9_000) as u16;
    loop {
        let is_free = |ip: usize| {
            (0..20).all(|n| TcpListener::bind(format!("127.0.0.{}:{}", 11 + ip, port + n)).is_ok())
        };
        if (0..ENTRIES).all(is_free) {
            return port;
        }
        port += 20;
    }
}

impl Site {
    /// Starts everything and waits until all entries are ready.
    pub fn start(
        record: Arc<Record>,
        queue: &Queue,
        runner_count: usize,
    ) -> Result<Arc<Site>, String> {
        let folder =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (listener, platform) = bind();
        let store = Store::start(listener);
        let (listener, cloud) = bind();
        http::serve(listener, |_| Some((200, "{\"machines\":[],\"nextToken\":null}".into())));
        let advisor = queue.advice.map(|advice| {
            let (listener, address) = bind();
            serve_advice(listener, advice, record.clone());
            address
        });
        let mut runners = Vec::new();
        for n in 0..runner_count {
            let (listener, address) = bind();
            let rack = if n + 1 == runner_count { LONE_RACK } else { "r1-1" };
            let runner = Runner::new(&format!("i-000000{n:02}"), address, rack, record.clone());
            let slot: Slot = Arc::new(Mutex::new(Some(runner)));
            Runner::serve(listener, slot.clone());
            runners.push((slot, address));
        }
        let entries = (0..ENTRIES).map(|n| Entry {
            name: format!("frontend-za-south-a-{n}"),
            ip: format!("127.0.0.{}", 11 + n),
            child: None,
        });
        let site = Arc::new(Site {
            store,
            record,
            runners,
            entries: Mutex::new(entries.collect()),
            port: free_ports(),
            folder,
            platform,
            cloud,
            advisor,
            sequence: AtomicU64::new(0),
        });
        site.configure(7, queue, true);
        site.beat();
        let beating = Arc::downgrade(&site);
        std::thread::spawn(move || {
            while let Some(site) = beating.upgrade() {
                site.beat();
                drop(site);
                std::thread::sleep(Duration::from_millis(1_500));
            }
        });
        let started = site.start_entries();
        if started.is_err() {
            site.stop();
        }
        started.map(|()| site)
    }

    fn start_entries(&self) -> Result<(), String> {
        for n in 0..ENTRIES {
            self.start_entry(n)?;
        }
        for n in 0..ENTRIES {
            self.wait_ready(n, Duration::from_secs(15))?;
        }
        Ok(())
    }

    /// Writes a version of the configuration, with the queue or with another one in its place.
    pub fn configure(&self, version: u32, queue: &Queue, has_queue: bool) {
        let recommendation = queue.advice.map_or(String::new(), |(decision, period)| {
            format!(
                ",\"recommendation\":{{\"decisionMs\":{decision},\"periodMs\":{period},\"validityMs\":{ADVICE_VALIDITY_MS}}}"
            )
        });
        let (name, prefix) =
            if has_queue { ("r-3hwrr6x", PREFIX) } else { ("r-73d3zji", "/pufi791/") };
        let value = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\
             \"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":{},\"priority\":0,\
             \"service\":\"{SERVICE}\",\"maxAttempts\":{},\"slowdownFactor\":{}{recommendation}}}],\
             \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":64,\
             \"protocol\":\"h1\",\"tlsEnabled\":false,\"enforceCapacity\":false,\"standby\":false}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144}}}}",
            queue.latency_ms, queue.attempts_max, queue.slowdown
        );
        self.record.line(&format!("configuration version={version} has_queue={has_queue}"));
        self.store.put("op/config", &value);
    }

    /// Writes the entries of all runners that are up.
    pub fn beat(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        for (slot, _) in &self.runners {
            let Some(runner) = slot.lock().unwrap().clone() else { continue };
            self.store
                .put(&format!("servers/{}", runner.id), &runner.entry(SERVICE, sequence, false));
        }
    }

    /// Takes a runner away for good. Its entry is removed after three check-in intervals.
    pub fn lose_runner(&self, n: usize) {
        let Some(runner) = self.runners[n].0.lock().unwrap().take() else { return };
        self.record.line(&format!("lost runner={}", runner.id));
        std::thread::sleep(Duration::from_millis(4_500));
        self.store.remove(&format!("servers/{}", runner.id));
    }

    pub fn entry_count(&self) -> usize {
        ENTRIES
    }

    pub fn clients(&self, n: usize) -> SocketAddr {
        format!("127.0.0.{}:{}", 11 + n, self.port + 16).parse().unwrap()
    }

    pub fn start_entry(&self, n: usize) -> Result<(), String> {
        let mut entries = self.entries.lock().unwrap();
        let entry = &mut entries[n];
        let (ip, port) = (&entry.ip, self.port);
        let path = self.folder.join(format!("{}.json", entry.name));
        let settings = format!(
            "{{\"nodeName\":\"{}\",\"role\":\"entry\",\"machineClass\":\"frontend\",\"serves\":[\"frontend\"],\
             \"ipAddress\":\"{ip}\",\"zone\":\"za-south-a\",\"region\":\"za-south\",\"zones\":{{\"za-south-a\":\"za-south\"}},\
             \"listenAddresses\":{{\"frontendAddr\":\"{ip}:{}\",\"readiness\":\"{ip}:{}\"}},\
             \"internalPortRange\":[{port},{}],\"seedNodes\":[],\"isBootstrap\":true,\"isFaultCounted\":false,\
             \"limits\":{{\"cpuShare\":0.25,\"cpuCores\":1,\"memoryMb\":260,\"maxFileDescriptors\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\
             \"dataDirectory\":null,\"discovery\":\"platform\",\"entry\":\"virtual_ip\",\"heartbeatIntervalMs\":1500,\
             \"bounds\":{{\"maxHoldMs\":10000,\"status_s\":120,\"maintenanceS\":2,\"stopTimeoutMs\":900}},\
             \"commands\":\"invocation\",\"recommendation\":\"{}\",\
             \"platform\":{{\"address\":\"{}\",\"form\":\"kv\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,\"minTtlMs\":1000}},\
             \"cloudApi\":{{\"address\":\"{}\",\"ratePerS\":60.0,\"duties\":[],\"dutyPerS\":60.0}}}}",
            entry.name,
            port + 16,
            port + 17,
            port + 15,
            self.advisor.map_or(String::new(), |advisor| advisor.to_string()),
            self.platform,
            self.cloud
        );
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{}.log", entry.name));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|error| error.to_string())?;
        // The command of deploy/system.toml.
        let mut command = Command::new("target/release/knapweedgap-entry");
        // SAFETY: prctl may be called between fork and exec. It ends the process with its parent.
        unsafe {
            command.pre_exec(|| {
                if prctl(1, SIGKILL as u64) == 0 {
                    Ok(())
                } else {
                    Err(std::io::Error::last_os_error())
                }
            })
        };
        let child = command
            .env("KNAPWEEDGAP_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("target/release/knapweedgap-entry: {error}"))?;
        self.record.line(&format!("process name={} pid={} event=started", entry.name, child.id()));
        entry.child = Some(child);
        Ok(())
    }

    fn wait_ready(&self, n: usize, timeout: Duration) -> Result<(), String> {
        let address = format!("127.0.0.{}:{}", 11 + n, self.port + 17).parse().unwrap();
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let answer = http::call(
                address,
                "GET",
                "/ready",
                &[("Host", "ready.example")],
                "",
                Duration::from_millis(500),
            );
            if answer.is_ok_and(|(status, _)| status == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("entry {n} isn't ready"))
    }

    /// Returns the number of the entry that owns the workload, by the record in the store.
    pub fn owner(&self) -> Option<usize> {
        let value = self.store.value("knapweedgap/lead/owner")?;
        let owner = Json::parse(&value)?;
        let entries = self.entries.lock().unwrap();
        entries.iter().position(|entry| entry.name == owner.get("instance").text())
    }

    /// Sends a signal to an entry.
    pub fn signal(&self, n: usize, signal: i32) {
        let entries = self.entries.lock().unwrap();
        let Some(child) = &entries[n].child else { return };
        self.record.line(&format!(
            "process name={} pid={} event=signal number={signal}",
            entries[n].name,
            child.id()
        ));
        // SAFETY: the process is a child of this one that has not been waited for.
        unsafe { kill(child.id() as i32, signal) };
    }

    /// Waits until an entry has ended, at most for the grace period, and kills it after that.
    pub fn wait_ended(&self, n: usize) {
        let until = Instant::now() + Duration::from_secs(6);
        loop {
            let mut entries = self.entries.lock().unwrap();
            let Some(child) = &mut entries[n].child else { return };
            if matches!(child.try_wait(), Ok(Some(_)) | Err(_)) {
                entries[n].child = None;
                return;
            }
            if Instant::now() > until {
                let _ = child.kill();
            }
            drop(entries);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Ends all processes. Keeps the logs in the temporary folder if KEEP_LOGS is set.
    pub fn stop(&self) {
        let mut entries = self.entries.lock().unwrap();
        for entry in entries.iter_mut() {
            let Some(mut child) = entry.child.take() else { continue };
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    /// Sends a call of a client and records it with its answer.
    pub fn call(&self, n: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let headers = [("Host", HOST), ("Knapweedgap-Deadline-Ms", "3000")];
        let path = format!("{PREFIX}{id}");
        self.record.line(&format!("send {method} id={id} entry={n}"));
        let answer = http::call(
            self.clients(n),
            method,
            &path,
            &headers,
            body,
            Duration::from_millis(3_000),
        );
        let text = match &answer {
            Ok((status, body)) => format!("status={status} body={:.80}", body.replace(' ', "_")),
            Err(error) => format!("status=none error={}", error.replace(' ', "_")),
        };
        self.record.line(&format!("answer {method} id={id} entry={n} {text}"));
        answer.ok()
    }
}
