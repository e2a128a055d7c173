//! Sizes of machines and tasks, each in a fixed unit.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::macros::number;
use crate::parse;

number!(
    /// Number of whole accelerators.
    Accelerator, u32, "number of accelerators"
);
number!(
    /// Number of requests that an upstream processes concurrently.
    Slot, u32, "number of slots"
);
number!(
    /// Number of connections.
    Connection, u32, "number of connections"
);

/// Number of bytes. Its text form uses the largest binary unit that divides it: `512`, `4KiB`,
/// `60GiB`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Bytes(u64);

const BYTE_UNITS: [(&str, u32); 4] = [("TiB", 40), ("GiB", 30), ("MiB", 20), ("KiB", 10)];

impl Bytes {
    /// Creates a size from a number of bytes.
    pub const fn new(bytes: u64) -> Bytes {
        Bytes(bytes)
    }

    /// Returns the number of bytes.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (unit, shift) in BYTE_UNITS {
            if self.0 != 0 && self.0.trailing_zeros() >= shift {
                return write!(f, "{}{unit}", self.0 >> shift);
            }
        }
        write!(f, "{}", self.0)
    }
}

impl FromStr for Bytes {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Bytes, parse::Error> {
        let error = || {
            parse::Error::new("number of bytes", text, "write a number with KiB, MiB, GiB or TiB")
        };
        for (unit, shift) in BYTE_UNITS {
            let Some(digits) = text.strip_suffix(unit) else { continue };
            let count: u64 = digits.parse().map_err(|_| error())?;
            return count.checked_mul(1 << shift).map(Bytes).ok_or_else(error);
        }
        text.parse().map(Bytes).map_err(|_| error())
    }
}

/// Processor size in thousandths of a core. Its text form is `1500m` or, for whole cores, `2`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Processor(u64);

/// Number of [`Processor`] units in one core.
pub const MILLI_PER_CORE: u64 = 1000;

impl Processor {
    /// Creates a size from thousandths of a core.
    pub const fn from_milli(milli: u64) -> Processor {
        Processor(milli)
    }

    /// Creates a size from whole cores.
    pub const fn from_cores(cores: u32) -> Processor {
        Processor(cores as u64 * MILLI_PER_CORE)
    }

    /// Returns the size in thousandths of a core.
    pub const fn milli(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Processor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(MILLI_PER_CORE) {
            return write!(f, "{}", self.0 / MILLI_PER_CORE);
        }
        write!(f, "{}m", self.0)
    }
}

impl FromStr for Processor {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Processor, parse::Error> {
        let error = || {
            parse::Error::new(
                "processor size",
                text,
                "write whole cores or thousandths of a core, for example 2 or 1500m",
            )
        };
        if let Some(milli) = text.strip_suffix('m') {
            return milli.parse().map(Processor).map_err(|_| error());
        }
        let cores: u64 = text.parse().map_err(|_| error())?;
        cores.checked_mul(MILLI_PER_CORE).map(Processor).ok_or_else(error)
    }
}

/// Processor, memory and accelerator size of a worker or a task. An omitted field is 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Serialized in thousandths of a core.
    #[serde(default)]
    pub processor: Processor,
    /// Serialized in bytes.
    #[serde(default)]
    pub memory: Bytes,
    /// Number of whole accelerators.
    #[serde(default)]
    pub accelerator: Accelerator,
}

impl Resources {
    /// Returns `true` if `need` does not exceed these resources in any dimension.
    pub fn fits(&self, need: &Resources) -> bool {
        need.processor <= self.processor
            && need.memory <= self.memory
            && need.accelerator <= self.accelerator
    }
}

impl Add for Resources {
    type Output = Resources;

    fn add(self, other: Resources) -> Resources {
        Resources {
            processor: Processor(self.processor.0.saturating_add(other.processor.0)),
            memory: Bytes(self.memory.0.saturating_add(other.memory.0)),
            accelerator: Accelerator::new(
                self.accelerator.get().saturating_add(other.accelerator.get()),
            ),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Resources;

    /// Subtracts in every dimension, saturating at zero.
    fn sub(self, other: Resources) -> Resources {
        Resources {
            processor: Processor(self.processor.0.saturating_sub(other.processor.0)),
            memory: Bytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerator: Accelerator::new(
                self.accelerator.get().saturating_sub(other.accelerator.get()),
            ),
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.processor, self.memory, self.accelerator)
    }
}

impl FromStr for Resources {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Resources, parse::Error> {
        let error = || {
            parse::Error::new(
                "resources",
                text,
                "write <processor>/<memory>/<accelerators>, for example 2/4GiB/0",
            )
        };
        let mut parts = text.split('/');
        let mut next = || parts.next().ok_or_else(error);
        let processor = next()?.parse().map_err(|_| error())?;
        let memory = next()?.parse().map_err(|_| error())?;
        let accelerator = next()?.parse().map_err(|_| error())?;
        match parts.next() {
            None => Ok(Resources { processor, memory, accelerator }),
            Some(_) => Err(error()),
        }
    }
}
