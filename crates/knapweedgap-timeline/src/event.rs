//! Events and their kinds.

use std::fmt;
use std::str::FromStr;

use knapweedgap_core::{id, parse};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::stamp::Stamp;

/// Maximum length of the detail of an event, in bytes. Bounds the memory use of the event buffer.
pub const DETAIL_LEN_MAX: usize = 256;

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// Kind of an event. Its text form is the kind in kebab case.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub enum Kind {
            $($(#[$doc])* $name,)*
        }

        impl Kind {
            /// All kinds in order of declaration.
            pub const ALL: &[Kind] = &[$(Kind::$name,)*];

            /// Returns the text form of the kind.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Kind::$name => $text,)*
                }
            }
        }
    };
}

kinds! {
    /// A client request was accepted.
    RequestAccepted = "request-accepted",
    /// A client request waits for a slot.
    RequestQueued = "request-queued",
    /// A client request was sent to an upstream.
    RequestDispatched = "request-dispatched",
    /// A client request was sent to another upstream after a failure.
    RequestRetried = "request-retried",
    /// A client request was answered by an upstream.
    RequestAnswered = "request-answered",
    /// A client request was refused without being executed.
    RequestRefused = "request-refused",
    /// A client request ended with an unknown outcome; it may have been executed.
    RequestUnknown = "request-unknown",
    /// A submitted job was committed to the store.
    JobSubmitted = "job-submitted",
    /// A job was refused at submission.
    JobRefused = "job-refused",
    /// A job was cancelled.
    JobCancelled = "job-cancelled",
    /// All tasks of a job are finished.
    JobFinished = "job-finished",
    /// A task was assigned to a worker.
    TaskPlaced = "task-placed",
    /// A worker reported that it runs a task.
    TaskStarted = "task-started",
    /// A task was throttled.
    TaskThrottled = "task-throttled",
    /// A task wrote a checkpoint.
    TaskCheckpointed = "task-checkpointed",
    /// A task was evicted.
    TaskEvicted = "task-evicted",
    /// A task continues with another attempt.
    TaskResumed = "task-resumed",
    /// The end of an attempt was confirmed.
    TaskStopped = "task-stopped",
    /// A task completed.
    TaskFinished = "task-finished",
    /// An attempt of a task failed.
    TaskFailed = "task-failed",
    /// A worker no longer answers.
    WorkerUnreachable = "worker-unreachable",
    /// A worker answers again.
    WorkerReachable = "worker-reachable",
    /// A worker was quarantined.
    WorkerQuarantined = "worker-quarantined",
    /// The quarantine of a worker ended.
    WorkerReadmitted = "worker-readmitted",
    /// An upstream was ejected after failures.
    UpstreamEjected = "upstream-ejected",
    /// An ejected upstream receives requests again.
    UpstreamReadmitted = "upstream-readmitted",
    /// The VM list contains a new VM.
    VmAdded = "vm-added",
    /// The VM list marks a VM as leaving.
    VmLeaving = "vm-leaving",
    /// The VM list no longer contains a VM.
    VmRemoved = "vm-removed",
    /// This instance became the owner of a partition.
    PartitionTaken = "partition-taken",
    /// This instance gave up the ownership of a partition.
    PartitionReleased = "partition-released",
    /// This instance found that another instance has become the owner of its partition.
    PartitionLost = "partition-lost",
    /// The process of this instance started.
    InstanceStarted = "instance-started",
    /// This instance is ready to serve requests.
    InstanceReady = "instance-ready",
    /// This instance began a graceful shutdown.
    InstanceDraining = "instance-draining",
    /// The process of this instance is about to exit.
    InstanceStopped = "instance-stopped",
    /// Pings from another instance arrive.
    PeerAlive = "peer-alive",
    /// No ping from another instance arrived within the timeout.
    PeerSuspect = "peer-suspect",
    /// No ping from another instance arrived and it refused a connection.
    PeerDead = "peer-dead",
    /// The key-value service no longer answers.
    StoreUnavailable = "store-unavailable",
    /// The key-value service answers again.
    StoreRestored = "store-restored",
    /// A settings change was committed.
    SettingsCommitted = "settings-committed",
    /// A settings revision took effect in this instance.
    SettingsApplied = "settings-applied",
    /// A settings change was refused.
    SettingsRefused = "settings-refused",
    /// The stamp of a remote clock was refused because it is too far ahead.
    ClockRefused = "clock-refused",
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Kind, parse::Error> {
        let found = Kind::ALL.iter().copied().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| {
            parse::Error::new("event kind", text, "write a kind such as task-evicted")
        })
    }
}

