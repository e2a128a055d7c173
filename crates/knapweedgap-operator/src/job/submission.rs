use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use knapweedgap_core::{id, size};
use knapweedgap_settings::Findings;
use knapweedgap_settings::duration;
use knapweedgap_settings::finding::{Code, Finding};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Map, Value as Json};

use super::Priority;
use crate::codec;

/// Most tasks in a job, regardless of the team's settings.
pub const TASKS_MAX: u32 = 102_400;

/// Longest run time of a task that a submission may declare.
pub const RUN_TIME_MAX: Duration = Duration::from_secs(30 * 24 * 3600);

/// Most availability zones or racks in a placement constraint.
const CONSTRAINT_LEN_MAX: usize = 1024;

/// Size of one task, in JSON with units: `{"processor": "1500m", "memory": "4GiB",
/// "accelerator": 1}`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Processor capacity, serialized as `"1500m"`.
    #[serde(serialize_with = "crate::text::serialize")]
    pub processor: size::Processor,
    /// Memory, serialized as `"4GiB"`.
    #[serde(serialize_with = "crate::text::serialize")]
    pub memory: size::Bytes,
    /// Number of accelerators.
    pub accelerator: size::Accelerator,
}

impl From<size::Resources> for Size {
    fn from(size: size::Resources) -> Size {
        Size { processor: size.processor, memory: size.memory, accelerator: size.accelerator }
    }
}

impl From<Size> for size::Resources {
    fn from(size: Size) -> size::Resources {
        size::Resources {
            processor: size.processor,
            memory: size.memory,
            accelerator: size.accelerator,
        }
    }
}

/// Request to run a job. The idempotency key makes it safe to repeat: the same submission finds the
/// same record through every instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Submission {
    team: id::Team,
    key: id::Key,
    class: id::Class,
    priority: Priority,
    tasks: u32,
    size: Size,
    run_time: duration::Text,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_limit: Option<u32>,
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    zones: BTreeSet<id::Zone>,
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    racks: BTreeSet<id::Rack>,
}

const FIELDS: [&str; 10] = [
    "team",
    "key",
    "class",
    "priority",
    "tasks",
    "size",
    "run_time",
    "retry_limit",
    "zones",
    "racks",
];
const SIZE_FIELDS: [&str; 3] = ["processor", "memory", "accelerator"];

impl Submission {
    /// Creates a builder of a submission of one task with normal priority.
    pub fn builder(team: id::Team, key: id::Key, class: id::Class) -> Builder {
        Builder {
            submission: Submission {
                team,
                key,
                class,
                priority: Priority::default(),
                tasks: 1,
                size: size::Resources::default().into(),
                run_time: duration::Text::default(),
                retry_limit: None,
                zones: BTreeSet::new(),
                racks: BTreeSet::new(),
            },
        }
    }

    /// Decodes a submission from its JSON text.
    ///
    /// # Errors
    /// Returns all faults of the message.
    pub fn decode(bytes: &[u8]) -> Result<Submission, Findings> {
        Submission::from_json(&codec::decode(bytes)?)
    }

    /// Decodes a submission from a JSON value.
    ///
    /// # Errors
    /// Returns all faults of the message.
    pub fn from_json(json: &Json) -> Result<Submission, Findings> {
        let Some(object) = json.as_object() else {
            let help = format!("write an object with the fields {}", FIELDS.join(", "));
            return Err(Finding::new(Code::WrongType, "$", json, help).into());
        };
        let mut reader = Reader { findings: Findings::default() };
        reader.check_fields(object, "$", &FIELDS);
        let team = reader.required(object, "$", "team");
        let key = reader.required(object, "$", "key");
        let class = reader.required(object, "$", "class");
        let priority = reader.optional(object, "$", "priority");
        let tasks = reader.number(object, "$", "tasks");
        let size = reader.size(object);
        let run_time = reader.required(object, "$", "run_time");
        let retry_limit = reader.number(object, "$", "retry_limit");
        let zones = reader.list(object, "zones");
        let racks = reader.list(object, "racks");
        // Each missing required field has a finding already, so the checks below can be skipped.
        let (Some(team), Some(key), Some(class), Some(run_time)) = (team, key, class, run_time)
        else {
            return Err(reader.findings);
        };
        let submission = Submission {
            team,
            key,
            class,
            priority: priority.unwrap_or_default(),
            tasks: tasks.unwrap_or(1),
            size: size.into(),
            run_time,
            retry_limit,
            zones,
            racks,
        };
        if reader.findings.is_empty() {
            submission.check(&mut reader.findings);
        }
        reader.findings.into_result(submission)
    }

