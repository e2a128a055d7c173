//! Events and their kinds.

use std::fmt;
use std::str::FromStr;

use knapweedgap_core::{id, parse};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::stamp::Stamp;

/// Longest detail of an event, in bytes. It bounds the memory of the event buffer.
pub const DETAIL_LEN_MAX: usize = 256;

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// What happened.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub enum Kind {
            $($(#[$doc])* $name,)*
        }

        impl Kind {
            /// All kinds.
            pub const ALL: &[Kind] = &[$(Kind::$name,)*];

            /// Returns the kind as text.
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
    /// A client request was refused and did not run.
    RequestRefused = "request-refused",
    /// A client request ended and may have run.
    RequestUnknown = "request-unknown",
    /// A job was committed.
    JobSubmitted = "job-submitted",
    /// A job was refused at submission.
    JobRefused = "job-refused",
    /// A job was cancelled.
    JobCancelled = "job-cancelled",
    /// All tasks of a job are finished.
    JobFinished = "job-finished",
    /// A task was assigned to a worker.
    TaskPlaced = "task-placed",
    /// A worker reported that a task runs.
    TaskStarted = "task-started",
    /// A task was throttled.
    TaskThrottled = "task-throttled",
    /// A task wrote a checkpoint.
    TaskCheckpointed = "task-checkpointed",
    /// A task was evicted.
    TaskEvicted = "task-evicted",
    /// A task continues with its next attempt.
    TaskResumed = "task-resumed",
    /// The end of an attempt was confirmed.
    TaskStopped = "task-stopped",
    /// A task completed.
    TaskFinished = "task-finished",
    /// An attempt of a task failed.
    TaskFailed = "task-failed",
    /// A worker stopped answering.
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
    /// The VM list shows a new VM.
    VmAdded = "vm-added",
    /// The VM list shows a VM as leaving.
    VmLeaving = "vm-leaving",
    /// The VM list no longer shows a VM.
    VmRemoved = "vm-removed",
    /// This instance took a partition.
    PartitionTaken = "partition-taken",
    /// This instance handed a partition over.
    PartitionReleased = "partition-released",
    /// This instance found that another instance owns a partition that it owned.
    PartitionLost = "partition-lost",
    /// This instance started.
    InstanceStarted = "instance-started",
    /// This instance reports ready.
    InstanceReady = "instance-ready",
    /// This instance began a graceful shutdown.
    InstanceDraining = "instance-draining",
    /// This instance stopped.
    InstanceStopped = "instance-stopped",
    /// A peer is alive.
    PeerAlive = "peer-alive",
    /// A peer sent no ping for too long.
    PeerSuspect = "peer-suspect",
    /// A peer sent no ping and refused a connection.
    PeerDead = "peer-dead",
    /// The key-value service stopped answering.
    StoreUnavailable = "store-unavailable",
    /// The key-value service answers again.
    StoreRestored = "store-restored",
    /// A settings change was committed.
    SettingsCommitted = "settings-committed",
    /// A settings revision came into force in this instance.
    SettingsApplied = "settings-applied",
    /// A settings change was refused.
    SettingsRefused = "settings-refused",
    /// A remote clock was refused.
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

/// One entry of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub stamp: Stamp,
    /// Process that recorded the event.
    pub instance: id::Instance,
    /// What happened.
    pub kind: Kind,
    /// Job concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<id::Job>,
    /// Task concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<id::Task>,
    /// Client request concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<id::Request>,
    /// VM concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<id::Vm>,
    /// Partition concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub partition: Option<id::Partition>,
    /// Text for people, at most [`DETAIL_LEN_MAX`] bytes.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub detail: SmolStr,
}

impl Event {
    /// Starts an event.
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
    /// Names the job.
    pub fn job(mut self, job: id::Job) -> Builder {
        self.event.job = Some(job);
        self
    }

    /// Names the task and its job.
    pub fn task(mut self, task: id::Task) -> Builder {
        self.event.job = Some(task.job);
        self.event.task = Some(task);
        self
    }

    /// Names the client request.
    pub fn request(mut self, request: id::Request) -> Builder {
        self.event.request = Some(request);
        self
    }

    /// Names the VM.
    pub fn vm(mut self, vm: id::Vm) -> Builder {
        self.event.vm = Some(vm);
        self
    }

    /// Names the partition.
    pub fn partition(mut self, partition: id::Partition) -> Builder {
        self.event.partition = Some(partition);
        self
    }

    /// Adds a text for people, cut to [`DETAIL_LEN_MAX`] bytes.
    pub fn detail(mut self, detail: &str) -> Builder {
        let mut end = detail.len().min(DETAIL_LEN_MAX);
        while !detail.is_char_boundary(end) {
            end -= 1;
        }
        self.event.detail = SmolStr::new(&detail[..end]);
        self
    }

    /// Returns the event.
    pub fn build(self) -> Event {
        self.event
    }
}
