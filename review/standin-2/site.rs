//! A small installation: instances of the deploy file, runners and the store.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::advice::{Advice, TIMES};
use crate::http;
use crate::json::{Json, map, num, text};
use crate::record::Record;
use crate::runner::{self, Holder, Runner};
use crate::store::Store;

pub type Result<Value> = std::result::Result<Value, String>;

pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
const ZONES: [&str; 3] = ["za-south-a", "za-south-b", "za-south-c"];
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub priority: u64,
    /// The queue has placement advice.
    pub advised: bool,
}

struct Instance {
    name: String,
    client: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    instances: Vec<Instance>,
    pub advice: Arc<Advice>,
    advice_address: SocketAddr,
    temp: PathBuf,
    /// Start that is carried out late.
    pub holder: Holder,
}

impl Drop for Site {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(child) = &mut instance.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.temp);
        } else {
            println!("logs in {}", self.temp.display());
        }
    }
}

impl Site {
    /// Starts an installation and waits until all instances are ready.
    pub fn start(
        record: Arc<Record>,
        instances: usize,
        runners: usize,
        run_time: Duration,
        routes: &[Route],
    ) -> Result<Site> {
        let net = free_net(instances)?;
        let temp = std::env::temp_dir().join(format!("review-2-{}-{net}", std::process::id()));
        std::fs::create_dir_all(&temp).map_err(|error| error.to_string())?;
        let store = Store::new(record.clone());
        let advisor = Arc::new(Advice::default());
        let advice = advisor.listen(&format!("127.{net}.4.1"));
        let advice = advice.map_err(|error| error.to_string())?;
        let mut site = Site {
            record,
            store,
            runners: Vec::new(),
            instances: Vec::new(),
            advice: advisor.clone(),
            advice_address: advice,
            temp,
            holder: Holder::default(),
        };
        site.configure(1, routes);
        let gangs = runner::Gangs::default();
        for number in 0..runners {
            let settings = runner::Settings {
                number,
                ip: &format!("127.{net}.2.{}", number + 1),
                service: SERVICE,
                zone: ZONES[number % 3],
                rack: &format!("r1-{}", number / 2),
                run_time,
                max_hold: 10_000,
                holder: site.holder.clone(),
                gangs: gangs.clone(),
            };
            let runner =
                Runner::start(&settings, site.store.clone(), advisor.clone(), site.record.clone());
            site.runners.push(runner.map_err(|error| error.to_string())?);
        }
        for number in 0..instances {
            let instance = site.instance(net, number)?;
            site.instances.push(instance);
        }
        for number in 0..instances {
            site.launch(number)?;
        }
        for number in 0..instances {
            site.wait_ready(number)?;
        }
        Ok(site)
    }

    /// Writes a configuration as the operator.
    pub fn configure(&self, version: u64, routes: &[Route]) {
        let rows = routes.iter().map(|route| {
            let mut fields = vec![
                ("name", text(route.name)),
                ("host", text(HOST)),
                ("prefix", text(route.prefix)),
                ("kind", text("non_idempotent")),
                ("timeoutMs", num(3_000)),
                ("targetLatencyMs", num(1_000)),
                ("priority", num(route.priority)),
                ("service", text(SERVICE)),
                ("maxAttempts", num(3)),
                ("slowdownFactor", Json::Num(2.0)),
            ];
            if route.advised {
                let times = vec![
                    ("decisionMs", num(TIMES.0)),
                    ("periodMs", num(TIMES.1)),
                    ("validityMs", num(TIMES.2)),
                ];
                fields.push(("recommendation", map(times)));
            }
            map(fields)
        });
        let service = map(vec![
            ("name", text(SERVICE)),
            ("healthPath", text("/health")),
            ("maxConnections", num(64)),
            ("protocol", text("h1")),
            ("tlsEnabled", Json::Bool(false)),
            ("enforceCapacity", Json::Bool(false)),
            ("standby", Json::Bool(false)),
        ]);
        let limits = map(vec![
            ("maxHeaderBytes", num(16_384)),
            ("maxBodyBytes", num(262_144)),
            ("headerTimeoutMs", num(3_000)),
            ("idleTimeoutMs", num(15_000)),
        ]);
        let config = map(vec![
            ("version", num(version)),
            ("routes", Json::List(rows.collect())),
            ("services", Json::List(vec![service])),
            ("limits", limits),
        ]);
        self.store.put("op/config", &config.to_string());
        let names: Vec<&str> = routes.iter().map(|route| route.prefix).collect();
        self.record.line(&format!(
            "operator: configuration {version} with routes {} acknowledged",
            names.join(" ")
        ));
    }