    /// Returns the id of the job, derived from team and idempotency key.
    pub fn job(&self) -> id::Job {
        id::Job::derive(&self.team, &self.key)
    }

    /// Returns the team to which the job is accounted.
    pub fn team(&self) -> &id::Team {
        &self.team
    }

    /// Returns the idempotency key, which is unique within the team.
    pub fn key(&self) -> &id::Key {
        &self.key
    }

    /// Returns the class for which interference is learned.
    pub fn class(&self) -> &id::Class {
        &self.class
    }

    /// Returns the priority among waiting jobs.
    pub fn priority(&self) -> Priority {
        self.priority
    }

    /// Returns the number of tasks.
    pub fn tasks(&self) -> u32 {
        self.tasks
    }

    /// Returns the size of each task.
    pub fn size(&self) -> size::Resources {
        self.size.into()
    }

    /// Returns the declared run time of a task.
    pub fn run_time(&self) -> Duration {
        self.run_time.get()
    }

    /// Returns the retry limit of each failed task; `None` means the limit of the team's settings.
    pub fn retry_limit(&self) -> Option<u32> {
        self.retry_limit
    }

    /// Returns the availability zones that may run the job; empty means all.
    pub fn zones(&self) -> &BTreeSet<id::Zone> {
        &self.zones
    }

    /// Returns the racks that may run the job; empty means all.
    pub fn racks(&self) -> &BTreeSet<id::Rack> {
        &self.racks
    }

    fn check(&self, findings: &mut Findings) {
        let mut require = |is_valid: bool, place: &str, found: &dyn fmt::Display, help: &str| {
            if !is_valid {
                findings.push(Finding::new(Code::OutOfRange, place, found, help));
            }
        };
        let tasks_ok = (1..=TASKS_MAX).contains(&self.tasks);
        require(tasks_ok, "$.tasks", &self.tasks, "request 1 to 102400 tasks");
        let run_time = self.run_time.get();
        let run_time_ok = !run_time.is_zero() && run_time <= RUN_TIME_MAX;
        require(run_time_ok, "$.run_time", &self.run_time, "declare more than 0s, at most 720h");
        let processor_ok = self.size.processor.milli() > 0;
        require(processor_ok, "$.size.processor", &self.size.processor, "request at least 1m");
        let memory_ok = self.size.memory.get() > 0;
        require(memory_ok, "$.size.memory", &self.size.memory, "request at least 1 byte");
        let zones_ok = self.zones.len() <= CONSTRAINT_LEN_MAX;
        require(zones_ok, "$.zones", &self.zones.len(), "name at most 1024 zones");
        let racks_ok = self.racks.len() <= CONSTRAINT_LEN_MAX;
        require(racks_ok, "$.racks", &self.racks.len(), "name at most 1024 racks");
    }
}

impl<'de> Deserialize<'de> for Submission {
    fn deserialize<D>(deserializer: D) -> Result<Submission, D::Error>
    where
        D: Deserializer<'de>,
    {
        let json = Json::deserialize(deserializer)?;
        Submission::from_json(&json).map_err(serde::de::Error::custom)
    }
}

/// Builder of a [`Submission`].
#[derive(Debug, Clone)]
pub struct Builder {
    submission: Submission,
}

impl Builder {
    /// Sets the priority; the default is [`Priority::Normal`].
    #[must_use]
    pub fn priority(mut self, priority: Priority) -> Builder {
        self.submission.priority = priority;
        self
    }

    /// Sets the number of tasks, from 1 to [`TASKS_MAX`]; the default is 1.
    #[must_use]
    pub fn tasks(mut self, tasks: u32) -> Builder {
        self.submission.tasks = tasks;
        self
    }

    /// Sets the size of each task.
    #[must_use]
    pub fn size(mut self, size: size::Resources) -> Builder {
        self.submission.size = size.into();
        self
    }

