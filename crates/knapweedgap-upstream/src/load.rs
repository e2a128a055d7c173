//! Load that an upstream reports in its answers.
//!
//! The header follows the text format of the Open Request Cost Aggregation proposal: `TEXT `, then
//! pairs `name=value` separated by commas.

use std::str::FromStr;

use derive_more::{Display, Error};
use http_types::Response;
use knapweedgap_core::size;

/// Header that carries the load.
pub const HEADER: &str = "endpoint-load-metrics";
/// Header of a refusal before start.
pub const NOT_STARTED: &str = "x-not-started";

const FORMAT: &str = "TEXT ";
const SLOTS: &str = "named_metrics.slots_in_use";

/// Reported load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{FORMAT}{SLOTS}={slots_in_use}")]
pub struct Load {
    /// Requests that the upstream works on.
    pub slots_in_use: size::Slot,
}

/// Rejection of a load header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The header does not start with `TEXT `.
    #[display("{HEADER}: use the text format, as TEXT {SLOTS}=3")]
    Format,
    /// The header does not name the slots in use.
    #[display("{HEADER}: {SLOTS} is missing")]
    Missing,
    /// The slots in use are given twice or are not a whole number.
    #[display("{HEADER}: {SLOTS} must be one whole number")]
    Number,
}

impl FromStr for Load {
    type Err = Error;

    fn from_str(text: &str) -> Result<Load, Error> {
        let pairs = text.trim().strip_prefix(FORMAT).ok_or(Error::Format)?;
        let mut found = None;
        for pair in pairs.split(',') {
            let Some((name, value)) = pair.split_once('=') else { continue };
            if name.trim() != SLOTS {
                continue;
            }
            let slots = whole(value.trim()).ok_or(Error::Number)?;
            if found.replace(slots).is_some() {
                return Err(Error::Number);
            }
        }
        found.map(|slots_in_use| Load { slots_in_use }).ok_or(Error::Missing)
    }
}

/// Reads a whole number. The proposal's values are floating-point numbers, so `3.0` is accepted.
fn whole(text: &str) -> Option<size::Slot> {
    let digits = match text.split_once('.') {
        Some((digits, fraction)) if fraction.bytes().all(|byte| byte == b'0') => digits,
        Some(_) => return None,
        None => text,
    };
    let valid = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| valid)
}

/// Returns the slots in use that an answer reports. A missing or invalid header is no reason to
/// drop a good answer.
pub fn slots_in_use(response: &Response) -> Option<size::Slot> {
    let header = response.header(HEADER)?;
    let load: Load = header.last().as_str().parse().ok()?;
    Some(load.slots_in_use)
}

/// Tells whether an answer is a refusal before start.
pub fn is_refusal(response: &Response) -> bool {
    let marked = response.header(NOT_STARTED);
    let marked = marked.is_some_and(|value| value.last().as_str().eq_ignore_ascii_case("true"));
    marked && u16::from(response.status()) == 503
}