    fn instance(&self, net: u8, number: usize) -> Result<Instance> {
        let ip = format!("127.{net}.1.{}", number + 1);
        let store = self.store.listen(&format!("127.{net}.3.{}", number + 1), number);
        let store = store.map_err(|error| error.to_string())?;
        let zone = ZONES[number % 3];
        let name = format!("frontend-{zone}-{}", number / 3 + 1);
        let seeds = (1..=3).map(|host| text(format!("127.{net}.1.{host}:8166")));
        let bounds = [
            ("seedLagS", 3.0),
            ("addressReuseS", 2.0),
            ("contactTimeoutMs", 3000.0),
            ("ackTimeoutMs", 4000.0),
            ("catchUpS", 4.0),
            ("drainTimeoutMs", 2000.0),
            ("gracePeriodS", 6.0),
            ("lossSlackMs", 200.0),
            ("configApplyMs", 2000.0),
            ("rollbackSlackMs", 250.0),
            ("maxExtensionMs", 5000.0),
            ("recoveryTimeS", 12.0),
            ("maxHoldMs", 10000.0),
            ("stopTimeoutMs", 900.0),
            ("gangTimeoutMs", 3000.0),
            ("cancel_ms", 3000.0),
            ("visible_ms", 3000.0),
            ("early_ms", 250.0),
            ("finish_s", 14.0),
            ("status_s", 120.0),
            ("remoteFactor", 1.5),
            ("checkpointIntervalS", 0.5),
            ("restoreTimeoutMs", 250.0),
            ("noticeMs", 4500.0),
            ("migrationS", 1.5),
            ("maintenanceS", 2.0),
            ("leaseDurationMs", 3000.0),
            ("thawSlackMs", 300.0),
            ("rateIntervalMs", 100.0),
            ("disruptionMs", 4000.0),
        ];
        let mut bounds: Vec<(&str, Json)> =
            bounds.into_iter().map(|(name, value)| (name, Json::Num(value))).collect();
        bounds.push(("fencingEnforced", Json::Bool(true)));
        let zones = ZONES.iter().map(|zone| (*zone, text("za-south"))).collect();
        let settings = map(vec![
            ("nodeName", text(name.clone())),
            ("role", text("entry")),
            ("machineClass", text("frontend")),
            ("serves", Json::List(vec![text("frontend")])),
            ("ipAddress", text(ip.clone())),
            ("zone", text(zone)),
            ("region", text("za-south")),
            ("zones", map(zones)),
            (
                "listenAddresses",
                map(vec![
                    ("frontendAddr", text(format!("{ip}:8161"))),
                    ("readiness", text(format!("{ip}:8167"))),
                ]),
            ),
            ("internalPortRange", Json::List(vec![num(7720), num(7735)])),
            ("seedNodes", Json::List(seeds.collect())),
            ("isBootstrap", Json::Bool(true)),
            ("isFaultCounted", Json::Bool(false)),
            (
                "limits",
                map(vec![
                    ("cpuShare", Json::Num(0.25)),
                    ("cpuCores", num(1)),
                    ("memoryMb", num(260)),
                    ("maxFileDescriptors", num(4100)),
                    ("linkMbps", num(1000)),
                    ("diskMb", num(0)),
                ]),
            ),
            ("dataDirectory", Json::Null),
            ("discovery", text("platform")),
            ("entry", text("virtual_ip")),
            ("heartbeatIntervalMs", num(1000)),
            ("contracts", Json::List(vec![text("base"), text("sched"), text("platform")])),
            (
                "faultTolerance",
                map(vec![("machines", num(1)), ("zones", num(0)), ("regions", num(0))]),
            ),
            ("bounds", map(bounds)),
            ("commands", text("invocation")),
            ("recommendation", text(self.advice_address.to_string())),
            (
                "platform",
                map(vec![
                    ("address", text(store.to_string())),
                    ("form", text("kv")),
                    ("writesPerS", num(400)),
                    ("readsPerS", num(2000)),
                    ("historyS", num(20)),
                    ("valueBytes", num(1_048_576)),
                    ("minTtlMs", num(1000)),
                ]),
            ),
        ]);
        let path = self.temp.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
        let address = |port: u16| format!("{ip}:{port}").parse::<SocketAddr>();
        let parsed = |port| address(port).map_err(|error| error.to_string());
        Ok(Instance {
            client: parsed(8161)?,
            readiness: parsed(8167)?,
            settings: path,
            log: self.temp.join(format!("{name}.log")),
            name,
            child: None,
        })
    }