    /// Sets the declared run time of a task, truncated to whole microseconds.
    #[must_use]
    pub fn run_time(mut self, run_time: Duration) -> Builder {
        self.submission.run_time = duration::Text::new(run_time);
        self
    }

    /// Sets the retry limit of each failed task; the default is the limit of the team's settings.
    #[must_use]
    pub fn retry_limit(mut self, limit: u32) -> Builder {
        self.submission.retry_limit = Some(limit);
        self
    }

    /// Allows an availability zone; without any, all zones may run the job.
    #[must_use]
    pub fn zone(mut self, zone: id::Zone) -> Builder {
        self.submission.zones.insert(zone);
        self
    }

    /// Allows a rack; without any, all racks may run the job.
    #[must_use]
    pub fn rack(mut self, rack: id::Rack) -> Builder {
        self.submission.racks.insert(rack);
        self
    }

    /// Checks and returns the submission.
    ///
    /// # Errors
    /// Returns a finding for each field that is missing or out of range.
    pub fn build(self) -> Result<Submission, Findings> {
        let mut findings = Findings::default();
        self.submission.check(&mut findings);
        findings.into_result(self.submission)
    }
}

/// Reads fields of a JSON object and collects their faults.
struct Reader {
    findings: Findings,
}

impl Reader {
    fn push(&mut self, code: Code, place: String, found: impl fmt::Display, help: &str) {
        self.findings.push(Finding::new(code, place, found, help));
    }

    fn check_fields(&mut self, object: &Map<String, Json>, place: &str, known: &[&str]) {
        for name in object.keys() {
            if !known.contains(&name.as_str()) {
                let help = format!("use the fields {}", known.join(", "));
                self.push(Code::UnknownField, format!("{place}.{name}"), name, &help);
            }
        }
    }

    fn required<T>(&mut self, object: &Map<String, Json>, place: &str, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if !object.contains_key(name) {
            self.push(Code::WrongType, format!("{place}.{name}"), "nothing", "add this field");
            return None;
        }
        self.optional(object, place, name)
    }

    fn optional<T>(&mut self, object: &Map<String, Json>, place: &str, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let json = object.get(name)?;
        self.text(json, format!("{place}.{name}"))
    }

    fn text<T>(&mut self, json: &Json, place: String) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some(text) = json.as_str() else {
            self.push(Code::WrongType, place, json, "write a string");
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.push(Code::OutOfRange, place, json, &error.to_string());
                None
            }
        }
    }

    fn number(&mut self, object: &Map<String, Json>, place: &str, name: &str) -> Option<u32> {
        let json = object.get(name)?;
        let number = json.as_u64().and_then(|number| u32::try_from(number).ok());
        if number.is_none() {
            let help = "write a whole number below 2^32 without quotes";
            self.push(Code::WrongType, format!("{place}.{name}"), json, help);
        }
        number
    }

    fn list<T>(&mut self, object: &Map<String, Json>, name: &str) -> BTreeSet<T>
    where
        T: FromStr + Ord,
        T::Err: fmt::Display,
    {
        let mut list = BTreeSet::new();
        let Some(json) = object.get(name) else { return list };
        let Some(items) = json.as_array() else {
            self.push(Code::WrongType, format!("$.{name}"), json, "write a list of names");
            return list;
        };
        for (index, item) in items.iter().enumerate() {
            list.extend(self.text::<T>(item, format!("$.{name}[{index}]")));
        }
        list
    }

    fn size(&mut self, object: &Map<String, Json>) -> size::Resources {
        let place = "$.size";
        let Some(fields) = object.get("size").and_then(Json::as_object) else {
            let found = object.get("size").map_or("nothing".to_owned(), Json::to_string);
            let help = "write {\"processor\": \"1500m\", \"memory\": \"4GiB\"}";
            self.push(Code::WrongType, place.to_owned(), found, help);
            return size::Resources::default();
        };
        self.check_fields(fields, place, &SIZE_FIELDS);
        size::Resources {
            processor: self.required(fields, place, "processor").unwrap_or_default(),
            memory: self.required(fields, place, "memory").unwrap_or_default(),
            accelerator: size::Accelerator::new(
                self.number(fields, place, "accelerator").unwrap_or_default(),
            ),
        }
    }
}