impl TryFrom<SmolStr> for Kind {
    type Error = parse::Error;

    fn try_from(text: SmolStr) -> Result<Kind, parse::Error> {
        text.parse()
    }
}

impl From<Kind> for SmolStr {
    fn from(kind: Kind) -> SmolStr {
        SmolStr::new_static(kind.as_str())
    }
}

/// Entry of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub stamp: Stamp,
    /// Instance that recorded the event.
    pub instance: id::Instance,
    /// Kind of the event.
    pub kind: Kind,
    /// Job that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<id::Job>,
    /// Task that the event concerns. [`Builder::task`] also sets `job`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<id::Task>,
    /// Client request that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<id::Request>,
    /// VM that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<id::Vm>,
    /// Partition that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub partition: Option<id::Partition>,
    /// Human-readable description, at most [`DETAIL_LEN_MAX`] bytes; may be empty.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub detail: SmolStr,
}

impl Event {
    /// Creates a builder of an event that concerns no object and has no detail.
    pub fn builder(stamp: Stamp, instance: id::Instance, kind: Kind) -> Builder {
        Builder {
            event: Event {
                stamp,
                instance,
                kind,
                job: None,
                task: None,
                request: None,
                vm: None,
                partition: None,
                detail: SmolStr::default(),
            },
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.stamp, self.instance, self.kind)?;
        if let Some(job) = &self.job {
            write!(f, " job={job}")?;
        }
        if let Some(task) = &self.task {
            write!(f, " task={task}")?;
        }
        if let Some(request) = &self.request {
            write!(f, " request={request}")?;
        }
        if let Some(vm) = &self.vm {
            write!(f, " vm={vm}")?;
        }
        if let Some(partition) = &self.partition {
            write!(f, " partition={partition}")?;
        }
        if !self.detail.is_empty() {
            write!(f, " {}", self.detail)?;
        }
        Ok(())
    }
}

/// Builder of an [`Event`].
#[derive(Debug)]
pub struct Builder {
    event: Event,
}

impl Builder {
    /// Sets the job that the event concerns.
    pub fn job(mut self, job: id::Job) -> Builder {
        self.event.job = Some(job);
        self
    }

    /// Sets the task that the event concerns, and its job.
    pub fn task(mut self, task: id::Task) -> Builder {
        self.event.job = Some(task.job);
        self.event.task = Some(task);
        self
    }

    /// Sets the client request that the event concerns.
    pub fn request(mut self, request: id::Request) -> Builder {
        self.event.request = Some(request);
        self
    }

    /// Sets the VM that the event concerns.
    pub fn vm(mut self, vm: id::Vm) -> Builder {
        self.event.vm = Some(vm);
        self
    }

    /// Sets the partition that the event concerns.
    pub fn partition(mut self, partition: id::Partition) -> Builder {
        self.event.partition = Some(partition);
        self
    }

    /// Sets the human-readable description, truncated to [`DETAIL_LEN_MAX`] bytes.
    pub fn detail(mut self, detail: &str) -> Builder {
        let mut end = detail.len().min(DETAIL_LEN_MAX);
        while !detail.is_char_boundary(end) {
            end -= 1;
        }
        self.event.detail = SmolStr::new(&detail[..end]);
        self
    }

    /// Creates the event.
    pub fn build(self) -> Event {
        self.event
    }
}