    /// Starts the process of an instance.
    pub fn launch(&mut self, number: usize) -> Result<()> {
        let instance = &mut self.instances[number];
        let log = File::options().create(true).append(true).open(&instance.log);
        let log = log.map_err(|error| error.to_string())?;
        let copy = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new("target/release/knapweedgap-entry")
            .env("KNAPWEEDGAP_CONFIG", &instance.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn()
            .map_err(|error| format!("target/release/knapweedgap-entry: {error}"))?;
        instance.child = Some(child);
        self.record.line(&format!("platform: starts instance {number} ({})", instance.name));
        Ok(())
    }

    /// Freezes the process of an instance, or wakes it again.
    pub fn freeze(&self, number: usize, is_frozen: bool) {
        let Some(child) = &self.instances[number].child else { return };
        let (signal, name) = if is_frozen { (SIGSTOP, "freezes") } else { (SIGCONT, "wakes") };
        self.record.line(&format!("platform: instance {number} {name}"));
        // The process is a child of this one that has not been waited for.
        unsafe { kill(child.id() as i32, signal) };
    }

    fn wait_ready(&self, number: usize) -> Result<()> {
        let end = Instant::now() + Duration::from_secs(15);
        let address = self.instances[number].readiness;
        while Instant::now() < end {
            let answer = http::call(address, "GET", "x", "/ready", "", Duration::from_secs(1));
            if answer.is_ok_and(|(status, _)| status == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("instance {number} is not ready"))
    }

    pub fn client_address(&self, number: usize) -> SocketAddr {
        self.instances[number].client
    }

    /// Returns the instance that last wrote to the store under a condition.
    pub fn leader(&self) -> Result<usize> {
        self.store.writer().ok_or_else(|| "no instance writes under a condition".to_owned())
    }

    /// Sends a request of a client and records it. Returns the status, or 0 without an answer.
    pub fn call(&self, number: usize, method: &str, path: &str, body: &str, ms: u64) -> u16 {
        send(&self.record, self.client_address(number), number, method, path, body, ms).0
    }

    /// Hands a job in and waits until it is shown as completed.
    pub fn complete(&self, number: usize, path: &str, body: &str) -> Result<()> {
        let status = self.call(number, "POST", path, body, 3_000);
        if status != 200 {
            return Err(format!("the job for the trial was answered {status}"));
        }
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            let address = self.client_address(number);
            let answer = http::call(address, "GET", HOST, path, "", Duration::from_secs(3));
            if answer.is_ok_and(|(_, body)| body.contains("completed")) {
                self.record.line(&format!("client: GET {path} at instance {number}: completed"));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the job for the trial is not completed".to_owned())
    }
}

pub fn send(
    record: &Record,
    address: SocketAddr,
    number: usize,
    method: &str,
    path: &str,
    body: &str,
    ms: u64,
) -> (u16, String) {
    record.line(&format!("client: {method} {path} at instance {number}"));
    let answer = http::call(address, method, HOST, path, body, Duration::from_millis(ms));
    match answer {
        Ok((status, body)) => {
            record.line(&format!(
                "client: {method} {path} at instance {number} is answered {status} {body}"
            ));
            (status, body)
        }
        Err(error) => {
            record.line(&format!("client: {method} {path} at instance {number}: {error}"));
            (0, error)
        }
    }
}

/// Returns the second byte of loopback addresses that nothing uses.
fn free_net(instances: usize) -> Result<u8> {
    let first = (std::process::id() % 200) as u8;
    for offset in 0..200u8 {
        let net = 20 + (first + offset) % 200;
        let is_free = (1..=instances).all(|host| {
            [8161, 8167, 7720, 7735]
                .iter()
                .all(|port| TcpListener::bind((format!("127.{net}.1.{host}"), *port)).is_ok())
        });
        if is_free {
            return Ok(net);
        }
    }
    Err("no free loopback addresses".to_owned())
}
