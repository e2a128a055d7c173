//! Settings file of one process.
//!
//! The file contains the settings that a process needs before it can reach the key-value service:
//! its name, its availability zone, its addresses and those of the platform. All other settings are
//! in the settings tree.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use knapweedgap_core::id;
use knapweedgap_settings::finding::Code;
use knapweedgap_settings::{Finding, Findings, Path};
use serde_json::{Map, Value};

/// Maximum number of traffic threads of one process.
pub const TRAFFIC_THREADS_MAX: u32 = 64;

/// Settings of one process, from its settings file.
#[derive(Debug, Clone)]
pub struct Process {
    /// Name of the instance, unique in the installation.
    pub instance: id::Instance,
    /// Availability zone in which the process runs.
    pub zone: id::Zone,
    /// Node of the settings tree whose values apply to this process. Default: the root.
    pub place: Path,
    /// Listen address for clients.
    pub client: SocketAddr,
    /// Listen address for operators.
    pub operator: SocketAddr,
    /// Listen address for other instances.
    pub peer: SocketAddr,
    /// Addresses of the key-value service; at least one.
    pub store: Vec<SocketAddr>,
    /// Address of the VM list.
    pub inventory: SocketAddr,
    /// Number of traffic threads, from 1 to [`TRAFFIC_THREADS_MAX`]. Default: 2.
    pub traffic_threads: u32,
    /// Lowest severity that is logged. Default: `Info`.
    pub log_level: log::LevelFilter,
    /// Log file. Absent: the log is written to standard error.
    pub log_file: Option<PathBuf>,
}

const FIELDS: [&str; 11] = [
    "instance",
    "zone",
    "place",
    "client",
    "operator",
    "peer",
    "store",
    "inventory",
    "traffic_threads",
    "log_level",
    "log_file",
];

impl Process {
    /// Parses the JSON text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its place in the file.
    pub fn parse(text: &str) -> Result<Process, Findings> {
        let json: Value = serde_json::from_str(text).map_err(|error| {
            let place = format!("$ (line {}, column {})", error.line(), error.column());
            Findings::from(Finding::new(Code::Syntax, place, "invalid JSON", error.to_string()))
        })?;
        let Value::Object(object) = json else {
            let help = format!("write an object with the fields {}", FIELDS.join(", "));
            return Err(Finding::new(Code::WrongType, "$", "no object", help).into());
        };
        let mut reader = Reader { object, findings: Findings::default() };
        reader.check_field_names();
        let process = reader.process();
        match process {
            Some(process) if reader.findings.is_empty() => Ok(process),
            _ => Err(reader.findings),
        }
    }
}

struct Reader {
    object: Map<String, Value>,
    findings: Findings,
}

impl Reader {
    fn process(&mut self) -> Option<Process> {
        let instance = self.required("instance");
        let zone = self.required("zone");
        let place = self.optional("place");
        let client = self.required("client");
        let operator = self.required("operator");
        let peer = self.required("peer");
        let store = self.addresses("store");
        let inventory = self.required("inventory");
        let traffic_threads = self.traffic_threads();
        let log_level = self.optional("log_level");
        let log_file = self.optional("log_file");
        Some(Process {
            instance: instance?,
            zone: zone?,
            place: place.unwrap_or_else(Path::root),
            client: client?,
            operator: operator?,
            peer: peer?,
            store,
            inventory: inventory?,
            traffic_threads,
            log_level: log_level.unwrap_or(log::LevelFilter::Info),
            log_file,
        })
    }

    fn push(&mut self, code: Code, name: &str, found: impl Display, help: impl Display) {
        self.findings.push(Finding::new(code, format!("$.{name}"), found, help.to_string()));
    }

    fn check_field_names(&mut self) {
        let unknown: Vec<String> =
            self.object.keys().filter(|name| !is_known(name)).cloned().collect();
        for name in unknown {
            let help = format!("use the fields {}", FIELDS.join(", "));
            self.push(Code::UnknownField, &name, &name, help);
        }
    }

    fn required<Field>(&mut self, name: &str) -> Option<Field>
    where
        Field: FromStr,
        Field::Err: Display,
    {
        if !self.object.contains_key(name) {
            self.push(Code::WrongType, name, "nothing", "add this field");
            return None;
        }
        self.optional(name)
    }

    fn optional<Field>(&mut self, name: &str) -> Option<Field>
    where
        Field: FromStr,
        Field::Err: Display,
    {
        let value = self.object.get(name)?.clone();
        let Some(text) = value.as_str() else {
            self.push(Code::WrongType, name, value, "write a string");
            return None;
        };
        match text.parse() {
            Ok(field) => Some(field),
            Err(error) => {
                self.push(Code::WrongType, name, text, error);
                None
            }
        }
    }

    fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let values = self.object.get(name).and_then(Value::as_array).cloned().unwrap_or_default();
        if values.is_empty() {
            self.push(Code::WrongType, name, "no address", "write a list of <IP>:<port>");
        }
        let mut addresses = Vec::new();
        for (index, value) in values.iter().enumerate() {
            match value.as_str().map(str::parse) {
                Some(Ok(address)) => addresses.push(address),
                _ => {
                    let place = format!("{name}[{index}]");
                    self.push(Code::WrongType, &place, value, "write \"<IP>:<port>\"");
                }
            }
        }
        addresses
    }

    fn traffic_threads(&mut self) -> u32 {
        const DEFAULT: u32 = 2;
        let Some(value) = self.object.get("traffic_threads").cloned() else { return DEFAULT };
        let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
        match number {
            Some(number) if (1..=TRAFFIC_THREADS_MAX).contains(&number) => number,
            _ => {
                self.push(
                    Code::OutOfRange,
                    "traffic_threads",
                    value,
                    "write a number from 1 to 64",
                );
                DEFAULT
            }
        }
    }
}

fn is_known(name: &str) -> bool {
    FIELDS.contains(&name)
}
