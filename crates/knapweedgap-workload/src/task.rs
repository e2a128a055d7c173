//! Ids of tasks and steps.

use std::fmt;
use std::str::FromStr;

use knapweedgap_core::{id, parse};
use serde::{Deserialize, Serialize};

/// One step of one occurrence of a job, written as `<job>.<occurrence>.<step>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Job that the step belongs to.
    pub job: id::Job,
    /// Occurrence of a timed job, from 0; always 0 for other jobs.
    pub occurrence: u32,
    /// Position of the step in the job, from 0.
    pub step: u16,
}

impl Step {
    /// Returns the id of the task at position `index` of this step, from 0.
    pub const fn task(self, index: u32) -> Id {
        Id { step: self, index }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl FromStr for Step {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Step, parse::Error> {
        let error = || parse::Error::new("step id", text, "write <job id>.<occurrence>.<step>");
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(error)?.parse().map_err(|_| error())?;
        let occurrence = parts.next().ok_or_else(error)?.parse().map_err(|_| error())?;
        let step = parts.next().ok_or_else(error)?.parse().map_err(|_| error())?;
        match parts.next() {
            None => Ok(Step { job, occurrence, step }),
            Some(_) => Err(error()),
        }
    }
}

/// One task, written as `<job>.<occurrence>.<step>.<index>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Step that the task belongs to.
    pub step: Step,
    /// Position of the task in its step, from 0.
    pub index: u32,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for Id {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Id, parse::Error> {
        let help = "write <job id>.<occurrence>.<step>.<index>";
        let error = || parse::Error::new("task id", text, help);
        let (step, index) = text.rsplit_once('.').ok_or_else(error)?;
        let step = step.parse().map_err(|_| error())?;
        let index = index.parse().map_err(|_| error())?;
        Ok(Id { step, index })
    }
}
